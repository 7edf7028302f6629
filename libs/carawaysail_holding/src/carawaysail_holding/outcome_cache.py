"""What a broker remembers of jobs that are over, for messages that were lost."""

import datetime

from carawaysail_holding import broker_messages
from carawaysail_types import clock, jobs, runs

RETENTION = clock.milliseconds(10_000)
"""Clients send a job again within a few seconds, or never."""

PRUNE_INTERVAL = clock.milliseconds(1000)


class OutcomeCache:
    """Outcomes, run numbers and found ends, each kept for ``KEPT``."""

    def __init__(self) -> None:
        self._outcomes: dict[
            broker_messages.ShardId, tuple[jobs.JobOutcome, datetime.datetime]
        ] = {}
        self._numbers: dict[runs.Task, tuple[int, datetime.datetime]] = {}
        self._done: dict[runs.Task, datetime.datetime] = {}
        self._pruned: datetime.datetime | None = None

    def record_outcome(
        self,
        part: broker_messages.ShardId,
        outcome: jobs.JobOutcome,
        now: datetime.datetime,
    ) -> None:
        """Remember how a part ended."""
        self._outcomes[part] = (outcome, now)

    def outcome(
        self, part: broker_messages.ShardId, now: datetime.datetime
    ) -> jobs.JobOutcome | None:
        """Return how a part ended, if that is remembered."""
        found = self._outcomes.get(part)
        return found[0] if found is not None and now - found[1] < RETENTION else None

    def record_run_number(
        self, task: runs.Task, number: int, now: datetime.datetime
    ) -> None:
        """Remember the last run number of a task."""
        self._numbers[task] = (number, now)

    def last_run_number(self, task: runs.Task) -> int:
        """Return the last run number of a task that is remembered, or 0."""
        return self._numbers[task][0] if task in self._numbers else 0

    def record_done(self, task: runs.Task, now: datetime.datetime) -> None:
        """Remember that a task is done whose job is not known yet."""
        self._done[task] = now

    def is_done(self, task: runs.Task, now: datetime.datetime) -> bool:
        """Tell whether a task was found done."""
        return task in self._done and now - self._done[task] < RETENTION

    def prune(self, now: datetime.datetime) -> None:
        """Forget what is old, at most once a second."""
        if self._pruned is not None and now - self._pruned < PRUNE_INTERVAL:
            return
        self._pruned = now
        oldest = now - RETENTION
        self._outcomes = {k: v for k, v in self._outcomes.items() if v[1] > oldest}
        self._numbers = {k: v for k, v in self._numbers.items() if v[1] > oldest}
        self._done = {k: v for k, v in self._done.items() if v > oldest}
