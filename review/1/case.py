"""A machine stands still for 4 s and then serves requests whose clients have left."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import playground  # noqa: E402

FREEZE_S = 4.0
DEADLINE_MS = 1500
TASK_MS = 1200
CLIENTS = 9
ROUNDS = 2


async def play(sites):
    """Play the case; return the overlapping runs."""
    site = playground.Site(
        {
            "za": (["a1", "a2"], ["wa1", "wa2", "wa3", "wa4"]),
            "zb": (["b1"], ["wb1", "wb2", "wb3", "wb4"]),
            "zc": (["c1"], ["wc1", "wc2", "wc3", "wc4"]),
        }
    )
    sites.append(site)
    await site.start()
    for name in site.daemons:
        await site.submit(site.new_id(), site.job(2, 200), [name], DEADLINE_MS)
    # The machine that gives no orders, so that all runners keep their holders.
    frozen = "a1" if site.holder("za") == "a2" else "a2"
    others = [x for x in site.daemons if x != frozen]
    for _ in range(ROUNDS):
        await play_round(site, frozen, others)
    site.finish_runs()
    return site.overlaps()


async def play_round(site, frozen, others):
    """Freeze a machine while clients connect to it."""

    async def be_client(number):
        # New connections, before the platform's second readiness check is missed.
        await asyncio.sleep(0.15 + 0.1 * number)
        names = [frozen, others[number % len(others)]]
        await site.submit(site.new_id(), site.job(1, TASK_MS), names, DEADLINE_MS)

    if playground.is_troubled():
        site.daemons[frozen].send_signal(signal.SIGSTOP)
    clients = [asyncio.create_task(be_client(x)) for x in range(CLIENTS)]
    await asyncio.sleep(FREEZE_S)
    if playground.is_troubled():
        site.daemons[frozen].send_signal(signal.SIGCONT)
    await asyncio.gather(*clients)
    await asyncio.sleep(2.0)


sys.exit(playground.run_case(play, HERE))
