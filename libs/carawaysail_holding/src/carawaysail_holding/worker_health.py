"""Which workers may get new work: silence, failures, draining."""

import datetime

from carawaysail_types import clock

FAILURES_TO_QUARANTINE = 2
"""Failed runs in a row, of different jobs, after which a worker rests."""

INITIAL_QUARANTINE = clock.milliseconds(1000)
"""Before a worker gets one task again; doubles up to ``LONGEST_QUARANTINE``."""

MAX_QUARANTINE = clock.milliseconds(8000)


class WorkerHealth:
    """How far one life of a worker is trusted."""

    def __init__(self) -> None:
        self.is_silent = False
        self._failed_jobs: set[str] = set()
        self._rest = INITIAL_QUARANTINE
        self._rests_until: datetime.datetime | None = None
        self._on_trial = False

    def record_success(self) -> None:
        """Take note of a run that has ended done."""
        self._failed_jobs.clear()
        self._rest = INITIAL_QUARANTINE
        self._rests_until = None
        self._on_trial = False

    def record_failure(self, job_id: str, now: datetime.datetime) -> bool:
        """Take note of a failed run; tell whether the worker rests from now on."""
        self._failed_jobs.add(job_id)
        if len(self._failed_jobs) < FAILURES_TO_QUARANTINE and not self._on_trial:
            return False
        return self.quarantine(now)

    def quarantine(self, now: datetime.datetime) -> bool:
        """Let the worker rest; tell whether it begins to rest now."""
        if self._rests_until is not None and now < self._rests_until:
            return False
        self._rests_until = now + self._rest
        self._rest = min(MAX_QUARANTINE, self._rest * 2)
        self._on_trial = True
        return True

    def accepts(self, now: datetime.datetime, running: int) -> bool:
        """Tell whether the worker may get one more task.

        Parameters
        ----------
        now : datetime.datetime
            Present instant.
        running : int
            Runs that it has; a worker on trial gets one at a time.
        """
        if self.is_silent:
            return False
        if self._rests_until is not None and now < self._rests_until:
            return False
        return not (self._on_trial and running)
