"""Daemons of the model: a real desk whose links are parts of the model."""

import collections
import collections.abc
import datetime
import typing

from carawaysail_fleet import decision_loop, handlers, messages, ports
from carawaysail_holding import broker_messages
from carawaysail_model import engine, store, workers
from carawaysail_types import clock, daemons, jobs, runs

HANDLER_MODULES = (handlers,)
"""Modules whose import fills the registries of the desk."""

READ_TAKES = clock.milliseconds(9)
MEMBERS_EVERY = clock.milliseconds(300)
REPORTS_EVERY = clock.milliseconds(700)
ORDER_WAIT = clock.milliseconds(300)
LISTING_MARGIN = clock.milliseconds(250)


class Network(typing.Protocol):
    """Who reaches whom, and how long it takes."""

    def delay(self, first: str, second: str) -> datetime.timedelta | None:
        """Return the time from one VM or worker to another; ``None`` if cut."""

    def node(self, vm: str) -> "Node | None":
        """Return the daemon of a VM, if it runs."""

    def worker(self, worker_id: str) -> workers.Worker:
        """Return a worker."""


class _Feed:
    def __init__(self, node: "Node", peer: daemons.Daemon) -> None:
        self.peer = peer
        self._node = node

    def send(self, message: typing.Any) -> None:
        self._node.send(self.peer, message)

    def restart(self) -> None:
        pass

    def close(self) -> None:
        pass


class _WorkerLinks:
    def __init__(self, node: "Node") -> None:
        self._node = node

    def start(self, order: broker_messages.StartRun) -> None:
        self._node.order(order, workers.Worker.start, messages.StartAnswered)

    def stop(self, order: broker_messages.StopRun) -> None:
        self._node.order(order, workers.Worker.stop, messages.StopAnswered)

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
        self._node.wants_reports = is_needed

    def refresh(self) -> None:
        self._node.refresh_reports()


class _Replies:
    def __init__(self, node: "Node") -> None:
        self._node = node

    def put(self, number: int, outcome: jobs.JobOutcome) -> None:
        self._node.on_answer(number, outcome)

    def waiting_count(self) -> int:
        return 0


class _Meters:
    def count_decision(self, name: str, outcome: str) -> None:
        pass

    def set_sizes(self, sizes: dict[str, int]) -> None:
        pass


class _Front:
    def configure(self, configuration: jobs.Configuration) -> None:
        pass


class Node:
    """One daemon.

    Parameters
    ----------
    me : daemons.Daemon
        Its name and life.
    cfg : ports.Settings
        Its settings.
    world : engine.Engine
        Time.
    network : Network
        Everybody else.
    shared : store.Store
        The store.
    on_answer : callable
        Takes the answers to clients, by the number of the reply.
    random_state : int
        Seeds the desk.
    """

    def __init__(
        self,
        me: daemons.Daemon,
        cfg: ports.Settings,
        world: engine.Engine,
        network: Network,
        shared: store.Store,
        on_answer: collections.abc.Callable[[int, jobs.JobOutcome], None],
        random_state: int,
    ) -> None:
        self.me = me
        self.is_alive = True
        self.frozen_until = world.now()
        self.wants_reports = False
        self.on_answer = on_answer
        self._world = world
        self._network = network
        self._store = shared
        self.decision_loop = decision_loop.DecisionLoop(
            cfg, me, typing.cast(typing.Any, self), world.clock,
            lambda peer: _Feed(self, peer), random_state,
        )  # fmt: skip
        links: typing.Any = decision_loop.Links(
            *(
                typing.cast(typing.Any, x)
                for x in (
                    _WorkerLinks(self), _Claims(self), _Reports(self),
                    _Replies(self), _Meters(), _Front(),
                )
            )
        )  # fmt: skip
        self.decision_loop.connect(links)
        self._read_members()
        self._read_reports()
        self._tick()

    # The desk's inbox

    def put(self, message: messages.Message) -> None:
        """Let the desk handle a message in an event of its own."""
        self._world.after(datetime.timedelta(), lambda: self._handle(message))

    def _handle(self, message: messages.Message) -> None:
        if not self.is_alive:
            return
        if self._world.now() < self.frozen_until:
            self._world.at(self.frozen_until, lambda: self._handle(message))
            return
        self.decision_loop.handle(message)
        self.decision_loop.tick()

    def _tick(self) -> None:
        if not self.is_alive:
            return
        if self._world.now() < self.frozen_until:
            self._world.at(self.frozen_until, self._tick)
            return
        self.decision_loop.tick()
        self._world.after(self.decision_loop.max_wait(), self._tick)

    # Other daemons

    def send(self, peer: daemons.Daemon, message: typing.Any) -> None:
        """Send a message to another daemon, if there is a way."""
        delay = self._network.delay(self.me.vm, peer.vm)
        if delay is None:
            return

        def arrive() -> None:
            node = self._network.node(peer.vm)
            if node is None:
                self.put(messages.ConnectionRefused(peer))
            elif node.me == peer:
                node.put(messages.PeerMessagesReceived(self.me, (message,)))

        self._world.after(delay, arrive)

    # Workers

    def order(
        self,
        order: typing.Any,
        method: collections.abc.Callable[
            [workers.Worker, typing.Any], runs.OrderResult
        ],
        made: collections.abc.Callable[..., messages.Message],
    ) -> None:
        """Send an order; what gets no answer is told as lost."""
        worker_id = order.worker.worker_id
        delay = self._network.delay(self.me.vm, worker_id)
        worker = self._network.worker(worker_id)
        if delay is None or not worker.is_reachable:
            lost = made(order.worker, order.run, runs.OrderResult.NO_ANSWER)
            self._world.after(ORDER_WAIT, lambda: self.put(lost))
            return

        def arrive() -> None:
            answer = method(worker, order)
            back = made(order.worker, order.run, answer)
            self._world.after(delay, lambda: self.put(back))

        self._world.after(delay, arrive)

    def poll(self, order: broker_messages.PollWorker) -> None:
        """Ask for a listing; what gets no answer is told as lost."""
        worker_id = order.worker.worker_id
        delay = self._network.delay(self.me.vm, worker_id)
        worker = self._network.worker(worker_id)
        asked = self._world.now()
        if delay is None or not worker.is_reachable:
            lost = messages.WorkerStatusReceived(
                order.worker, runs.OrderResult.NO_ANSWER, asked
            )
            wait = order.wait + LISTING_MARGIN
            self._world.after(wait, lambda: self.put(lost))
            return

        def respond(answer: runs.WorkerStatus | runs.OrderResult) -> None:
            back = messages.WorkerStatusReceived(order.worker, answer, asked)
            self._world.after(delay, lambda: self.put(back))

        self._world.after(delay, lambda: worker.poll(order, respond))

    # The store

    def claim(self, data_centre: str, token: int) -> None:
        """Try to take a tenure."""

        def arrive() -> None:
            if self._store.reaches(self.me.data_centre) and self.is_alive:
                taken = self._store.claim(self.me, data_centre, token)
                self.put(messages.ClaimAnswered(data_centre, taken))

        self._world.after(READ_TAKES, arrive)

    def _read_members(self) -> None:
        now = self._world.now()
        is_awake = self.is_alive and now >= self.frozen_until
        if self._store.reaches(self.me.data_centre) and is_awake:
            self._store.renew(self.me, now)
            found = self._store.listed(now)
            self.put(messages.MembersRead(found, tuple(self._store.tenures.values())))
        if self.is_alive:
            self._world.after(MEMBERS_EVERY, self._read_members)

    def refresh_reports(self) -> None:
        """Read the reports at once."""
        self._world.after(READ_TAKES, self._take_reports)

    def _read_reports(self) -> None:
        self._take_reports()
        if self.is_alive:
            self._world.after(REPORTS_EVERY, self._read_reports)

    def _take_reports(self) -> None:
        now = self._world.now()
        has_store = self._store.reaches(self.me.data_centre)
        if has_store and self.wants_reports and self.is_alive:
            reports = tuple(
                x
                for x in self._store.reports.values()
                if self._store.reaches(x.data_centre)
            )
            beating = frozenset(x.data_centre for x in reports)
            self.put(messages.ReportsRead(reports, beating, now))
