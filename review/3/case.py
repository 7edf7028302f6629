"""A zone is cut off and back, connections are reset: a running job is refused."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import playground  # noqa: E402

DEADLINE_MS = 1500
TASK_MS = 1300
CUT_S = 5.5
SENT_BEFORE_S = 0.3
RESETS = 5
RESET_INTERVAL_S = 0.12
ROUNDS = 6


async def play(sites):
    """Play the case; return the runs of refused jobs."""
    site = playground.Site(
        {
            "za": (["a1"], ["wa1", "wa2"]),
            "zb": (["b1", "b2"], ["wb1", "wb2"]),
        },
        uses_proxy=True,
    )
    sites.append(site)
    await site.start()
    for name in site.daemons:
        await site.submit(site.new_id(), site.job(2, 200), [name], DEADLINE_MS)
    refused = [await play_round(site) for _ in range(ROUNDS)]
    site.finish_runs()
    runs = [x for x in site.recorder.runs if x[0].partition(".")[0] in refused]
    return [f"refused, but it ran: {x}" for x in runs]


async def play_round(site):
    """Cut a zone off; shortly before the cut ends a client there sends a job.

    Returns the identifier of the job if it was refused, or None.
    """
    holder = site.holder("zb")
    gateway = "b1" if holder == "b2" else "b2"
    site.recorder.say(f"{holder} gives the orders in zb, the client is at {gateway}")
    if playground.is_troubled():
        site.set_zone_cut("zb", True)
    await asyncio.sleep(CUT_S - SENT_BEFORE_S)
    site.recorder.say(f"by the store, {site.holder('zb')} gives the orders in zb")
    job_id = site.new_id()
    # Sent once only.
    client = asyncio.create_task(
        site.submit(job_id, site.job(2, TASK_MS), [gateway], DEADLINE_MS)
    )
    await asyncio.sleep(SENT_BEFORE_S)
    if playground.is_troubled():
        site.set_zone_cut("zb", False)
    for _ in range(RESETS):
        await asyncio.sleep(RESET_INTERVAL_S)
        if playground.is_troubled():
            reset_connections(site, gateway)
    status, _ = await client
    await asyncio.sleep(5.5)
    return job_id if status in (429, 503) else None


def reset_connections(site, gateway):
    """Reset the connections that a machine has opened to others."""
    source = site.daemons[gateway].peer
    writers = [
        writer
        for daemon in site.daemons.values()
        for pair in daemon.proxy.pairs(source)
        for writer in pair
    ]
    site.recorder.say(f"{gateway}: {len(writers) // 2} connections reset")
    for writer in writers:
        playground.reset(writer)


sys.exit(playground.run_case(play, HERE))
