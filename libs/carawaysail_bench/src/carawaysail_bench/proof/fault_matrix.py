"""Cells of the matrix: a fault, or a pair of them, at a step, checked by history."""

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
SETTINGS_STEPS = ("written", "watched", "relayed", "in_force")
STEPS = WORK_STEPS + SETTINGS_STEPS
KINDS = ("job", "request", "idempotent")


class Cell(typing.NamedTuple):
    """One cell.

    Parameters
    ----------
    step : str
        Where the first fault strikes.
    faults : tuple of str
        One fault, or two; the second strikes a second later.
    kind : str
        Kind of the watched submission.
    """

    step: str
    faults: tuple[str, ...]
    kind: str

    def text(self) -> str:
        """Return the cell as the command line takes it."""
        return f"{self.step}:{'+'.join(self.faults)}:{self.kind}"


class Verdict(typing.NamedTuple):
    """What became of a cell.

    Parameters
    ----------
    cell : Cell
        The cell.
    state : str
        ``passed``, ``red`` or ``not_applicable``.
    why : str
        Why it does not apply.
    breaks : tuple of history.Break
        Promises that were broken.
    events : int
        Events in its history.
    """

    cell: Cell
    state: str
    why: str
    breaks: tuple[history.Break, ...]
    events: int


def why_not(cell: Cell) -> str:
    """Return why a cell cannot apply, or an empty text."""
    is_settings = cell.step in SETTINGS_STEPS
    if is_settings and cell.kind != KINDS[0]:
        return "a change of settings has no kind of work"
    if cell.step == "written" and cell.faults[0] == "store_loses_answers":
        return "the fault itself writes; it strikes at the other steps"
    return ""


def run(cell: Cell, parts: setups.Parts | None = None) -> Verdict:
    """Run one cell and check its history.

    Parameters
    ----------
    cell : Cell
        The cell.
    parts : setups.Parts, optional
        What nodes are made of; broken variants show that the check can fail.
    """
    why = why_not(cell)
    if why:
        return Verdict(cell, "not_applicable", why, (), 0)
    play = scenario.Scenario(parts)
    _arm(play, cell)
    _work(play, cell.kind)
    breaks = tuple(play.finish())
    if not play.earth.struck:
        why = "the step was not reached"
        return Verdict(cell, "not_applicable", why, (), len(play.earth.history))
    state = "red" if breaks else "passed"
    return Verdict(cell, state, "", breaks, len(play.earth.history))


def _arm(play: scenario.Scenario, cell: Cell) -> None:
    watched = "" if cell.step in SETTINGS_STEPS else "watched"

    def strike(process: typing.Any) -> None:
        faults.faults.get(cell.faults[0]).strike(play, process)
        for name in cell.faults[1:]:
            second = faults.faults.get(name).strike
            call = functools.partial(second, play, process)
            play.earth.later(clock.milliseconds(1_000), call)

    play.earth.arm(simulation.Armed(cell.step, watched, strike))


def _work(play: scenario.Scenario, kind: str) -> None:
    """Submit the watched work and some beside it, and change settings."""
    everywhere = ("rosario-e1", "rosario-e2", "cordoba-e1", "cordoba-e2")
    elsewhere = ("rosario-e2", "cordoba-e1", "rosario-e1", "cordoba-e2")
    play.submit("watched", kind, everywhere)
    play.submit("watched-relayed", kind, elsewhere)
    play.submit("beside-job", "job", elsewhere, owner="cordoba-e1")
    play.submit("beside-request", "request", everywhere, owner="rosario-e2")
    play.run(clock.milliseconds(50))
    play.change("settings/weight", 2.0)
    play.run(clock.milliseconds(2_000))
    play.submit("after-job", "job", everywhere)
    play.submit("after-request", "idempotent", elsewhere)


def all_cells() -> list[Cell]:
    """Return every fault at every step, for every kind of work."""
    return [
        Cell(step, (fault,), kind)
        for step in STEPS
        for fault in faults.faults.names()
        for kind in KINDS
    ]


def pair_cells() -> list[Cell]:
    """Return pairs of faults; steps and kinds take turns, so that all are covered."""
    pairs = itertools.combinations(faults.faults.names(), 2)
    return [
        Cell(WORK_STEPS[number % len(WORK_STEPS)], pair, KINDS[number % len(KINDS)])
        for number, pair in enumerate(pairs)
    ]


def totals(verdicts: list[Verdict]) -> dict[str, int]:
    """Return the counts of a run."""
    states = [verdict.state for verdict in verdicts]
    return {
        "cells": len(states),
        "passed": states.count("passed"),
        "not_applicable": states.count("not_applicable"),
        "red": states.count("red"),
        "events": sum(verdict.events for verdict in verdicts),
        "rules": len(rules.rules.names()),
    }
