"""The dispatch task: owns the dispatcher, the register of submissions and the links.

Everything reaches it as a message; a registry says what each kind of message does.
"""

import asyncio
import collections.abc
import datetime
import typing

from carawaysail_decisions import (
    capacity,
    coordinator,
    counters,
    dispatcher,
    events,
    handover,
    ownership,
    submission_status,
)
from carawaysail_entry import effective, replies, target_links, traces
from carawaysail_runtime import inbox, logs
from carawaysail_types import clock, identifiers, registry, work

INBOX_BOUND = 20_000


class Place(typing.NamedTuple):
    """Place a submission that this daemon may own.

    Parameters
    ----------
    submission : work.Submission
        The submission.
    limits : events.Limits
        Settings of its service.
    is_orphan : bool
        Whether it is the only copy for a lost owner, to be bound here.
    reply : replies.Reply
        Takes its standing when it has ended.
    """

    submission: work.Submission
    limits: events.Limits
    is_orphan: bool
    reply: replies.Reply[submission_status.SubmissionStatus]


class Look(typing.NamedTuple):
    """Ask after a submission.

    Parameters
    ----------
    sid : identifiers.SubmissionId
        Its identifier.
    wait : bool
        Whether to reply only when it has ended.
    reply : replies.Reply
        Takes its standing.
    """

    sid: identifiers.SubmissionId
    wait: bool
    reply: replies.Reply[submission_status.SubmissionStatus]


class Cancel(typing.NamedTuple):
    """Cancel submissions that this daemon owns; texts of their identifiers."""

    names: tuple[str, ...]


class FromTarget(typing.NamedTuple):
    """A link has news of a batch."""

    event: target_links.News


class Configure(typing.NamedTuple):
    """Other settings, or other shares of the targets, are in force.

    Parameters
    ----------
    settings : effective.Effective
        The settings.
    shares : dict of str to float
        Share of each target for this daemon.
    """

    settings: effective.Effective
    shares: dict[str, float]


class Suspect(typing.NamedTuple):
    """Other daemons have ejected targets for their failures."""

    targets: tuple[str, ...]


class Drain(typing.NamedTuple):
    """Refuse new work from now on."""


class HandOver(typing.NamedTuple):
    """Close the register and reply with its memory."""

    reply: replies.Reply[tuple[handover.TableSnapshot, ...]]


class Adopt(typing.NamedTuple):
    """Take a piece of the memory of a daemon that ends."""

    piece: handover.Chunk
    reply: replies.Reply[tuple[str, ...]]


class Description(typing.NamedTuple):
    """What the dispatch task says of itself, for status and metrics.

    Parameters
    ----------
    demand, queued, running, unfinished, remembered : int
        Tasks asked for, waiting and with targets; submissions under way and known.
    ejected : tuple of str
        Targets that get nothing for their failures.
    leaving : tuple of str
        Targets that lately told that they are leaving.
    counters : counters.Counters
        Totals.
    targets : dict of str to dict
        State of each target.
    """

    demand: int
    queued: int
    running: int
    unfinished: int
    remembered: int
    ejected: tuple[str, ...]
    leaving: tuple[str, ...]
    counters: counters.Counters
    targets: dict[str, dict[str, object]]


class Describe(typing.NamedTuple):
    """Reply with a description."""

    reply: replies.Reply[Description]


class Tick(typing.NamedTuple):
    """A timer has gone off."""


Message = (
    Place | Look | Cancel | FromTarget | Configure | Suspect | Drain | HandOver | Adopt
    | Describe | Tick
)  # fmt: skip

Handler = collections.abc.Callable[["DispatchTask", typing.Any], None]

handlers: registry.Registry[Handler] = registry.Registry("dispatch messages")


class DispatchTask:
    """Owns what places work and remembers it.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop it runs in.
    register : ownership.OwnershipRegister
        The submissions bound here.
    source : clock.Clock
        The clock.
    tracer : traces.Tracer
        Records spans of messages to targets.
    threads : int
        Calls to targets at once.
    random_state : int
        Seed of every random choice.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        register: ownership.OwnershipRegister,
        source: clock.Clock,
        tracer: traces.Tracer,
        threads: int,
        random_state: int,
    ) -> None:
        self.inbox: inbox.Inbox[Message] = inbox.Inbox(loop, INBOX_BOUND)
        self._loop = loop
        self._register = register
        self._clock = source
        self._tracer = tracer
        self._dispatcher = dispatcher.Dispatcher(random_state)
        self._desk = coordinator.Coordinator(register, self._dispatcher)
        self._links = target_links.Links(loop, self._post, threads, source, tracer)
        self._waiting: dict[
            str, list[replies.Reply[submission_status.SubmissionStatus]]
        ] = {}
        self._specs: tuple[capacity.TargetSpec, ...] = ()
        self._timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            while True:
                for message in await self.inbox.drain():
                    self._handle(message)
        finally:
            self._links.close()

    def _handle(self, message: Message) -> None:
        try:
            handlers.get(type(message).__name__)(self, message)
        except Exception as exc:
            kind = type(message).__name__
            logs.log_error("dispatch", "Message failed.", exc, message=kind)

    def _post(self, event: target_links.News) -> None:
        self.inbox.put(FromTarget(event))

    @handlers.register("Place")
    def _place(self, message: Place) -> None:
        submission, limits, is_orphan, reply = message
        now = self._clock.now()
        taken = self._desk.submit(submission, limits, is_orphan, now)
        if taken.submission_status.state == submission_status.State.IN_PROGRESS:
            name = str(submission.submission_id)
            self._waiting.setdefault(name, []).append(reply)
        else:
            reply.give(taken.submission_status)
        self._do(taken.actions, now)

    @handlers.register("Look")
    def _look(self, message: Look) -> None:
        known = self._desk.status_of(message.sid, self._clock.now())
        if known.state == submission_status.State.IN_PROGRESS and message.wait:
            name = str(message.sid)
            self._waiting.setdefault(name, []).append(message.reply)
        else:
            message.reply.give(known)

    @handlers.register("Cancel")
    def _cancel(self, message: Cancel) -> None:
        self._apply(events.SubmissionsCancelled(message.names), self._clock.now())

    @handlers.register("FromTarget")
    def _from_target(self, message: FromTarget) -> None:
        if isinstance(message.event, events.BatchEnded):
            self._links.ended(message.event.batch)
        self._apply(message.event, self._clock.now())

    @handlers.register("Configure")
    def _configure(self, message: Configure) -> None:
        settings, shares = message
        now = self._clock.now()
        if settings.specs != self._specs:
            self._specs = settings.specs
            self._links.change(settings.specs)
        self._register.set_window(settings.remember)
        self._tracer.set_ratio(settings.trace_ratio)
        self._apply(events.RulesChanged(settings.rules), now)
        self._apply(events.QuotasChanged(settings.parts), now)
        self._apply(events.TargetsChanged(settings.specs, shares), now)

    @handlers.register("Suspect")
    def _suspect(self, message: Suspect) -> None:
        self._apply(events.TargetsSuspected(message.targets), self._clock.now())

    @handlers.register("Drain")
    def _drain(self, message: Drain) -> None:
        self._apply(events.DrainRequested(), self._clock.now())

    @handlers.register("HandOver")
    def _hand_over(self, message: HandOver) -> None:
        message.reply.give(self._register.hand_over(self._clock.now()))

    @handlers.register("Adopt")
    def _adopt(self, message: Adopt) -> None:
        self._register.inherit_chunk(message.piece, self._clock.now())
        own = self._register.incarnation
        message.reply.give(tuple(x for x in self._register.tables if x != own))

    @handlers.register("Describe")
    def _describe(self, message: Describe) -> None:
        now = self._clock.now()
        tables = self._register.tables.values()
        states = self._dispatcher.placement.targets.items()
        message.reply.give(
            Description(
                self._dispatcher.demand(),
                self._dispatcher.backlog.queued,
                self._dispatcher.running(),
                self._dispatcher.unfinished(),
                sum(book.known_count() for book in tables),
                self._dispatcher.ejected(now),
                self._dispatcher.leaving(now),
                self._dispatcher.counters,
                {name: _target(state, now) for name, state in states},
            )
        )

    @handlers.register("Tick")
    def _tick(self, message: Tick) -> None:
        self._timer = None
        self._apply(events.TimerFired(), self._clock.now())

    def _apply(self, event: events.Event, now: datetime.datetime) -> None:
        self._do(self._desk.handle(event, now), now)

    def _do(self, actions: list[events.Action], now: datetime.datetime) -> None:
        for action in actions:
            if isinstance(action, events.SendBatch):
                self._links.send(action)
            elif isinstance(action, events.StopTasks):
                self._links.stop(action)
            elif isinstance(action, events.ReportOutcome):
                for reply in self._waiting.pop(str(action.submission), ()):
                    reply.give(submission_status.ended(action.outcome))
            else:
                self._wake_at(action.at, now)

    def _wake_at(self, at: datetime.datetime, now: datetime.datetime) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0.0, (at - now).total_seconds())
        self._timer = self._loop.call_later(delay, self.inbox.put, Tick())


def _target(state: capacity.TargetState, now: datetime.datetime) -> dict[str, object]:
    return {
        "kind": state.spec.kind,
        "in_flight": state.in_flight,
        "share": round(state.share.processors, 2),
        "speed": round(state.speed, 3),
        "failures": state.health.failures,
        "ejected": state.health.is_ejected(now),
        "leaving": state.spec.leaving,
    }
