"""All processes are killed at once and start again; clients send their jobs again."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import playground  # noqa: E402

DEADLINE_MS = 1500
TASK_MS = 1450
CLAIM_S = 0.91
"""Time from the kill to the claim that the delays of the restart are chosen around."""

OFFSETS_S = (-0.08, -0.05, -0.02, 0.0, 0.03, 0.06)
ZONES = ("za", "zb", "zc")


async def play(sites):
    """Play the case; return the overlapping runs."""
    site = playground.Site(
        {
            "za": (["a1", "a2"], ["wa1", "wa2"]),
            "zb": (["b1"], ["wb1", "wb2"]),
            "zc": (["c1"], ["wc1", "wc2"]),
        }
    )
    sites.append(site)
    await site.start()
    for name in site.daemons:
        await site.submit(site.new_id(), site.job(2, 200), [name], DEADLINE_MS)
    gateways = ["a1", "b1", "c1"]

    async def be_client(number):
        names = [gateways[number], gateways[(number + 1) % 3]]
        await site.submit(site.new_id(), site.job(2, TASK_MS), names, DEADLINE_MS)

    # How long the restart itself takes on this machine, without any job.
    restart_s = await restart_all(site, 0.0) if playground.is_troubled() else 0.0
    await asyncio.sleep(4.0)
    for offset_s in OFFSETS_S:
        clients = [asyncio.create_task(be_client(x)) for x in range(len(gateways))]
        await asyncio.sleep(0.05)
        if playground.is_troubled():
            await restart_all(site, max(0.02, CLAIM_S + offset_s - restart_s))
        # A client that finds no process listening has had no answer, and gives up.
        await asyncio.gather(*clients, return_exceptions=True)
        await asyncio.sleep(4.0)
    site.finish_runs()
    return site.overlaps()


async def restart_all(site, delay_s):
    """Kill all processes, and start them again after a delay.

    Returns the time from the kill until each zone has its new holder.
    """
    tokens = {x: site.token(x) for x in ZONES}
    killed_at = site.recorder.now()
    for daemon in site.daemons.values():
        daemon.send_signal(signal.SIGKILL)
    await asyncio.sleep(delay_s)
    for daemon in site.daemons.values():
        await daemon.process.wait()
        await daemon.start()
    site.recorder.say(f"all processes start again, {delay_s:.2f} s after the kill")
    while any(site.token(x) == tokens[x] for x in ZONES):
        await asyncio.sleep(0.01)
    took_s = site.recorder.now() - killed_at
    site.recorder.say(f"each zone has its new holder {took_s:.2f} s after the kill")
    return took_s


sys.exit(playground.run_case(play, HERE))
