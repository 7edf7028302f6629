"""Faults of a simulated site, registered by name; each schedules its own end."""

import collections.abc
import datetime

from carawaysail_model import sites, workers
from carawaysail_types import clock, registry

Fault = collections.abc.Callable[[sites.Simulation], None]

faults: registry.Registry[Fault] = registry.Registry("faults of the model")

FAULT_START = sites.START_UP_TIME + clock.milliseconds(1500)
"""Delay of a fault from the start of the simulation; jobs arrive by then."""

FAULT_DURATION = clock.milliseconds(4000)
CUT_DURATION = clock.milliseconds(5500)
"""Long enough for leases in the store to expire."""

HEAL_DURATION = clock.milliseconds(700)
"""Time in which the streams of a data centre reopen after a partition; longer than the
time after which a silent daemon is suspected."""

RESTART_DELAY = clock.milliseconds(1500)
"""Time from the death of a daemon to its restart."""

AFFECTED_DATA_CENTRE = "dc-1"
"""The data centre that a fault of one data centre affects."""


def apply(
    simulation: sites.Simulation, name: str, after: datetime.timedelta = FAULT_START
) -> None:
    """Schedule a fault.

    Parameters
    ----------
    simulation : sites.Simulation
        The simulation.
    name : str
        Registered name of the fault.
    after : datetime.timedelta
        Delay of the fault from the current simulated time; the default is meant for a
        simulation that has not run yet.

    Raises
    ------
    errors.UnknownNameError
        If no fault has the name.
    """
    fault = faults.get(name)
    simulation.engine.after(after, lambda: fault(simulation))


@faults.register("none")
def _none(simulation: sites.Simulation) -> None:
    """Change nothing."""


@faults.register("holder_killed")
def _holder_killed(simulation: sites.Simulation) -> None:
    """Kill the daemon that holds a data centre; it restarts later."""
    vm = simulation.holder(AFFECTED_DATA_CENTRE)
    simulation.kill(vm)
    simulation.engine.after(RESTART_DELAY, lambda: _restart(simulation, vm))


@faults.register("holder_frozen")
def _holder_frozen(simulation: sites.Simulation) -> None:
    """Suspend the daemon that holds a data centre for longer than its leases last."""
    simulation.freeze(simulation.holder(AFFECTED_DATA_CENTRE), FAULT_DURATION)


@faults.register("all_killed")
def _all_killed(simulation: sites.Simulation) -> None:
    """Kill all daemons; they restart at the same time."""
    for vm in list(simulation.all_nodes()):
        simulation.kill(vm)
        simulation.engine.after(RESTART_DELAY, _restart_callback(simulation, vm))


@faults.register("rolling_restart")
def _rolling_restart(simulation: sites.Simulation) -> None:
    """Shut down all daemons gracefully, 1.2 s apart, and restart each of them later."""
    for number, vm in enumerate(list(simulation.all_nodes())):
        begin = clock.milliseconds(1200 * number)
        simulation.engine.after(begin, lambda vm=vm: simulation.leave(vm))  # type: ignore[misc]
        end = begin + clock.milliseconds(2700)
        simulation.engine.after(end, lambda vm=vm: simulation.kill(vm))  # type: ignore[misc]
        simulation.engine.after(end + RESTART_DELAY, _restart_callback(simulation, vm))


@faults.register("store_down")
def _store_down(simulation: sites.Simulation) -> None:
    """Make the store unavailable for some time."""
    simulation.store.is_up = False
    simulation.engine.after(FAULT_DURATION, lambda: _restore_store(simulation))


@faults.register("data_centre_cut")
def _data_centre_cut(simulation: sites.Simulation) -> None:
    """Partition a data centre from the others and from the store for some time."""
    simulation.cut(AFFECTED_DATA_CENTRE)
    simulation.engine.after(CUT_DURATION, simulation.heal)


@faults.register("data_centre_cut_heals_slowly")
def _data_centre_cut_heals_slowly(simulation: sites.Simulation) -> None:
    """Partition a data centre; its streams reopen one by one after the partition."""
    simulation.cut(AFFECTED_DATA_CENTRE)
    simulation.engine.after(
        CUT_DURATION,
        lambda: simulation.heal_link_by_link(AFFECTED_DATA_CENTRE, HEAL_DURATION),
    )


@faults.register("workers_silent")
def _workers_silent(simulation: sites.Simulation) -> None:
    """Make every sixth worker unreachable for some time; their runs go on."""
    for worker in list(simulation.all_workers().values())[::6]:
        worker.is_reachable = False
        simulation.engine.after(FAULT_DURATION, lambda x=worker: _make_reachable(x))  # type: ignore[misc]


@faults.register("workers_restart")
def _workers_restart(simulation: sites.Simulation) -> None:
    """Restart every sixth worker; their identifiers stay the same."""
    for worker_id in list(simulation.all_workers())[::6]:
        simulation.restart_worker(worker_id)


@faults.register("workers_drain")
def _workers_drain(simulation: sites.Simulation) -> None:
    """Drain every sixth worker."""
    for worker_id in list(simulation.all_workers())[::6]:
        simulation.drain(worker_id)


@faults.register("workers_fail")
def _workers_fail(simulation: sites.Simulation) -> None:
    """Make every run on every eighth worker fail shortly after its start."""
    for worker in list(simulation.all_workers().values())[::8]:
        worker.fails_all = True


@faults.register("workers_stall")
def _workers_stall(simulation: sites.Simulation) -> None:
    """Stop the progress of the runs on every eighth worker for good."""
    for worker in list(simulation.all_workers().values())[::8]:
        worker.stalled_since = simulation.engine.now()


@faults.register("workers_slow")
def _workers_slow(simulation: sites.Simulation) -> None:
    """Make every sixth worker six times slower."""
    for worker in list(simulation.all_workers().values())[::6]:
        worker.run_time_factor *= 6.0


def _restart(simulation: sites.Simulation, vm: str) -> None:
    simulation.start_node(vm, simulation.all_nodes()[vm].me.data_centre)


def _restart_callback(
    simulation: sites.Simulation, vm: str
) -> collections.abc.Callable[[], None]:
    return lambda: _restart(simulation, vm)


def _restore_store(simulation: sites.Simulation) -> None:
    simulation.store.is_up = True


def _make_reachable(worker: workers.Worker) -> None:
    worker.is_reachable = True
