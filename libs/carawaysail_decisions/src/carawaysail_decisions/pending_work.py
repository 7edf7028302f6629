"""Work ahead: what is queued or running, by service, lane and group of targets.

Services that share targets stand in each other's way, so the slots that long work has
to leave free, and the time that a new submission will wait, follow from all of them.
"""

import collections
import collections.abc
import typing


class Lane(typing.NamedTuple):
    """The work of one service on one kind of target, short or long.

    Parameters
    ----------
    kind : str
        ``runner`` or ``worker``.
    service : str
        Name of the service.
    is_long : bool
        Whether it is the long work.
    """

    kind: str
    service: str
    is_long: bool


class _Part:
    """Counts of one lane, or of all lanes of a group that are alike."""

    __slots__ = ("tasks", "weight", "work_ms")

    def __init__(self) -> None:
        self.tasks = 0
        self.work_ms = 0.0
        self.weight = 0.0


class PendingWork:
    """Counts tasks that came and have not ended."""

    def __init__(self) -> None:
        self._leaders: collections.abc.Mapping[tuple[str, str], str] = {}
        self._lanes: dict[Lane, _Part] = collections.defaultdict(_Part)
        self._groups: dict[Lane, _Part] = collections.defaultdict(_Part)

    def set_groups(
        self, leaders: collections.abc.Mapping[tuple[str, str], str]
    ) -> None:
        """Take over which services share targets.

        Parameters
        ----------
        leaders : mapping of (str, str) to str
            For a kind of target and a service, the first service of its group.
        """
        self._leaders = leaders
        self._groups.clear()
        for lane, part in self._lanes.items():
            group = self._groups[self._group(lane)]
            group.tasks += part.tasks
            group.work_ms += part.work_ms
            group.weight += part.weight if part.tasks else 0.0

    def add_tasks(self, lane: Lane, tasks: int, work_ms: float, weight: float) -> None:
        """Count tasks that came (positive) or ended (negative).

        Parameters
        ----------
        lane : Lane
            Whose they are.
        tasks : int
            How many.
        work_ms : float
            Their expected run time, in milliseconds, with the same sign.
        weight : float
            Share of the service when there are too few slots.
        """
        part, group = self._lanes[lane], self._groups[self._group(lane)]
        was_active = part.tasks > 0
        part.tasks += tasks
        before_ms = part.work_ms
        part.work_ms = max(0.0, before_ms + work_ms) if part.tasks else 0.0
        group.tasks += tasks
        group.work_ms = max(0.0, group.work_ms + part.work_ms - before_ms)
        if was_active:
            group.weight -= part.weight
        part.weight = weight
        if part.tasks > 0:
            group.weight += weight

    def tasks(self, lane: Lane) -> int:
        """Return the tasks of a lane, over all services that share its targets."""
        return self._groups[self._group(lane)].tasks

    def work_ms(self, lane: Lane, weight: float) -> float:
        """Return the work that will be served before a new submission of a lane.

        Within a lane services take turns by weight, so another service's work is in
        front only as far as this service's own work gives it turns. Long work also
        has all short work in front.

        Parameters
        ----------
        lane : Lane
            The submission's.
        weight : float
            Share of its service.
        """
        found = self._turns_ms(lane, weight)
        if lane.is_long:
            found += self._groups[self._group(lane._replace(is_long=False))].work_ms
        return found

    def _turns_ms(self, lane: Lane, weight: float) -> float:
        part, group = self._lanes[lane], self._groups[self._group(lane)]
        others = group.weight - (part.weight if part.tasks else 0.0)
        turns_ms = part.work_ms * (1.0 + max(0.0, others) / weight)
        return min(group.work_ms, turns_ms)

    def _group(self, lane: Lane) -> Lane:
        leader = self._leaders.get((lane.kind, lane.service), lane.service)
        return lane._replace(service=leader)


def find_representatives(
    served: collections.abc.Iterable[tuple[str, frozenset[str]]],
) -> dict[tuple[str, str], str]:
    """Return the first service of each group of services that share targets.

    Parameters
    ----------
    served : iterable of (str, frozenset of str)
        Kind and services of each target.

    Examples
    --------
    >>> find_representatives([("runner", frozenset("ab")), ("runner", frozenset("bc"))])
    {('runner', 'a'): 'a', ('runner', 'b'): 'a', ('runner', 'c'): 'a'}
    """
    leaders: dict[tuple[str, str], str] = {}
    members: dict[tuple[str, str], set[str]] = {}
    for kind, services in set(served):
        joined = set(services)
        for service in services:
            joined |= members.get((kind, service), set())
        for service in joined:
            members[kind, service] = joined
    for (kind, service), joined in sorted(members.items()):
        leaders[kind, service] = min(joined)
    return leaders
