"""Timers of the dispatcher: deadlines, delayed tasks and ends of ejections."""

import collections.abc
import datetime
import heapq
import itertools
import typing

from carawaysail_decisions import submission_progress


class DelayedTask(typing.NamedTuple):
    """A task that waits until it may be placed again.

    Parameters
    ----------
    item : progress.Progress
        Its submission.
    position : int
        Its position in the submission.
    """

    item: submission_progress.SubmissionProgress
    position: int


class Timers:
    """What has to happen at an instant."""

    def __init__(self) -> None:
        self._order = itertools.count()
        self._due: list[tuple[datetime.datetime, int, str]] = []
        self._delayed: list[tuple[datetime.datetime, int, DelayedTask]] = []
        self._ejected: list[datetime.datetime] = []
        self._asked: datetime.datetime | None = None

    def add_deadline(self, at: datetime.datetime, key: str) -> None:
        """Remember when a submission is due."""
        heapq.heappush(self._due, (at, next(self._order), key))

    def add_delayed(self, at: datetime.datetime, delayed: DelayedTask) -> None:
        """Remember when a task may be placed again."""
        heapq.heappush(self._delayed, (at, next(self._order), delayed))

    def add_ejection(self, until: datetime.datetime) -> None:
        """Remember when a target may be probed."""
        heapq.heappush(self._ejected, until)

    def pop_expired(self, now: datetime.datetime) -> list[str]:
        """Return the submissions whose deadline has come."""
        found = []
        while self._due and self._due[0][0] <= now:
            found.append(heapq.heappop(self._due)[2])
        return found

    def pop_delayed(self, now: datetime.datetime) -> list[DelayedTask]:
        """Return the tasks that may be placed again."""
        found = []
        while self._delayed and self._delayed[0][0] <= now:
            found.append(heapq.heappop(self._delayed)[2])
        return found

    def pop_ejections(self, now: datetime.datetime) -> int:
        """Return how many targets may be probed now."""
        count = 0
        while self._ejected and self._ejected[0] <= now:
            heapq.heappop(self._ejected)
            count += 1
        return count

    def record_wake_up(self) -> None:
        """Count the wake-up that was asked for as come."""
        self._asked = None

    def next_wake(
        self, under_way: collections.abc.Container[str], has_waiting: bool
    ) -> datetime.datetime | None:
        """Return when to wake, if that is earlier than was asked for already.

        Parameters
        ----------
        under_way : container of str
            Submissions that have not ended; deadlines of others are dropped.
        has_waiting : bool
            Whether anything waits for an ejected target.
        """
        while self._due and self._due[0][2] not in under_way:
            heapq.heappop(self._due)
        heads = []
        if self._due:
            heads.append(self._due[0][0])
        if self._delayed:
            heads.append(self._delayed[0][0])
        if self._ejected and has_waiting:
            heads.append(self._ejected[0])
        if not heads:
            return None
        first = min(heads)
        if self._asked is not None and self._asked <= first:
            return None
        self._asked = first
        return first
