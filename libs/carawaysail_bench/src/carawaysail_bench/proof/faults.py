"""Faults of the matrix, each registered under its name.

A fault is injected into the process that reached the step: the owner of the watched
submission, a target that runs it, its caller, or the store. A fault that needs a node
or a target uses ``rosario-e1`` or ``rosario-runner-1`` if the process is another.
"""

import collections.abc
import typing

from carawaysail_bench.proof import fakes, nodes, scenario
from carawaysail_types import clock, registry

PAUSE_PAST_CALLER_TIMEOUT = clock.milliseconds(20_000)
PAUSE_PAST_LEASE = clock.milliseconds(8_000)

Injection = collections.abc.Callable[[scenario.Scenario, typing.Any], None]


class Fault(typing.NamedTuple):
    """One kind of fault.

    Parameters
    ----------
    inject : callable
        Injects the fault; takes the scenario and the process that reached the step.
    applies_to : str
        Kind of process that it can be injected into: ``node``, ``target``, ``any``.
    """

    inject: Injection
    applies_to: str


faults: registry.Registry[Fault] = registry.Registry("faults of the matrix")


def _register(
    name: str, applies_to: str = "any"
) -> collections.abc.Callable[[Injection], Injection]:
    def add(inject: Injection) -> Injection:
        faults.register(name)(Fault(inject, applies_to))
        return inject

    return add


def _node_of(case: scenario.Scenario, process: typing.Any) -> nodes.Node:
    if isinstance(process, nodes.Node):
        return process
    return case.fleet["nodes"]["rosario-e1"]


def _target_of(case: scenario.Scenario, process: typing.Any) -> fakes.Target:
    if isinstance(process, fakes.Target):
        return process
    return case.fleet["targets"]["rosario-runner-1"]


@_register("process_death")
def _kill_node(case: scenario.Scenario, process: typing.Any) -> None:
    _node_of(case, process).kill()


@_register("restart_without_memory")
def _restart_node(case: scenario.Scenario, process: typing.Any) -> None:
    _node_of(case, process).restart()


@_register("graceful_end")
def _end_gracefully(case: scenario.Scenario, process: typing.Any) -> None:
    _node_of(case, process).end_gracefully()


@_register("pause_past_lease")
def _pause_node(case: scenario.Scenario, process: typing.Any) -> None:
    _node_of(case, process).pause(PAUSE_PAST_LEASE)


@_register("pause_and_restart")
def _pause_past_caller_timeout(case: scenario.Scenario, process: typing.Any) -> None:
    """Pause the node for longer than its callers wait for an answer."""
    _node_of(case, process).pause(PAUSE_PAST_CALLER_TIMEOUT)


@_register("message_lost")
def _lose_message(case: scenario.Scenario, process: typing.Any) -> None:
    case.sim.next_message_fault = "lost"


@_register("message_doubled")
def _duplicate_message(case: scenario.Scenario, process: typing.Any) -> None:
    case.sim.next_message_fault = "doubled"


@_register("message_delayed")
def _delay_message(case: scenario.Scenario, process: typing.Any) -> None:
    case.sim.next_message_fault = "delayed"


@_register("answer_crossed")
def _cross_answers(case: scenario.Scenario, process: typing.Any) -> None:
    for target in case.fleet["targets"].values():
        target.mode = "crossed"


@_register("connections_silent")
def _silence_targets(case: scenario.Scenario, process: typing.Any) -> None:
    for target in case.fleet["targets"].values():
        if target.data_centre == "rosario":
            target.is_silent = True


@_register("target_death")
def _kill_target(case: scenario.Scenario, process: typing.Any) -> None:
    _target_of(case, process).is_alive = False


def _set_mode(mode: str) -> Injection:
    """Return a function that sets the mode of one runner and one worker."""

    def inject(case: scenario.Scenario, process: typing.Any) -> None:
        for target in case.fleet["targets"].values():
            if target.data_centre == "rosario" and target.name.endswith("1"):
                target.mode = mode

    return inject


for _name, _mode in (
    ("target_fails_all", "fails_all"),
    ("target_slow", "slow"),
    ("target_never_ends", "never_ends"),
):
    _register(_name)(_set_mode(_mode))


@_register("target_leaving_by_notice")
def _announce_leaving(case: scenario.Scenario, process: typing.Any) -> None:
    _set_mode("leaving")(case, process)


@_register("target_leaving_by_list")
def _leave_by_vm_list(case: scenario.Scenario, process: typing.Any) -> None:
    case.start_leaving("rosario-runner-1")


@_register("target_leaving_by_settings")
def _leave_by_settings(case: scenario.Scenario, process: typing.Any) -> None:
    path = "places/rosario/racks/r1/targets/rosario-worker-1/settings/leaving"
    case.change_setting(path, True)
    if case.fleet["store"].is_alive:
        case.record_leaving("rosario-worker-1")


@_register("store_down")
def _stop_store(case: scenario.Scenario, process: typing.Any) -> None:
    case.fleet["store"].is_alive = False


@_register("store_loses_answers")
def _lose_store_answers(case: scenario.Scenario, process: typing.Any) -> None:
    case.fleet["store"].mode = "lost_answers"
    case.change_setting("settings/weight", 3.0)


@_register("store_watch_lags")
def _delay_store_watches(case: scenario.Scenario, process: typing.Any) -> None:
    case.fleet["store"].mode = "lagging"
    case.change_setting("settings/weight", 4.0)


@_register("vm_list_out")
def _stop_vm_list(case: scenario.Scenario, process: typing.Any) -> None:
    case.fleet["list_is_out"] = True


@_register("partition_of_places")
def _partition_data_centres(case: scenario.Scenario, process: typing.Any) -> None:
    case.sim.partition("rosario", "cordoba")


@_register("partition_inside")
def _partition_peers(case: scenario.Scenario, process: typing.Any) -> None:
    case.sim.partition("rosario-e1", "rosario-e2")


@_register("partition_from_platform")
def _partition_platform(case: scenario.Scenario, process: typing.Any) -> None:
    case.sim.partition("rosario", "platform")


@_register("partition_from_targets")
def _partition_targets(case: scenario.Scenario, process: typing.Any) -> None:
    for name in case.fleet["targets"]:
        case.sim.partition("rosario-e1", name)


@_register("cancellation_wave")
def _cancel_all(case: scenario.Scenario, process: typing.Any) -> None:
    submission_ids = tuple(case.submissions)
    case.cancel(submission_ids, "rosario-e1")


@_register("racing_operators")
def _race_operators(case: scenario.Scenario, process: typing.Any) -> None:
    case.change_setting("settings/weight", 5.0)
    case.change_setting("settings/weight", 6.0)
    case.change_setting("teams/ventas/settings/weight", 7.0)


@_register("clock_jump")
def _set_clock_back(case: scenario.Scenario, process: typing.Any) -> None:
    """Restart the node with its wall clock set back by one hour."""
    node = _node_of(case, process)
    node.restart()
    record = node.members.own_record
    node.members.own_record = record._replace(born_ms=record.born_ms - 3_600_000)


@_register("new_vm_without_store")
def _restart_without_store(case: scenario.Scenario, process: typing.Any) -> None:
    case.fleet["store"].is_alive = False
    case.fleet["nodes"]["cordoba-e2"].restart()
