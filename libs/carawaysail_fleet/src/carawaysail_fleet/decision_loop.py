"""The desk: the task that owns all decisions of a daemon.

Everything reaches it as a message, in order. A registry says what each kind of message
does; another one says what each kind of action becomes.
"""

import asyncio
import collections.abc
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

TICK = clock.milliseconds(20)
"""How often deadlines and lost leases are looked at while there is work."""

IDLE_TICK = clock.milliseconds(75)
"""The same while there is none: half a heartbeat."""

HEARTBEAT = clock.milliseconds(150)
LOAD_EVERY = clock.milliseconds(25)
"""How often a change of load is told at most; half of a short task's run time."""

SHORTEST_PAUSE = clock.milliseconds(1)
INBOX_BOUND = 20_000
UNHEARD_MS = 450.0
"""A peer that has not heard this daemon for so long gets a new stream."""

RESTART_EVERY = clock.milliseconds(500)

Handler = collections.abc.Callable[
    ["DecisionLoop", typing.Any, datetime.datetime], None
]

handlers: registry.Registry[Handler] = registry.Registry("desk message handlers")
action_handlers: registry.Registry[Handler] = registry.Registry("desk actions")


class PeerStream(typing.Protocol):
    """A stream of messages to one daemon."""

    peer: daemons.Daemon

    def send(self, message: typing.Any) -> None:
        """Queue a message."""

    def restart(self) -> None:
        """Leave the stream, because the peer does not hear it."""

    def close(self) -> None:
        """End the stream."""


OpenStream = collections.abc.Callable[[daemons.Daemon], PeerStream]


class Links(typing.NamedTuple):
    """What the desk acts through.

    Parameters
    ----------
    workers : workerlinks.WorkerLinks
        Orders to workers.
    claims : storetasks.ClaimTask
        Takes tenures.
    reports : storetasks.ReportsTask
        Reads the workers' reports.
    replies : replies.Replies
        Where threads of clients wait.
    meters : meters.Meters
        Counters.
    front_end : front_end.FrontEnd
        Takes requests by the configuration.
    """

    workers: worker_links.WorkerLinks
    claims: store_tasks.ClaimTask
    reports: store_tasks.ReportsTask
    replies: replies.Replies
    metrics: metrics.DaemonMetrics
    front_end: front_end.FrontEnd


class DecisionLoop:
    """The owner of a daemon's decisions.

    Parameters
    ----------
    cfg : ports.Settings
        Settings of the daemon.
    me : daemons.Daemon
        This daemon.
    out : inbox.Inbox
        Where messages come in.
    source : clock.Clock
        The clock.
    open_stream : callable
        Opens a stream to another daemon.
    random_state : int, optional
        Seeds what is drawn at random.
    """

    def __init__(
        self,
        cfg: ports.Settings,
        me: daemons.Daemon,
        out: "inbox.Inbox[messages.Message]",
        source: clock.Clock,
        open_stream: OpenStream,
        random_state: int | None = None,
    ) -> None:
        now = source.now()
        self.cfg = cfg
        self.me = me
        self.inbox = out
        self.clock = source
        self.broker = broker.Broker(cfg.terms, cfg.policy_names)
        self.gateway = gateway.Gateway(me, cfg.admission, random_state)
        self.election = holder_election.HolderElection(me, cfg.data_centres, now)
        self.configuration: jobs.Configuration | None = None
        self.is_leaving = False
        self.has_ended = asyncio.Event()
        self.apply_limits: collections.abc.Callable[[jobs.Limits], None] = _ignore
        self._links: Links | None = None
        self._open_feed = open_stream
        self._feeds: dict[str, PeerStream] = {}
        self._heard: dict[str, datetime.datetime] = {}
        self._restarted: dict[str, datetime.datetime] = {}
        self._told: tuple[tuple[str, tuple[loads.ServiceLoad, ...]], ...] = ()
        self._next_heartbeat = now
        self._next_load = now

    def connect(self, links: Links) -> None:
        """Take what the desk acts through."""
        self._links = links

    @property
    def links(self) -> Links:
        """What the desk acts through."""
        assert self._links is not None
        return self._links

    async def run(self) -> None:
        """Handle messages and time until cancelled."""
        while True:
            try:
                async with asyncio.timeout(self.max_wait().total_seconds()):
                    taken = await self.inbox.drain()
            except TimeoutError:
                taken = []
            for message in taken:
                self.handle(message)
            self.tick()

    def max_wait(self) -> datetime.timedelta:
        """Return how long to wait for messages at most."""
        is_busy = self.gateway.open_calls() or self.broker.counts()["jobs"]
        tick = TICK if is_busy else IDLE_TICK
        left = self._next_heartbeat - self.clock.now()
        return max(SHORTEST_PAUSE, min(tick, left))

    def handle(self, message: messages.Message) -> None:
        """Handle one message; a failure is logged and leaves the desk as it is."""
        try:
            handler = handlers.get(type(message).__name__)
            handler(self, message, self.clock.now())
        except Exception as exc:
            logs.log_error("desk", "Message failed.", exc, kind=type(message).__name__)

    def tick(self) -> None:
        """Do what is due."""
        now = self.clock.now()
        self.perform(self.broker.tick(now), now)
        self._drop_silent(now)
        self.links.reports.set_needed(
            bool(self.broker.tokens()) or self.election.has_deserted_data_centre(now)
        )
        self._update_targets(now)
        self.perform(self.gateway.tick(now), now)
        for claim in self.election.next_claims(now):
            logs.log_event(
                "tenure", "Claim.", data_centre=claim.data_centre, token=claim.token,
                cause=claim.cause,
            )  # fmt: skip
            self.links.claims.claim(claim.data_centre, claim.token)
        self._tell_peers(now)
        if self.is_leaving:
            self._end_if_idle()

    # Actions

    def perform(
        self, actions: collections.abc.Iterable[typing.Any], now: datetime.datetime
    ) -> None:
        """Carry out what was decided."""
        for action in actions:
            action_handlers.get(type(action).__name__)(self, action, now)

    def log_decision(
        self, name: str, subject: str, fields: dict[str, typing.Any]
    ) -> None:
        """Log and count a decision."""
        outcome = str(fields.get("reason") or fields.get("how") or "")
        self.links.metrics.count_decision(name, outcome)
        logs.log_event("decision", name, id=subject, **fields)

    # Peers

    def send(self, peer: daemons.Daemon, message: stream_messages.Message) -> None:
        """Send a message to a daemon, this one included."""
        if peer == self.me:
            self.inbox.put(messages.PeerMessagesReceived(self.me, (message,)))
            return
        feed = self._feeds.get(peer.vm)
        if feed is not None:
            feed.send(message)

    def update_streams(self) -> None:
        """Open streams to new daemons and close those to daemons that are gone."""
        wanted = {peer.vm: peer for peer in self.election.peers()}
        for vm, feed in list(self._feeds.items()):
            if wanted.get(vm) != feed.peer:
                self._feeds.pop(vm).close()
        for vm, peer in wanted.items():
            if vm not in self._feeds:
                self._feeds[vm] = self._open_feed(peer)

    def handle_heartbeat(
        self,
        sender: daemons.Daemon,
        beat: stream_messages.Heartbeat,
        now: datetime.datetime,
    ) -> None:
        """Take a heartbeat."""
        if sender.vm not in self._heard:
            logs.log_event("peers", "Daemon heard.", vm=sender.vm)
        self._heard[sender.vm] = now
        if self.election.daemon(sender.vm, sender.incarnation) is None:
            self.perform(self.broker.handle_gateway_lost(sender.vm, now), now)
        self.election.record_message(sender, beat.is_leaving, now)
        for known in beat.holders:
            self.record_holder(known, now)
        for place, reported in beat.loads:
            self.gateway.record_load(place, reported)
        feed = self._feeds.get(sender.vm)
        if feed is None or feed.peer != sender:
            self.update_streams()
            return
        unheard = (
            beat.last_received_age_ms < 0 or beat.last_received_age_ms > UNHEARD_MS
        )
        last = self._restarted.get(sender.vm)
        if unheard and (last is None or now - last > RESTART_EVERY):
            self._restarted[sender.vm] = now
            feed.restart()

    def _drop_silent(self, now: datetime.datetime) -> None:
        for vm, at in list(self._heard.items()):
            if now - at < holder_election.SUSPECT_AFTER:
                continue
            del self._heard[vm]
            logs.log_event("peers", "Daemon silent.", vm=vm)
            self.perform(self.broker.handle_gateway_lost(vm, now), now)

    def record_holder(self, known: daemons.Holder, now: datetime.datetime) -> None:
        """Take note of a tenure; begin or end to hold workers accordingly."""
        if not self.election.record_holder(known, now):
            return
        place = known.data_centre
        logs.log_event(
            "tenure", "Holder.", data_centre=place, vm=known.vm, token=known.token
        )
        if self.election.is_own(known):
            self.perform(self.broker.hold(place, known.token, now), now)
            self.links.reports.refresh()
        elif place in self.broker.tokens():
            self.perform(self.broker.release(place), now)
        self.update_worker_links()

    def update_worker_links(self) -> None:
        """Close links to workers that are not held, and read reports accordingly."""
        self.links.workers.close_except(self.broker.worker_ids())
        self._next_heartbeat = self.clock.now()

    def _update_targets(self, now: datetime.datetime) -> None:
        targets = {}
        for known in self.election.holders():
            daemon = self.election.daemon(known.vm, known.incarnation)
            if daemon is None:
                continue
            if known.data_centre in self.broker.tokens() or (
                daemon != self.me
                and self.election.is_responsive(known.vm, known.incarnation, now)
            ):
                targets[known.data_centre] = gateway.ReachableBroker(known, daemon)
        self.perform(self.gateway.update_brokers(targets, now), now)

    def _tell_peers(self, now: datetime.datetime) -> None:
        """Send heartbeats: regularly, and soon after a change of load."""
        if now >= min(self._next_load, self._next_heartbeat):
            self._next_load = now + LOAD_EVERY
            by_place = self.broker.loads_by_data_centre(now)
            for place, measured in by_place:
                self.gateway.record_load(place, measured)
            if by_place != self._told:
                self._told = by_place
                self._next_heartbeat = now
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT
            self._beat(now)

    def _beat(self, now: datetime.datetime) -> None:
        version = self.configuration.version if self.configuration else 0
        for vm, feed in self._feeds.items():
            at = self._heard.get(vm)
            age_ms = -1.0 if at is None else clock.to_milliseconds(now - at)
            feed.send(
                stream_messages.Heartbeat(
                    self.is_leaving,
                    self.election.holders(),
                    self._told,
                    age_ms,
                    version,
                )
            )
        self.links.metrics.set_sizes(
            {**self.broker.counts(), "open_calls": self.gateway.open_calls()}
        )

    # End

    def start_leaving(self, now: datetime.datetime) -> None:
        """Begin to end: hand the workers over and finish what clients wait for."""
        logs.log_event("desk", "Leaving.", open_calls=self.gateway.open_calls())
        self.is_leaving = True
        self.election.is_leaving = True
        self._next_heartbeat = now

    def _end_if_idle(self) -> None:
        is_idle = (
            not self.gateway.open_calls() and not self.links.replies.waiting_count()
        )
        if is_idle and not self.broker.tokens():
            self.has_ended.set()

    def close(self) -> None:
        """Close the streams and links."""
        for feed in self._feeds.values():
            feed.close()
        self.links.workers.close()


def _ignore(limits: jobs.Limits) -> None:
    """Stand in until a server takes the limits."""


class PeerReceiver:
    """Takes frames of other daemons and tells the desk.

    Parameters
    ----------
    out : inbox.Inbox
        The desk's inbox.
    """

    def __init__(self, out: "inbox.Inbox[messages.Message]") -> None:
        self._out = out
        self._new: set[int] = set()

    def on_open(self, connection: int) -> None:
        """Take note of a stream whose sender is not known yet."""
        self._new.add(connection)

    def on_frame(self, connection: int, data: bytes) -> None:
        """Decode a frame; a bad one is logged and passed over."""
        try:
            sender, found = stream_messages.decode(data)
        except errors.BadFrameError as exc:
            logs.log_error("peers", "Bad frame.", exc)
            return
        if connection in self._new:
            self._new.discard(connection)
            self._out.put(messages.StreamOpened(sender))
        self._out.put(messages.PeerMessagesReceived(sender, tuple(found)))
