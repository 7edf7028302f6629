"""The decision loop: the asyncio task that makes all decisions of a daemon.

The task alone owns the broker, the gateway and the holder election. All input reaches
it as messages through one inbox and is handled in order of arrival. ``handlers`` maps
the type name of a message to the function that handles it; ``action_handlers`` maps
the type name of an action, which a decision returns, to the function that carries it
out. An exception ends only the handling of one message, action or timed step: it is
logged, and ``failure_handlers`` maps the type name of a message to the function that
then settles what the message began.
"""

import asyncio
import collections.abc
import contextlib
import datetime
import typing

from carawaysail_fleet import (
    front_end,
    messages,
    metrics,
    ports,
    replies,
    store_tasks,
    worker_links,
)
from carawaysail_holding import broker, gateway, holder_election, loads
from carawaysail_runtime import inbox, logs
from carawaysail_streams import errors
from carawaysail_streams import messages as stream_messages
from carawaysail_types import clock, daemons, jobs, registry

BUSY_TICK_INTERVAL = clock.milliseconds(20)
"""Interval of checks for deadlines and expired leases while jobs are open."""

IDLE_TICK_INTERVAL = clock.milliseconds(75)
"""Interval of the same checks while no job is open; half of a heartbeat interval."""

HEARTBEAT_INTERVAL = clock.milliseconds(150)
LOAD_CHECK_INTERVAL = clock.milliseconds(25)
"""Shortest interval at which a changed load triggers an extra heartbeat; half of the
run time of a short task."""

MIN_WAIT = clock.milliseconds(1)
"""Shortest wait for messages, also if a heartbeat is overdue."""

MAX_INBOX_MESSAGES = 20_000
"""Size of the inbox; without effect while all messages are added by ``Inbox.put``."""

RECEIVE_TIMEOUT_MS = 450.0
"""A peer that has received nothing from this daemon for this long gets a new stream;
three heartbeat intervals."""

STREAM_RESTART_INTERVAL = clock.milliseconds(500)
"""Shortest time between two restarts of the stream to the same daemon."""

MAX_LOGGED_CHARACTERS = 600
"""Length to which a message that failed is cut in the log."""

Handler = collections.abc.Callable[
    ["DecisionLoop", typing.Any, datetime.datetime], None
]

handlers: registry.Registry[Handler] = registry.Registry(
    "decision loop message handlers"
)
action_handlers: registry.Registry[Handler] = registry.Registry(
    "decision loop action handlers"
)
failure_handlers: registry.Registry[Handler] = registry.Registry(
    "decision loop failure handlers"
)


class PeerStream(typing.Protocol):
    """A stream of messages to one other daemon, ``peer``."""

    peer: daemons.Daemon

    def send(self, message: typing.Any) -> None:
        """Queue a message for sending; returns at once."""

    def restart(self) -> None:
        """Replace the stream by a new one, because the peer receives nothing on it."""

    def close(self) -> None:
        """Close the stream for good."""


OpenStream = collections.abc.Callable[[daemons.Daemon], PeerStream]


class Dependencies(typing.NamedTuple):
    """The components of the daemon that the decision loop calls.

    Parameters
    ----------
    workers : worker_links.WorkerLinks
        Polls workers and sends them orders.
    claims : store_tasks.ClaimTask
        Claims data centres by conditional writes to the store.
    reports : store_tasks.ReportsTask
        Reads the workers' reports from the store.
    replies : replies.Replies
        Passes outcomes to the threads that serve clients.
    metrics : metrics.DaemonMetrics
        Metrics of the daemon.
    front_end : front_end.FrontEnd
        HTTP front end; receives each newer configuration.
    """

    workers: worker_links.WorkerLinks
    claims: store_tasks.ClaimTask
    reports: store_tasks.ReportsTask
    replies: replies.Replies
    metrics: metrics.DaemonMetrics
    front_end: front_end.FrontEnd


class DecisionLoop:
    """The task that owns the state of a daemon and makes its decisions.

    ``set_dependencies`` must be called before ``run`` or ``tick``.

    Parameters
    ----------
    cfg : ports.Settings
        Settings of the daemon.
    me : daemons.Daemon
        This daemon.
    own_inbox : inbox.Inbox
        Inbox of this task.
    source : clock.Clock
        Source of the present instant.
    open_stream : callable
        Opens a stream to another daemon.
    random_state : int, optional
        Seed of the gateway's random numbers; ``None`` for an arbitrary one.

    Attributes
    ----------
    configuration : jobs.Configuration or None
        Newest configuration that was read from the store; ``None`` before the first.
    has_ended : asyncio.Event
        Set once the daemon is leaving, holds no workers, and no client waits.
    apply_limits : callable
        Called with the request limits of each newer configuration.
    """

    def __init__(
        self,
        cfg: ports.Settings,
        me: daemons.Daemon,
        own_inbox: "inbox.Inbox[messages.Message]",
        source: clock.Clock,
        open_stream: OpenStream,
        random_state: int | None = None,
    ) -> None:
        now = source.now()
        self.cfg = cfg
        self.me = me
        self.inbox = own_inbox
        self.clock = source
        self.broker = broker.Broker(cfg.terms, cfg.policy_names)
        self.gateway = gateway.Gateway(me, cfg.admission, random_state)
        self.election = holder_election.HolderElection(me, cfg.data_centres, now)
        self.configuration: jobs.Configuration | None = None
        self.is_leaving = False
        self.has_ended = asyncio.Event()
        self.apply_limits: collections.abc.Callable[[jobs.Limits], None] = _ignore
        self._dependencies: Dependencies | None = None
        self._open_stream = open_stream
        self._streams: dict[str, PeerStream] = {}
        self._last_heartbeats: dict[str, datetime.datetime] = {}
        self._last_restarts: dict[str, datetime.datetime] = {}
        self._sent_loads: tuple[tuple[str, tuple[loads.ServiceLoad, ...]], ...] = ()
        self._next_heartbeat = now
        self._next_load_check = now

    def set_dependencies(self, dependencies: Dependencies) -> None:
        """Set the components that the decision loop calls."""
        self._dependencies = dependencies

    @property
    def dependencies(self) -> Dependencies:
        """The components that the decision loop calls."""
        assert self._dependencies is not None
        return self._dependencies

    async def run(self) -> None:
        """Handle messages and do the timed work until the task is cancelled."""
        while True:
            try:
                async with asyncio.timeout(self.max_wait().total_seconds()):
                    received = await self.inbox.drain()
            except TimeoutError:
                received = []
            for message in received:
                self.handle(message)
            self.tick()

    def max_wait(self) -> datetime.timedelta:
        """Return the longest time to wait for messages before the next tick."""
        is_busy = self.gateway.open_jobs() or self.broker.counts()["jobs"]
        interval = BUSY_TICK_INTERVAL if is_busy else IDLE_TICK_INTERVAL
        until_heartbeat = self._next_heartbeat - self.clock.now()
        return max(MIN_WAIT, min(interval, until_heartbeat))

    def handle(self, message: messages.Message) -> None:
        """Handle one message; settle what it began if that fails."""
        now = self.clock.now()
        self.dispatch(type(message).__name__, message, now)

    def dispatch(self, kind: str, message: typing.Any, now: datetime.datetime) -> None:
        """Call the handler of a kind of message, and its failure handler if it fails.

        Parameters
        ----------
        kind : str
            Name under which the handler is registered.
        message : object
            Argument of the handler.
        now : datetime.datetime
            Present instant.
        """
        try:
            handlers.get(kind)(self, message, now)
        except Exception as exc:
            self._log_failure("Message failed.", kind, message, exc)
            if kind in failure_handlers.names():
                with self._logging_failure("Failure not settled.", kind, message):
                    failure_handlers.get(kind)(self, message, now)

    @contextlib.contextmanager
    def _logging_failure(
        self, text: str, kind: str, subject: typing.Any
    ) -> collections.abc.Iterator[None]:
        """Log an exception of the enclosed statements and go on after them."""
        try:
            yield
        except Exception as exc:
            self._log_failure(text, kind, subject, exc)

    def _log_failure(
        self, text: str, kind: str, subject: typing.Any, exc: Exception
    ) -> None:
        """Log and count an exception, with its place and what was being handled."""
        self.dependencies.metrics.count_decision("failed", kind)
        logs.log_error(
            "desk", text, exc, kind=kind, where=logs.location(exc),
            subject=str(subject)[:MAX_LOGGED_CHARACTERS],
        )  # fmt: skip

    def tick(self) -> None:
        """Do the timed work: deadlines, silent peers, claims and heartbeats."""
        now = self.clock.now()
        for step in _TIMED_STEPS:
            with self._logging_failure("Timed step failed.", step.__name__, ""):
                step(self, now)

    def _check_broker(self, now: datetime.datetime) -> None:
        self.perform(self.broker.tick(now), now)

    def _request_reports(self, now: datetime.datetime) -> None:
        self.dependencies.reports.set_needed(
            bool(self.broker.tokens())
            or self.election.has_data_centre_without_daemons(now)
        )

    def _check_gateway(self, now: datetime.datetime) -> None:
        self.perform(self.gateway.tick(now), now)

    def _claim_data_centres(self, now: datetime.datetime) -> None:
        for claim in self.election.next_claims(now):
            logs.log_event(
                "tenure", "Claim.", data_centre=claim.data_centre, token=claim.token,
                cause=claim.cause,
            )  # fmt: skip
            self.dependencies.claims.claim(claim.data_centre, claim.token)

    # Actions

    def perform(
        self, actions: collections.abc.Iterable[typing.Any], now: datetime.datetime
    ) -> None:
        """Carry out the actions that a decision returned, in order.

        One that fails does not keep the others from being carried out, since the
        decision has already changed the state as if all were.
        """
        for action in actions:
            kind = type(action).__name__
            with self._logging_failure("Action failed.", kind, action):
                action_handlers.get(kind)(self, action, now)

    def log_decision(
        self, name: str, subject: str, fields: dict[str, typing.Any]
    ) -> None:
        """Log a decision and count it in the metrics.

        Parameters
        ----------
        name : str
            Name of the decision.
        subject : str
            Identifier of the job, worker or data centre.
        fields : dict of str to object
            Inputs and outcome; ``reason`` or else ``how`` is the metric's outcome.
        """
        outcome = str(fields.get("reason") or fields.get("how") or "")
        self.dependencies.metrics.count_decision(name, outcome)
        logs.log_event("decision", name, id=subject, **fields)

    # Peers

    def send(self, peer: daemons.Daemon, message: stream_messages.Message) -> None:
        """Send a message to a daemon, which may be this one.

        A message to a daemon without a stream is dropped; the gateway sends open
        shards again when a stream opens.
        """
        if peer == self.me:
            self.inbox.put(messages.PeerMessagesReceived(self.me, (message,)))
            return
        stream = self._streams.get(peer.vm)
        if stream is not None:
            stream.send(message)

    def update_streams(self) -> None:
        """Open streams to new daemons; close those to ended or restarted ones."""
        wanted = {peer.vm: peer for peer in self.election.peers()}
        for vm, stream in list(self._streams.items()):
            if wanted.get(vm) != stream.peer:
                self._streams.pop(vm).close()
        for vm, peer in wanted.items():
            if vm not in self._streams:
                self._streams[vm] = self._open_stream(peer)

    def handle_heartbeat(
        self,
        sender: daemons.Daemon,
        heartbeat: stream_messages.Heartbeat,
        now: datetime.datetime,
    ) -> None:
        """Record a daemon's heartbeat: its state, the holders and the loads it knows.

        A heartbeat of an unknown incarnation means that the daemon has restarted, so
        the shards of its earlier incarnation are withdrawn. The stream to the sender
        is restarted if the sender receives nothing from this daemon.
        """
        if sender.vm not in self._last_heartbeats:
            logs.log_event("peers", "Daemon reachable.", vm=sender.vm)
        self._last_heartbeats[sender.vm] = now
        if self.election.daemon(sender.vm, sender.incarnation) is None:
            self.perform(self.broker.handle_gateway_lost(sender.vm, now), now)
        self.election.record_message(sender, heartbeat.is_leaving, now)
        for holder in heartbeat.holders:
            self.record_holder(holder, now)
        self._update_brokers(now)
        for data_centre, load in heartbeat.loads:
            self.gateway.record_load(sender, data_centre, load)
        stream = self._streams.get(sender.vm)
        if stream is None or stream.peer != sender:
            self.update_streams()
            return
        receives_nothing = (
            heartbeat.last_received_age_ms < 0
            or heartbeat.last_received_age_ms > RECEIVE_TIMEOUT_MS
        )
        last = self._last_restarts.get(sender.vm)
        if receives_nothing and (last is None or now - last > STREAM_RESTART_INTERVAL):
            self._last_restarts[sender.vm] = now
            stream.restart()

    def _drop_silent_peers(self, now: datetime.datetime) -> None:
        """Withdraw shards of daemons without a heartbeat for ``SUSPECT_AFTER``."""
        for vm, at in list(self._last_heartbeats.items()):
            if now - at < holder_election.SUSPECT_AFTER:
                continue
            del self._last_heartbeats[vm]
            logs.log_event("peers", "Daemon unreachable.", vm=vm)
            self.perform(self.broker.handle_gateway_lost(vm, now), now)

    def record_holder(self, holder: daemons.Holder, now: datetime.datetime) -> None:
        """Record a holder; hold or release the data centre's workers accordingly.

        A holder that is not newer than the recorded one changes nothing.
        """
        if not self.election.record_holder(holder, now):
            return
        data_centre = holder.data_centre
        logs.log_event(
            "tenure",
            "Holder.",
            data_centre=data_centre,
            vm=holder.vm,
            token=holder.token,
        )
        if self.election.is_own(holder):
            self.perform(self.broker.start_holding(data_centre, holder.token, now), now)
            self.dependencies.reports.refresh()
        elif data_centre in self.broker.tokens():
            self.perform(self.broker.stop_holding(data_centre), now)
        self.update_worker_links()

    def update_worker_links(self) -> None:
        """Close links to workers that are not held; make the next heartbeat due now."""
        self.dependencies.workers.close_except(self.broker.worker_ids())
        self._next_heartbeat = self.clock.now()

    def _update_brokers(self, now: datetime.datetime) -> None:
        """Give the gateway the broker of this daemon and those of responsive ones."""
        reachable = {}
        for holder in self.election.holders():
            daemon = self.election.daemon(holder.vm, holder.incarnation)
            if daemon is None:
                continue
            if holder.data_centre in self.broker.tokens() or (
                daemon != self.me
                and self.election.is_responsive(holder.vm, holder.incarnation, now)
            ):
                reachable[holder.data_centre] = gateway.ReachableBroker(holder, daemon)
        self.perform(self.gateway.update_brokers(reachable, now), now)

    def _send_due_heartbeats(self, now: datetime.datetime) -> None:
        """Send heartbeats at their interval, and earlier if the load has changed."""
        if now >= min(self._next_load_check, self._next_heartbeat):
            self._next_load_check = now + LOAD_CHECK_INTERVAL
            loads_by_data_centre = self.broker.loads_by_data_centre(now)
            for data_centre, load in loads_by_data_centre:
                self.gateway.record_load(self.me, data_centre, load)
            if loads_by_data_centre != self._sent_loads:
                self._sent_loads = loads_by_data_centre
                self._next_heartbeat = now
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_INTERVAL
            self._send_heartbeats(now)

    def _send_heartbeats(self, now: datetime.datetime) -> None:
        version = self.configuration.version if self.configuration else 0
        for vm, stream in self._streams.items():
            at = self._last_heartbeats.get(vm)
            age_ms = -1.0 if at is None else clock.to_milliseconds(now - at)
            stream.send(
                stream_messages.Heartbeat(
                    self.is_leaving,
                    self.election.holders(),
                    self._sent_loads,
                    age_ms,
                    version,
                )
            )
        self.dependencies.metrics.set_sizes(
            {**self.broker.counts(), "open_calls": self.gateway.open_jobs()}
        )

    # Shutdown

    def start_leaving(self, now: datetime.datetime) -> None:
        """Start a graceful shutdown.

        Other daemons claim this daemon's data centres, and jobs whose clients wait here
        are finished.
        """
        logs.log_event("desk", "Leaving.", open_calls=self.gateway.open_jobs())
        self.is_leaving = True
        self.election.is_leaving = True
        self._next_heartbeat = now

    def _end_if_idle(self, now: datetime.datetime) -> None:
        if not self.is_leaving:
            return
        is_idle = (
            not self.gateway.open_jobs()
            and not self.dependencies.replies.waiting_count()
        )
        if is_idle and not self.broker.tokens():
            self.has_ended.set()

    def close(self) -> None:
        """Close the streams to other daemons and the links to workers."""
        for stream in self._streams.values():
            stream.close()
        self.dependencies.workers.close()


_TIMED_STEPS = (
    DecisionLoop._check_broker,
    DecisionLoop._drop_silent_peers,
    DecisionLoop._request_reports,
    DecisionLoop._update_brokers,
    DecisionLoop._check_gateway,
    DecisionLoop._claim_data_centres,
    DecisionLoop._send_due_heartbeats,
    DecisionLoop._end_if_idle,
)
"""What a tick does, in this order."""


def _ignore(limits: jobs.Limits) -> None:
    """Do nothing; default of ``apply_limits`` until an HTTP server is set."""


class PeerReceiver:
    """Decodes frames of other daemons and passes the messages to the decision loop.

    Parameters
    ----------
    loop_inbox : inbox.Inbox
        Inbox of the decision loop.
    """

    def __init__(self, loop_inbox: "inbox.Inbox[messages.Message]") -> None:
        self._loop_inbox = loop_inbox
        self._unidentified: set[int] = set()

    def on_open(self, connection: int) -> None:
        """Record a stream whose sender is unknown until its first frame."""
        self._unidentified.add(connection)

    def on_frame(self, connection: int, data: bytes) -> None:
        """Decode a frame; log and discard one that cannot be decoded."""
        try:
            sender, received = stream_messages.decode(data)
        except errors.BadFrameError as exc:
            logs.log_error("peers", "Bad frame.", exc)
            return
        if connection in self._unidentified:
            self._unidentified.discard(connection)
            self._loop_inbox.put(messages.StreamOpened(sender))
        self._loop_inbox.put(messages.PeerMessagesReceived(sender, tuple(received)))
