"""The clock interface, the system clock, and a manual clock for tests.

Instants are timezone-aware ``datetime.datetime`` values in UTC. The system clock reads
the wall clock once and then follows the time since the boot of the VM, so a jump of the
wall clock never shortens or lengthens a timeout.
"""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Source of the present instant; passed to whatever depends on time."""

    def now(self) -> datetime.datetime:
        """Return the present instant, timezone-aware, in UTC."""


_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""A clock that never jumps back. Where there is one that does, it counts the time in
which the VM is suspended as well: deadlines and leases of others go on meanwhile."""


class SystemClock:
    """Steady clock of the process; its origin is the wall clock at its creation."""

    def __init__(self) -> None:
        created_at = datetime.datetime.now(datetime.UTC)
        self._created_s = time.clock_gettime(_STEADY_CLOCK)
        # Difference between the wall clock at the creation and the steady clock.
        self._offset_s = created_at.timestamp() - self._created_s

    def now(self) -> datetime.datetime:
        """Return the present instant, timezone-aware, in UTC."""
        # Called several times for each message; adding durations costs twice as much.
        steady_s = time.clock_gettime(_STEADY_CLOCK)
        return datetime.datetime.fromtimestamp(steady_s + self._offset_s, datetime.UTC)

    def seconds(self) -> float:
        """Return the seconds since the clock was created."""
        return time.clock_gettime(_STEADY_CLOCK) - self._created_s

    def sleep(self, duration: datetime.timedelta) -> None:
        """Block the calling thread for a duration.

        Parameters
        ----------
        duration : datetime.timedelta
            Time to block; a negative one does not block.
        """
        self.sleep_s(duration.total_seconds())

    def sleep_s(self, seconds: float) -> None:
        """Block the calling thread for some seconds; a negative number for none."""
        time.sleep(max(0.0, seconds))


class ManualClock:
    """A clock that changes only by ``advance``; for tests and measurements.

    Parameters
    ----------
    start : datetime.datetime, optional
        First instant, timezone-aware; an arbitrary fixed one by default.
    """

    def __init__(self, start: datetime.datetime | None = None) -> None:
        self._now = start or datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        """Return the present instant, timezone-aware, in UTC."""
        return self._now

    def advance(self, duration: datetime.timedelta) -> datetime.datetime:
        """Move the clock forward.

        Parameters
        ----------
        duration : datetime.timedelta
            Time to move forward by.

        Returns
        -------
        datetime.datetime
            The new instant.
        """
        self._now += duration
        return self._now


def milliseconds(value: float) -> datetime.timedelta:
    """Return the duration of a number of milliseconds."""
    return datetime.timedelta(milliseconds=value)


def to_milliseconds(duration: datetime.timedelta) -> float:
    """Return a duration as a number of milliseconds."""
    return duration.total_seconds() * 1000.0
