"""Health of a target, from the answers it gives: ejection, floor and probing."""

import datetime
import typing

EJECT_AFTER_FAILURES = 3
INITIAL_EJECTION = datetime.timedelta(seconds=1)
MAX_EJECTION = datetime.timedelta(seconds=60)
MAX_EJECTED_SHARE = 0.5
RECENT_FAILURE_WINDOW = datetime.timedelta(seconds=3)
LEAVING_NOTICE_VALIDITY = datetime.timedelta(seconds=60)


class Health:
    """Failures in a row and what follows from them.

    A failure leaves the target one task at a time until it answers well again, so a
    target that fails everything at once, and looks idle, draws no work.
    """

    __slots__ = (
        "ejected_until", "ejection_period", "failed_at", "failures", "task_limit",
    )  # fmt: skip

    def __init__(self) -> None:
        self.failures = 0
        self.task_limit: int | None = None
        self.ejection_period = INITIAL_EJECTION
        self.ejected_until: datetime.datetime | None = None
        self.failed_at: datetime.datetime | None = None

    def record_success(self) -> None:
        """Record a good answer: the limit doubles and then goes."""
        self.failures = 0
        if self.task_limit is None:
            return
        self.ejected_until = None
        self.task_limit *= 2
        if self.task_limit > RECOVERED_LIMIT:
            self.task_limit = None
            self.ejection_period = INITIAL_EJECTION

    def record_failure(self, now: datetime.datetime) -> bool:
        """Record a failure.

        Returns
        -------
        bool
            Whether the target should be ejected, if the floor allows it.
        """
        self.failures += 1
        self.failed_at = now
        self.task_limit = 1
        return self.failures >= EJECT_AFTER_FAILURES and not self.is_ejected(now)

    def failed_recently(self, now: datetime.datetime) -> bool:
        """Tell whether others are preferred, since its last answer was a failure."""
        if not self.failures or self.failed_at is None:
            return False
        return now - self.failed_at < RECENT_FAILURE_WINDOW

    def limit_to_one_task(self) -> None:
        """Leave the target one task at a time, as others have seen it fail."""
        if self.task_limit is None:
            self.task_limit = 1

    def eject(self, now: datetime.datetime) -> datetime.datetime:
        """Send it nothing for a while; each time twice as long.

        Returns
        -------
        datetime.datetime
            When one task may probe it.
        """
        self.ejected_until = now + self.ejection_period
        self.ejection_period = min(self.ejection_period * 2, MAX_EJECTION)
        return self.ejected_until

    def is_ejected(self, now: datetime.datetime) -> bool:
        """Tell whether it gets nothing at an instant."""
        return self.ejected_until is not None and now < self.ejected_until


RECOVERED_LIMIT = 8


def may_eject(ejected: int, total: int) -> bool:
    """Tell whether one more target of a group may be ejected.

    Parameters
    ----------
    ejected : int
        Targets ejected now.
    total : int
        Targets of the group.

    Examples
    --------
    >>> may_eject(2, 6), may_eject(3, 6)
    (True, False)
    """
    return ejected + 1 <= total * MAX_EJECTED_SHARE


class Ejection(typing.NamedTuple):
    """A target that gets nothing until an instant."""

    target_id: str
    until: datetime.datetime
