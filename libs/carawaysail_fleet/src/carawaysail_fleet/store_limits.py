"""Time limits of calls to the store, from how soon lost answers must be noticed.

A store may leave a call without an answer for good while its connection stays open, so
that only the call's own time limit ends it. A daemon that is in touch with the store
again has to know what has changed after a promised time, ``contact``. Within it, a
watch that was lost has to reach its limit and the next call has to be answered::

    contact >= watch_wait + call_timeout + call_timeout
"""

import datetime
import typing

from carawaysail_types import clock

MAX_CALL_TIMEOUT = clock.milliseconds(1000)
"""A healthy store answers within milliseconds."""

MIN_CALL_TIMEOUT = clock.milliseconds(250)
"""A store that is only slow must still be heard."""


MAX_WATCH_WAIT = clock.milliseconds(15_000)
"""Below the 20 s of history that the store keeps, so that the next watch can resume
from the returned revision."""


class StoreLimits(typing.NamedTuple):
    """Time limits of calls to the store.

    Parameters
    ----------
    call_timeout : datetime.timedelta
        Longest wait for an answer, for that of a watch beyond ``watch_wait``; also the
        longest pause after a failed call.
    watch_wait : datetime.timedelta
        How long the store may hold a watch back for a change.
    """

    call_timeout: datetime.timedelta
    watch_wait: datetime.timedelta


def for_contact(contact: datetime.timedelta) -> StoreLimits:
    """Return the limits for a time in which a lost answer has to be made up for.

    Parameters
    ----------
    contact : datetime.timedelta
        Time in touch with the store after which a daemon knows what it holds.

    Examples
    --------
    >>> limits = for_contact(clock.milliseconds(3000))
    >>> limits.watch_wait.total_seconds(), limits.call_timeout.total_seconds()
    (1.5, 0.75)
    """
    call_timeout = max(MIN_CALL_TIMEOUT, min(MAX_CALL_TIMEOUT, contact / 4))
    watch_wait = max(call_timeout, contact - 2 * call_timeout)
    return StoreLimits(call_timeout, min(MAX_WATCH_WAIT, watch_wait))
