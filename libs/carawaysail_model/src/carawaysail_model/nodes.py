"""Simulated daemons: a real decision loop whose dependencies are simulated."""

import collections
import collections.abc
import datetime
import typing

from carawaysail_fleet import decision_loop, handlers, messages, ports
from carawaysail_holding import broker_messages
from carawaysail_model import engine, store, workers
from carawaysail_streams import transport
from carawaysail_types import clock, daemons, jobs, runs

HANDLER_MODULES = (handlers,)
"""Modules whose import fills the registries of the decision loop."""

STORE_LATENCY = clock.milliseconds(9)
MEMBERS_READ_INTERVAL = clock.milliseconds(300)
REPORTS_READ_INTERVAL = clock.milliseconds(700)
ORDER_TIMEOUT = clock.milliseconds(300)
POLL_TIMEOUT_MARGIN = clock.milliseconds(250)
"""Timeout of a poll, beyond the time for which the worker may delay its reply."""


class Network(typing.Protocol):
    """Daemons and workers by name, and the delays between them."""

    def delay(self, first: str, second: str) -> datetime.timedelta | None:
        """Return the one-way delay between two VMs or workers; ``None`` if cut."""

    def node(self, vm: str) -> "Node | None":
        """Return the daemon of a VM; ``None`` if it is dead."""

    def worker(self, worker_id: str) -> workers.Worker:
        """Return a worker by its identifier."""


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
        self._node.needs_reports = is_needed

    def refresh(self) -> None:
        self._node.refresh_reports()


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
    random_state : int
        Seed of the decision loop.

    Attributes
    ----------
    is_alive : bool
        Whether the daemon runs or is suspended; False once it is killed.
    frozen_until : datetime.datetime
        Until when the daemon is suspended; the past if it is not.
    needs_reports : bool
        Whether the decision loop needs the workers' reports.
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
        random_state: int,
    ) -> None:
        self.me = me
        self.is_alive = True
        self.frozen_until = event_engine.now()
        self.needs_reports = False
        self.on_outcome = on_outcome
        self.on_failure = on_failure
        self._connected: dict[str, daemons.Daemon] = {}
        self._engine = event_engine
        self._network = network
        self._store = shared_store
        self.decision_loop = decision_loop.DecisionLoop(
            cfg, me, typing.cast(typing.Any, self), event_engine.clock,
            lambda peer: _PeerStream(self, peer), random_state,
        )  # fmt: skip
        dependencies: typing.Any = decision_loop.Dependencies(
            *(
                typing.cast(typing.Any, x)
                for x in (
                    _WorkerLinks(self), _Claims(self), _Reports(self),
                    _Replies(self), _Metrics(self), _HttpFrontEnd(),
                )
            )
        )  # fmt: skip
        self.decision_loop.set_dependencies(dependencies)
        self._read_members()
        self._read_reports()
        self._tick()

    # Inbox of the decision loop

    def put(self, message: messages.Message) -> None:
        """Schedule an event in which the decision loop handles a message."""
        self._engine.after(datetime.timedelta(), lambda: self._handle(message))

    def _handle(self, message: messages.Message) -> None:
        if not self.is_alive:
            return
        if self._engine.now() < self.frozen_until:
            self._engine.at(self.frozen_until, lambda: self._handle(message))
            return
        self.decision_loop.handle(message)
        self.decision_loop.tick()

    def _tick(self) -> None:
        if not self.is_alive:
            return
        if self._engine.now() < self.frozen_until:
            self._engine.at(self.frozen_until, self._tick)
            return
        self.decision_loop.tick()
        self._engine.after(self.decision_loop.max_wait(), self._tick)

    # Other daemons

    def send(self, peer: daemons.Daemon, message: typing.Any) -> None:
        """Send a message to another daemon; it is lost if there is no connection.

        A dead daemon refuses the connection; a later incarnation drops the message.
        """
        delay = self._network.delay(self.me.vm, peer.vm)
        if delay is None:
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
        worker_id = order.worker.worker_id
        delay = self._network.delay(self.me.vm, worker_id)
        worker = self._network.worker(worker_id)
        if delay is None or not worker.is_reachable:
            timed_out = make_message(
                order.worker, order.run, runs.OrderResult.NO_ANSWER
            )
            self._engine.after(ORDER_TIMEOUT, lambda: self.put(timed_out))
            return

        def deliver() -> None:
            result = method(worker, order)
            message = make_message(order.worker, order.run, result)
            self._engine.after(delay, lambda: self.put(message))

        self._engine.after(delay, deliver)

    def poll(self, order: broker_messages.PollWorker) -> None:
        """Poll a worker; its status reaches the decision loop as a message.

        If the worker cannot be reached, the message has ``NO_ANSWER`` and comes after a
        timeout.
        """
        worker_id = order.worker.worker_id
        delay = self._network.delay(self.me.vm, worker_id)
        worker = self._network.worker(worker_id)
        polled_at = self._engine.now()
        if delay is None or not worker.is_reachable:
            timed_out = messages.WorkerStatusReceived(
                order.worker, runs.OrderResult.NO_ANSWER, polled_at
            )
            wait = order.wait + POLL_TIMEOUT_MARGIN
            self._engine.after(wait, lambda: self.put(timed_out))
            return

        def respond(status: runs.WorkerStatus | runs.OrderResult) -> None:
            message = messages.WorkerStatusReceived(order.worker, status, polled_at)
            self._engine.after(delay, lambda: self.put(message))

        self._engine.after(delay, lambda: worker.poll(order, respond))

    # The store

    def claim(self, data_centre: str, token: int) -> None:
        """Try to become the holder of a data centre whose record has the token.

        There is no message to the decision loop if the store cannot be reached.
        """

        def deliver() -> None:
            if self._store.is_reachable_from(self.me.data_centre) and self.is_alive:
                holder = self._store.claim(self.me, data_centre, token)
                self.put(messages.ClaimResultReceived(data_centre, holder))

        self._engine.after(STORE_LATENCY, deliver)

    def _read_members(self) -> None:
        now = self._engine.now()
        is_running = self.is_alive and now >= self.frozen_until
        if self._store.is_reachable_from(self.me.data_centre) and is_running:
            self._store.renew(self.me, now)
            registered = self._store.live_daemons(now)
            self.put(
                messages.MembersRead(registered, tuple(self._store.holders.values()))
            )
        if self.is_alive:
            self._engine.after(MEMBERS_READ_INTERVAL, self._read_members)

    def refresh_reports(self) -> None:
        """Read the workers' reports now, in addition to the regular reads."""
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
        is_store_reachable = self._store.is_reachable_from(self.me.data_centre)
        if is_store_reachable and self.needs_reports and self.is_alive:
            reports = tuple(
                x
                for x in self._store.reports.values()
                if self._store.is_reachable_from(x.data_centre)
            )
            live_data_centres = frozenset(x.data_centre for x in reports)
            self.put(messages.ReportsRead(reports, live_data_centres, now))
