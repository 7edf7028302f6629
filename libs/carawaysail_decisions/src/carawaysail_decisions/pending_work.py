"""Pending work: queued and running tasks by service, lane and group of targets.

Services that share targets compete for slots. The slots that long tasks have to leave
free and the expected wait of a new submission depend on the pending work of them all.
"""

import collections
import collections.abc
import typing


class Lane(typing.NamedTuple):
    """The short or the long tasks of one service on one kind of target.

    Parameters
    ----------
    kind : str
        Kind of target: ``runner`` or ``worker``.
    service : str
        Name of the service.
    is_long : bool
        Whether these are the long tasks.
    """

    kind: str
    service: str
    is_long: bool


class _Counts:
    """Pending work of one lane, or of the same lane of all services in a group."""

    __slots__ = ("tasks", "weight", "work_ms")

    def __init__(self) -> None:
        self.tasks = 0
        self.work_ms = 0.0
        self.weight = 0.0


class PendingWork:
    """Counts tasks that have been admitted and have not ended."""

    def __init__(self) -> None:
        self._first_services: collections.abc.Mapping[tuple[str, str], str] = {}
        self._lanes: dict[Lane, _Counts] = collections.defaultdict(_Counts)
        self._groups: dict[Lane, _Counts] = collections.defaultdict(_Counts)

    def set_groups(
        self, representatives: collections.abc.Mapping[tuple[str, str], str]
    ) -> None:
        """Set which services share targets, and sum up their pending work again.

        Parameters
        ----------
        representatives : mapping of (str, str) to str
            First service of the group, by kind of target and service; a service that
            is absent is a group of its own.
        """
        self._first_services = representatives
        self._groups.clear()
        for lane, counts in self._lanes.items():
            group = self._groups[self._group_of(lane)]
            group.tasks += counts.tasks
            group.work_ms += counts.work_ms
            group.weight += counts.weight if counts.tasks else 0.0

    def add_tasks(self, lane: Lane, tasks: int, work_ms: float, weight: float) -> None:
        """Add tasks to a lane, or remove tasks that have ended.

        Parameters
        ----------
        lane : Lane
            Lane of the tasks.
        tasks : int
            Number of tasks; negative to remove them.
        work_ms : float
            Their total expected run time, in milliseconds, with the same sign.
        weight : float
            Weight of the service; replaces the lane's earlier one.
        """
        counts, group = self._lanes[lane], self._groups[self._group_of(lane)]
        was_active = counts.tasks > 0
        counts.tasks += tasks
        before_ms = counts.work_ms
        counts.work_ms = max(0.0, before_ms + work_ms) if counts.tasks else 0.0
        group.tasks += tasks
        group.work_ms = max(0.0, group.work_ms + counts.work_ms - before_ms)
        if was_active:
            group.weight -= counts.weight
        counts.weight = weight
        if counts.tasks > 0:
            group.weight += weight

    def tasks(self, lane: Lane) -> int:
        """Return a lane's pending tasks, over all services that share its targets."""
        return self._groups[self._group_of(lane)].tasks

    def work_ms(self, lane: Lane, weight: float) -> float:
        """Return the work that is served before a new submission, in slot-milliseconds.

        Services take turns by weight within a lane, so another service's work is served
        first only in proportion to this service's own pending work. All short tasks are
        served before a long one.

        Parameters
        ----------
        lane : Lane
            Lane of the submission.
        weight : float
            Weight of its service.
        """
        before_ms = self._lane_work_ms(lane, weight)
        if lane.is_long:
            before_ms += self._groups[
                self._group_of(lane._replace(is_long=False))
            ].work_ms
        return before_ms

    def _lane_work_ms(self, lane: Lane, weight: float) -> float:
        counts, group = self._lanes[lane], self._groups[self._group_of(lane)]
        others = group.weight - (counts.weight if counts.tasks else 0.0)
        fair_ms = counts.work_ms * (1.0 + max(0.0, others) / weight)
        return min(group.work_ms, fair_ms)

    def _group_of(self, lane: Lane) -> Lane:
        first = self._first_services.get((lane.kind, lane.service), lane.service)
        return lane._replace(service=first)


def find_representatives(
    served: collections.abc.Iterable[tuple[str, frozenset[str]]],
) -> dict[tuple[str, str], str]:
    """Return the first service, by name, of each group of services that share targets.

    Services belong to one group if a chain of targets of one kind connects them.

    Parameters
    ----------
    served : iterable of (str, frozenset of str)
        Kind and services of each target.

    Returns
    -------
    dict of (str, str) to str
        First service of the group, by kind of target and service.

    Examples
    --------
    >>> find_representatives([("runner", frozenset("ab")), ("runner", frozenset("bc"))])
    {('runner', 'a'): 'a', ('runner', 'b'): 'a', ('runner', 'c'): 'a'}
    """
    representatives: dict[tuple[str, str], str] = {}
    groups: dict[tuple[str, str], set[str]] = {}
    for kind, services in set(served):
        group = set(services)
        for service in services:
            group |= groups.get((kind, service), set())
        for service in group:
            groups[kind, service] = group
    for (kind, service), group in sorted(groups.items()):
        representatives[kind, service] = min(group)
    return representatives
