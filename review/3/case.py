"""A machine is cut off, another one's connections are reset: a task is in two zones."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import playground  # noqa: E402

DEADLINE_MS = 1500
TASK_MS = 1300
RESET_S = 0.82
CUT_S = 4.0
ROUNDS = 5
ZONES = {
    "za": (["a1"], ["wa1", "wa2"]),
    "zc": (["c1", "c2", "c3"], ["wc1", "wc2"]),
}


async def play(sites):
    """Play the case; return the overlapping runs, or those of refused jobs."""
    is_one_zone = bool(os.environ.get("ONE_ZONE"))
    zones = {"zc": ZONES["zc"]} if is_one_zone else ZONES
    site = playground.Site(zones, uses_proxy=True)
    sites.append(site)
    await site.start()
    for name in site.daemons:
        await site.submit(site.new_id(), site.job(2, 200), [name], DEADLINE_MS)
    refused = [await play_round(site) for _ in range(ROUNDS)]
    site.finish_runs()
    if not is_one_zone:
        return site.overlaps()
    return [x for x in site.recorder.runs if x[0].partition(".")[0] in refused]


async def play_round(site):
    """Let one of three machines of a zone be cut off while a job runs there.

    Returns the identifier of the job if it was refused, or None.
    """
    holder = site.holder("zc")
    claimant, gateway = [x for x in ("c1", "c2", "c3") if x != holder]
    site.recorder.say(f"{holder} gives the orders, the client is at {gateway}")
    # Sent once only: the client does not come back, whatever the answer.
    job_id = site.new_id()
    client = asyncio.create_task(
        site.submit(job_id, site.job(2, TASK_MS), [gateway], DEADLINE_MS)
    )
    await asyncio.sleep(0.03)
    if playground.is_troubled():
        site.set_cut(claimant, True)
    await asyncio.sleep(RESET_S)
    if playground.is_troubled():
        reset_connections(site, gateway)
    status, _ = await client
    await asyncio.sleep(CUT_S - 1.5)
    if playground.is_troubled():
        site.set_cut(claimant, False)
    await asyncio.sleep(4.5)
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
