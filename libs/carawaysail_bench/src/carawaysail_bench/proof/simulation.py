"""The world of a proof: one clock, what is to happen next, and the network."""

import collections.abc
import datetime
import heapq
import itertools
import typing

from carawaysail_bench.proof import history
from carawaysail_types import clock

NEAR = clock.milliseconds(0.5)
FAR = clock.milliseconds(1.5)
CONNECT_TIMEOUT = clock.milliseconds(1_000)
DELAY = clock.milliseconds(4_000)

Call = collections.abc.Callable[[], None]
Give = collections.abc.Callable[[typing.Any], None]
Serve = collections.abc.Callable[[Give], None]
Fail = collections.abc.Callable[[bool, bool], None]
"""Takes whether the message was sent, and whether nobody listens there."""


class Process(typing.Protocol):
    """A party that messages go to."""

    name: str
    place: str
    is_alive: bool
    life: int

    def post(self, call: Call) -> None:
        """Run a call, or keep it while the process is paused."""


class Armed(typing.NamedTuple):
    """A fault that waits for its step.

    Parameters
    ----------
    step : str
        Name of the step.
    submission : str
        Part of the identifier that it waits for; empty for any.
    strike : callable
        Takes the process that is at the step.
    """

    step: str
    submission: str
    strike: collections.abc.Callable[[typing.Any], None]


class World:
    """One clock, what is to happen next, and the network."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.history: history.History = []
        self.cuts: set[frozenset[str]] = set()
        self.next_fault = ""
        self._heap: list[tuple[datetime.datetime, int, Call]] = []
        self._order = itertools.count()
        self._armed: list[Armed] = []
        self.struck = 0

    def now(self) -> datetime.datetime:
        """Return the present instant."""
        return self.clock.now()

    def later(self, delay: datetime.timedelta, call: Call) -> None:
        """Let a call happen after a delay."""
        heapq.heappush(self._heap, (self.now() + delay, next(self._order), call))

    def run(self, duration: datetime.timedelta) -> None:
        """Let everything happen that falls into a duration."""
        until = self.now() + duration
        while self._heap and self._heap[0][0] <= until:
            at, _, call = heapq.heappop(self._heap)
            if at > self.now():
                self.clock.advance(at - self.now())
            call()
        self.clock.advance(until - self.now())

    # Steps and faults

    def arm(self, armed: Armed) -> None:
        """Let a fault strike once, when its step is reached."""
        self._armed.append(armed)

    def step(self, name: str, submission: str, process: typing.Any) -> None:
        """Tell that a process is at a step."""
        for armed in list(self._armed):
            if armed.step == name and armed.submission in submission:
                self._armed.remove(armed)
                self.struck += 1
                armed.strike(process)

    # Network

    def cut(self, first: str, second: str) -> None:
        """Cut two names, of processes or places, off from each other."""
        self.cuts.add(frozenset({first, second}))

    def is_cut(self, source: Process, target: Process) -> bool:
        """Tell whether two processes cannot reach each other."""
        pairs = itertools.product(
            (source.name, source.place), (target.name, target.place)
        )
        return any(frozenset(pair) in self.cuts for pair in pairs)

    def exchange(
        self,
        source: Process,
        target: Process,
        serve: Serve,
        give: Give,
        fail: Fail,
        timeout: datetime.timedelta,
    ) -> None:
        """Send a request and take its answer, as over one connection.

        Parameters
        ----------
        source, target : Process
            The two ends.
        serve : callable
            Runs at the target; takes what gives the answer.
        give : callable
            Runs at the source with the answer, at most once.
        fail : callable
            Runs at the source instead, when there is none.
        timeout : datetime.timedelta
            How long the source waits.
        """
        ended = _Once()
        life = source.life

        def at_source(call: Call) -> None:
            if source.is_alive and source.life == life:
                source.post(lambda: ended.first(call))

        trip = NEAR if source.place == target.place else FAR
        fault, self.next_fault = self.next_fault, ""
        if not target.is_alive:
            self.later(trip, lambda: at_source(lambda: fail(False, True)))
            return
        if self.is_cut(source, target):
            self.later(CONNECT_TIMEOUT, lambda: at_source(lambda: fail(False, False)))
            return
        self.later(timeout, lambda: at_source(lambda: fail(True, False)))

        def answer(value: typing.Any) -> None:
            self.leg(target, source, trip, lambda: at_source(lambda: give(value)))

        def arrive() -> None:
            if target.is_alive:
                target.post(lambda: serve(answer))
            else:
                self.later(trip, lambda: at_source(lambda: fail(True, False)))

        self.leg(source, target, trip, arrive, fault)

    def leg(
        self,
        source: Process,
        target: Process,
        trip: datetime.timedelta,
        call: Call,
        fault: str = "",
        may_double: bool = True,
    ) -> None:
        """Carry one message, unless a fault or a cut takes it.

        ``may_double`` is false for a request to a target: it travels once on one TCP
        connection, and nothing between sends it again.
        """
        if not fault and (may_double or self.next_fault != "doubled"):
            fault, self.next_fault = self.next_fault, ""
        if fault == "lost" or self.is_cut(source, target):
            return
        delay = trip + (DELAY if fault == "delayed" else clock.milliseconds(0))
        self.later(delay, call)
        if fault == "doubled":
            self.later(delay + NEAR, call)


class _Once:
    def __init__(self) -> None:
        self._is_done = False

    def first(self, call: Call) -> None:
        if not self._is_done:
            self._is_done = True
            call()
