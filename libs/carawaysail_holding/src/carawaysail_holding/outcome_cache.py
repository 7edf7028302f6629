"""Cache of what a broker knows of finished shards, for lost or repeated messages."""

import datetime

from carawaysail_holding import broker_messages
from carawaysail_types import clock, jobs, runs

RETENTION = clock.milliseconds(10_000)
"""How long entries are kept; clients resend a job within a few seconds, or never."""

PRUNE_INTERVAL = clock.milliseconds(1000)


class OutcomeCache:
    """Outcomes of shards, run numbers of tasks, and tasks done without a known job."""

    def __init__(self) -> None:
        self._outcomes: dict[
            broker_messages.ShardId, tuple[jobs.JobOutcome, datetime.datetime]
        ] = {}
        self._run_numbers: dict[runs.Task, tuple[int, datetime.datetime]] = {}
        self._done: dict[runs.Task, datetime.datetime] = {}
        # ``None`` until the next ``prune``.
        self._moved: dict[broker_messages.ShardId, datetime.datetime | None] = {}
        self._pruned_at: datetime.datetime | None = None

    def record_outcome(
        self,
        shard_id: broker_messages.ShardId,
        outcome: jobs.JobOutcome,
        now: datetime.datetime,
    ) -> None:
        """Store the outcome of a shard."""
        self._outcomes[shard_id] = (outcome, now)

    def outcome(
        self, shard_id: broker_messages.ShardId, now: datetime.datetime
    ) -> jobs.JobOutcome | None:
        """Return the outcome of a shard; ``None`` if unknown or expired."""
        entry = self._outcomes.get(shard_id)
        return entry[0] if entry is not None and now - entry[1] < RETENTION else None

    def shard_ids(self) -> list[broker_messages.ShardId]:
        """Return the shards whose outcomes are stored."""
        return list(self._outcomes)

    def record_moved(self, shard_id: broker_messages.ShardId) -> None:
        """Record that a shard with runs was left to the next holder."""
        self._moved[shard_id] = None

    def has_moved(self, shard_id: broker_messages.ShardId) -> bool:
        """Return whether a shard with runs was left to the next holder."""
        return shard_id in self._moved

    def record_run_number(
        self, task: runs.Task, number: int, now: datetime.datetime
    ) -> None:
        """Store a run number of a task; later submissions continue from the highest."""
        self._run_numbers[task] = (max(number, self.last_run_number(task)), now)

    def last_run_number(self, task: runs.Task) -> int:
        """Return the last run number of a task; 0 if it is not stored."""
        return self._run_numbers[task][0] if task in self._run_numbers else 0

    def record_done(self, task: runs.Task, now: datetime.datetime) -> None:
        """Record that a task is done; its job is not known yet."""
        self._done[task] = now

    def is_done(self, task: runs.Task, now: datetime.datetime) -> bool:
        """Return whether a task was recorded as done within ``RETENTION``."""
        return task in self._done and now - self._done[task] < RETENTION

    def prune(self, now: datetime.datetime) -> None:
        """Remove expired entries, at most once per ``PRUNE_INTERVAL``."""
        if self._pruned_at is not None and now - self._pruned_at < PRUNE_INTERVAL:
            return
        self._pruned_at = now
        oldest = now - RETENTION
        self._outcomes = {k: v for k, v in self._outcomes.items() if v[1] > oldest}
        self._run_numbers = {
            k: v for k, v in self._run_numbers.items() if v[1] > oldest
        }
        self._done = {k: v for k, v in self._done.items() if v > oldest}
        moved = {k: v or now for k, v in self._moved.items()}
        self._moved = {k: v for k, v in moved.items() if v > oldest}
