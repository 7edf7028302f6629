"""A worker in the hands of this daemon: ledger, standing, clock and lease."""

import datetime

from carawaysail_holding import broker_messages, ledger, run_progress, worker_health
from carawaysail_types import clock, runs

BUSY_WAIT = clock.milliseconds(250)
"""Longest wait of a listing while tasks run: a quarter of the usual lease."""

IDLE_WAIT = clock.milliseconds(500)
"""Longest wait of a listing while nothing runs; bounds how late a loss is seen."""

CLOCK_DRIFT = 1.02
"""A worker's clock may be 2% slow, so a lease may last that much longer."""

LAPSE_MARGIN = clock.milliseconds(60)
"""Time for an extension that is under way to arrive, beyond the lease."""


MISSING_GRACE = clock.milliseconds(3000)
"""A worker missing in the store for so long is taken as gone; lapsed entries of a
store that was away come back within two seconds."""


class HeldWorker:
    """One life of a worker that only this daemon gives orders to.

    Parameters
    ----------
    report : runs.WorkerReport
        The worker.
    token : int
        Fencing token.
    now : datetime.datetime
        Present instant.
    """

    def __init__(
        self, report: runs.WorkerReport, token: int, now: datetime.datetime
    ) -> None:
        self.ledger = ledger.Ledger(report, token)
        self.health = worker_health.WorkerHealth()
        self.run_progress = run_progress.RunProgress()
        self.is_draining = report.is_draining
        self.missing_since: datetime.datetime | None = None
        self._clock_read: tuple[datetime.timedelta, datetime.datetime] | None = None
        self._extended = now

    @property
    def report(self) -> runs.WorkerReport:
        """The worker's report."""
        return self.ledger.report

    def accepts(self, now: datetime.datetime) -> bool:
        """Tell whether new runs may be ordered here."""
        return (
            self.ledger.has_status
            and not self.is_draining
            and self.missing_since is None
            and self.health.accepts(now, len(self.ledger.entries()))
        )

    def is_gone(self, now: datetime.datetime) -> bool:
        """Tell whether the worker has left the store and has nothing to end."""
        missing = self.missing_since
        is_overdue = missing is not None and now - missing > MISSING_GRACE
        return is_overdue and not self.ledger.entries()

    def handle_status(
        self,
        listing: runs.WorkerStatus,
        asked: datetime.datetime,
        now: datetime.datetime,
    ) -> ledger.StatusChanges:
        """Take note of a listing."""
        self.health.is_silent = False
        self.run_progress.record_status(listing, now)
        self._clock_read = (listing.clock, now)
        return self.ledger.apply_status(listing, asked)

    def lease_end(
        self, terms: broker_messages.Terms, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return the end of a lease that begins now, on the worker's clock."""
        if self._clock_read is None:
            return None
        read, at = self._clock_read
        return read + (now - at) + terms.lease

    def record_lease_extension(self, now: datetime.datetime) -> None:
        """Take note that an order which extends the lease is sent."""
        self._extended = now

    def is_lease_expired(
        self, terms: broker_messages.Terms, now: datetime.datetime
    ) -> bool:
        """Tell whether the lease has run out for certain."""
        return now >= self._extended + terms.lease * CLOCK_DRIFT + LAPSE_MARGIN

    def next_poll(
        self, terms: broker_messages.Terms, now: datetime.datetime
    ) -> broker_messages.PollWorker:
        """Return the next request for a listing.

        A silent worker is only asked: extending its lease would keep its runs alive
        while nothing is known of them.
        """
        is_busy = bool(self.ledger.entries())
        lease_end = None if self.health.is_silent else self.lease_end(terms, now)
        if lease_end is not None:
            self.record_lease_extension(now)
        wait = BUSY_WAIT if is_busy else IDLE_WAIT
        if not self.ledger.has_status or self.health.is_silent:
            wait = clock.milliseconds(0)
        return broker_messages.PollWorker(
            self.report, self.ledger.token, self.ledger.acknowledged, wait, lease_end
        )
