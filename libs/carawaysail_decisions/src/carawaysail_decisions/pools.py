"""Pools: the targets that serve one service, and the search for one with room."""

import collections.abc
import datetime
import random
import typing

from carawaysail_decisions import capacity, health, reserve, routing
from carawaysail_types import work


class PlacementRequest(typing.NamedTuple):
    """What a task asks of a target.

    Parameters
    ----------
    needs : work.Needs
        Resources.
    is_long : bool
        Lane.
    long_share : float
        Share of the slots that long work may hold.
    stretch : float
        How many times the processors may be filled.
    """

    needs: work.Needs
    is_long: bool
    long_share: float
    overcommit: float

    def fits(self, state: capacity.TargetState) -> bool:
        """Tell whether a target has room for it."""
        return state.can_accept(
            self.needs, self.is_long, self.long_share, self.overcommit
        )


class _Open:
    """Targets that may have room; one found full leaves until it is reopened."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._states: list[capacity.TargetState] = []
        self._place: dict[str, int] = {}

    def clear(self) -> None:
        self._states = []
        self._place = {}

    def add(self, state: capacity.TargetState) -> None:
        name = state.spec.target_id
        if name not in self._place:
            self._place[name] = len(self._states)
            self._states.append(state)

    def sample(
        self, ask: PlacementRequest, wanted: int, now: datetime.datetime
    ) -> list[capacity.TargetState]:
        """Return up to ``wanted`` targets with room, drawn at random."""
        found: list[capacity.TargetState] = []
        position = len(self._states)
        while position > 0 and len(found) < wanted:
            position -= 1
            self._swap(position, int(self._rng.random() * (position + 1)))
            state = self._states[position]
            if state.health.is_ejected(now):
                continue
            if ask.fits(state):
                found.append(state)
            elif _is_full(state, ask.overcommit):
                self._close(position)
        return found

    def _swap(self, first: int, second: int) -> None:
        if first == second:
            return
        a, b = self._states[first], self._states[second]
        self._states[first], self._states[second] = b, a
        self._place[a.spec.target_id] = second
        self._place[b.spec.target_id] = first

    def _close(self, position: int) -> None:
        self._swap(position, len(self._states) - 1)
        state = self._states.pop()
        del self._place[state.spec.target_id]


class Pool:
    """Targets of one kind that serve one service.

    A search looks at a few targets that may have room, however many there are.

    Parameters
    ----------
    rng : random.Random
        Source of chance.
    """

    def __init__(self, rng: random.Random) -> None:
        self.states: list[capacity.TargetState] = []
        self.reserve = reserve.ShortTaskReserve()
        self._slots = 0.0
        self._slowest = 1.0
        self._seen = 0
        self._names: set[str] = set()
        self._free = _Open(rng)
        self._backlog = _Open(rng)

    def __contains__(self, state: capacity.TargetState) -> bool:
        """Tell whether a target belongs to the pool."""
        return state.spec.target_id in self._names

    def set_targets(
        self, states: collections.abc.Iterable[capacity.TargetState]
    ) -> None:
        """Replace the targets of the pool."""
        self.states = list(states)
        self._names = {state.spec.target_id for state in self.states}
        self._free.clear()
        self._backlog.clear()
        for state in self.states:
            self.mark_available(state)
        self._weigh()

    def slots(self) -> float:
        """Return the slots of this daemon, as if all targets were of average speed."""
        return self._slots

    def max_slowness(self) -> float:
        """Return the slowness of the slowest target, at least 1."""
        return self._slowest

    def _weigh(self) -> None:
        usable = [state for state in self.states if state.share.processors > 0.0]
        self._slots = sum(x.share.processors / max(x.speed, 0.1) for x in usable)
        self._slowest = max((x.speed for x in usable), default=1.0)
        self._slowest = max(1.0, self._slowest)

    def mark_available(self, state: capacity.TargetState) -> None:
        """Count a target as one that may have room."""
        self._free.add(state)
        self._backlog.add(state)
        self._seen += 1
        if self._seen >= WEIGH_EVERY:
            self._seen = 0
            self._weigh()

    def find_target(
        self, ask: PlacementRequest, policy: routing.Policy, now: datetime.datetime
    ) -> capacity.TargetState | None:
        """Return the target for a task, or ``None`` where none has room now."""
        candidates = self._free.sample(ask, policy.sample_size, now)
        trusted = [x for x in candidates if not x.health.failed_recently(now)]
        candidates = trusted or candidates
        return policy.choose(candidates) if candidates else None

    def find_with_backlog(
        self, ask: PlacementRequest, now: datetime.datetime
    ) -> capacity.TargetState | None:
        """Return the least filled of a few workers that may take a backlog."""
        candidates = self._backlog.sample(ask, routing.SAMPLE_SIZE, now)
        return min(candidates, key=_processors) if candidates else None

    def ejected(self, now: datetime.datetime) -> int:
        """Return how many targets get nothing at an instant."""
        return sum(1 for state in self.states if state.health.is_ejected(now))

    def may_eject(self, now: datetime.datetime) -> bool:
        """Tell whether the floor allows one more ejection."""
        return health.may_eject(self.ejected(now), len(self.states))

    def can_ever_fit(self, needs: work.Needs) -> bool:
        """Tell whether any target, empty and whole, holds a task."""
        return any(state.spec.capacity.can_fit(needs) for state in self.states)

    def can_fit_all(self, tasks: tuple[work.Task, ...]) -> bool:
        """Tell whether each task can ever be held by some target."""
        return all(self.can_ever_fit(needs) for needs in {x.needs for x in tasks})


WEIGH_EVERY = 500
"""Ends of tasks after which learned speeds are summed up again."""


def _processors(state: capacity.TargetState) -> float:
    return state.processors


def _is_full(state: capacity.TargetState, overcommit: float) -> bool:
    limit = state.health.task_limit
    if limit is not None and state.in_flight >= limit:
        return True
    return state.processors >= state.processor_limit(overcommit)
