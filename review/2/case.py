"""Connections of one machine are reset: to its client, and to another machine."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

import playground  # noqa: E402

DEADLINE_MS = 1500
TASK_MS = 1450
RESET_S = 0.04
ROUNDS = 8


async def play(sites):
    """Play the case; return the overlapping runs."""
    site = playground.Site(
        {
            "za": (["a1", "a2"], ["wa1", "wa2"]),
            "zb": (["b1"], ["wb1", "wb2"]),
            "zc": (["c1"], ["wc1", "wc2"]),
        },
        uses_proxy=True,
    )
    sites.append(site)
    await site.start()
    for name in site.daemons:
        await site.submit(site.new_id(), site.job(2, 200), [name], DEADLINE_MS)
    # A machine that hands its jobs on to the other machine of its zone.
    gateway = "a1" if site.holder("za") == "a2" else "a2"
    for number in range(ROUNDS):
        connection = await site.connect(gateway)
        names = [gateway, ["b1", "c1"][number % 2]]
        client = asyncio.create_task(
            site.submit(
                site.new_id(), site.job(2, TASK_MS), names, DEADLINE_MS, connection
            )
        )
        await asyncio.sleep(RESET_S)
        if playground.is_troubled():
            reset_connections(site, gateway, connection)
        await client
        await asyncio.sleep(1.5)
    site.finish_runs()
    return site.overlaps()


def reset_connections(site, gateway, connection):
    """Reset the client's connection and those that the machine has opened to others.

    These are four of about twelve: it has three more from the other machines, and some
    to the store.
    """
    source = site.daemons[gateway].peer
    writers = [
        writer
        for daemon in site.daemons.values()
        for pair in daemon.proxy.pairs(source)
        for writer in pair
    ]
    site.recorder.say(
        f"{gateway}: its client's and {len(writers) // 2} connections reset"
    )
    writers.append(connection.writer())
    random.shuffle(writers)
    for writer in writers:
        playground.reset(writer)


sys.exit(playground.run_case(play, HERE))
