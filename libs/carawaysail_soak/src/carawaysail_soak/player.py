"""Plays a plan: starts the site and its clients, injects the faults, and ends all."""

import asyncio
import pathlib
import signal

from carawaysail_runtime import logs
from carawaysail_soak import (
    clients,
    faults,
    habits,
    history,
    plan,
    platform_faults,
    settings,
    site,
    targets,
)

FAULT_MODULES = (faults, platform_faults)
"""Modules whose import fills the registry of kinds."""

READY_TIMEOUT_S = 90.0
SETTLE_S = 2.0
"""Time after which a daemon no longer works for clients that have left, in seconds."""

WARM_UP_S = 1.5
"""Traffic before the first fault, in seconds."""


async def play(
    what: plan.Plan, folder: pathlib.Path, cfg: settings.Settings
) -> history.History:
    """Play a plan and return the history.

    Parameters
    ----------
    what : plan.Plan
        The plan.
    folder : pathlib.Path
        Directory for the daemons' settings files and logs.
    cfg : settings.Settings
        Settings of the soak.

    Raises
    ------
    errors.BadInputError
        If the daemons are not ready in time.
    """
    task = asyncio.current_task()
    assert task is not None
    # So that the daemons' processes end with the soak.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    recorder = history.Recorder()
    where = site.Site(what.size, folder, recorder, cfg.bounds, what.seed)
    await where.start()
    try:
        await where.wait_until_ready(READY_TIMEOUT_S)
        where.measure()
        tasks = _start_clients(what, where, cfg, recorder)
        await asyncio.sleep(WARM_UP_S)
        await _inject(what, where, recorder)
        await asyncio.sleep(what.size.calm_s)
        recorder.record(history.TrafficEnded(recorder.now()))
        for task in tasks:
            task.cancel()
        ends = await asyncio.gather(*tasks, return_exceptions=True)
        for end in ends:
            if isinstance(end, Exception):
                raise end
        await asyncio.sleep(SETTLE_S)
        where.measure()
    finally:
        await where.stop()
    return recorder.history()


def _start_clients(
    what: plan.Plan, where: site.Site, cfg: settings.Settings,
    recorder: history.Recorder,
) -> list[asyncio.Task[None]]:  # fmt: skip
    rate = what.size.jobs_per_s / what.size.clients
    all_clients = [
        clients.Client(n, what.seed, where, cfg.jobs, rate, recorder)
        for n in range(what.size.clients)
    ]
    return [asyncio.create_task(habits.run(x)) for x in all_clients]


async def _inject(
    what: plan.Plan, where: site.Site, recorder: history.Recorder
) -> None:
    """Inject all faults, each at its time; return when the last has ended."""
    begin = recorder.now()
    async with asyncio.TaskGroup() as group:
        for number, step in enumerate(what.steps):
            group.create_task(_inject_step(number, step, begin, where, recorder))


async def _inject_step(
    number: int, step: plan.Step, begin: float, where: site.Site,
    recorder: history.Recorder,
) -> None:  # fmt: skip
    await asyncio.sleep(max(0.0, begin + step.at_s - recorder.now()))
    kind = plan.kinds.get(step.kind)
    # A step may end while another one of the same kind and target lasts.
    target = f"{step.target}#{number}"
    vms = tuple(targets.impaired_vms(where, step.target))
    logs.log_event("soak", "Fault begun.", kind=step.kind, target=target, vms=vms)
    recorder.record(
        history.FaultBegun(recorder.now(), step.kind, target, kind.layer, vms)
    )
    try:
        await kind.play(where, step)
    finally:
        recorder.record(history.FaultEnded(recorder.now(), step.kind, target))
