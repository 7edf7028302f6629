"""How far runs are, by what their worker lists; runs that stand still."""

import datetime

from carawaysail_types import clock, runs

LEAST_STALL = clock.milliseconds(200)
"""A run is not taken to stand still sooner; two listings fall into that."""

STALL_SHARE = 0.1
"""A run whose share of work done does not change for this part of its length stands
still: ten times the step in which workers tell it."""


class RunProgress:
    """Shares of work done, and when each was last seen to change."""

    def __init__(self) -> None:
        self.has_progress = False
        self._seen: dict[runs.Run, tuple[float, datetime.datetime]] = {}

    def record_status(self, listing: runs.WorkerStatus, now: datetime.datetime) -> None:
        """Take note of a listing."""
        seen = {}
        for run, share in zip(listing.running, listing.progress, strict=False):
            known = self._seen.get(run)
            is_same = known is not None and known[0] == share
            seen[run] = known if known is not None and is_same else (share, now)
            self.has_progress = self.has_progress or 0.0 < share < 1.0
        self._seen = seen

    def is_stalled(
        self, run: runs.Run, at_most: datetime.timedelta, now: datetime.datetime
    ) -> bool:
        """Tell whether a run stands still.

        Parameters
        ----------
        run : runs.Run
            The run.
        at_most : datetime.timedelta
            What it takes on its worker at most.
        now : datetime.datetime
            Present instant.
        """
        share, since = self._seen.get(run, (1.0, now))
        return share < 1.0 and now - since >= max(LEAST_STALL, at_most * STALL_SHARE)

    def is_progressing(self, run: runs.Run, now: datetime.datetime) -> bool:
        """Tell whether a run has come further since an earlier listing."""
        share, since = self._seen.get(run, (0.0, now))
        return share > 0.0 and now - since < LEAST_STALL
