"""The desk: the task that owns all decisions of a daemon.

Everything reaches it as a message, in order. A registry says what each kind of message
does; another one says what each kind of action becomes.
"""

import asyncio
import collections.abc
import datetime
import typing

from carawaysail_fleet import (
    front,
    messages,
    meters,
    ports,
    replies,
    storetasks,
    workerlinks,
)
from carawaysail_holding import broker, events, gateway, loads, tenure
from carawaysail_runtime import inbox, logs
from carawaysail_streams import errors
from carawaysail_streams import messages as stream_messages
from carawaysail_types import clock, daemons, jobs, registry, runs

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

Handler = collections.abc.Callable[["Desk", typing.Any, datetime.datetime], None]

handlers: registry.Registry[Handler] = registry.Registry("desk message handlers")
performers: registry.Registry[Handler] = registry.Registry("desk actions")


class Feed(typing.Protocol):
    """A stream of messages to one daemon."""

    peer: daemons.Daemon

    def send(self, message: typing.Any) -> None:
        """Queue a message."""

    def restart(self) -> None:
        """Leave the stream, because the peer does not hear it."""

    def close(self) -> None:
        """End the stream."""


OpenFeed = collections.abc.Callable[[daemons.Daemon], Feed]


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
    front : front.Front
        Takes requests by the configuration.
    """

    workers: workerlinks.WorkerLinks
    claims: storetasks.ClaimTask
    reports: storetasks.ReportsTask
    replies: replies.Replies
    meters: meters.Meters
    front: front.Front


class Desk:
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
    open_feed : callable
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
        open_feed: OpenFeed,
        random_state: int | None = None,
    ) -> None:
        now = source.now()
        self.cfg = cfg
        self.me = me
        self.inbox = out
        self.clock = source
        self.broker = broker.Broker(cfg.terms, cfg.policy_names)
        self.gateway = gateway.Gateway(me, cfg.admission, random_state)
        self.tenures = tenure.Tenures(me, cfg.data_centres, now)
        self.configuration: jobs.Configuration | None = None
        self.is_leaving = False
        self.has_ended = asyncio.Event()
        self.on_limits: collections.abc.Callable[[jobs.Limits], None] = _ignore
        self._links: Links | None = None
        self._open_feed = open_feed
        self._feeds: dict[str, Feed] = {}
        self._heard: dict[str, datetime.datetime] = {}
        self._restarted: dict[str, datetime.datetime] = {}
        self._told: tuple[tuple[str, tuple[loads.Load, ...]], ...] = ()
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
                async with asyncio.timeout(self.pause().total_seconds()):
                    taken = await self.inbox.drain()
            except TimeoutError:
                taken = []
            for message in taken:
                self.handle(message)
            self.pass_time()

    def pause(self) -> datetime.timedelta:
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
            logs.fault("desk", "Message failed.", exc, kind=type(message).__name__)

    def pass_time(self) -> None:
        """Do what is due."""
        now = self.clock.now()
        self.perform(self.broker.tick(now), now)
        self._drop_silent(now)
        self.links.reports.want(
            bool(self.broker.tokens()) or self.tenures.has_orphans(now)
        )
        self._update_targets(now)
        self.perform(self.gateway.tick(now), now)
        for claim in self.tenures.decide(now):
            logs.tell(
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
            performers.get(type(action).__name__)(self, action, now)

    def note(self, name: str, subject: str, fields: dict[str, typing.Any]) -> None:
        """Log and count a decision."""
        outcome = str(fields.get("reason") or fields.get("how") or "")
        self.links.meters.decided(name, outcome)
        logs.tell("decision", name, id=subject, **fields)

    # Peers

    def send(self, peer: daemons.Daemon, message: stream_messages.Message) -> None:
        """Send a message to a daemon, this one included."""
        if peer == self.me:
            self.inbox.put(messages.Received(self.me, (message,)))
            return
        feed = self._feeds.get(peer.vm)
        if feed is not None:
            feed.send(message)

    def update_feeds(self) -> None:
        """Open streams to new daemons and close those to daemons that are gone."""
        wanted = {peer.vm: peer for peer in self.tenures.peers()}
        for vm, feed in list(self._feeds.items()):
            if wanted.get(vm) != feed.peer:
                self._feeds.pop(vm).close()
        for vm, peer in wanted.items():
            if vm not in self._feeds:
                self._feeds[vm] = self._open_feed(peer)

    def heard(
        self,
        sender: daemons.Daemon,
        beat: stream_messages.Heartbeat,
        now: datetime.datetime,
    ) -> None:
        """Take a heartbeat."""
        if sender.vm not in self._heard:
            logs.tell("peers", "Daemon heard.", vm=sender.vm)
        self._heard[sender.vm] = now
        if self.tenures.daemon(sender.vm, sender.incarnation) is None:
            self.perform(self.broker.waiters_lost(sender.vm, now), now)
        self.tenures.heard(sender, beat.is_leaving, now)
        for known in beat.tenures:
            self.learn(known, now)
        for place, reported in beat.loads:
            self.gateway.took_load(place, reported)
        feed = self._feeds.get(sender.vm)
        if feed is None or feed.peer != sender:
            self.update_feeds()
            return
        unheard = beat.heard_ms < 0 or beat.heard_ms > UNHEARD_MS
        last = self._restarted.get(sender.vm)
        if unheard and (last is None or now - last > RESTART_EVERY):
            self._restarted[sender.vm] = now
            feed.restart()

    def _drop_silent(self, now: datetime.datetime) -> None:
        for vm, at in list(self._heard.items()):
            if now - at < tenure.SUSPECT:
                continue
            del self._heard[vm]
            logs.tell("peers", "Daemon silent.", vm=vm)
            self.perform(self.broker.waiters_lost(vm, now), now)

    def learn(self, known: daemons.Tenure, now: datetime.datetime) -> None:
        """Take note of a tenure; begin or end to hold workers accordingly."""
        if not self.tenures.learn(known, now):
            return
        place = known.data_centre
        logs.tell(
            "tenure", "Holder.", data_centre=place, vm=known.vm, token=known.token
        )
        if self.tenures.is_mine(known):
            self.perform(self.broker.hold(place, known.token, now), now)
            self.links.reports.refresh()
        elif place in self.broker.tokens():
            self.perform(self.broker.release(place, now), now)
        self.holding_changed()

    def holding_changed(self) -> None:
        """Close links to workers that are not held, and read reports accordingly."""
        self.links.workers.keep(self.broker.worker_ids())
        self._next_heartbeat = self.clock.now()

    def _update_targets(self, now: datetime.datetime) -> None:
        targets = {}
        for known in self.tenures.tenures():
            daemon = self.tenures.daemon(known.vm, known.incarnation)
            if daemon is None:
                continue
            if known.data_centre in self.broker.tokens() or (
                daemon != self.me
                and self.tenures.is_heard(known.vm, known.incarnation, now)
            ):
                targets[known.data_centre] = gateway.Target(known, daemon)
        self.perform(self.gateway.took_targets(targets, now), now)

    def _tell_peers(self, now: datetime.datetime) -> None:
        """Send heartbeats: regularly, and soon after a change of load."""
        if now >= self._next_load and self.broker.tokens():
            self._next_load = now + LOAD_EVERY
            by_place = self.broker.loads_by_place(now)
            for place, measured in by_place:
                self.gateway.took_load(place, measured)
            if by_place != self._told:
                self._told = by_place
                self._next_heartbeat = now
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT
            self._beat(now)

    def _beat(self, now: datetime.datetime) -> None:
        by_place = self.broker.loads_by_place(now)
        version = self.configuration.version if self.configuration else 0
        for vm, feed in self._feeds.items():
            at = self._heard.get(vm)
            age_ms = -1.0 if at is None else clock.to_milliseconds(now - at)
            feed.send(
                stream_messages.Heartbeat(
                    self.is_leaving, self.tenures.tenures(), by_place, age_ms, version
                )
            )
        self.links.meters.sizes(
            {**self.broker.counts(), "open_calls": self.gateway.open_calls()}
        )

    # End

    def leave(self, now: datetime.datetime) -> None:
        """Begin to end: hand the workers over and finish what clients wait for."""
        logs.tell("desk", "Leaving.", open_calls=self.gateway.open_calls())
        self.is_leaving = True
        self.tenures.is_leaving = True
        self._next_heartbeat = now

    def _end_if_idle(self) -> None:
        is_idle = not self.gateway.open_calls() and not self.links.replies.waiting()
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

    def opened(self, connection: int) -> None:
        """Take note of a stream whose sender is not known yet."""
        self._new.add(connection)

    def received(self, connection: int, data: bytes) -> None:
        """Decode a frame; a bad one is logged and passed over."""
        try:
            sender, found = stream_messages.decode(data)
        except errors.BadFrameError as exc:
            logs.fault("peers", "Bad frame.", exc)
            return
        if connection in self._new:
            self._new.discard(connection)
            self._out.put(messages.StreamOpened(sender))
        self._out.put(messages.Received(sender, tuple(found)))


# Messages


@handlers.register("Posted")
def _posted(desk: Desk, message: messages.Posted, now: datetime.datetime) -> None:
    req = message.request
    submission = events.Submission(
        req.job, req.queue, desk.me.data_centre, now, now + req.patience
    )
    desk.perform(desk.gateway.posted(submission, message.reply, now), now)


@handlers.register("ClientLeft")
def _client_left(
    desk: Desk, message: messages.ClientLeft, now: datetime.datetime
) -> None:
    desk.perform(desk.gateway.client_left(message.job_id, message.reply), now)


@handlers.register("Listed")
def _listed(desk: Desk, message: messages.Listed, now: datetime.datetime) -> None:
    worker = message.worker
    if isinstance(message.answer, runs.Listing):
        taken = desk.broker.listed(worker.worker_id, message.answer, message.asked, now)
    else:
        taken = desk.broker.hold_failed(
            worker.worker_id, worker.incarnation, message.answer, now
        )
    desk.perform(taken, now)


@handlers.register("Started")
def _started(desk: Desk, message: messages.Started, now: datetime.datetime) -> None:
    worker = message.worker
    desk.perform(
        desk.broker.start_answered(
            worker.worker_id, worker.incarnation, message.run, message.answer, now
        ),
        now,
    )


@handlers.register("Stopped")
def _stopped(desk: Desk, message: messages.Stopped, now: datetime.datetime) -> None:
    worker = message.worker
    desk.perform(
        desk.broker.stop_answered(
            worker.worker_id, worker.incarnation, message.run, message.answer, now
        ),
        now,
    )


@handlers.register("Configured")
def _configured(
    desk: Desk, message: messages.Configured, now: datetime.datetime
) -> None:
    known = desk.configuration
    found = message.configuration
    if known is not None and found.version <= known.version:
        return
    desk.configuration = found
    desk.on_limits(found.limits)
    desk.links.front.configure(found)
    logs.tell(
        "configuration", "In force.", version=found.version,
        queues=len(found.queues), services=len(found.services),
    )  # fmt: skip


@handlers.register("Reports")
def _reports(desk: Desk, message: messages.Reports, now: datetime.datetime) -> None:
    for place in message.beating:
        desk.tenures.workers_seen(place, now)
    desk.perform(desk.broker.update(message.reports, now, message.asked), now)
    desk.links.workers.keep(desk.broker.worker_ids())


@handlers.register("Members")
def _members(desk: Desk, message: messages.Members, now: datetime.datetime) -> None:
    desk.tenures.listed(message.found, (), now)
    for known in message.tenures:
        desk.learn(known, now)
    desk.update_feeds()


@handlers.register("Claimed")
def _claimed(desk: Desk, message: messages.Claimed, now: datetime.datetime) -> None:
    if message.tenure is not None:
        desk.learn(message.tenure, now)


@handlers.register("StreamOpened")
def _opened(desk: Desk, message: messages.StreamOpened, now: datetime.datetime) -> None:
    desk.perform(desk.gateway.reconnected(message.peer), now)


@handlers.register("Refused")
def _refused(desk: Desk, message: messages.Refused, now: datetime.datetime) -> None:
    desk.tenures.refused(message.peer)


@handlers.register("Received")
def _received(desk: Desk, message: messages.Received, now: datetime.datetime) -> None:
    for item in message.messages:
        handlers.get(type(item).__name__)(desk, (message.sender, item), now)


@handlers.register("Reloaded")
def _reloaded(desk: Desk, message: messages.Reloaded, now: datetime.datetime) -> None:
    desk.broker.set_terms(message.terms)


@handlers.register("Leave")
def _leave(desk: Desk, message: messages.Leave, now: datetime.datetime) -> None:
    desk.leave(now)


# Messages of other daemons

_Sent = tuple[daemons.Daemon, typing.Any]


@handlers.register("Heartbeat")
def _heartbeat(desk: Desk, sent: _Sent, now: datetime.datetime) -> None:
    desk.heard(sent[0], sent[1], now)


@handlers.register("Submit")
def _submit(desk: Desk, sent: _Sent, now: datetime.datetime) -> None:
    sender, message = sent
    submission = events.Submission(
        message.job,
        message.queue,
        message.place,
        now - clock.milliseconds(message.age_ms),
        now + clock.milliseconds(message.left_ms),
        message.part,
        message.tasks,
        message.is_resumed,
        message.workers,
    )
    waiter = events.Waiter(sender.vm, sender.incarnation)
    desk.perform(desk.broker.submit(submission, waiter, now), now)


@handlers.register("Withdraw")
def _withdraw(desk: Desk, sent: _Sent, now: datetime.datetime) -> None:
    waiter = events.Waiter(sent[0].vm, sent[0].incarnation)
    part = events.PartId(sent[1].job_id, sent[1].part, waiter)
    desk.perform(desk.broker.withdraw(part, now), now)


@handlers.register("Begun")
def _begun(desk: Desk, sent: _Sent, now: datetime.datetime) -> None:
    message = sent[1]
    desk.gateway.begun(sent[0], message.job_id, message.part, message.workers)


@handlers.register("Outcome")
def _outcome(desk: Desk, sent: _Sent, now: datetime.datetime) -> None:
    message = sent[1]
    taken = desk.gateway.replied(sent[0], message.job_id, message.part, message.outcome)
    desk.perform(taken, now)


# Actions


@performers.register("StartRun")
def _start(desk: Desk, action: events.StartRun, now: datetime.datetime) -> None:
    desk.links.workers.start(action)


@performers.register("StopRun")
def _stop(desk: Desk, action: events.StopRun, now: datetime.datetime) -> None:
    desk.links.workers.stop(action)


@performers.register("Hold")
def _hold(desk: Desk, action: events.Hold, now: datetime.datetime) -> None:
    desk.links.workers.hold(action)


@performers.register("Reply")
def _reply(desk: Desk, action: events.Reply, now: datetime.datetime) -> None:
    part = action.part
    daemon = desk.tenures.daemon(part.waiter.vm, part.waiter.incarnation)
    if daemon is not None:
        desk.send(
            daemon, stream_messages.Outcome(part.job_id, part.part, action.outcome)
        )


@performers.register("Begun")
def _tell_begun(desk: Desk, action: events.Begun, now: datetime.datetime) -> None:
    part = action.part
    daemon = desk.tenures.daemon(part.waiter.vm, part.waiter.incarnation)
    if daemon is not None:
        desk.send(daemon, stream_messages.Begun(part.job_id, part.part, action.workers))


@performers.register("Fenced")
def _fenced(desk: Desk, action: events.Fenced, now: datetime.datetime) -> None:
    desk.holding_changed()


@performers.register("Note")
def _note(desk: Desk, action: events.Note, now: datetime.datetime) -> None:
    desk.note(action.name, action.subject, action.fields)


@performers.register("SendJob")
def _send_job(desk: Desk, action: gateway.SendJob, now: datetime.datetime) -> None:
    submission = action.submission
    age_ms = clock.to_milliseconds(now - submission.arrived)
    left_ms = clock.to_milliseconds(submission.deadline - now)
    desk.send(action.daemon, stream_messages.submit(submission, age_ms, left_ms))


@performers.register("SendWithdrawal")
def _send_withdrawal(
    desk: Desk, action: gateway.SendWithdrawal, now: datetime.datetime
) -> None:
    desk.send(action.daemon, stream_messages.Withdraw(action.job_id, action.part))


@performers.register("Answer")
def _answer(desk: Desk, action: gateway.Answer, now: datetime.datetime) -> None:
    desk.links.replies.put(action.reply, action.outcome)
