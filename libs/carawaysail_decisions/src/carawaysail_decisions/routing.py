"""Routing policies: which of the targets with room gets the next task."""

import collections.abc
import typing

from carawaysail_decisions import capacity
from carawaysail_types import registry

SAMPLE_SIZE = 5


class Policy(typing.Protocol):
    """Chooses one of the targets that have room."""

    sample_size: int
    """How many candidates the policy wants to see."""

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return one of the candidates; there is at least one."""


policies: registry.Registry[type[Policy]] = registry.Registry("routing policies")


@policies.register("random")
class Random:
    """Any target with room."""

    sample_size = 1

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the first candidate of a random sample."""
        return candidates[0]


@policies.register("round_robin")
class RoundRobin:
    """The candidate that was chosen longest ago."""

    sample_size = SAMPLE_SIZE

    def __init__(self) -> None:
        self._turn = 0
        self._chosen: dict[str, int] = {}

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the candidate whose last turn is longest ago."""
        self._turn += 1
        best = min(candidates, key=lambda x: self._chosen.get(x.spec.target_id, 0))
        self._chosen[best.spec.target_id] = self._turn
        return best


@policies.register("least_connections")
class LeastConnections:
    """The candidate with the fewest tasks in flight."""

    sample_size = SAMPLE_SIZE

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the candidate with the fewest tasks in flight."""
        return min(candidates, key=lambda x: x.in_flight)


@policies.register("two_choices")
class TwoChoices:
    """The emptier of two candidates drawn at random."""

    sample_size = 2

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the candidate with the smaller share of its room taken."""
        return min(candidates, key=_load)


@policies.register("expected_finish")
class ExpectedFinish:
    """The candidate expected to finish first, by learned speed and load."""

    sample_size = SAMPLE_SIZE

    def choose(
        self, candidates: collections.abc.Sequence[capacity.TargetState]
    ) -> capacity.TargetState:
        """Return the candidate with the smallest slowness, then the smallest load."""
        return min(candidates, key=_expected)


def _load(state: capacity.TargetState) -> float:
    return state.processors / max(state.share.processors, 1e-9)


def _expected(state: capacity.TargetState) -> float:
    load = _load(state)
    return state.speed * (1.0 + max(0.0, load - 1.0)) + LOAD_TIE * load


LOAD_TIE = 0.05
