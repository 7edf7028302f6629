"""Runs that an earlier holder ordered and whose job has not been seen here yet."""

import datetime

from carawaysail_types import clock, runs

MATCH_TIMEOUT = clock.milliseconds(400)
"""Daemons resubmit what they wait for within two heartbeats of a new holder."""


class InheritedRuns:
    """Runs without a job, by task."""

    def __init__(self) -> None:
        self._runs: dict[runs.Run, tuple[str, datetime.datetime]] = {}

    def add(self, run: runs.Run, worker_id: str, now: datetime.datetime) -> None:
        """Remember a run."""
        self._runs[run] = (worker_id, now)

    def runs_of(self, task: runs.Task) -> list[tuple[runs.Run, str]]:
        """Return the runs of a task with their workers."""
        return [(run, x[0]) for run, x in self._runs.items() if run.task == task]

    def drop_run(self, run: runs.Run) -> None:
        """Forget a run."""
        self._runs.pop(run, None)

    def drop_worker(self, worker_id: str) -> None:
        """Forget all runs of a worker."""
        self._runs = {k: v for k, v in self._runs.items() if v[0] != worker_id}

    def pop_unmatched(self, now: datetime.datetime) -> list[tuple[runs.Run, str]]:
        """Return, and forget, the runs that nobody has claimed in time."""
        found = [
            (run, worker_id)
            for run, (worker_id, at) in self._runs.items()
            if now - at > MATCH_TIMEOUT
        ]
        for run, _ in found:
            del self._runs[run]
        return found
