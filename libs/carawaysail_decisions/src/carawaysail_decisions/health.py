"""Health of a target, derived from its answers: ejection, probing and recovery.

A target is ejected after consecutive failures, probed with one task when the ejection
ends, and gets more tasks as it succeeds. At most ``MAX_EJECTED_SHARE`` of a pool is
ejected at a time.
"""

import datetime
import typing

EJECT_AFTER_FAILURES = 3
INITIAL_EJECTION = datetime.timedelta(seconds=1)
MAX_EJECTION = datetime.timedelta(seconds=60)
MAX_EJECTED_SHARE = 0.5
RECENT_FAILURE_WINDOW = datetime.timedelta(seconds=3)
LEAVING_NOTICE_VALIDITY = datetime.timedelta(seconds=60)
"""Time for which a target's own announcement that it is leaving is honoured."""


class Health:
    """Consecutive failures of a target and the resulting limits.

    After a failure the target gets one task at a time until it succeeds again. So a
    target that fails every task at once, and therefore looks idle, attracts no work.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    task_limit : int or None
        Tasks that may be in flight; ``None`` for no limit.
    ejection_period : datetime.timedelta
        Duration of the next ejection.
    ejected_until : datetime.datetime or None
        End of the last ejection, or of a leaving notice; ``None`` if there is none.
    failed_at : datetime.datetime or None
        When the last failure was recorded; ``None`` if there was none.
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
        """Record a success: a task limit doubles until it is removed."""
        self.failures = 0
        if self.task_limit is None:
            return
        self.ejected_until = None
        self.task_limit *= 2
        if self.task_limit > MAX_RECOVERY_TASK_LIMIT:
            self.task_limit = None
            self.ejection_period = INITIAL_EJECTION

    def record_failure(self, now: datetime.datetime) -> bool:
        """Record a failure.

        Returns
        -------
        bool
            Whether the target should be ejected if ``may_eject`` allows it.
        """
        self.failures += 1
        self.failed_at = now
        self.task_limit = 1
        return self.failures >= EJECT_AFTER_FAILURES and not self.is_ejected(now)

    def failed_recently(self, now: datetime.datetime) -> bool:
        """Return whether the last result was a recent failure.

        Other targets are then preferred.
        """
        if not self.failures or self.failed_at is None:
            return False
        return now - self.failed_at < RECENT_FAILURE_WINDOW

    def limit_to_one_task(self) -> None:
        """Limit the target to one task at a time, after failures at other daemons."""
        if self.task_limit is None:
            self.task_limit = 1

    def eject(self, now: datetime.datetime) -> datetime.datetime:
        """Eject the target; each ejection lasts twice as long as the one before.

        Returns
        -------
        datetime.datetime
            End of the ejection, from which on one task may probe the target.
        """
        self.ejected_until = now + self.ejection_period
        self.ejection_period = min(self.ejection_period * 2, MAX_EJECTION)
        return self.ejected_until

    def is_ejected(self, now: datetime.datetime) -> bool:
        """Return whether the target is ejected at an instant."""
        return self.ejected_until is not None and now < self.ejected_until


MAX_RECOVERY_TASK_LIMIT = 8
"""A target whose task limit would exceed this has recovered and has no limit."""


def may_eject(ejected: int, total: int) -> bool:
    """Return whether one more target of a pool may be ejected.

    Parameters
    ----------
    ejected : int
        Targets ejected now.
    total : int
        Targets of the pool.

    Examples
    --------
    >>> may_eject(2, 6), may_eject(3, 6)
    (True, False)
    """
    return ejected + 1 <= total * MAX_EJECTED_SHARE


class Ejection(typing.NamedTuple):
    """A target that gets no tasks until an instant."""

    target_id: str
    until: datetime.datetime
