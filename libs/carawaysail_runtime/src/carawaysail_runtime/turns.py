"""Turns of an event loop, and since when what it reads can have waited.

A process that is suspended, or busy, does not look at its sockets. What it reads
afterwards may have waited there all the time, and its sender may have left since.
"""

import collections
import datetime
import selectors
import typing

from carawaysail_types import clock

ACCEPT_TURNS = 5
"""Turns of an asyncio loop from that which accepts a connection to that which reads
its first bytes, both included, and one that does not look at the sockets."""

MAX_TURNS = 10
"""Number of turns that are remembered."""

_NO_TIME = datetime.timedelta()


class Observer(typing.Protocol):
    """Knows since when something that was read just now can have waited."""

    clock: clock.Clock

    def arrived(self, turns: int = 1) -> datetime.datetime:
        """Return the earliest instant at which it can have arrived.

        Parameters
        ----------
        turns : int
            Number of turns, the present one included, that it may have waited for
            beside the time in which the loop did not look; at most ``MAX_TURNS``.
        """

    def handled_until(self) -> datetime.datetime:
        """Return up to when all that had arrived has certainly been handled.

        What is handled within ``MAX_TURNS`` of its arrival counts: the end of a
        connection is read, reported, and passed to the task that it concerns.
        """

    def count(self) -> int:
        """Return the number of turns since the loop began."""


class Turns:
    """Record of the last turns of an event loop.

    In each turn the loop waits for events and handles them. It does not look at its
    sockets while it handles events, nor while a wait outlasts its timeout.

    Parameters
    ----------
    source : clock.Clock
        Source of the present instant; one that counts the time in which the VM is
        suspended.
    """

    def __init__(self, source: clock.Clock) -> None:
        self.clock = source
        self._waits_since = self._began_at = source.now()
        self._count = 0
        self._unobserved = collections.deque([_NO_TIME] * MAX_TURNS, MAX_TURNS)
        # Time by which the last wait outlasted its timeout. It counts for the next turn
        # that looks at the sockets: what came meanwhile may be read only there.
        self._overrun = _NO_TIME
        # Position among the last turns of the one that has counted it, from the end;
        # 0 if none has.
        self._overrun_position = 0

    def begin_wait(self) -> None:
        """Record that the loop begins to wait for events."""
        self._waits_since = self.clock.now()

    def end_wait(self, timeout_s: float | None, has_events: bool) -> None:
        """Record that the wait is over, and with it that a turn begins.

        Parameters
        ----------
        timeout_s : float or None
            Timeout of the wait in seconds; ``None`` for none.
        has_events : bool
            Whether the wait ended with events. The kernel may end the wait of a process
            that was suspended without events, though there are some.
        """
        now = self.clock.now()
        unobserved = self._waits_since - self._began_at
        unobserved += self._overrun
        if self._overrun_position:
            self._unobserved[self._overrun_position] -= self._overrun
        self._overrun, self._overrun_position = _NO_TIME, 0
        waited = now - self._waits_since
        # Most waits end before their timeout.
        if timeout_s is not None and waited.total_seconds() > timeout_s:
            self._overrun = waited - datetime.timedelta(seconds=max(0.0, timeout_s))
            if has_events:
                # The kernel may have collected them before, or after, the pause.
                unobserved += self._overrun
                self._overrun_position = -1
        self._unobserved.append(unobserved)
        self._began_at = now
        self._count += 1

    def skip_wait(self) -> None:
        """Record that a turn begins without a look at the sockets; it reads nothing.

        Its time counts for the next turn that does look.
        """
        self._unobserved.append(_NO_TIME)
        self._count += 1
        if self._overrun_position:
            self._overrun_position -= 1

    def arrived(self, turns: int = 1) -> datetime.datetime:
        """Return the earliest instant at which what was read can have arrived."""
        if turns == 1:
            return self._began_at - self._unobserved[-1]
        recent = list(self._unobserved)[-turns:]
        return self._began_at - sum(recent, _NO_TIME)

    def handled_until(self) -> datetime.datetime:
        """Return up to when all that had arrived has certainly been handled."""
        unread = _NO_TIME if self._overrun_position else self._overrun
        return self.arrived(MAX_TURNS) - unread

    def count(self) -> int:
        """Return the number of turns since the loop began."""
        return self._count


class Immediate:
    """An observer of a loop that reads everything as it arrives, for simulations.

    Parameters
    ----------
    source : clock.Clock
        Source of the present instant.
    """

    def __init__(self, source: clock.Clock) -> None:
        self.clock = source

    def arrived(self, turns: int = 1) -> datetime.datetime:
        """Return the present instant."""
        return self.clock.now()

    def handled_until(self) -> datetime.datetime:
        """Return the present instant."""
        return self.clock.now()

    def count(self) -> int:
        """Return 0."""
        return 0


class Selector(selectors.EpollSelector):
    """The selector of an event loop whose turns are recorded.

    The loop asks for events without a wait while callbacks are due, in most cases the
    ones that the events of the turn before have caused. Every other such call is
    answered without a system call.

    Parameters
    ----------
    turns : Turns
        The record.
    """

    def __init__(self, turns: Turns) -> None:
        super().__init__()
        self._turns = turns
        self._has_skipped = False

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events; record when the wait begins and ends."""
        if timeout is not None and timeout <= 0 and not self._has_skipped:
            self._has_skipped = True
            self._turns.skip_wait()
            return []
        self._has_skipped = False
        self._turns.begin_wait()
        events = super().select(timeout)
        self._turns.end_wait(timeout, bool(events))
        return events


class Arrivals:
    """Since when what is read from one connection can have waited.

    Created with the connection, or as its first bytes are read.

    Parameters
    ----------
    observer : Observer
        Observer of the event loop.
    """

    def __init__(self, observer: Observer) -> None:
        self._observer = observer
        self._opened = observer.count()

    def earliest(self) -> datetime.datetime:
        """Return the earliest instant at which bytes read now can have arrived.

        The first ones may have come while the connection waited to be accepted.
        """
        is_new = self._observer.count() - self._opened < ACCEPT_TURNS
        return self._observer.arrived(ACCEPT_TURNS if is_new else 1)
