"""A worker that this daemon holds: its ledger, health, clock and lease."""

import collections
import datetime

from carawaysail_holding import broker_messages, ledger, run_progress, worker_health
from carawaysail_types import clock, runs

BUSY_POLL_WAIT = clock.milliseconds(250)
"""Longest wait of a poll while tasks run: a quarter of the usual lease."""

IDLE_POLL_WAIT = clock.milliseconds(500)
"""Longest wait of a poll while nothing runs; bounds the time to detect a failure."""

CLOCK_DRIFT_FACTOR = 1.02
"""A worker's clock may be 2% slow, and its lease lasts longer by that factor."""

LEASE_MARGIN = clock.milliseconds(60)
"""Added to the lease, since an extension in flight takes time to arrive."""

SHORTEST_LEASE_SHARE = 1 / 3
"""Share of ``longest_unconfirmed`` that a lease lasts at least, whatever the age of a
gateway's word; shorter ones lapse between two polls."""

MISSING_TIMEOUT = clock.milliseconds(3000)
"""A worker counts as gone if the store lacks its report for so long; reports that
expired while the store was down are back within two seconds."""


POLL_TIMEOUT = clock.milliseconds(1200)
"""A poll without any result for so long, beyond its wait, was never sent."""

NEVER = datetime.datetime.min.replace(tzinfo=datetime.UTC)
"""An instant that has certainly passed."""


def longest_unconfirmed(terms: broker_messages.Terms) -> datetime.timedelta:
    """Return for how long a run may last after its client was last known to wait.

    The client may have left just then, and sends its job again after
    ``terms.retransmit``. The worker's clock may be slower than this daemon's, and needs
    ``terms.stop`` to end a run.
    """
    return (terms.retransmit - terms.stop) / CLOCK_DRIFT_FACTOR - LEASE_MARGIN


def longest_lease(
    terms: broker_messages.Terms, word_age: datetime.timedelta
) -> datetime.timedelta:
    """Return the longest lease that is over in time for a gateway's word of some age.

    Parameters
    ----------
    terms : broker_messages.Terms
        Parameters of the deployment.
    word_age : datetime.timedelta
        Time since the gateway last said that it waits.
    """
    unconfirmed = longest_unconfirmed(terms)
    return min(
        terms.lease, max(unconfirmed * SHORTEST_LEASE_SHARE, unconfirmed - word_age)
    )


class HeldWorker:
    """One incarnation of a worker that this daemon holds.

    Parameters
    ----------
    report : runs.WorkerReport
        The worker.
    token : int
        Fencing token of the holder.
    now : datetime.datetime
        Present instant.
    all_task_counts : collections.Counter, optional
        Number of runs of each task that count on any held worker.

    Attributes
    ----------
    held_since : datetime.datetime
        When it was held; an answer to a poll sent earlier is not about its ledger.
    has_restarted : bool
        Whether an earlier incarnation of it was held in the same tenure.
    lease_counts_from : datetime.datetime
        Latest instant at which the lease may have been extended: by an earlier holder
        until the worker's first answer, from then on by this one.
    confirmed_sequence : int
        Highest sequence number whose acknowledgement the worker has certainly received.
    """

    def __init__(
        self,
        report: runs.WorkerReport,
        token: int,
        now: datetime.datetime,
        all_task_counts: "collections.Counter[runs.Task] | None" = None,
    ) -> None:
        self.ledger = ledger.Ledger(report, token, all_task_counts)
        self.health = worker_health.WorkerHealth()
        self.run_progress = run_progress.RunProgress()
        self.is_draining = report.is_draining
        self.missing_since: datetime.datetime | None = None
        self.held_since = now
        self.has_restarted = False
        self.confirmed_sequence = 0
        self._sent_sequence = 0
        self._polled_at = now
        self._poll_wait = clock.milliseconds(0)
        self._awaits_extension = False
        self._clock_reading: tuple[datetime.timedelta, datetime.datetime] | None = None
        self.lease_counts_from = now
        self._granted_until = NEVER
        self._listed_at: datetime.datetime | None = None

    @property
    def report(self) -> runs.WorkerReport:
        """The report under which the worker is held."""
        return self.ledger.report

    def accepts(self, now: datetime.datetime) -> bool:
        """Return whether new runs may be ordered here."""
        return (
            self.ledger.has_status
            and not self.is_draining
            and self.missing_since is None
            and not self.ledger.has_unclaimed()
            and self.health.accepts(now, self.ledger.run_count())
        )

    def is_removable(self, now: datetime.datetime) -> bool:
        """Return whether the worker can be removed from the worker table.

        It can once its report has been missing in the store for ``MISSING_TIMEOUT`` and
        it has no runs left, or has never answered: then its lease cannot be known to
        have expired.
        """
        missing = self.missing_since
        is_overdue = missing is not None and now - missing > MISSING_TIMEOUT
        return is_overdue and not (self.ledger.has_status and self.ledger.run_count())

    def handle_status(
        self,
        status: runs.WorkerStatus,
        requested_at: datetime.datetime,
        now: datetime.datetime,
    ) -> ledger.StatusChanges:
        """Process a worker status and return what it has changed in the ledger.

        Parameters
        ----------
        status : runs.WorkerStatus
            The worker's answer to a poll.
        requested_at : datetime.datetime
            When the poll was sent.
        now : datetime.datetime
            Present instant.
        """
        self.health.is_silent = False
        if self.is_newest_poll(requested_at):
            self.confirmed_sequence = self._sent_sequence
        self.run_progress.record_status(status, now)
        self._clock_reading = (status.clock, now)
        if not self.ledger.has_status:
            self.lease_counts_from = self._listed_at = now
        return self.ledger.apply_status(status, requested_at)

    def extend_lease(
        self,
        lease: datetime.timedelta,
        now: datetime.datetime,
        latest: datetime.datetime | None,
    ) -> datetime.timedelta | None:
        """Record that an order which extends the lease is sent.

        Parameters
        ----------
        lease : datetime.timedelta
            Longest lease to grant.
        now : datetime.datetime
            Present instant.
        latest : datetime.datetime or None
            Instant at which the lease has to end at the latest; ``None`` for no limit.

        Returns
        -------
        datetime.timedelta or None
            End of the lease on the worker's monotonic clock. ``None`` if it would be
            over by now, or until the worker's clock is known from a status; then the
            order must not extend the lease.
        """
        if self._clock_reading is None:
            return None
        worker_clock, read_at = self._clock_reading
        end = now + lease
        if latest is not None:
            end = min(end, latest)
        if end <= now:
            return None
        self.lease_counts_from = now
        self._granted_until = max(self._granted_until, end)
        return worker_clock + (end - read_at)

    def leased_until(self, terms: broker_messages.Terms) -> datetime.datetime:
        """Return until when the lease may last that was granted so far.

        An earlier holder can have extended it until the worker first answered this one.
        """
        if self._listed_at is None:
            return self._granted_until
        return max(self._granted_until, self._listed_at + terms.lease)

    def is_lease_expired(
        self, terms: broker_messages.Terms, now: datetime.datetime
    ) -> bool:
        """Return whether the lease has certainly expired on the worker's clock.

        Before the worker's first answer, an earlier holder may still extend it.
        """
        longest = terms.lease * CLOCK_DRIFT_FACTOR + LEASE_MARGIN
        return self.ledger.has_status and now >= self.lease_counts_from + longest

    def is_newest_poll(self, requested_at: datetime.datetime) -> bool:
        """Return whether no later poll was ordered than the one sent at an instant."""
        return requested_at >= self._polled_at

    def is_poll_overdue(self, now: datetime.datetime) -> bool:
        """Return whether the newest poll has had no result for too long."""
        return now - self._polled_at > self._poll_wait + POLL_TIMEOUT

    def is_extension_due(self) -> bool:
        """Return whether the newest poll could not extend the lease of the worker."""
        return self._awaits_extension and not self.health.is_silent

    def next_poll(
        self,
        lease: datetime.timedelta,
        now: datetime.datetime,
        latest: datetime.datetime | None = None,
    ) -> broker_messages.PollWorker:
        """Return the next poll of the worker.

        The poll of a silent worker does not extend the lease: that would keep its
        runs alive while their state is unknown.

        Parameters
        ----------
        lease : datetime.timedelta
            Longest lease to grant.
        now : datetime.datetime
            Present instant.
        latest : datetime.datetime, optional
            Instant at which the lease has to end at the latest.
        """
        is_busy = bool(self.ledger.run_count())
        lease_end = None
        if not self.health.is_silent:
            lease_end = self.extend_lease(lease, now, latest)
        self._awaits_extension = latest is not None and lease_end is None
        wait = BUSY_POLL_WAIT if is_busy else IDLE_POLL_WAIT
        if not self.ledger.has_status or self.health.is_silent:
            wait = clock.milliseconds(0)
        self._sent_sequence = self.ledger.acknowledged_sequence
        self._polled_at, self._poll_wait = now, wait
        return broker_messages.PollWorker(
            self.report,
            self.ledger.token,
            self.ledger.acknowledged_sequence,
            wait,
            lease_end,
        )
