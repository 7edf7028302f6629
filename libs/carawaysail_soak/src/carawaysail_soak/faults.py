"""Kinds of faults of processes and links, injected only from outside.

Each kind is a coroutine that injects the fault, waits for its end and removes it.
"""

import asyncio
import collections.abc
import signal
import typing

from carawaysail_soak import plan, proxy, site, targets

DIRECTIONS = ((proxy.FORTH,), (proxy.BACK,), (proxy.FORTH, proxy.BACK))
ALL_LINKS = ("peer_link", "holder_link", "store_link", "worker_link", "client_link")

Play = collections.abc.Callable[
    [site.Site, plan.Step], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


def kind(
    name: str,
    layer: str,
    target_names: tuple[str, ...],
    for_s: tuple[float, float] = (0.1, 0.1),
    **parameters: tuple[float, float],
) -> collections.abc.Callable[[Play], Play]:
    """Return a decorator that registers a coroutine as a kind of fault.

    Parameters
    ----------
    name, layer, target_names, for_s, **parameters
        Fields of ``plan.Kind``.
    """

    def add(play: Play) -> Play:
        plan.kinds.register(name)(
            plan.Kind(play, layer, target_names, for_s, parameters)
        )
        return play

    return add


async def _for_each(
    names: collections.abc.Iterable[str],
    action: collections.abc.Callable[
        [str], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    async with asyncio.TaskGroup() as group:
        for name in names:
            group.create_task(action(name))


# Processes

VM_TARGETS = ("vm", "vms", "holder", "holder", "data_centre")


@kind("terminate", "processes", VM_TARGETS, restart_s=(0.0, 2.0))
async def _terminate(where: site.Site, step: plan.Step) -> None:
    """Terminate gracefully, and start again at the same address."""

    async def act(vm: str) -> None:
        await where.processes[vm].terminate()
        await asyncio.sleep(step.parameters["restart_s"])
        await where.processes[vm].start()

    await _for_each(targets.vms(where, step.target), act)


@kind("kill", "processes", (*VM_TARGETS, "all"), restart_s=(0.0, 3.0))
async def _kill(where: site.Site, step: plan.Step) -> None:
    """Kill, and start again at the same address."""

    async def act(vm: str) -> None:
        await where.processes[vm].kill()
        await asyncio.sleep(step.parameters["restart_s"])
        await where.processes[vm].start()

    await _for_each(targets.vms(where, step.target), act)


@kind("replace", "processes", ("vm", "holder"), restart_s=(0.0, 2.0), is_kill=(0, 1))
async def _replace(where: site.Site, step: plan.Step) -> None:
    """Terminate or kill, and start again at another address."""

    async def act(vm: str) -> None:
        process = where.processes[vm]
        await (
            process.kill() if step.parameters["is_kill"] > 0.5 else process.terminate()
        )
        await asyncio.sleep(step.parameters["restart_s"])
        if process.pid is None:
            await where.move(vm)
        await process.start()

    await _for_each(targets.vms(where, step.target), act)


@kind("freeze", "processes", (*VM_TARGETS, "all"), (0.3, 6.0))
async def _freeze(where: site.Site, step: plan.Step) -> None:
    """Stop the processes for some time."""
    vms = targets.vms(where, step.target)
    for vm in vms:
        where.processes[vm].signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(step.for_s)
    finally:
        for vm in vms:
            where.processes[vm].signal(signal.SIGCONT)


@kind("roll", "processes", ("vms", "all"), (2.0, 14.0), restart_s=(0.0, 1.0))
async def _roll(where: site.Site, step: plan.Step) -> None:
    """Terminate and start several, one after the other, without waiting for the end."""
    vms = targets.vms(where, step.target)
    async with asyncio.TaskGroup() as group:
        for vm in vms:
            group.create_task(_terminate(where, step._replace(target=vm)))
            await asyncio.sleep(step.for_s / len(vms))


# Faults that strike together


@kind("restart_all", plan.COINCIDENCES, ("all",), restart_s=(0.02, 0.7))
async def _restart_all(where: site.Site, step: plan.Step) -> None:
    """Kill all, and start them again before the leases of their runs have ended."""
    await _kill(where, step)


@kind("restart", plan.COINCIDENCES, ("vm", "holder"), restart_s=(0.02, 1.5))
async def _restart(where: site.Site, step: plan.Step) -> None:
    """Kill one, and start it again soon."""
    await _kill(where, step)


@kind("stand_still", plan.COINCIDENCES, ("vm", "holder"), (0.6, 4.5))
async def _stand_still(where: site.Site, step: plan.Step) -> None:
    """Stop one while its clients give up and send their jobs again elsewhere."""
    await _freeze(where, step)


@kind("reset_vm", plan.COINCIDENCES, ("vm", "holder"))
async def _reset_vm(where: site.Site, step: plan.Step) -> None:
    """Reset the connections of VMs to others and to their clients in one instant."""
    names = set(targets.vms(where, step.target))
    where.proxy.reset(
        [x for x in where.proxy.links() if x.source in names or x.target in names]
    )


# Links


async def _impair(
    where: site.Site, step: plan.Step, impairment: proxy.Impairment
) -> None:
    directions = DIRECTIONS[int(step.parameters["direction"])]
    links = targets.links(where, step.target)
    end = where.proxy.impair(links, directions, impairment)
    try:
        await asyncio.sleep(step.for_s)
    finally:
        end()


@kind("delay", "links", ALL_LINKS, (0.5, 5.0), delay_s=(0.01, 0.7), direction=(0, 2.99))
async def _delay(where: site.Site, step: plan.Step) -> None:
    """Delay all bytes."""
    impairment = proxy.Impairment(delay_s=step.parameters["delay_s"])
    await _impair(where, step, impairment)


@kind("hold", "links", ALL_LINKS, (0.2, 5.0), direction=(0, 2.99))
async def _hold(where: site.Site, step: plan.Step) -> None:
    """Hold all bytes up and release them at the end: a cut that heals."""
    await _impair(where, step, proxy.Impairment(is_held=True))


@kind("isolate", "links", ("vm", "vms", "holder", "data_centre"), (0.5, 5.0),
      direction=(2, 2))  # fmt: skip
async def _isolate(where: site.Site, step: plan.Step) -> None:
    """Hold all bytes from and to VMs up, but those of clients."""
    await _impair(where, step, proxy.Impairment(is_held=True))


@kind("reset", "links", (*ALL_LINKS, "vm", "holder", "all"))
async def _reset(where: site.Site, step: plan.Step) -> None:
    """Reset the open connections."""
    where.proxy.reset(targets.links(where, step.target))


@kind("silence", "links", (*ALL_LINKS, "vm", "holder"))
async def _silence(where: site.Site, step: plan.Step) -> None:
    """Silence the open connections for good; new ones work."""
    where.proxy.silence(targets.links(where, step.target))


@kind("cut", "links", ALL_LINKS, size_bytes=(0, 600), direction=(0, 1.99))
async def _cut(where: site.Site, step: plan.Step) -> None:
    """Reset the open connections in the middle of a message."""
    direction = DIRECTIONS[int(step.parameters["direction"])][0]
    links = targets.links(where, step.target)
    where.proxy.reset_after(links, direction, int(step.parameters["size_bytes"]))
