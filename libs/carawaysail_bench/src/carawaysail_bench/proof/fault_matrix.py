"""The fault matrix: one fault or two, injected at a step of one kind of work."""

import functools
import itertools
import typing

from carawaysail_bench.proof import (
    faults,
    history,
    rules,
    scenario,
    setups,
    simulation,
)
from carawaysail_types import clock

# Steps of a submission, in order; a rejected or forwarded one skips some.
WORK_STEPS = (
    "received",
    "checked",
    "bound",
    "queued",
    "slot_granted",
    "sent",
    "started",
    "finished",
    "answered",
    "acknowledged",
    "remembered",
)
# Steps of a changed settings section: written to the store, received by a watch, sent
# on to a peer, and put into force.
SETTINGS_STEPS = ("written", "watched", "relayed", "in_force")
STEPS = WORK_STEPS + SETTINGS_STEPS
WORK_KINDS = ("job", "request", "idempotent")


class Cell(typing.NamedTuple):
    """One cell of the fault matrix.

    Parameters
    ----------
    step : str
        Step at which the first fault is injected, one of ``STEPS``.
    faults : tuple of str
        Names of one or two faults; the second is injected 1 s after the first.
    kind : str
        Kind of the watched submission, one of ``WORK_KINDS``.
    """

    step: str
    faults: tuple[str, ...]
    kind: str

    def text(self) -> str:
        """Return the cell in the form that the ``--cell`` option accepts."""
        return f"{self.step}:{'+'.join(self.faults)}:{self.kind}"


class Verdict(typing.NamedTuple):
    """The result of one cell.

    Parameters
    ----------
    cell : Cell
        The cell.
    state : str
        ``passed``, ``red`` (a rule was violated) or ``not_applicable``.
    reason : str
        Why the cell does not apply; empty otherwise.
    violations : tuple of history.Violation
        Violations of the rules; empty unless the state is ``red``.
    events : int
        Number of events in its history.
    """

    cell: Cell
    state: str
    reason: str
    violations: tuple[history.Violation, ...]
    events: int


def reason_not_applicable(cell: Cell) -> str:
    """Return why a cell cannot apply, or an empty string."""
    is_settings = cell.step in SETTINGS_STEPS
    if is_settings and cell.kind != WORK_KINDS[0]:
        return "a change of settings has no kind of work"
    if cell.step == "written" and cell.faults[0] == "store_loses_answers":
        return "the fault itself writes; it strikes at the other steps"
    return ""


def run_cell(cell: Cell, setup: setups.NodeSetup | None = None) -> Verdict:
    """Run one cell and check its history.

    Parameters
    ----------
    cell : Cell
        The cell.
    setup : setups.NodeSetup, optional
        The decision code of every node; the real code by default.
    """
    reason = reason_not_applicable(cell)
    if reason:
        return Verdict(cell, "not_applicable", reason, (), 0)
    case = scenario.Scenario(setup)
    _arm_faults(case, cell)
    _submit_work(case, cell.kind)
    violations = tuple(case.heal_and_check())
    if not case.sim.injected_count:
        reason = "the step was not reached"
        return Verdict(cell, "not_applicable", reason, (), len(case.sim.history))
    state = "red" if violations else "passed"
    return Verdict(cell, state, "", violations, len(case.sim.history))


def _arm_faults(case: scenario.Scenario, cell: Cell) -> None:
    watched = "" if cell.step in SETTINGS_STEPS else "watched"

    def inject(process: typing.Any) -> None:
        faults.faults.get(cell.faults[0]).inject(case, process)
        for name in cell.faults[1:]:
            inject_second = faults.faults.get(name).inject
            call = functools.partial(inject_second, case, process)
            case.sim.schedule(clock.milliseconds(1_000), call)

    case.sim.arm_fault(simulation.ArmedFault(cell.step, watched, inject))


def _submit_work(case: scenario.Scenario, kind: str) -> None:
    """Submit watched and unwatched work, directly and forwarded; change a setting."""
    rosario_e1_first = ("rosario-e1", "rosario-e2", "cordoba-e1", "cordoba-e2")
    rosario_e2_first = ("rosario-e2", "cordoba-e1", "rosario-e1", "cordoba-e2")
    case.submit("watched", kind, rosario_e1_first)
    case.submit("watched-relayed", kind, rosario_e2_first)
    case.submit("beside-job", "job", rosario_e2_first, owner="cordoba-e1")
    case.submit("beside-request", "request", rosario_e1_first, owner="rosario-e2")
    case.advance(clock.milliseconds(50))
    case.change_setting("settings/weight", 2.0)
    case.advance(clock.milliseconds(2_000))
    case.submit("after-job", "job", rosario_e1_first)
    case.submit("after-request", "idempotent", rosario_e2_first)


def all_cells() -> list[Cell]:
    """Return a cell for every step, fault and kind of work."""
    return [
        Cell(step, (fault,), kind)
        for step in STEPS
        for fault in faults.faults.names()
        for kind in WORK_KINDS
    ]


def pair_cells() -> list[Cell]:
    """Return a cell for every pair of faults.

    Steps of work and kinds of work take turns, so that all of them are covered.
    """
    pairs = itertools.combinations(faults.faults.names(), 2)
    return [
        Cell(
            WORK_STEPS[number % len(WORK_STEPS)],
            pair,
            WORK_KINDS[number % len(WORK_KINDS)],
        )
        for number, pair in enumerate(pairs)
    ]


def totals(verdicts: list[Verdict]) -> dict[str, int]:
    """Return the number of cells by state, of events and of rules."""
    states = [verdict.state for verdict in verdicts]
    return {
        "cells": len(states),
        "passed": states.count("passed"),
        "not_applicable": states.count("not_applicable"),
        "red": states.count("red"),
        "events": sum(verdict.events for verdict in verdicts),
        "rules": len(rules.rules.names()),
    }
