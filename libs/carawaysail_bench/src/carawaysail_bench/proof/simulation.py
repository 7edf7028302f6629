"""Discrete-event simulation: a clock, an event queue and a network with faults."""

import collections.abc
import datetime
import heapq
import itertools
import typing

from carawaysail_bench.proof import history
from carawaysail_types import clock

LOCAL_LATENCY = clock.milliseconds(0.5)
REMOTE_LATENCY = clock.milliseconds(1.5)
CONNECT_TIMEOUT = clock.milliseconds(1_000)
"""Time after which a sender gives up to connect across a partition."""

FAULT_DELAY = clock.milliseconds(4_000)
"""Time that the fault ``delayed`` adds to the latency of a message."""

Callback = collections.abc.Callable[[], None]
Reply = collections.abc.Callable[[typing.Any], None]
Handler = collections.abc.Callable[[Reply], None]
OnFailure = collections.abc.Callable[[bool, bool], None]
"""Arguments: whether the request was sent, whether the connection was refused."""


class Process(typing.Protocol):
    """A sender or receiver of messages.

    Attributes
    ----------
    name : str
        Unique name.
    data_centre : str
        Its data centre; ``platform`` for the store, ``callers`` for callers.
    is_alive : bool
        Whether it runs; a paused process is alive.
    incarnation : int
        Number of times it was started; 0 for a process that is never restarted.
    """

    name: str
    data_centre: str
    is_alive: bool
    incarnation: int

    def post(self, callback: Callback) -> None:
        """Run a callback, or defer it until the process is resumed."""


class ArmedFault(typing.NamedTuple):
    """A fault to inject when a process reaches a step.

    Parameters
    ----------
    step : str
        Name of the step, one of ``fault_matrix.STEPS``.
    submission : str
        Text that the identifier of the submission, or the name of the settings section,
        must contain; empty matches any.
    inject : callable
        Injects the fault; takes the process that reached the step.
    """

    step: str
    submission: str
    inject: collections.abc.Callable[[typing.Any], None]


class Simulation:
    """A clock, a queue of scheduled callbacks, and the network between processes.

    Attributes
    ----------
    history : list of history.Event
        Events so far, in order; the rules are checked against it.
    partitions : set of frozenset of str
        Pairs of processes or data centres that cannot reach each other.
    next_message_fault : str
        Fault of the next message: ``lost``, ``doubled``, ``delayed``; empty for none.
    injected_count : int
        Armed faults that were injected.
    """

    def __init__(self) -> None:
        self.clock = clock.ManualClock()
        self.history: history.History = []
        self.partitions: set[frozenset[str]] = set()
        self.next_message_fault = ""
        self._queue: list[tuple[datetime.datetime, int, Callback]] = []
        self._sequence = itertools.count()
        self._armed_faults: list[ArmedFault] = []
        self.injected_count = 0

    def now(self) -> datetime.datetime:
        """Return the current time of the simulated clock."""
        return self.clock.now()

    def schedule(self, delay: datetime.timedelta, callback: Callback) -> None:
        """Run a callback after a delay."""
        heapq.heappush(
            self._queue, (self.now() + delay, next(self._sequence), callback)
        )

    def run_for(self, duration: datetime.timedelta) -> None:
        """Advance the clock by a duration and run the callbacks due by then."""
        until = self.now() + duration
        while self._queue and self._queue[0][0] <= until:
            at, _, callback = heapq.heappop(self._queue)
            if at > self.now():
                self.clock.advance(at - self.now())
            callback()
        self.clock.advance(until - self.now())

    # Steps and fault injection

    def arm_fault(self, armed: ArmedFault) -> None:
        """Inject a fault once, when its step is reached."""
        self._armed_faults.append(armed)

    def reach_step(self, name: str, submission: str, process: typing.Any) -> None:
        """Inject the faults armed for a step that a process has reached.

        Parameters
        ----------
        name : str
            Name of the step.
        submission : str
            Identifier of the submission, or name of the settings section.
        process : Process
            The process that reached the step.
        """
        for armed in list(self._armed_faults):
            if armed.step == name and armed.submission in submission:
                self._armed_faults.remove(armed)
                self.injected_count += 1
                armed.inject(process)

    # Network

    def partition(self, first: str, second: str) -> None:
        """Drop all messages between two processes or data centres, given by name."""
        self.partitions.add(frozenset({first, second}))

    def is_partitioned(self, source: Process, target: Process) -> bool:
        """Return whether a partition separates two processes."""
        pairs = itertools.product(
            (source.name, source.data_centre), (target.name, target.data_centre)
        )
        return any(frozenset(pair) in self.partitions for pair in pairs)

    def exchange(
        self,
        source: Process,
        target: Process,
        handle: Handler,
        on_answer: Reply,
        on_failure: OnFailure,
        timeout: datetime.timedelta,
    ) -> None:
        """Send a request over one connection and receive its answer.

        Exactly one of ``on_answer`` and ``on_failure`` runs, once, unless the source
        stops or restarts first.

        Parameters
        ----------
        source, target : Process
            Sender and receiver of the request.
        handle : callable
            Runs at the target; takes the function that sends the answer.
        on_answer : callable
            Runs at the source; takes the answer.
        on_failure : callable
            Runs at the source if the connection fails or no answer arrives in time.
        timeout : datetime.timedelta
            How long the source waits for the answer.
        """
        once = _Once()
        incarnation = source.incarnation

        def run_at_source(callback: Callback) -> None:
            if source.is_alive and source.incarnation == incarnation:
                source.post(lambda: once.run_first(callback))

        latency = (
            LOCAL_LATENCY
            if source.data_centre == target.data_centre
            else REMOTE_LATENCY
        )
        fault, self.next_message_fault = self.next_message_fault, ""
        if not target.is_alive:
            self.schedule(
                latency, lambda: run_at_source(lambda: on_failure(False, True))
            )
            return
        if self.is_partitioned(source, target):
            self.schedule(
                CONNECT_TIMEOUT, lambda: run_at_source(lambda: on_failure(False, False))
            )
            return
        self.schedule(timeout, lambda: run_at_source(lambda: on_failure(True, False)))

        def answer(value: typing.Any) -> None:
            self.deliver(
                target, source, latency, lambda: run_at_source(lambda: on_answer(value))
            )

        def arrive() -> None:
            if target.is_alive:
                target.post(lambda: handle(answer))
            else:
                self.schedule(
                    latency, lambda: run_at_source(lambda: on_failure(True, False))
                )

        self.deliver(source, target, latency, arrive, fault)

    def deliver(
        self,
        source: Process,
        target: Process,
        latency: datetime.timedelta,
        callback: Callback,
        fault: str = "",
        may_duplicate: bool = True,
    ) -> None:
        """Deliver one message, unless a fault or a partition loses it.

        Parameters
        ----------
        source, target : Process
            Sender and receiver.
        latency : datetime.timedelta
            Transmission time without a fault.
        callback : callable
            Runs on arrival.
        fault : str
            Fault of this message; empty takes ``next_message_fault``.
        may_duplicate : bool
            False for a request to a target: it is sent once on one TCP connection,
            and no intermediary repeats it.
        """
        if not fault and (may_duplicate or self.next_message_fault != "doubled"):
            fault, self.next_message_fault = self.next_message_fault, ""
        if fault == "lost" or self.is_partitioned(source, target):
            return
        delay = latency + (FAULT_DELAY if fault == "delayed" else clock.milliseconds(0))
        self.schedule(delay, callback)
        if fault == "doubled":
            self.schedule(delay + LOCAL_LATENCY, callback)


class _Once:
    """Runs the first of several callbacks and ignores the others."""

    def __init__(self) -> None:
        self._has_run = False

    def run_first(self, callback: Callback) -> None:
        if not self._has_run:
            self._has_run = True
            callback()
