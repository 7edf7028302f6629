"""Routing policies: which of the targets with capacity gets the next task."""

import collections.abc
import typing

from carawaysail_decisions import capacity
from carawaysail_types import registry

SAMPLE_SIZE = 5
"""Candidates drawn for policies that compare several."""


class Policy(typing.Protocol):
    """Chooses one of the targets that can accept a task."""

    sample_size: int
    """How many candidates are drawn for the policy."""

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return one of the candidates; there is at least one."""


policies: registry.Registry[type[Policy]] = registry.Registry("routing policies")


@policies.register("random")
class Random:
    """Chooses any target."""

    sample_size = 1

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the first candidate; the candidates are a random sample."""
        return candidates[0]


@policies.register("round_robin")
class RoundRobin:
    """Chooses the candidate that was chosen least recently."""

    sample_size = SAMPLE_SIZE

    def __init__(self) -> None:
        self._choices = 0
        self._last_choice: dict[str, int] = {}

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the candidate that was chosen least recently."""
        self._choices += 1
        best = min(candidates, key=lambda x: self._last_choice.get(x.spec.target_id, 0))
        self._last_choice[best.spec.target_id] = self._choices
        return best


@policies.register("least_connections")
class LeastConnections:
    """Chooses the candidate with the fewest tasks in flight."""

    sample_size = SAMPLE_SIZE

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the candidate with the fewest tasks in flight."""
        return min(candidates, key=lambda x: x.in_flight)


@policies.register("two_choices")
class TwoChoices:
    """Chooses the less loaded of two targets drawn at random."""

    sample_size = 2

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the candidate with the smaller share of its processors assigned."""
        return min(candidates, key=_load)


@policies.register("expected_finish")
class ExpectedFinish:
    """Chooses the candidate expected to finish first, by measured speed and load."""

    sample_size = SAMPLE_SIZE

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the candidate with the earliest expected finish of the task."""
        return min(candidates, key=_expected_finish)


def _load(state: capacity.TargetState) -> float:
    """Return the processors assigned, as a fraction of this daemon's share."""
    return state.processors / max(state.share.processors, 1e-9)


def _expected_finish(state: capacity.TargetState) -> float:
    """Return the expected time until a task ends, relative to its mean run time.

    A load below 1 delays no task; it only decides between nearly equal targets.
    """
    load = _load(state)
    return state.slowness * (1.0 + max(0.0, load - 1.0)) + LOAD_TIE_BREAK * load


LOAD_TIE_BREAK = 0.05
"""Weight of the load; decides between targets of nearly equal slowness."""
