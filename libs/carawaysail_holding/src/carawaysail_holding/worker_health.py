"""Health of a worker: whether silence or failed runs keep new runs away from it."""

import datetime

from carawaysail_types import clock

FAILURES_TO_QUARANTINE = 2
"""Failed runs in a row, of different jobs, after which a worker is quarantined."""

INITIAL_QUARANTINE = clock.milliseconds(1000)
"""Time before a worker gets one run again; doubles up to ``MAX_QUARANTINE``."""

MAX_QUARANTINE = clock.milliseconds(8000)


class WorkerHealth:
    """Health of one incarnation of a worker.

    After a quarantine the worker gets one run at a time until a run succeeds; one
    failure in that time starts the next quarantine.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self._failed_jobs: set[str] = set()
        self._quarantine_duration = INITIAL_QUARANTINE
        self._quarantined_until: datetime.datetime | None = None
        self._is_limited_to_one_run = False

    def record_success(self) -> None:
        """Record a run that succeeded; this ends all restrictions."""
        self._failed_jobs.clear()
        self._quarantine_duration = INITIAL_QUARANTINE
        self._quarantined_until = None
        self._is_limited_to_one_run = False

    def record_failure(self, job_id: str, now: datetime.datetime) -> bool:
        """Record a failed run; return whether a quarantine starts now."""
        self._failed_jobs.add(job_id)
        if (
            len(self._failed_jobs) < FAILURES_TO_QUARANTINE
            and not self._is_limited_to_one_run
        ):
            return False
        return self.quarantine(now)

    def quarantine(self, now: datetime.datetime) -> bool:
        """Quarantine the worker; return whether the quarantine starts now.

        ``False`` means that it is quarantined already.
        """
        if self._quarantined_until is not None and now < self._quarantined_until:
            return False
        self._quarantined_until = now + self._quarantine_duration
        self._quarantine_duration = min(MAX_QUARANTINE, self._quarantine_duration * 2)
        self._is_limited_to_one_run = True
        return True

    def accepts(self, now: datetime.datetime, run_count: int) -> bool:
        """Return whether the worker may get one more run.

        Parameters
        ----------
        now : datetime.datetime
            Present instant.
        run_count : int
            Number of runs that it has; after a quarantine it may get only one.
        """
        if self.is_silent:
            return False
        if self._quarantined_until is not None and now < self._quarantined_until:
            return False
        return not (self._is_limited_to_one_run and run_count)
