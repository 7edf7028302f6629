"""Pools: the targets that serve one service, and the search for one with capacity."""

import collections.abc
import datetime
import random
import typing

from carawaysail_decisions import capacity, health, reserve, routing
from carawaysail_types import work


class PlacementRequest(typing.NamedTuple):
    """What a task requires of a target.

    Parameters
    ----------
    resources : work.TaskResources
        Required resources.
    is_long : bool
        Whether the task belongs to the long lane.
    long_share : float
        Share of the slots that long tasks may occupy, 0 to 1.
    overcommit : float
        Multiple of a target's processors and memory that may be assigned, at least 1.
    """

    resources: work.TaskResources
    is_long: bool
    long_share: float
    overcommit: float

    def fits(self, state: capacity.TargetState) -> bool:
        """Return whether a target can accept the task now."""
        return state.can_accept(
            self.resources, self.is_long, self.long_share, self.overcommit
        )


class _Candidates:
    """Targets that may have capacity.

    A target that a search finds full is removed until ``add`` is called for it again,
    so that later searches do not check it.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._states: list[capacity.TargetState] = []
        self._position_by_name: dict[str, int] = {}

    def clear(self) -> None:
        self._states = []
        self._position_by_name = {}

    def add(self, state: capacity.TargetState) -> None:
        name = state.spec.target_id
        if name not in self._position_by_name:
            self._position_by_name[name] = len(self._states)
            self._states.append(state)

    def sample(
        self, request: PlacementRequest, count: int, now: datetime.datetime
    ) -> list[capacity.TargetState]:
        """Return up to ``count`` targets that can accept the task, drawn at random."""
        found: list[capacity.TargetState] = []
        position = len(self._states)
        while position > 0 and len(found) < count:
            position -= 1
            self._swap(position, int(self._rng.random() * (position + 1)))
            state = self._states[position]
            if state.health.is_ejected(now):
                continue
            if request.fits(state):
                found.append(state)
            elif _is_full(state, request.overcommit):
                self._remove_at(position)
        return found

    def _swap(self, first: int, second: int) -> None:
        if first == second:
            return
        a, b = self._states[first], self._states[second]
        self._states[first], self._states[second] = b, a
        self._position_by_name[a.spec.target_id] = second
        self._position_by_name[b.spec.target_id] = first

    def _remove_at(self, position: int) -> None:
        self._swap(position, len(self._states) - 1)
        state = self._states.pop()
        del self._position_by_name[state.spec.target_id]


class Pool:
    """Targets of one kind that serve one service.

    A search checks a few targets that may have capacity, whatever the size of the pool.

    Parameters
    ----------
    rng : random.Random
        Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self.states: list[capacity.TargetState] = []
        self.reserve = reserve.ShortTaskReserve()
        self._slots = 0.0
        self._max_slowness = 1.0
        self._releases = 0
        self._names: set[str] = set()
        self._with_free_slots = _Candidates(rng)
        self._with_free_backlog = _Candidates(rng)

    def __contains__(self, state: capacity.TargetState) -> bool:
        """Return whether a target belongs to the pool."""
        return state.spec.target_id in self._names

    def set_targets(
        self, states: collections.abc.Iterable[capacity.TargetState]
    ) -> None:
        """Replace the targets of the pool."""
        self.states = list(states)
        self._names = {state.spec.target_id for state in self.states}
        self._with_free_slots.clear()
        self._with_free_backlog.clear()
        for state in self.states:
            self.mark_available(state)
        self._sum_slots()

    def slots(self) -> float:
        """Return this daemon's slots or processors, weighted by the targets' speed."""
        return self._slots

    def max_slowness(self) -> float:
        """Return the slowness of the slowest target, at least 1."""
        return self._max_slowness

    def _sum_slots(self) -> None:
        usable = [state for state in self.states if state.share.processors > 0.0]
        self._slots = sum(x.share.processors / max(x.slowness, 0.1) for x in usable)
        self._max_slowness = max((x.slowness for x in usable), default=1.0)
        self._max_slowness = max(1.0, self._max_slowness)

    def mark_available(self, state: capacity.TargetState) -> None:
        """Make a target a candidate again, for example when a task there has ended."""
        self._with_free_slots.add(state)
        self._with_free_backlog.add(state)
        self._releases += 1
        if self._releases >= SUM_SLOTS_EVERY_RELEASES:
            self._releases = 0
            self._sum_slots()

    def find_target(
        self, request: PlacementRequest, policy: routing.Policy, now: datetime.datetime
    ) -> capacity.TargetState | None:
        """Return the target for a task, or ``None`` if no target can accept it now.

        Targets that failed recently are chosen only if there are no others.
        """
        candidates = self._with_free_slots.sample(request, policy.sample_size, now)
        preferred = [x for x in candidates if not x.health.failed_recently(now)]
        candidates = preferred or candidates
        return policy.choose(candidates) if candidates else None

    def find_with_backlog(
        self, request: PlacementRequest, now: datetime.datetime
    ) -> capacity.TargetState | None:
        """Return a worker that may queue a task, or ``None`` if there is none.

        Of a few such workers it is the one with the fewest processors assigned.
        """
        candidates = self._with_free_backlog.sample(request, routing.SAMPLE_SIZE, now)
        return min(candidates, key=_processors_in_use) if candidates else None

    def ejected(self, now: datetime.datetime) -> int:
        """Return how many targets are ejected at an instant."""
        return sum(1 for state in self.states if state.health.is_ejected(now))

    def may_eject(self, now: datetime.datetime) -> bool:
        """Return whether one more target may be ejected."""
        return health.may_eject(self.ejected(now), len(self.states))

    def can_ever_fit(self, resources: work.TaskResources) -> bool:
        """Return whether any target, with no load, has the resources for a task."""
        return any(state.spec.capacity.can_fit(resources) for state in self.states)

    def can_fit_all(self, tasks: tuple[work.Task, ...]) -> bool:
        """Return whether each task fits some target that has no load."""
        return all(
            self.can_ever_fit(resources) for resources in {x.resources for x in tasks}
        )


SUM_SLOTS_EVERY_RELEASES = 500
"""Calls of ``mark_available`` after which the slots are summed up again.

The speeds of the targets have changed slightly by then.
"""


def _processors_in_use(state: capacity.TargetState) -> float:
    return state.processors


def _is_full(state: capacity.TargetState, overcommit: float) -> bool:
    limit = state.health.task_limit
    if limit is not None and state.in_flight >= limit:
        return True
    return state.processors >= state.processor_limit(overcommit)
