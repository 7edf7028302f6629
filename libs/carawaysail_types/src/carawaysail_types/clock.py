"""The clock interface and the system's own clock.

Instants are aware ``datetime.datetime`` values in UTC. The system clock is anchored
once to the wall clock and then follows the monotonic clock, so a jump of the wall
clock never shortens or lengthens a timeout.
"""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """A source of instants; passed in wherever time matters."""

    def now(self) -> datetime.datetime:
        """Return the present instant, aware, in UTC."""


class SystemClock:
    """The monotonic clock of the process, anchored to the wall clock at creation."""

    def __init__(self) -> None:
        self._anchor = datetime.datetime.now(datetime.UTC)
        self._start = time.monotonic()

    def now(self) -> datetime.datetime:
        """Return the present instant, aware, in UTC."""
        elapsed = datetime.timedelta(seconds=time.monotonic() - self._start)
        return self._anchor + elapsed

    def seconds(self) -> float:
        """Return the seconds since the clock was made; monotonic."""
        return time.monotonic() - self._start

    def sleep(self, duration: datetime.timedelta) -> None:
        """Block the calling thread for a duration.

        Parameters
        ----------
        duration : datetime.timedelta
            Time to block; a negative one returns at once.
        """
        self.sleep_s(duration.total_seconds())

    def sleep_s(self, seconds: float) -> None:
        """Block the calling thread for some seconds; a negative number for none."""
        time.sleep(max(0.0, seconds))


class ManualClock:
    """A clock that moves only when told to; for tests and measurements.

    Parameters
    ----------
    start : datetime.datetime, optional
        First instant, aware.
    """

    def __init__(self, start: datetime.datetime | None = None) -> None:
        self._now = start or datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        """Return the present instant, aware, in UTC."""
        return self._now

    def advance(self, duration: datetime.timedelta) -> datetime.datetime:
        """Move the clock forward.

        Parameters
        ----------
        duration : datetime.timedelta
            How far to move.

        Returns
        -------
        datetime.datetime
            The new instant.
        """
        self._now += duration
        return self._now


def milliseconds(value: float) -> datetime.timedelta:
    """Return a duration given in milliseconds."""
    return datetime.timedelta(milliseconds=value)


def to_milliseconds(duration: datetime.timedelta) -> float:
    """Return the length of a duration in milliseconds."""
    return duration.total_seconds() * 1000.0
