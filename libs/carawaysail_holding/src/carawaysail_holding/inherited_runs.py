"""Runs that an earlier holder ordered and whose job is not known here yet."""

import datetime

from carawaysail_types import clock, runs

MATCH_TIMEOUT = clock.milliseconds(400)
"""Time after which an inherited run without a shard is stopped; gateways resubmit
their shards to a new holder within two heartbeats."""


class InheritedRuns:
    """Inherited runs that are not matched with a shard yet."""

    def __init__(self) -> None:
        self._runs: dict[runs.Run, tuple[str, datetime.datetime]] = {}

    def add(self, run: runs.Run, worker_id: str, now: datetime.datetime) -> None:
        """Add a run that a worker has reported."""
        self._runs[run] = (worker_id, now)

    def runs_of(self, task: runs.Task) -> list[tuple[runs.Run, str]]:
        """Return the runs of a task, each with the name of its worker."""
        return [(run, x[0]) for run, x in self._runs.items() if run.task == task]

    def drop_run(self, run: runs.Run) -> None:
        """Remove a run, if it is here."""
        self._runs.pop(run, None)

    def drop_worker(self, worker_id: str) -> None:
        """Remove all runs of a worker."""
        self._runs = {k: v for k, v in self._runs.items() if v[0] != worker_id}

    def pop_unmatched(self, now: datetime.datetime) -> list[tuple[runs.Run, str]]:
        """Remove and return the runs that no shard has matched in time.

        Each comes with the name of its worker.
        """
        expired = [
            (run, worker_id)
            for run, (worker_id, recorded_at) in self._runs.items()
            if now - recorded_at > MATCH_TIMEOUT
        ]
        for run, _ in expired:
            del self._runs[run]
        return expired
