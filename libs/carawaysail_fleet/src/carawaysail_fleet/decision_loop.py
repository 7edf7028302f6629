"""The decision loop: the asyncio task that makes all decisions of a daemon.

The task alone owns the broker, the gateway and the holder election. All input reaches
it as messages through one inbox and is handled in order of arrival. ``handlers`` maps
the type name of a message to the function that handles it; ``action_handlers`` maps
the type name of an action, which a decision returns, to the function that carries it
out. An exception ends only the handling of one message, action or timed step: it is
logged, and ``failure_handlers`` maps the type name of a message or an action to the
function that then settles what it began.
"""

import asyncio
import collections.abc
import datetime
import typing

from carawaysail_fleet import (
    front_end,
    messages,
    metrics,
    peer_links,
    ports,
    replies,
    store_tasks,
    worker_links,
)
from carawaysail_holding import (
    broker,
    broker_messages,
    contacts,
    gateway,
    holder_election,
    loads,
)
from carawaysail_runtime import inbox, logs, turns
from carawaysail_streams import messages as stream_messages
from carawaysail_types import clock, daemons, jobs, registry

BUSY_TICK_INTERVAL = clock.milliseconds(20)
"""Interval of checks for deadlines, expired leases and load while shards run here."""

TICKS_PER_HEARTBEAT = 2
"""Checks of other daemons and of claims for each heartbeat interval."""

HEARTBEATS_PER_REFRESH = 4
"""One heartbeat in so many repeats the known holders, and the load if it is unchanged:
gateways subtract what they have planned from the load until the next report."""

DELAY_WEIGHT = 0.2
"""Weight of the last tick in the moving average of the loop's delay."""

MIN_WAIT = clock.milliseconds(1)
"""Shortest wait for messages, also if a tick is overdue."""

MAX_KNOWN_AGE = clock.milliseconds(200)
"""Time for which clients may have left unnoticed; beyond, the loop reads before it
decides anything."""

CATCH_UP_TURNS = turns.MAX_TURNS + 2
"""Turns of the event loop after which a pause does not count any more."""

MAX_CATCH_UP = clock.milliseconds(100)
"""Longest time for these turns, as heartbeats wait for them."""

MAX_INBOX_MESSAGES = 20_000
"""Size of the inbox; without effect while all messages are added by ``Inbox.put``."""

MAX_LOGGED_CHARACTERS = 600
"""Length to which a message that failed is cut in the log."""

Handler = collections.abc.Callable[
    ["DecisionLoop", typing.Any, datetime.datetime], None
]

TimedStep = collections.abc.Callable[["DecisionLoop", datetime.datetime], None]

handlers: registry.Registry[Handler] = registry.Registry(
    "decision loop message handlers"
)
action_handlers: registry.Registry[Handler] = registry.Registry(
    "decision loop action handlers"
)
failure_handlers: registry.Registry[Handler] = registry.Registry(
    "decision loop failure handlers"
)


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
        Passes outcomes to the front end.
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
    observer : turns.Observer, optional
        Observer of the event loop; by default one that is never late.

    Attributes
    ----------
    configuration : jobs.Configuration or None
        Newest configuration that was read from the store; ``None`` before the first.
    has_ended : asyncio.Event
        Set while the daemon is leaving, holds no workers, and no client waits.
    apply_limits : callable
        Called with the request limits of each newer configuration.
    """

    def __init__(
        self,
        cfg: ports.Settings,
        me: daemons.Daemon,
        own_inbox: "inbox.Inbox[messages.Message]",
        source: clock.Clock,
        open_stream: peer_links.OpenStream,
        random_state: int | None = None,
        observer: turns.Observer | None = None,
    ) -> None:
        now = source.now()
        self._observer = observer or turns.Immediate(source)
        self._own_id = broker_messages.GatewayId(me.vm, me.incarnation)
        self.cfg = cfg
        self.me = me
        self.inbox = own_inbox
        self.clock = source
        self.broker = broker.Broker(cfg.terms, cfg.policy_names)
        self.gateway = gateway.Gateway(me, cfg.admission, random_state)
        self.election = holder_election.HolderElection(me, cfg.data_centres, now)
        self._set_gateway_pace()
        self.configuration: jobs.Configuration | None = None
        self.is_leaving = False
        self.has_ended = asyncio.Event()
        self.apply_limits: collections.abc.Callable[[jobs.Limits], None] = _ignore
        self._dependencies: Dependencies | None = None
        self._links = peer_links.PeerLinks(open_stream)
        self._last_received: dict[str, datetime.datetime] = {}
        self._started_at = now
        # Newest readings of the clocks of other daemons.
        self._peer_clocks_ms: dict[daemons.Daemon, float] = {}
        self._sent_loads: tuple[tuple[str, tuple[loads.ServiceLoad, ...]], ...] = ()
        self._sent_holders: tuple[daemons.Holder, ...] = ()
        self._last_tick = self._next_slow_tick = now
        self._slow_tick_interval = self._find_slow_tick_interval()
        self._heartbeat_count = 0
        # Moving average of the time by which ticks are late.
        self._delay_ms = 0.0
        self._next_heartbeat = now
        self._next_loads = now
        self._step_failures: set[tuple[str, str]] = set()
        # Brokers that have refused a submission as too old.
        self._resubmit_to: set[daemons.Daemon] = set()

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
            wait_s = self.max_wait().total_seconds()
            received = await self.inbox.drain(wait_s)
            if self._is_behind():
                received = await self._catch_up(received)
            is_failed, next_tick = False, self._next_tick()
            if self.clock.now() >= next_tick:
                is_failed, next_tick = not self.tick(), self._next_tick()
            for message in received:
                handled_at = self.handle(message)
                # Heartbeats and leases must not wait for many messages.
                if handled_at >= next_tick:
                    is_failed, next_tick = not self.tick(), self._next_tick()
            if is_failed:
                await asyncio.sleep(BUSY_TICK_INTERVAL.total_seconds())

    def _is_behind(self) -> bool:
        return self.known_age_ms() > clock.to_milliseconds(MAX_KNOWN_AGE)

    async def _catch_up(
        self, received: list[messages.Message]
    ) -> list[messages.Message]:
        """Read what has come during a pause; handle the ends of clients before it.

        Daemons that have sent something meanwhile do not count as silent.

        Parameters
        ----------
        received : list of messages.Message
            Messages that have been received and not handled.

        Returns
        -------
        list of messages.Message
            Messages that are left to handle.
        """
        until = self.clock.now() + MAX_CATCH_UP
        for _ in range(CATCH_UP_TURNS):
            await asyncio.sleep(0)
            if not self._is_behind() or self.clock.now() >= until:
                break
        received = [*received, *await self.inbox.drain(0.0)]
        left = set()
        for message in received:
            if isinstance(message, messages.ClientLeft):
                self.handle(message)
                left.add(message.reply_id)
        # A job whose client has left as well is not begun.
        received = [
            x
            for x in received
            if not isinstance(x, messages.ClientLeft | messages.JobPosted)
            or x.reply_id not in left
        ]
        return self._handle_news_of_daemons([*received, *await self.inbox.drain(0.0)])

    def _handle_news_of_daemons(
        self, received: list[messages.Message]
    ) -> list[messages.Message]:
        """Handle this daemon's messages to itself; record who else has sent any.

        The former withdraw the shards of clients that have left.

        Returns
        -------
        list of messages.Message
            Messages that are left to handle.
        """
        remaining: list[messages.Message] = []
        heard: dict[daemons.Daemon, None] = {}
        for message in received:
            if not isinstance(message, messages.PeerMessagesReceived):
                remaining.append(message)
            elif message.sender == self.me:
                self.handle(message)
            else:
                heard[message.sender] = None
                remaining.append(message)
        for sender in heard:
            now = self.clock.now()
            news = messages.PeerMessagesReceived(sender, (), now)
            self.dispatch(type(news).__name__, news, now)
        return remaining

    def max_wait(self) -> datetime.timedelta:
        """Return the longest time to wait for messages before the next tick."""
        return max(MIN_WAIT, self._next_tick() - self.clock.now())

    def _next_tick(self) -> datetime.datetime:
        # The load of a holder whose clients wait must reach the gateways soon.
        is_busy = self.broker.open_shards() or (
            self.gateway.open_jobs() and self.broker.is_holding()
        )
        interval = BUSY_TICK_INTERVAL if is_busy else self._slow_tick_interval
        next_tick = min(self._last_tick + interval, self._next_heartbeat)
        job_due = self.gateway.next_due()
        return next_tick if job_due is None else min(next_tick, job_due)

    def handle(self, message: messages.Message) -> datetime.datetime:
        """Handle one message; settle what it began if that fails.

        Returns
        -------
        datetime.datetime
            When its handling began.
        """
        now = self.clock.now()
        self.dispatch(type(message).__name__, message, now)
        return now

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
            self._settle_failure(kind, message, now)

    def _settle_failure(
        self, kind: str, subject: typing.Any, now: datetime.datetime
    ) -> None:
        """Call the failure handler of a kind of message or action, if it has one."""
        if kind not in failure_handlers.names():
            return
        try:
            failure_handlers.get(kind)(self, subject, now)
        except Exception as exc:
            self._log_failure("Failure not settled.", kind, subject, exc)

    def _log_failure(
        self, text: str, kind: str, subject: typing.Any, exc: Exception
    ) -> None:
        """Log and count an exception, with its place and what was being handled."""
        self.dependencies.metrics.count_decision("failed", kind)
        logs.log_error(
            "desk", text, exc, kind=kind, where=logs.location(exc),
            subject=str(subject)[:MAX_LOGGED_CHARACTERS],
        )  # fmt: skip

    def tick(self) -> bool:
        """Do the timed work: deadlines, silent peers, claims and heartbeats.

        A step that fails is logged, once if the type of its exception repeats.

        Returns
        -------
        bool
            Whether all steps were done.
        """
        now = self.clock.now()
        late_ms = max(0.0, clock.to_milliseconds(now - self._next_tick()))
        self._delay_ms += DELAY_WEIGHT * (late_ms - self._delay_ms)
        self._last_tick = now
        # Disconnects of clients that came before have been read and handled.
        self.broker.record_own_gateway(self._own_id, self._observer.handled_until())
        steps: tuple[TimedStep, ...] = _TIMED_STEPS
        if now >= self._next_slow_tick:
            self._next_slow_tick = now + self._slow_tick_interval
            steps = (*_SLOW_STEPS, *_TIMED_STEPS)
        failures = set()
        for step in steps:
            try:
                step(self, now)
            except Exception as exc:
                failure = (step.__name__, type(exc).__name__)
                failures.add(failure)
                if failure not in self._step_failures:
                    self._log_failure("Timed step failed.", step.__name__, "", exc)
        self._step_failures = failures
        return not failures

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
            try:
                action_handlers.get(kind)(self, action, now)
            except Exception as exc:
                self._log_failure("Action failed.", kind, action, exc)
                self._settle_failure(kind, action, now)

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
            sent_at = self.clock.now()
            self.inbox.put(messages.PeerMessagesReceived(self.me, (message,), sent_at))
            return
        self._links.send(peer, message)

    def send_on_all(
        self, peer: daemons.Daemon, message: stream_messages.Message
    ) -> None:
        """Send a message to another daemon on each connection to it."""
        self._links.send_on_all(peer, message)

    def broadcast(self, message: stream_messages.Message) -> None:
        """Send a message to all other daemons that there is a connection to."""
        self._links.broadcast(message)

    def tell_workers(self, peer: daemons.Daemon) -> None:
        """Tell a daemon which workers may get orders of this one."""
        for worker_set in self.broker.worker_sets():
            self.send(peer, stream_messages.HeldWorkers(worker_set))

    def restate_shards(self, peer: daemons.Daemon, now: datetime.datetime) -> None:
        """Submit a daemon's open shards again, and state that it has no others."""
        self.perform(self.gateway.resend_shards(peer), now)
        self.perform(self.gateway.state_shards([peer]), now)

    def submit_again(self, peer: daemons.Daemon) -> None:
        """Submit a daemon's open shards again with the next heartbeat."""
        self._resubmit_to.add(peer)

    def update_streams(self, now: datetime.datetime) -> None:
        """Open streams to the daemons that are wanted as contacts; close the others."""
        self._links.update(self.election.update_contacts(now))
        self._slow_tick_interval = self._find_slow_tick_interval()
        self._set_gateway_pace()
        self.gateway.record_gateway_count(self.election.fleet_size())

    def _set_gateway_pace(self) -> None:
        """Give the broker the times in which gateways state that they wait."""
        pace = self.election.pace()
        self.broker.gateway_timeout = pace.suspect_after()
        self.broker.statement_interval = pace.heartbeat_interval

    def _find_slow_tick_interval(self) -> datetime.timedelta:
        return self.election.pace().heartbeat_interval / TICKS_PER_HEARTBEAT

    def accept(
        self,
        sender: daemons.Daemon,
        connection: peer_links.Connection,
        now: datetime.datetime,
    ) -> None:
        """Use a connection that another daemon has opened, and send it all news."""
        self.record_sender(sender, now)
        self._links.accept(sender, connection)
        connection.send(
            stream_messages.Heartbeat(
                self.is_leaving, self.election.holders(), self._clock_ms(now)
            )
        )
        if self._sent_loads:
            load = stream_messages.Loads(
                self._sent_loads, round(self._delay_ms), self._clock_ms(now)
            )
            connection.send(load)
        for worker_set in self.broker.worker_sets():
            connection.send(stream_messages.HeldWorkers(worker_set))

    def forget(self, sender: daemons.Daemon, connection: peer_links.Connection) -> None:
        """Drop a connection that another daemon had opened and that has ended."""
        self._links.forget(sender, connection)

    def record_sender(self, sender: daemons.Daemon, now: datetime.datetime) -> None:
        """Record that messages of a daemon have arrived, so that it is alive.

        An unknown incarnation means that the daemon has restarted, so the shards of its
        earlier incarnation are withdrawn.
        """
        if sender == self.me:
            return
        if sender.vm not in self._last_received:
            logs.log_event("peers", "Daemon reachable.", vm=sender.vm)
        self._last_received[sender.vm] = now
        vm, incarnation = sender.vm, sender.incarnation
        if self.election.daemon(vm, incarnation) is not None:
            was_responsive = self.election.is_responsive(vm, incarnation, now)
            self.election.record_message(sender, None, now)
            if not was_responsive:
                self._update_brokers(now)
                # One that stood still does not act on what it was sent meanwhile.
                self.restate_shards(sender, now)
            return
        lost = self.broker.handle_gateway_lost(sender.vm, now, sender.incarnation)
        self.perform(lost, now)
        self.election.record_message(sender, None, now)
        self.update_streams(now)

    def _clock_ms(self, now: datetime.datetime) -> float:
        """Return the reading of this daemon's clock that it sends to others."""
        return round(clock.to_milliseconds(now - self._started_at), 3)

    def clock_instant(self, clock_ms: float | None) -> datetime.datetime | None:
        """Return the instant of a reading of this daemon's clock, ``None`` for none."""
        if clock_ms is None:
            return None
        return self._started_at + clock.milliseconds(clock_ms)

    def peer_clock_ms(self, peer: daemons.Daemon) -> float | None:
        """Return the newest reading of a daemon's clock, ``None`` without any."""
        if peer == self.me:
            return self._clock_ms(self.clock.now())
        return self._peer_clocks_ms.get(peer)

    def known_age_ms(self) -> float:
        """Return for how long clients may have left unnoticed, in milliseconds."""
        age = self.clock.now() - self._observer.handled_until()
        return round(max(0.0, clock.to_milliseconds(age)), 3)

    def _record_peer_clock(self, peer: daemons.Daemon, clock_ms: float) -> None:
        known_ms = self._peer_clocks_ms.get(peer, 0.0)
        self._peer_clocks_ms[peer] = max(known_ms, clock_ms)

    def handle_heartbeat(
        self,
        sender: daemons.Daemon,
        heartbeat: stream_messages.Heartbeat,
        now: datetime.datetime,
    ) -> None:
        """Record a daemon's heartbeat: its state and the holders that it knows."""
        self._record_peer_clock(sender, heartbeat.clock_ms)
        self.election.record_message(sender, heartbeat.is_leaving, now)
        for holder in heartbeat.holders:
            self.record_holder(holder, now)

    def handle_loads(self, sender: daemons.Daemon, load: stream_messages.Loads) -> None:
        """Record the load of the workers that a daemon holds."""
        self._record_peer_clock(sender, load.clock_ms)
        for data_centre, service_loads in load.loads:
            self.gateway.record_load(sender, data_centre, service_loads, load.delay_ms)

    def _drop_silent_peers(self, now: datetime.datetime) -> None:
        """Forget daemons that have sent nothing for too long."""
        suspect_after = self.election.suspect_after()
        for vm, at in list(self._last_received.items()):
            if now - at < suspect_after:
                continue
            del self._last_received[vm]
            logs.log_event("peers", "Daemon unreachable.", vm=vm)
        self._peer_clocks_ms = {
            k: v for k, v in self._peer_clocks_ms.items() if k.vm in self._last_received
        }

    def record_holder(self, holder: daemons.Holder, now: datetime.datetime) -> None:
        """Record a holder; hold or release the data centre's workers accordingly.

        A holder that is not newer than the recorded one changes nothing.
        """
        data_centre = holder.data_centre
        former = self.election.holder(data_centre)
        if not self.election.record_holder(holder, now):
            return
        logs.log_event(
            "tenure",
            "Holder.",
            data_centre=data_centre,
            vm=holder.vm,
            token=holder.token,
        )
        if self.election.is_own(holder):
            # A claim replaces the holder that is known here, or fails.
            former_token = former.token if former is not None else 0
            actions = self.broker.start_holding(
                data_centre, holder.token, now, former_token
            )
            self.perform(actions, now)
            self.dependencies.reports.set_needed(True)
            self.dependencies.reports.refresh()
        elif data_centre in self.broker.tokens():
            self.perform(self.broker.stop_holding(data_centre), now)
        self.update_worker_links()
        self._update_brokers(now)

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
        if self.broker.is_holding():
            self.broker.record_live_gateways(
                frozenset(
                    broker_messages.GatewayId(x.vm, x.incarnation)
                    for x in self.election.live_peers(now)
                )
            )
        self.perform(self.gateway.update_brokers(reachable, now), now)

    def _send_due_messages(self, now: datetime.datetime) -> None:
        """Send heartbeats and load reports that are due.

        The holders come first: a load counts only as that of a known holder.
        """
        is_heartbeat_due = now >= self._next_heartbeat
        is_refresh = is_heartbeat_due and self._is_refresh_due()
        if is_heartbeat_due:
            self._send_heartbeats(now)
        self._send_due_loads(is_refresh, now)

    def _send_due_loads(self, is_refresh: bool, now: datetime.datetime) -> None:
        """Report the load of the held workers if it has changed or is repeated."""
        if now < self._next_loads and not is_refresh:
            return
        held = self.broker.loads_by_data_centre(now)
        delay_ms = round(self._delay_ms)
        for data_centre, load in held:
            self.gateway.record_load(self.me, data_centre, load, delay_ms)
        if held == self._sent_loads and not (held and is_refresh):
            self._next_loads = now + contacts.MIN_LOADS_INTERVAL
            return
        self._sent_loads = held
        count, size_bytes = self._links.broadcast(
            stream_messages.Loads(held, delay_ms, self._clock_ms(now))
        )
        listeners = contacts.Listeners(
            count, len(self.election.holders()), self.election.least_processor_milli()
        )
        self._next_loads = now + contacts.loads_interval(
            listeners, size_bytes, self.cfg.limits
        )

    def _is_refresh_due(self) -> bool:
        return self._heartbeat_count % HEARTBEATS_PER_REFRESH == 0

    def _send_heartbeats(self, now: datetime.datetime) -> None:
        """Send a heartbeat on each connection that needs one."""
        pace = self.election.pace()
        self._next_heartbeat = now + pace.heartbeat_interval
        self.perform(self.gateway.state_shards(), now)
        resubmit_to, self._resubmit_to = self._resubmit_to, set()
        for peer in resubmit_to:
            self.perform(self.gateway.resend_shards(peer), now)
        heartbeat = self._heartbeat(self._is_refresh_due(), now)
        self._heartbeat_count += 1
        has_news = heartbeat.is_leaving or bool(heartbeat.holders)
        self._links.send_heartbeat(heartbeat, has_news, pace.missed)
        self.dependencies.metrics.set_sizes(
            {
                **self.broker.counts(),
                "open_calls": self.gateway.open_jobs(),
                "delay_ms": round(self._delay_ms),
            }
        )

    def _heartbeat(
        self, with_holders: bool, now: datetime.datetime
    ) -> stream_messages.Heartbeat:
        """Return a heartbeat; with the holders if asked for, or if they changed."""
        holders = self.election.holders()
        if holders == self._sent_holders and not with_holders:
            holders = ()
        else:
            self._sent_holders = holders
        return stream_messages.Heartbeat(self.is_leaving, holders, self._clock_ms(now))

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
        else:
            # A request that came meanwhile has to be answered as well.
            self.has_ended.clear()

    def close(self) -> None:
        """Close the streams to other daemons and the links to workers."""
        self._links.close()
        self.dependencies.workers.close()


_TIMED_STEPS = (
    DecisionLoop._check_broker,
    DecisionLoop._check_gateway,
    DecisionLoop._send_due_messages,
    DecisionLoop._end_if_idle,
)
"""What each tick does, in this order."""

_SLOW_STEPS = (
    DecisionLoop.update_streams,
    DecisionLoop._drop_silent_peers,
    DecisionLoop._request_reports,
    DecisionLoop._update_brokers,
    DecisionLoop._claim_data_centres,
)
"""What a tick does first, ``TICKS_PER_HEARTBEAT`` times a heartbeat, in this order."""


def _ignore(limits: jobs.Limits) -> None:
    """Do nothing; default of ``apply_limits`` until an HTTP server is set."""
