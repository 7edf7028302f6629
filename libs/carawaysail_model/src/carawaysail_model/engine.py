"""Events in the order of their time, on a clock that only they move."""

import collections.abc
import datetime
import heapq
import itertools

from carawaysail_types import clock


class Engine:
    """Runs events; each may schedule others."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.began = self.clock.now()
        self._events: list[
            tuple[datetime.datetime, int, collections.abc.Callable[[], None]]
        ] = []
        self._count = itertools.count()

    def now(self) -> datetime.datetime:
        """Return the present instant."""
        return self.clock.now()

    def at(
        self, when: datetime.datetime, event: collections.abc.Callable[[], None]
    ) -> None:
        """Schedule an event; one whose time is over happens next."""
        heapq.heappush(self._events, (when, next(self._count), event))

    def after(
        self, wait: datetime.timedelta, event: collections.abc.Callable[[], None]
    ) -> None:
        """Schedule an event from now on."""
        self.at(self.now() + wait, event)

    def run(self, length: datetime.timedelta) -> None:
        """Run all events of a span of time that begins now."""
        end = self.now() + length
        while self._events and self._events[0][0] <= end:
            when, _, event = heapq.heappop(self._events)
            if when > self.now():
                self.clock.advance(when - self.now())
            event()
        self.clock.advance(end - self.now())
