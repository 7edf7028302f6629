"""Progress of the runs on a worker, to detect stalled runs."""

import datetime

from carawaysail_types import clock, runs

MIN_STALL_TIME = clock.milliseconds(200)
"""Least time without progress of a stalled run; a worker is polled twice within it."""

STALL_SHARE = 0.1
"""Time without progress of a stalled run, as a share of the upper bound of its run
time: ten times the step of 1% in which workers report progress."""


MIN_MEASURED_TIME = clock.milliseconds(30)
"""Least time from a run's first reported progress to its end for a measurement; some
milliseconds pass between an end and the answer that lists it."""

MIN_MEASURED_SHARE = 0.1
"""Least share of a run's work within that time; progress comes in steps of 1%."""


class RunProgress:
    """Reported progress of each run on a worker, and when it last changed.

    ``has_progress`` is true once the worker has reported a progress between 0 and 1.
    """

    def __init__(self) -> None:
        self.has_progress = False
        # First progress of each run, with the reading of the worker's clock.
        self._first_readings: dict[runs.Run, tuple[float, datetime.timedelta]] = {}
        self._run_times: dict[runs.Run, datetime.timedelta] = {}
        self._last_changes: dict[runs.Run, tuple[float, datetime.datetime]] = {}

    def record_status(self, status: runs.WorkerStatus, now: datetime.datetime) -> None:
        """Record the progress in a worker status; other runs are dropped."""
        last_changes = {}
        for run, share in zip(status.running, status.progress, strict=False):
            known = self._last_changes.get(run)
            is_same = known is not None and known[0] == share
            last_changes[run] = known if known is not None and is_same else (share, now)
            self.has_progress = self.has_progress or 0.0 < share < 1.0
        self._last_changes = last_changes
        self._measure(status)

    def _measure(self, status: runs.WorkerStatus) -> None:
        """Measure the runs that have finished, by the worker's clock."""
        first, self._run_times = self._first_readings, {}
        for finished in status.finished_runs:
            if finished.run in first:
                share, reading = first[finished.run]
                elapsed, remaining = status.clock - reading, 1.0 - share
                if elapsed >= MIN_MEASURED_TIME and remaining >= MIN_MEASURED_SHARE:
                    self._run_times[finished.run] = elapsed / remaining
        self._first_readings = {
            run: first.get(run, (share, status.clock))
            for run, share in zip(status.running, status.progress, strict=False)
        }

    def run_time(self, run: runs.Run) -> datetime.timedelta | None:
        """Return the run time of a run that the last status lists as finished.

        It rests on the progress and the clock of the worker alone, so neither the way
        of messages nor the lateness of this daemon is in it. ``None`` if the worker has
        not listed the run, or not long enough, while it ran.
        """
        return self._run_times.get(run)

    def is_stalled(
        self, run: runs.Run, upper_bound: datetime.timedelta, now: datetime.datetime
    ) -> bool:
        """Return whether a run has made no progress for too long.

        A run whose progress is not reported, or that has all its work done, is not
        stalled; one that stays at 0 is.

        Parameters
        ----------
        run : runs.Run
            The run.
        upper_bound : datetime.timedelta
            Upper bound of its run time on its worker.
        now : datetime.datetime
            Present instant.
        """
        share, since = self._last_changes.get(run, (1.0, now))
        return share < 1.0 and now - since >= max(
            MIN_STALL_TIME, upper_bound * STALL_SHARE
        )

    def is_progressing(self, run: runs.Run, now: datetime.datetime) -> bool:
        """Return whether a run has started and progressed within ``MIN_STALL_TIME``."""
        share, since = self._last_changes.get(run, (0.0, now))
        return share > 0.0 and now - since < MIN_STALL_TIME
