"""Faults of the matrix, each registered under its name.

A fault strikes the process that is at a step: the owner of the watched submission, a
target that runs it, its caller, or the store.
"""

import collections.abc
import typing

from carawaysail_bench.proof import fakes, nodes, scenario
from carawaysail_types import clock, registry

LONG_PAUSE = clock.milliseconds(20_000)
LEASE = clock.milliseconds(8_000)

Strike = collections.abc.Callable[[scenario.Scenario, typing.Any], None]


class Fault(typing.NamedTuple):
    """One kind of fault.

    Parameters
    ----------
    strike : callable
        Does it, given the scenario and the process that is at the step.
    needs : str
        Kind of process it can strike at a step: ``node``, ``target``, ``any``.
    """

    strike: Strike
    needs: str


faults: registry.Registry[Fault] = registry.Registry("faults of the matrix")


def _register(
    name: str, needs: str = "any"
) -> collections.abc.Callable[[Strike], Strike]:
    def add(strike: Strike) -> Strike:
        faults.register(name)(Fault(strike, needs))
        return strike

    return add


def _node_of(play: scenario.Scenario, process: typing.Any) -> nodes.Node:
    if isinstance(process, nodes.Node):
        return process
    return play.fleet["nodes"]["rosario-e1"]


def _target_of(play: scenario.Scenario, process: typing.Any) -> fakes.Target:
    if isinstance(process, fakes.Target):
        return process
    return play.fleet["targets"]["rosario-runner-1"]


@_register("process_death")
def _death(play: scenario.Scenario, process: typing.Any) -> None:
    _node_of(play, process).kill()


@_register("restart_without_memory")
def _restart(play: scenario.Scenario, process: typing.Any) -> None:
    _node_of(play, process).restart()


@_register("graceful_end")
def _graceful(play: scenario.Scenario, process: typing.Any) -> None:
    _node_of(play, process).end()


@_register("pause_past_lease")
def _pause(play: scenario.Scenario, process: typing.Any) -> None:
    _node_of(play, process).pause(LEASE)


@_register("pause_and_restart")
def _pause_restart(play: scenario.Scenario, process: typing.Any) -> None:
    """Pause the owner past the end of its callers' patience."""
    _node_of(play, process).pause(LONG_PAUSE)


@_register("message_lost")
def _lost(play: scenario.Scenario, process: typing.Any) -> None:
    play.earth.next_fault = "lost"


@_register("message_doubled")
def _doubled(play: scenario.Scenario, process: typing.Any) -> None:
    play.earth.next_fault = "doubled"


@_register("message_delayed")
def _delayed(play: scenario.Scenario, process: typing.Any) -> None:
    play.earth.next_fault = "delayed"


@_register("answer_crossed")
def _crossed(play: scenario.Scenario, process: typing.Any) -> None:
    for target in play.fleet["targets"].values():
        target.mode = "crossed"


@_register("connections_silent")
def _silent(play: scenario.Scenario, process: typing.Any) -> None:
    for target in play.fleet["targets"].values():
        if target.place == "rosario":
            target.is_silent = True


@_register("target_death")
def _target_death(play: scenario.Scenario, process: typing.Any) -> None:
    _target_of(play, process).is_alive = False


def _set_mode(mode: str) -> Strike:
    def strike(play: scenario.Scenario, process: typing.Any) -> None:
        for target in play.fleet["targets"].values():
            if target.place == "rosario" and target.name.endswith("1"):
                target.mode = mode

    return strike


for _name, _mode in (
    ("target_fails_all", "fails_all"),
    ("target_slow", "slow"),
    ("target_never_ends", "never_ends"),
):
    _register(_name)(_set_mode(_mode))


@_register("target_leaving_by_notice")
def _notice(play: scenario.Scenario, process: typing.Any) -> None:
    _set_mode("leaving")(play, process)


@_register("target_leaving_by_list")
def _list(play: scenario.Scenario, process: typing.Any) -> None:
    play.leave("rosario-runner-1")


@_register("target_leaving_by_settings")
def _settings(play: scenario.Scenario, process: typing.Any) -> None:
    path = "places/rosario/racks/r1/targets/rosario-worker-1/settings/leaving"
    play.change(path, True)
    if play.fleet["store"].is_alive:
        play.left("rosario-worker-1")


@_register("store_down")
def _store_down(play: scenario.Scenario, process: typing.Any) -> None:
    play.fleet["store"].is_alive = False


@_register("store_loses_answers")
def _store_loses(play: scenario.Scenario, process: typing.Any) -> None:
    play.fleet["store"].mode = "lost_answers"
    play.change("settings/weight", 3.0)


@_register("store_watch_lags")
def _store_lags(play: scenario.Scenario, process: typing.Any) -> None:
    play.fleet["store"].mode = "lagging"
    play.change("settings/weight", 4.0)


@_register("vm_list_out")
def _list_out(play: scenario.Scenario, process: typing.Any) -> None:
    play.fleet["list_is_out"] = True


@_register("partition_of_places")
def _cut_places(play: scenario.Scenario, process: typing.Any) -> None:
    play.earth.cut("rosario", "cordoba")


@_register("partition_inside")
def _cut_inside(play: scenario.Scenario, process: typing.Any) -> None:
    play.earth.cut("rosario-e1", "rosario-e2")


@_register("partition_from_platform")
def _cut_platform(play: scenario.Scenario, process: typing.Any) -> None:
    play.earth.cut("rosario", "platform")


@_register("partition_from_targets")
def _cut_targets(play: scenario.Scenario, process: typing.Any) -> None:
    for name in play.fleet["targets"]:
        play.earth.cut("rosario-e1", name)


@_register("cancellation_wave")
def _cancel(play: scenario.Scenario, process: typing.Any) -> None:
    names = tuple(play.submissions)
    play.cancel(names, "rosario-e1")


@_register("racing_operators")
def _race(play: scenario.Scenario, process: typing.Any) -> None:
    play.change("settings/weight", 5.0)
    play.change("settings/weight", 6.0)
    play.change("teams/ventas/settings/weight", 7.0)


@_register("clock_jump")
def _jump(play: scenario.Scenario, process: typing.Any) -> None:
    """Restart with a wall clock that has gone back an hour."""
    node = _node_of(play, process)
    node.restart()
    record = node.members.own_record
    node.members.own_record = record._replace(born_ms=record.born_ms - 3_600_000)


@_register("new_vm_without_store")
def _born(play: scenario.Scenario, process: typing.Any) -> None:
    play.fleet["store"].is_alive = False
    play.fleet["nodes"]["cordoba-e2"].restart()
