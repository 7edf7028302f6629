"""Discrete-event simulation: runs events in time order on a simulated clock."""

import collections.abc
import datetime
import heapq
import itertools

from carawaysail_types import clock


class Engine:
    """Queue of scheduled events; an event may schedule others.

    Events of the same instant run in the order in which they were scheduled.

    Attributes
    ----------
    clock : clock.ManualClock
        The simulated clock; only ``run`` advances it.
    started_at : datetime.datetime
        Start of the simulation.
    """

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.started_at = self.clock.now()
        self._events: list[
            tuple[datetime.datetime, int, collections.abc.Callable[[], None]]
        ] = []
        self._sequence = itertools.count()

    def now(self) -> datetime.datetime:
        """Return the current time of the simulated clock."""
        return self.clock.now()

    def at(
        self, when: datetime.datetime, event: collections.abc.Callable[[], None]
    ) -> None:
        """Schedule an event at an instant; one in the past runs at the current time."""
        heapq.heappush(self._events, (when, next(self._sequence), event))

    def after(
        self, delay: datetime.timedelta, event: collections.abc.Callable[[], None]
    ) -> None:
        """Schedule an event after a delay from the current time."""
        self.at(self.now() + delay, event)

    def run(self, duration: datetime.timedelta) -> None:
        """Run all events of the next duration and advance the clock by it."""
        end = self.now() + duration
        while self._events and self._events[0][0] <= end:
            when, _, event = heapq.heappop(self._events)
            if when > self.now():
                self.clock.advance(when - self.now())
            event()
        self.clock.advance(end - self.now())
