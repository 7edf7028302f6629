"""Queue policies: the order in which flows of queued tasks are served.

A flow holds the queued tasks of one service and kind of job in one lane. A job is one
entry of its flow however many tasks it has; its tasks are removed one by one.
"""

import collections
import datetime
import heapq
import itertools
import typing

from carawaysail_decisions import run_times
from carawaysail_types import registry, work

AGED_AFTER = datetime.timedelta(seconds=1)
"""Queueing time after which long tasks are no longer served last."""


class QueueEntry:
    """Queued tasks of one submission.

    Parameters
    ----------
    key : str
        Text of the submission identifier.
    tasks : tuple of work.Task
        All tasks of the submission.
    indexes : iterable of int
        Indexes of the tasks that are queued.
    expected_ms : float
        Expected run time of one task, in milliseconds.
    since : datetime.datetime
        When the submission was received.
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
    """Queued tasks of one service and kind of job in one lane.

    Parameters
    ----------
    key : run_times.Key
        Service and kind of job.
    team : str
        Team that the service belongs to.
    target_kind : str
        ``runner`` or ``worker``.
    is_long : bool
        Whether the flow belongs to the long lane.
    weight : float
        Relative share of the slots when there are too few.

    Attributes
    ----------
    deficit_ms : float
        Credit of the deficit round robin, in milliseconds of expected run time.
    queued : int
        Number of queued tasks.
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
        """Return the first entry that has queued tasks, or ``None``."""
        while self.entries and not self.entries[0].indexes:
            self.entries.popleft()
        return self.entries[0] if self.entries else None

    def pop_task(self) -> int:
        """Remove the first task of the first entry and return its index."""
        self.queued -= 1
        entry = self.entries[0]
        self.deficit_ms -= entry.expected_ms
        return entry.indexes.popleft()

    def put_back(self, entry: QueueEntry, index: int) -> None:
        """Add a task at the front and return its credit, undoing ``pop_task``."""
        self.queued += 1
        self.deficit_ms += entry.expected_ms
        entry.indexes.appendleft(index)
        if not self.entries or self.entries[0] is not entry:
            self.entries.appendleft(entry)

    def remove(self, entry: QueueEntry) -> int:
        """Remove the queued tasks of an entry and return how many there were."""
        removed = len(entry.indexes)
        entry.indexes.clear()
        self.queued -= removed
        return removed


class Policy(typing.Protocol):
    """Order in which flows are served."""

    def push(self, flow: Flow) -> None:
        """Add a flow that has queued tasks and is not in the order yet."""

    def next(self, now: datetime.datetime) -> Flow | None:
        """Remove and return the flow to serve next, or ``None`` if there is none."""


policies: registry.Registry[type[Policy]] = registry.Registry("queue policies")


@policies.register("fifo")
class Fifo:
    """First come, first served, by the first entry of each flow."""

    def __init__(self) -> None:
        self._heap: list[tuple[datetime.datetime, int, Flow]] = []
        self._count = itertools.count()

    def push(self, flow: Flow) -> None:
        """Add a flow that has queued tasks."""
        entry = flow.head()
        if entry is not None:
            heapq.heappush(self._heap, (entry.since, next(self._count), flow))

    def next(self, now: datetime.datetime) -> Flow | None:
        """Remove and return the flow whose first entry was received first."""
        return heapq.heappop(self._heap)[2] if self._heap else None


@policies.register("fair_lanes")
class FairLanes:
    """Short lane first, deficit round robin within a lane, ageing of long tasks.

    Placement bounds the share of each target that long tasks may occupy, so that short
    tasks find slots. Once the first entry of the long lane has been queued for
    longer than ``AGED_AFTER``, the lanes are served alternately.
    """

    def __init__(self) -> None:
        self._short: collections.deque[Flow] = collections.deque()
        self._long: collections.deque[Flow] = collections.deque()
        self._is_long_turn = False

    def push(self, flow: Flow) -> None:
        """Add a flow; one with credit left continues its turn."""
        lane = self._long if flow.is_long else self._short
        if flow.deficit_ms > 0.0:
            lane.appendleft(flow)
        else:
            lane.append(flow)

    def next(self, now: datetime.datetime) -> Flow | None:
        """Remove and return the flow to serve next, or ``None`` if there is none."""
        lane = self._short or self._long
        if self._short and self._long and self._has_aged(self._long[0], now):
            self._is_long_turn = not self._is_long_turn
            lane = self._long if self._is_long_turn else self._short
        if not lane:
            return None
        return self._next_in_lane(lane)

    def _next_in_lane(self, lane: collections.deque[Flow]) -> Flow:
        """Remove and return the first flow with credit; those before it get a quantum.

        If no flow has credit after one round, all get at once the rounds of credit that
        the first one to be served needs: a long task may need thousands of rounds.
        """
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
        return self._next_in_lane(lane)

    def _has_aged(self, flow: Flow, now: datetime.datetime) -> bool:
        entry = flow.head()
        return entry is not None and now - entry.since > AGED_AFTER


QUANTUM_MS = 100.0
"""Credit that a flow of weight 1 gets in each round of the deficit round robin."""
