"""Simulated daemons: a real decision loop whose dependencies are simulated."""

import collections
import collections.abc
import datetime
import random
import typing

from carawaysail_fleet import decision_loop, handlers, messages, ports
from carawaysail_holding import broker_messages
from carawaysail_model import engine, links, store, workers
from carawaysail_streams import transport
from carawaysail_types import clock, daemons, jobs, runs

HANDLER_MODULES = (handlers,)
"""Modules whose import fills the registries of the decision loop."""

STORE_LATENCY = clock.milliseconds(9)
MEMBERS_READ_INTERVAL = clock.milliseconds(300)
REPORTS_READ_INTERVAL = clock.milliseconds(700)
READ_TIMEOUT = clock.milliseconds(750)
ORDER_TIMEOUT = clock.milliseconds(300)
POLL_TIMEOUT_MARGIN = clock.milliseconds(250)
"""Timeout of a poll, beyond the time for which the worker may delay its reply."""

MAX_CATCH_UP = clock.milliseconds(30)
"""Longest time from the end of a suspension until the daemon has seen which of its
clients have left meanwhile; what other daemons have sent is handled before."""

MAX_LATE_EXECUTION = clock.milliseconds(3000)
MIN_LATE_EXECUTION = clock.milliseconds(100)
"""Times after which a worker executes a call that got no answer."""

LATE_EXECUTION_SHARE = 0.3
"""Share of the calls on a link that are executed late while that may happen."""

CLIENT_MESSAGES = (messages.JobPosted, messages.ClientLeft)


PutMessage = collections.abc.Callable[[messages.Message], None]

Execute = collections.abc.Callable[[workers.Worker, PutMessage], None]
"""Executes a call on a worker, and passes on its response."""


class Network(typing.Protocol):
    """Daemons and workers by name, and the delays between them."""

    def delay(self, first: str, second: str) -> datetime.timedelta | None:
        """Return the one-way delay between two VMs or workers; ``None`` if cut."""

    def node(self, vm: str) -> "Node | None":
        """Return the daemon of a VM; ``None`` if it is dead."""

    def worker(self, worker_id: str) -> workers.Worker:
        """Return a worker by its identifier."""

    def worker_link(self, vm: str, worker_id: str) -> links.Link:
        """Return the link between a daemon and a worker."""


# Dependencies of the decision loop: they forward calls to the node, or ignore them.


class _PeerStream:
    def __init__(self, node: "Node", peer: daemons.Daemon) -> None:
        self.peer = peer
        self._node = node

    def send(self, message: typing.Any) -> None:
        self._node.send(self.peer, message)

    def send_shared(self, shared: transport.Shared) -> None:
        self._node.send(self.peer, shared.message)

    def count_heartbeat(self) -> int:
        return 0

    def restart(self) -> None:
        pass

    def close(self) -> None:
        pass


class _WorkerLinks:
    def __init__(self, node: "Node") -> None:
        self._node = node

    def start(self, order: broker_messages.StartRun) -> None:
        self._node.send_order(order, workers.Worker.start, messages.StartResultReceived)
        if self._node.on_start_order is not None:
            self._node.on_start_order()

    def stop(self, order: broker_messages.StopRun) -> None:
        self._node.send_order(order, workers.Worker.stop, messages.StopResultReceived)

    def poll(self, order: broker_messages.PollWorker) -> None:
        self._node.poll(order)

    def close_except(self, worker_ids: frozenset[str]) -> None:
        pass

    def close(self) -> None:
        pass


class _Claims:
    def __init__(self, node: "Node") -> None:
        self._node = node

    def claim(self, data_centre: str, token: int) -> None:
        self._node.claim(data_centre, token)


class _Reports:
    def __init__(self, node: "Node") -> None:
        self._node = node

    def set_needed(self, is_needed: bool) -> None:
        was_needed, self._node.needs_reports = self._node.needs_reports, is_needed
        if is_needed and not was_needed:
            self._node.refresh_reports()

    def refresh(self) -> None:
        self._node.refresh_reports()

    def set_interval(self, interval: datetime.timedelta) -> None:
        pass


class _Replies:
    def __init__(self, node: "Node") -> None:
        self._node = node

    def put(self, reply_id: int, outcome: jobs.JobOutcome) -> None:
        self._node.on_outcome(reply_id, outcome)

    def waiting_count(self) -> int:
        return 0


class _Metrics:
    def __init__(self, node: "Node") -> None:
        self._node = node

    def count_decision(self, name: str, outcome: str) -> None:
        if name == "failed":
            self._node.on_failure(outcome)

    def count_job(self, queue: str, size_class: str, outcome: str) -> None:
        pass

    def set_sizes(self, sizes: dict[str, int]) -> None:
        pass


class _HttpFrontEnd:
    def configure(self, configuration: jobs.Configuration) -> None:
        pass


class _Observer:
    """Knows up to which instant the node has handled all that arrived."""

    def __init__(self, node: "Node", source: clock.Clock) -> None:
        self.clock = source
        self._node = node

    def arrived(self, turns: int = 1) -> datetime.datetime:
        return self.handled_until()

    def handled_until(self) -> datetime.datetime:
        return self._node.handled_until or self.clock.now()

    def count(self) -> int:
        return 0


class _DecisionLoop(decision_loop.DecisionLoop):
    """A decision loop whose decisions are recorded instead of logged."""

    on_decision: collections.abc.Callable[[str, str, dict[str, typing.Any]], None]

    def log_decision(
        self, name: str, subject: str, fields: dict[str, typing.Any]
    ) -> None:
        self.on_decision(name, subject, fields)

    def reads_first(self) -> bool:
        """Return whether the loop catches up with a pause before it decides."""
        return self._is_behind()

    def catch_up(
        self,
        received: list[messages.Message],
        on_turn: collections.abc.Callable[[], None],
    ) -> list[messages.Message]:
        """Catch up after a pause at one instant; return the messages that are left.

        Parameters
        ----------
        received : list of messages.Message
            Messages that have been received and not handled.
        on_turn : callable
            Called after each turn that the loop waits for.
        """
        steps = self._catch_up(received)
        while True:
            try:
                steps.send(None)
            except StopIteration as over:
                return list(over.value)
            on_turn()


class Node:
    """One simulated daemon.

    Parameters
    ----------
    me : daemons.Daemon
        Its VM and incarnation.
    cfg : ports.Settings
        Its settings.
    event_engine : engine.Engine
        Clock and timers.
    network : Network
        Connections to other daemons and to workers.
    shared_store : store.Store
        The store.
    on_outcome : callable
        Receives the identifier of the reply and the outcome of each submitted job.
    on_failure : callable
        Receives the kind of each message, action or timed step that raises an
        exception.
    on_decision : callable
        Receives name, subject and fields of each entry of the decision log.
    random_state : int
        Seed of the decision loop.

    Attributes
    ----------
    is_alive : bool
        Whether the daemon runs or is suspended; False once it is killed.
    frozen_until : datetime.datetime
        Until when the daemon is suspended; the past if it is not.
    handled_until : datetime.datetime or None
        Since when messages wait that have arrived while the daemon was suspended or
        slow; ``None`` if none do.
    needs_reports : bool
        Whether the decision loop needs the workers' reports.
    stale_reports : messages.ReportsRead or None
        What its reads return until it becomes a holder, and the read that is answered
        just then if it reads the reports already; ``None`` if its reads are fresh.
    on_start_order : callable or None
        Called after each order that starts a run was sent, before anything else is.
    """

    def __init__(
        self,
        me: daemons.Daemon,
        cfg: ports.Settings,
        event_engine: engine.Engine,
        network: Network,
        shared_store: store.Store,
        on_outcome: collections.abc.Callable[[int, jobs.JobOutcome], None],
        on_failure: collections.abc.Callable[[str], None],
        on_decision: collections.abc.Callable[[str, str, dict[str, typing.Any]], None],
        random_state: int,
    ) -> None:
        self.me = me
        self.is_alive = True
        self.frozen_until = event_engine.now()
        self.handled_until: datetime.datetime | None = None
        self.needs_reports = False
        self.stale_reports: messages.ReportsRead | None = None
        self.on_start_order: collections.abc.Callable[[], None] | None = None
        self.on_outcome = on_outcome
        self.on_failure = on_failure
        self._connected: dict[str, daemons.Daemon] = {}
        # Messages that wait while the daemon is suspended or slow.
        self._waiting: list[messages.Message] = []
        self._is_catching_up = False
        # Whether messages wait until the decision loop asks for them.
        self._is_draining = False
        self._needs_fresh_read = False
        # Whether no decision is made until the ends of clients have been handled.
        self._waits_for_ends = False
        self._slow_until = event_engine.now()
        self._longest_turn = datetime.timedelta()
        self._random = random.Random(random_state)
        self._engine = event_engine
        self._network = network
        self._store = shared_store
        self.decision_loop = _DecisionLoop(
            cfg, me, typing.cast(typing.Any, self), event_engine.clock,
            lambda peer: _PeerStream(self, peer), random_state,
            _Observer(self, event_engine.clock),
        )  # fmt: skip
        self.decision_loop.on_decision = on_decision
        self.decision_loop.set_dependencies(self._make_dependencies())
        self._read_members()
        self._read_reports()
        self._tick()

    def _make_dependencies(self) -> decision_loop.Dependencies:
        simulated = (
            _WorkerLinks(self), _Claims(self), _Reports(self), _Replies(self),
            _Metrics(self), _HttpFrontEnd(),
        )  # fmt: skip
        return decision_loop.Dependencies(
            *(typing.cast(typing.Any, x) for x in simulated)
        )

    # Inbox of the decision loop

    def put(self, message: messages.Message) -> None:
        """Schedule an event in which the decision loop handles a message."""
        if self._is_draining:
            self._waiting.append(message)
            return
        self._engine.after(datetime.timedelta(), lambda: self._handle(message))

    async def drain(self, timeout_s: float) -> list[messages.Message]:
        """Return the messages that wait, while the decision loop catches up."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def _handle(self, message: messages.Message) -> None:
        if not self.is_alive:
            return
        if self.handled_until is not None:
            self._waiting.append(message)
            return
        self.decision_loop.handle(message)
        self.decision_loop.tick()

    def freeze(self, duration: datetime.timedelta) -> None:
        """Suspend the daemon; its messages and timers wait until the end."""
        now = self._engine.now()
        self.frozen_until = max(self.frozen_until, now + duration)
        if self.handled_until is None:
            self.handled_until = now
        self._engine.at(self.frozen_until, self._thaw)

    def _thaw(self) -> None:
        if self.is_alive and self._engine.now() >= self.frozen_until:
            if not self.decision_loop.reads_first():
                self.decision_loop.tick()
            self._catch_up()

    def slow_down(
        self, duration: datetime.timedelta, longest_turn: datetime.timedelta
    ) -> None:
        """Let messages wait for the end of a turn, while timers run in time.

        Parameters
        ----------
        duration : datetime.timedelta
            How long the daemon is slow.
        longest_turn : datetime.timedelta
            Longest time from one look at the sockets to the next.
        """
        self._slow_until = self._engine.now() + duration
        self._longest_turn = longest_turn
        if self.handled_until is None:
            self._begin_turn()

    def _begin_turn(self) -> None:
        now = self._engine.now()
        self.handled_until = now
        length = self._longest_turn * self._random.uniform(0.1, 1.0)
        self._engine.after(length, self._end_turn)

    def _end_turn(self) -> None:
        if self.is_alive and self._engine.now() >= self.frozen_until:
            self._catch_up()

    def _catch_up(self) -> None:
        """Handle the messages that wait; sockets are read in no particular order.

        The end of a client's connection takes a turn more than a message to be seen.
        """
        if self._is_catching_up:
            return
        self._is_catching_up = True
        if self.decision_loop.reads_first():
            self._waits_for_ends = True
            delay = MAX_CATCH_UP * self._random.random()
            self._engine.after(delay, self._handle_ends_first)
            return
        waiting, self._waiting = self._waiting, []
        of_clients: list[messages.Message] = [
            x for x in waiting if isinstance(x, CLIENT_MESSAGES)
        ]
        self._handle_all(self._in_socket_order(waiting))
        self._engine.after(
            MAX_CATCH_UP * self._random.random(),
            lambda: self._finish_catching_up(of_clients),
        )

    def _in_socket_order(
        self, waiting: list[messages.Message]
    ) -> list[messages.Message]:
        """Return the messages that are not of clients, by source, in random order."""
        by_source: dict[typing.Any, list[messages.Message]] = {}
        for message in waiting:
            if not isinstance(message, CLIENT_MESSAGES):
                by_source.setdefault(_source(message), []).append(message)
        sources = list(by_source.values())
        self._random.shuffle(sources)
        return [x for source in sources for x in source]

    def _handle_ends_first(self) -> None:
        """Let the decision loop catch up; then comes a tick, then all that is left."""
        self._is_catching_up = self._waits_for_ends = False
        if not self.is_alive or self._engine.now() < self.frozen_until:
            return

        def end_turn() -> None:
            self.handled_until = None

        waiting, self._waiting = self._waiting, []
        of_clients = [x for x in waiting if isinstance(x, CLIENT_MESSAGES)]
        received = [*self._in_socket_order(waiting), *of_clients]
        self._is_draining = True
        left = self.decision_loop.catch_up(received, end_turn)
        self._is_draining = False
        self.decision_loop.tick()
        self._handle_all(left)
        waiting, self._waiting = self._waiting, []
        for message in waiting:
            self._handle(message)
        if self._engine.now() < self._slow_until:
            self._begin_turn()

    def _handle_all(self, waiting: list[messages.Message]) -> None:
        for message in waiting:
            if self.is_alive:
                self.decision_loop.handle(message)
                self.decision_loop.tick()

    def _finish_catching_up(self, waiting: list[messages.Message]) -> None:
        """Handle messages, and then those that have come meanwhile, until none wait."""
        if self._engine.now() < self.frozen_until:
            self._is_catching_up = False
            self._waiting = [*waiting, *self._waiting]
            return
        self._handle_all(waiting)
        if waiting or self._waiting:
            # What the daemon sends to itself comes as an event of its own.
            waiting, self._waiting = self._waiting, []
            self._engine.after(
                datetime.timedelta(), lambda: self._finish_catching_up(waiting)
            )
            return
        self._is_catching_up = False
        self.handled_until = None
        if self._engine.now() < self._slow_until:
            self._begin_turn()

    def _tick(self) -> None:
        if not self.is_alive:
            return
        if self._engine.now() < self.frozen_until:
            self._engine.at(self.frozen_until, self._tick)
            return
        if not self._waits_for_ends:
            self.decision_loop.tick()
        self._engine.after(self.decision_loop.max_wait(), self._tick)

    # Other daemons

    def send(self, peer: daemons.Daemon, message: typing.Any) -> None:
        """Send a message to another daemon; it is lost if there is no connection.

        A dead daemon refuses the connection; a later incarnation drops the message.
        """
        delay = self._network.delay(self.me.vm, peer.vm)
        if delay is None or not self.is_alive:
            return

        def deliver() -> None:
            node = self._network.node(peer.vm)
            if node is None:
                self.put(messages.ConnectionRefused(peer))
            elif node.me == peer:
                node.receive(self.me, message)

        self._engine.after(delay, deliver)

    def receive(self, sender: daemons.Daemon, message: typing.Any) -> None:
        """Pass on a message of another daemon, and first that it has connected."""
        if self._connected.get(sender.vm) != sender:
            self._connected[sender.vm] = sender
            self.put(messages.ConnectionAccepted(sender, _PeerStream(self, sender)))
        now = self._engine.now()
        self.put(messages.PeerMessagesReceived(sender, (message,), now))

    # Workers

    def send_order(
        self,
        order: typing.Any,
        method: collections.abc.Callable[
            [workers.Worker, typing.Any], runs.OrderResult
        ],
        make_message: collections.abc.Callable[..., messages.Message],
    ) -> None:
        """Send an order to a worker; its result reaches the decision loop as a message.

        Parameters
        ----------
        order : broker_messages.StartRun or broker_messages.StopRun
            The order.
        method : callable
            Method of the worker that executes the order.
        make_message : callable
            Makes the message from worker, run and result. The result is ``NO_ANSWER``,
            after a timeout, if the worker cannot be reached.
        """
        timed_out = make_message(order.worker, order.run, runs.OrderResult.NO_ANSWER)

        def execute(
            worker: workers.Worker,
            respond: collections.abc.Callable[[messages.Message], None],
        ) -> None:
            result = method(worker, order)
            respond(make_message(order.worker, order.run, result))

        self._call(order.worker.worker_id, execute, timed_out, ORDER_TIMEOUT)

    def poll(self, order: broker_messages.PollWorker) -> None:
        """Poll a worker; its status reaches the decision loop as a message.

        If there is no status in time, the message has ``NO_ANSWER``.
        """
        polled_at = self._engine.now()
        timed_out = messages.WorkerStatusReceived(
            order.worker, runs.OrderResult.NO_ANSWER, polled_at
        )

        def execute(
            worker: workers.Worker,
            respond: collections.abc.Callable[[messages.Message], None],
        ) -> None:
            worker.poll(
                order,
                lambda status: respond(
                    messages.WorkerStatusReceived(order.worker, status, polled_at)
                ),
            )

        timeout = order.wait + POLL_TIMEOUT_MARGIN
        self._call(order.worker.worker_id, execute, timed_out, timeout)

    def _call(
        self,
        worker_id: str,
        execute: Execute,
        timed_out: messages.Message,
        timeout: datetime.timedelta,
    ) -> None:
        """Call a worker; one message reaches the decision loop.

        A call that gets no answer may have been executed, or is executed later.

        Parameters
        ----------
        worker_id : str
            The worker.
        execute : callable
            Executes the call on the worker and passes on its response.
        timed_out : messages.Message
            The message without a response in time.
        timeout : datetime.timedelta
            How long to wait for the response.
        """
        delay = self._network.delay(self.me.vm, worker_id)
        worker = self._network.worker(worker_id)
        link = self._network.worker_link(self.me.vm, worker_id)
        now = self._engine.now()
        is_over = False

        def receive(message: messages.Message) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self.put(message)

        def respond(message: messages.Message) -> None:
            if delay is None or not worker.is_reachable:
                return
            arrival = link.responses.arrival(self._engine.now(), delay)
            if arrival is not None:
                self._engine.at(arrival, lambda: receive(message))

        def deliver() -> None:
            if worker.is_reachable:
                execute(worker, respond)

        self._engine.after(timeout, lambda: receive(timed_out))
        if delay is None or not worker.is_reachable:
            return
        arrival = link.requests.arrival(now, delay)
        if arrival is None:
            return
        is_late = link.late_until is not None and now < link.late_until
        if is_late and self._random.random() < LATE_EXECUTION_SHARE:
            longest = MAX_LATE_EXECUTION - MIN_LATE_EXECUTION
            arrival += MIN_LATE_EXECUTION + longest * self._random.random()
            self._engine.at(arrival, lambda: execute(worker, _ignore))
            return
        self._engine.at(arrival, deliver)

    # The store

    def claim(self, data_centre: str, token: int) -> None:
        """Try to become the holder of a data centre whose record has the token.

        There is no message to the decision loop if the store cannot be reached.
        """

        def deliver() -> None:
            if self._store.is_reachable(self.me) and self.is_alive:
                holder = self._store.claim(self.me, data_centre, token)
                self.put(messages.ClaimResultReceived(data_centre, holder))
                if holder is not None and holder.incarnation == self.me.incarnation:
                    self._read_stale_reports()

        self._engine.after(STORE_LATENCY, deliver)

    def _read_stale_reports(self) -> None:
        """Read reports as the daemon becomes a holder, before the read that is due."""
        if self.stale_reports is not None and self.needs_reports:
            self.put(self.stale_reports._replace(live_data_centres=frozenset()))
        self.stale_reports = None

    def _read_members(self) -> None:
        now = self._engine.now()
        is_running = self.is_alive and now >= self.frozen_until
        if self._store.is_reachable(self.me) and is_running:
            self._store.renew(self.me, now)
            registered = self._store.live_daemons(now)
            holders = tuple(self._store.holders.values())
            holding = self._store.unregistered_holders(now)
            self.put(messages.MembersRead(registered, holders, holding))
        if self.is_alive:
            self._engine.after(MEMBERS_READ_INTERVAL, self._read_members)

    def refresh_reports(self) -> None:
        """Read the workers' reports now, in addition to the regular reads.

        The request stands until a read succeeds.
        """
        self._needs_fresh_read = True
        self._engine.after(STORE_LATENCY, self._read_reports_once)

    def _read_reports(self) -> None:
        self._read_reports_once()
        if self.is_alive:
            self._engine.after(REPORTS_READ_INTERVAL, self._read_reports)

    def _read_reports_once(self) -> None:
        """Read the reports if they are needed and the store can be reached.

        Reports of workers that cannot reach the store are missing.
        """
        now = self._engine.now()
        if not self.needs_reports or not self.is_alive:
            return
        if not self._store.is_reachable(self.me):
            failed = messages.ReportsFailed(now + READ_TIMEOUT)
            self._engine.after(READ_TIMEOUT, lambda: self.put(failed))
            return
        read = self.read_reports(now)
        if self.stale_reports is not None and not self._needs_fresh_read:
            read = self.stale_reports
        self._needs_fresh_read = False
        self.put(read)

    def read_reports(self, now: datetime.datetime) -> messages.ReportsRead:
        """Return the answer to a read of the reports that is sent now."""
        reports = self._store.visible_reports()
        live = frozenset(x.data_centre for x in reports)
        return messages.ReportsRead(reports, live, now)


def _source(message: messages.Message) -> typing.Any:
    """Return what identifies the connection that a message has come on."""
    if isinstance(message, messages.PeerMessagesReceived):
        return message.sender.vm
    if isinstance(message, messages.ConnectionAccepted):
        return message.sender.vm
    if isinstance(message, messages.StreamOpened | messages.ConnectionRefused):
        return message.peer.vm
    if isinstance(
        message,
        messages.WorkerStatusReceived
        | messages.StartResultReceived
        | messages.StopResultReceived,
    ):
        return message.worker.worker_id
    return "store"


def _ignore(message: messages.Message) -> None:
    """Drop a response: nobody waits for it."""
