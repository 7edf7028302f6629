"""Timers of the dispatcher: deadlines, delayed tasks and ends of ejections."""

import collections.abc
import datetime
import heapq
import itertools
import typing

from carawaysail_decisions import submission_progress


class DelayedTask(typing.NamedTuple):
    """A task that is placed again after a backoff.

    Parameters
    ----------
    progress : submission_progress.Progress
        The task's submission.
    position : int
        Index of the task in the submission.
    """

    progress: submission_progress.Progress
    position: int


class Timers:
    """Instants at which the dispatcher has to act."""

    def __init__(self) -> None:
        self._order = itertools.count()
        self._deadlines: list[tuple[datetime.datetime, int, str]] = []
        self._delayed: list[tuple[datetime.datetime, int, DelayedTask]] = []
        self._ejection_ends: list[datetime.datetime] = []
        self._pending_at: datetime.datetime | None = None

    def add_deadline(self, at: datetime.datetime, key: str) -> None:
        """Add the deadline of a submission, given by its identifier as text."""
        heapq.heappush(self._deadlines, (at, next(self._order), key))

    def add_delayed(self, at: datetime.datetime, delayed: DelayedTask) -> None:
        """Add a task that may be placed again from an instant on."""
        heapq.heappush(self._delayed, (at, next(self._order), delayed))

    def add_ejection(self, until: datetime.datetime) -> None:
        """Add the instant at which a target's ejection ends."""
        heapq.heappush(self._ejection_ends, until)

    def pop_expired(self, now: datetime.datetime) -> list[str]:
        """Remove and return the submissions whose deadline has passed."""
        found = []
        while self._deadlines and self._deadlines[0][0] <= now:
            found.append(heapq.heappop(self._deadlines)[2])
        return found

    def pop_delayed(self, now: datetime.datetime) -> list[DelayedTask]:
        """Remove and return the tasks that may be placed again."""
        found = []
        while self._delayed and self._delayed[0][0] <= now:
            found.append(heapq.heappop(self._delayed)[2])
        return found

    def pop_ejections(self, now: datetime.datetime) -> int:
        """Remove the ejections that have ended and return how many there were."""
        count = 0
        while self._ejection_ends and self._ejection_ends[0] <= now:
            heapq.heappop(self._ejection_ends)
            count += 1
        return count

    def record_timer_fired(self) -> None:
        """Record that the requested timer has fired, so that none is pending."""
        self._pending_at = None

    def next_timer(
        self, unfinished: collections.abc.Container[str], has_queued: bool
    ) -> datetime.datetime | None:
        """Return the instant of the next timer to request.

        Parameters
        ----------
        unfinished : container of str
            Submissions in progress; deadlines of others are dropped.
        has_queued : bool
            Whether tasks are queued; without any, ends of ejections need no timer.

        Returns
        -------
        datetime.datetime or None
            ``None`` if none is needed, or one that is no later is pending already.
        """
        while self._deadlines and self._deadlines[0][2] not in unfinished:
            heapq.heappop(self._deadlines)
        candidates = []
        if self._deadlines:
            candidates.append(self._deadlines[0][0])
        if self._delayed:
            candidates.append(self._delayed[0][0])
        if self._ejection_ends and has_queued:
            candidates.append(self._ejection_ends[0])
        if not candidates:
            return None
        first = min(candidates)
        if self._pending_at is not None and self._pending_at <= first:
            return None
        self._pending_at = first
        return first
