"""A runner drains while the store's stale reads are some seconds old."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
import site2  # noqa: E402

DRAIN_S, SLACK_S = 2.0, 0.2
LAG_S, GROWTH = 3.0, 0.5
"""Age of stale answers, and by how much it grows in a second until then."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""``TROUBLE=0`` leaves the disruption out."""


async def case(stage, trouble):
    """Return the starts on the draining runner that come too late."""
    await stage.start()
    await asyncio.sleep(4)
    began = stage.now()
    if trouble:
        stage.note("replica-falls-behind")
        stage.store.stale_s = lambda: min(LAG_S, GROWTH * (stage.now() - began))
    answers = []

    async def client(number):
        for n in range(1000):
            job = f"{number:08x}{n:08x}"
            status, _ = await stage.call("m1", "POST", job, site2.job(4, 60))
            answers.append(status)
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(client(n)) for n in range(1, 9)]
    await asyncio.sleep(LAG_S / GROWTH + 2)
    runner = stage.runners["i-a0"]
    runner.state = "draining"
    runner.report()
    drained = stage.now()
    stage.note("store-has-draining", runner.name)
    await asyncio.sleep(8)
    for task in clients:
        task.cancel()
    if answers.count(200) < 50:
        raise RuntimeError("the site does not serve")
    return [
        f"{rest} starts {at - drained:.2f} s after the store had the report"
        for at, what, *rest in stage.events
        if what == "run-starts"
        and rest[0] == runner.name
        and at > drained + DRAIN_S + SLACK_S
    ]


site2.run(HERE, case, TROUBLE, ("a",), {"m1": "a", "m2": "a"}, 12)
