"""Age of what is known of the workers' states, and when it is too old to start runs.

A worker that drains may be used for a limited time after the store has its report. So
a run is started only while the reports are known to be those that the store had a
shorter time ago. Without contact to the store no report can be young, and the workers
that are known go on being used.
"""

import datetime

from carawaysail_holding import broker_messages, held_worker
from carawaysail_types import clock

MAX_AGE_SHARE = 0.85
"""Share of ``Terms.drain`` up to which reports are young enough; the rest is for the
way of an order to its worker."""

INTERVAL_SHARE = 0.35
"""Share of ``Terms.drain`` between two reads, so that the next one may be slow."""

MIN_INTERVAL = clock.milliseconds(200)
"""Least time between two reads, which count towards the store's limit."""


def read_interval(terms: broker_messages.Terms) -> datetime.timedelta:
    """Return the time from one read of the reports to the next."""
    return max(MIN_INTERVAL, INTERVAL_SHARE * terms.drain)


class ReportAge:
    """Up to when the reports are known, and whether the store answers reads of them."""

    def __init__(self) -> None:
        self._known_at = held_worker.NEVER
        self._overdue_at: datetime.datetime | None = None
        self._failed_at = held_worker.NEVER

    def record_request(self, overdue_at: datetime.datetime) -> None:
        """Record a read that has begun.

        Parameters
        ----------
        overdue_at : datetime.datetime
            Instant from which the store counts as not answering it.
        """
        self._overdue_at = overdue_at

    def record_answer(self, requested_at: datetime.datetime) -> None:
        """Record a linearizable read that has succeeded.

        Parameters
        ----------
        requested_at : datetime.datetime
            When it was sent; the store may have changed since.
        """
        self._overdue_at = None
        self._known_at = max(self._known_at, requested_at)

    def record_failure(self, at: datetime.datetime) -> None:
        """Record a read that has failed or was late at an instant."""
        self._overdue_at = None
        self._failed_at = max(self._failed_at, at)

    def age_ms(self, now: datetime.datetime) -> int | None:
        """Return the age of the reports in milliseconds; ``None`` without any."""
        if self._known_at == held_worker.NEVER:
            return None
        return round(clock.to_milliseconds(now - self._known_at))

    def may_start(
        self,
        terms: broker_messages.Terms,
        now: datetime.datetime,
        handled_until: datetime.datetime,
    ) -> bool:
        """Return whether the reports are young enough, or the store is out of reach.

        Parameters
        ----------
        terms : broker_messages.Terms
            Parameters of the deployment.
        now : datetime.datetime
            Present instant.
        handled_until : datetime.datetime
            Instant up to which all answers of the store have been handled.
        """
        if now - self._known_at < MAX_AGE_SHARE * terms.drain:
            return True
        if self._overdue_at is not None and handled_until > self._overdue_at:
            return True
        return now - self._failed_at < terms.contact
