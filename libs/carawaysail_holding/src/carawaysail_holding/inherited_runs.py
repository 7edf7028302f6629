"""Runs that an earlier holder ordered and whose job is not known here yet."""

import collections.abc
import datetime

from carawaysail_types import clock, runs

MATCH_TIMEOUT = clock.milliseconds(400)
"""Time after which an inherited run without a shard is stopped, if not all gateways
have stated their shards before; they resubmit them within two heartbeats."""


class InheritedRuns:
    """Inherited runs that are not matched with a shard yet."""

    def __init__(self) -> None:
        # By run and worker: two workers may have runs of one number.
        self._recorded_at: dict[tuple[runs.Run, str], datetime.datetime] = {}

    def add(self, run: runs.Run, worker_id: str, now: datetime.datetime) -> None:
        """Add a run that a worker has reported."""
        self._recorded_at[run, worker_id] = now

    def runs_of(self, task: runs.Task) -> list[tuple[runs.Run, str]]:
        """Return the runs of a task, each with the name of its worker."""
        return [x for x in self._recorded_at if x[0].task == task]

    def drop_run(self, run: runs.Run, worker_id: str) -> None:
        """Remove a run on a worker, if it is here."""
        self._recorded_at.pop((run, worker_id), None)

    def drop_worker(self, worker_id: str) -> None:
        """Remove all runs of a worker."""
        self._recorded_at = {
            k: v for k, v in self._recorded_at.items() if k[1] != worker_id
        }

    def worker_ids(self) -> set[str]:
        """Return the names of the workers that have such runs."""
        return {worker_id for _, worker_id in self._recorded_at}

    def pop_unmatched(
        self, now: datetime.datetime, unwanted_on: collections.abc.Container[str] = ()
    ) -> list[tuple[runs.Run, str]]:
        """Remove and return the runs that no shard has matched in time.

        Parameters
        ----------
        now : datetime.datetime
            Present instant.
        unwanted_on : container of str
            Names of workers whose runs no gateway will ask for any more.

        Returns
        -------
        list of (runs.Run, str)
            The runs, each with the name of its worker.
        """
        expired = [
            k
            for k, v in self._recorded_at.items()
            if k[1] in unwanted_on or now - v > MATCH_TIMEOUT
        ]
        for key in expired:
            del self._recorded_at[key]
        return expired
