"""Queue policies: which flow of waiting work is next.

A flow is the waiting work of one service and kind in one lane. A job waits as one
entry however many tasks it has; its tasks are taken one by one.
"""

import collections
import datetime
import heapq
import itertools
import typing

from carawaysail_decisions import run_times
from carawaysail_types import registry, work

AGED_AFTER = datetime.timedelta(seconds=1)


class QueueEntry:
    """Tasks of one submission that wait.

    Parameters
    ----------
    key : str
        Text of the submission identifier.
    tasks : tuple of work.Task
        All tasks of the submission.
    indexes : iterable of int
        Which of them wait.
    expected_ms : float
        Expected run time of one task.
    since : datetime.datetime
        When it came.
    """

    __slots__ = ("expected_ms", "indexes", "key", "since", "tasks")

    def __init__(
        self,
        key: str,
        tasks: tuple[work.Task, ...],
        indexes: typing.Iterable[int],
        expected_ms: float,
        since: datetime.datetime,
    ) -> None:
        self.key = key
        self.tasks = tasks
        self.indexes = collections.deque(indexes)
        self.expected_ms = expected_ms
        self.since = since


class Flow:
    """QueueEntry work of one service and kind in one lane.

    Parameters
    ----------
    key : runtimes.Key
        Service and kind.
    team : str
        The team that the service belongs to.
    target_kind : str
        ``runner`` or ``worker``.
    is_long : bool
        Lane.
    weight : float
        Share when there are too few slots.
    """

    __slots__ = (
        "deficit_ms", "entries", "is_long", "key", "queued", "target_kind", "team",
        "weight",
    )  # fmt: skip

    def __init__(
        self,
        key: run_times.Key,
        team: str,
        target_kind: str,
        is_long: bool,
        weight: float,
    ) -> None:
        self.key = key
        self.team = team
        self.target_kind = target_kind
        self.is_long = is_long
        self.weight = weight
        self.deficit_ms = 0.0
        self.queued = 0
        self.entries: collections.deque[QueueEntry] = collections.deque()

    def push(self, entry: QueueEntry) -> None:
        """Add an entry at the end."""
        self.entries.append(entry)
        self.queued += len(entry.indexes)

    def head(self) -> QueueEntry | None:
        """Return the first entry that still has tasks, or ``None``."""
        while self.entries and not self.entries[0].indexes:
            self.entries.popleft()
        return self.entries[0] if self.entries else None

    def take(self) -> int:
        """Remove the first task of the first entry and return its index."""
        self.queued -= 1
        entry = self.entries[0]
        self.deficit_ms -= entry.expected_ms
        return entry.indexes.popleft()

    def put_back(self, entry: QueueEntry, index: int) -> None:
        """Return a task to the front, as if it had not been taken."""
        self.queued += 1
        self.deficit_ms += entry.expected_ms
        entry.indexes.appendleft(index)
        if not self.entries or self.entries[0] is not entry:
            self.entries.appendleft(entry)

    def remove(self, entry: QueueEntry) -> int:
        """Remove what is left of an entry and return how many tasks that was."""
        dropped = len(entry.indexes)
        entry.indexes.clear()
        self.queued -= dropped
        return dropped


class Policy(typing.Protocol):
    """Orders flows."""

    def push(self, flow: Flow) -> None:
        """Add a flow that has work and is not in the order yet."""

    def next(self, now: datetime.datetime) -> Flow | None:
        """Remove and return the flow to serve next, or ``None``."""


policies: registry.Registry[type[Policy]] = registry.Registry("queue policies")


@policies.register("fifo")
class Fifo:
    """The flow whose first entry came first."""

    def __init__(self) -> None:
        self._heap: list[tuple[datetime.datetime, int, Flow]] = []
        self._count = itertools.count()

    def push(self, flow: Flow) -> None:
        """Add a flow that has work."""
        entry = flow.head()
        if entry is not None:
            heapq.heappush(self._heap, (entry.since, next(self._count), flow))

    def next(self, now: datetime.datetime) -> Flow | None:
        """Remove and return the flow whose first entry came first."""
        return heapq.heappop(self._heap)[2] if self._heap else None


@policies.register("fair_lanes")
class FairLanes:
    """Short work first, deficit round robin within a lane, long work ageing.

    The slots that long work may hold are bounded at each target, so short work finds
    one; a long entry that has waited for ``AGED_AFTER`` takes turns with short work.
    """

    def __init__(self) -> None:
        self._short: collections.deque[Flow] = collections.deque()
        self._long: collections.deque[Flow] = collections.deque()
        self._long_turn = False

    def push(self, flow: Flow) -> None:
        """Add a flow that has work; one with credit left goes on with its turn."""
        lane = self._long if flow.is_long else self._short
        if flow.deficit_ms > 0.0:
            lane.appendleft(flow)
        else:
            lane.append(flow)

    def next(self, now: datetime.datetime) -> Flow | None:
        """Remove and return the flow to serve next."""
        lane = self._short or self._long
        if self._short and self._long and self._has_aged(self._long[0], now):
            self._long_turn = not self._long_turn
            lane = self._long if self._long_turn else self._short
        if not lane:
            return None
        return self._turn(lane)

    def _turn(self, lane: collections.deque[Flow]) -> Flow:
        for _ in range(len(lane)):
            if lane[0].deficit_ms > 0.0:
                return lane.popleft()
            lane[0].deficit_ms += QUANTUM_MS * lane[0].weight
            if lane[0].deficit_ms > 0.0:
                return lane.popleft()
            lane.rotate(-1)
        rounds = min(-flow.deficit_ms / (QUANTUM_MS * flow.weight) for flow in lane)
        for flow in lane:
            flow.deficit_ms += (rounds + 1.0) * QUANTUM_MS * flow.weight
        return self._turn(lane)

    def _has_aged(self, flow: Flow, now: datetime.datetime) -> bool:
        entry = flow.head()
        return entry is not None and now - entry.since > AGED_AFTER


QUANTUM_MS = 100.0
