"""Faults of a modelled site, registered by name; each schedules its own end."""

import collections.abc
import datetime

from carawaysail_model import sites, workers
from carawaysail_types import clock, registry

Fault = collections.abc.Callable[[sites.World], None]

faults: registry.Registry[Fault] = registry.Registry("faults of the model")

FIRST = sites.START_UP + clock.milliseconds(1500)
"""When a fault begins: some time after the first clients came."""

LASTING = clock.milliseconds(4000)
CUT_LASTING = clock.milliseconds(5500)
"""Long enough for leases in the store to end."""

RESTART_AFTER = clock.milliseconds(1500)
SECOND_PLACE = "dc-1"


def apply(world: sites.World, name: str, after: datetime.timedelta = FIRST) -> None:
    """Schedule a fault."""
    fault = faults.get(name)
    world.engine.after(after, lambda: fault(world))


@faults.register("none")
def _none(world: sites.World) -> None:
    """Leave everything as it is."""


@faults.register("holder_killed")
def _holder_killed(world: sites.World) -> None:
    """Kill the daemon that holds a data centre; it restarts later."""
    vm = world.holder(SECOND_PLACE)
    world.kill(vm)
    world.engine.after(RESTART_AFTER, lambda: _restart(world, vm))


@faults.register("holder_frozen")
def _holder_frozen(world: sites.World) -> None:
    """Let a holder stand still for longer than its leases."""
    world.freeze(world.holder(SECOND_PLACE), LASTING)


@faults.register("all_killed")
def _all_killed(world: sites.World) -> None:
    """Kill all daemons; they restart at once."""
    for vm in list(world.all_nodes()):
        world.kill(vm)
        world.engine.after(RESTART_AFTER, _restarter(world, vm))


@faults.register("rolling_restart")
def _rolling_restart(world: sites.World) -> None:
    """End and restart all daemons gracefully, one after the other."""
    for number, vm in enumerate(list(world.all_nodes())):
        begin = clock.milliseconds(1200 * number)
        world.engine.after(begin, lambda vm=vm: world.leave(vm))  # type: ignore[misc]
        end = begin + clock.milliseconds(2700)
        world.engine.after(end, lambda vm=vm: world.kill(vm))  # type: ignore[misc]
        world.engine.after(end + RESTART_AFTER, _restarter(world, vm))


@faults.register("store_down")
def _store_down(world: sites.World) -> None:
    """Let the store be away for some time, and come back."""
    world.store.is_up = False
    world.engine.after(LASTING, lambda: _store_back(world))


@faults.register("data_centre_cut")
def _data_centre_cut(world: sites.World) -> None:
    """Cut a data centre off from the others and the store for some time."""
    world.cut(SECOND_PLACE)
    world.engine.after(CUT_LASTING, world.heal)


@faults.register("workers_silent")
def _workers_silent(world: sites.World) -> None:
    """Cut some workers off; they run on."""
    for worker in list(world.all_workers().values())[::6]:
        worker.is_reachable = False
        world.engine.after(LASTING, lambda x=worker: _reach(x))  # type: ignore[misc]


@faults.register("workers_restart")
def _workers_restart(world: sites.World) -> None:
    """Restart some workers under their names."""
    for worker_id in list(world.all_workers())[::6]:
        world.restart_worker(worker_id)


@faults.register("workers_drain")
def _workers_drain(world: sites.World) -> None:
    """Let some workers drain."""
    for worker_id in list(world.all_workers())[::6]:
        world.drain(worker_id)


@faults.register("workers_fail")
def _workers_fail(world: sites.World) -> None:
    """Let some workers fail at once all that they start."""
    for worker in list(world.all_workers().values())[::8]:
        worker.fails_all = True


@faults.register("workers_stall")
def _workers_stall(world: sites.World) -> None:
    """Let the runs of some workers stand still for good."""
    for worker in list(world.all_workers().values())[::8]:
        worker.stalled_since = world.engine.now()


@faults.register("workers_slow")
def _workers_slow(world: sites.World) -> None:
    """Let some workers turn slow."""
    for worker in list(world.all_workers().values())[::6]:
        worker.factor *= 6.0


def _restart(world: sites.World, vm: str) -> None:
    world.start_node(vm, world.all_nodes()[vm].me.data_centre)


def _restarter(world: sites.World, vm: str) -> collections.abc.Callable[[], None]:
    return lambda: _restart(world, vm)


def _store_back(world: sites.World) -> None:
    world.store.is_up = True


def _reach(worker: workers.Worker) -> None:
    worker.is_reachable = True
