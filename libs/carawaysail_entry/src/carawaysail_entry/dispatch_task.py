"""The dispatch task: owns the dispatcher, the ownership register and the target links.

Other tasks and threads send messages to its inbox; the registry ``handlers`` maps each
message type to its handler. HTTP threads also read the owner token, and the
incarnations that have a table, from the register directly.
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
from carawaysail_entry import effective_settings, replies, target_links, traces
from carawaysail_runtime import inbox, logs
from carawaysail_types import clock, identifiers, registry, work

MAX_INBOX_MESSAGES = 20_000
"""Number of waiting messages from which submissions are refused as ``queue_full``."""


class PlaceSubmission(typing.NamedTuple):
    """Request to bind a submission to this daemon, if it is the owner, and run it.

    Parameters
    ----------
    submission : work.Submission
        The submission.
    service_settings : events.ServiceDispatchSettings
        Settings of its service.
    is_orphan : bool
        Whether it is the only copy of a submission whose owner is lost; it is then
        bound here although another daemon owns its identifier.
    reply : replies.Reply
        Receives its status: at once, or when it has ended if it is in progress here.
    """

    submission: work.Submission
    service_settings: events.ServiceDispatchSettings
    is_orphan: bool
    reply: replies.Reply[submission_status.SubmissionStatus]


class Lookup(typing.NamedTuple):
    """Request for the status of a submission.

    Parameters
    ----------
    sid : identifiers.SubmissionId
        Its identifier.
    wait : bool
        Whether to reply only after it has ended.
    reply : replies.Reply
        Receives its status.
    """

    sid: identifiers.SubmissionId
    wait: bool
    reply: replies.Reply[submission_status.SubmissionStatus]


class Cancel(typing.NamedTuple):
    """Request to cancel submissions that this daemon owns.

    Parameters
    ----------
    submission_ids : tuple of str
        Text form of their identifiers.
    """

    submission_ids: tuple[str, ...]


class TargetEventReceived(typing.NamedTuple):
    """Event reported by a target link: a task or batch ended, or a target leaves."""

    event: target_links.TargetEvent


class ApplySettings(typing.NamedTuple):
    """Request to apply changed settings or changed shares of the targets.

    Parameters
    ----------
    settings : effective_settings.EffectiveSettings
        The settings.
    shares : dict of str to float
        Share of each target, by its name, that this daemon may use, 0 to 1.
    """

    settings: effective_settings.EffectiveSettings
    shares: dict[str, float]


class SuspectTargets(typing.NamedTuple):
    """Notice that other daemons have ejected targets because of failures.

    Parameters
    ----------
    targets : tuple of str
        Names of the targets.
    """

    targets: tuple[str, ...]


class Drain(typing.NamedTuple):
    """Request to refuse new submissions from now on; sent at shutdown."""


class HandOver(typing.NamedTuple):
    """Request to close the ownership register and reply with snapshots of its tables.

    Parameters
    ----------
    reply : replies.Reply
        Receives one snapshot for each submission table.
    """

    reply: replies.Reply[tuple[handover.TableSnapshot, ...]]


class InheritChunk(typing.NamedTuple):
    """Request to store a chunk of a table snapshot of a daemon that is shutting down.

    Parameters
    ----------
    chunk : handover.Chunk
        The chunk.
    reply : replies.Reply
        Receives the incarnations whose tables are completely inherited.
    """

    chunk: handover.Chunk
    reply: replies.Reply[tuple[str, ...]]


class Description(typing.NamedTuple):
    """State of the dispatch task, for status, metrics and gossip.

    The status route writes the fields out under their own names.

    Parameters
    ----------
    demand : int
        Tasks queued or running; other daemons compute their shares from it.
    queued : int
        Tasks that wait for a target.
    running : int
        Tasks sent to targets and not finished.
    unfinished : int
        Submissions without an outcome.
    remembered : int
        Submissions whose identifiers are recognised, with or without a stored answer.
    ejected : tuple of str
        Targets that receive no tasks because of failures.
    leaving : tuple of str
        Targets that recently announced that they are leaving.
    counters : counters.Counters
        Totals since the start.
    targets : dict of str to dict
        State of each target, by its name.
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
    """Request for a description of the dispatch task's state."""

    reply: replies.Reply[Description]


class TimerFired(typing.NamedTuple):
    """Notice that the timer of the dispatch task has expired."""


Message = (
    PlaceSubmission | Lookup | Cancel | TargetEventReceived | ApplySettings
    | SuspectTargets | Drain | HandOver | InheritChunk | Describe | TimerFired
)  # fmt: skip

Handler = collections.abc.Callable[["DispatchTask", typing.Any], None]

handlers: registry.Registry[Handler] = registry.Registry("dispatch messages")


class DispatchTask:
    """Passes messages to the coordinator and sends the resulting batches to targets.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that the task runs in.
    register : ownership.OwnershipRegister
        The submissions bound to this daemon.
    time_source : clock.Clock
        The clock.
    tracer : traces.Tracer
        Records a span for each exchange with a target.
    threads : int
        Largest number of concurrent calls to targets.
    random_state : int
        Seed of all random choices of the dispatcher.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        register: ownership.OwnershipRegister,
        time_source: clock.Clock,
        tracer: traces.Tracer,
        threads: int,
        random_state: int,
    ) -> None:
        self.inbox: inbox.Inbox[Message] = inbox.Inbox(loop, MAX_INBOX_MESSAGES)
        self._loop = loop
        self._register = register
        self._clock = time_source
        self._tracer = tracer
        self._dispatcher = dispatcher.Dispatcher(random_state)
        self._coordinator = coordinator.Coordinator(register, self._dispatcher)
        self._links = target_links.TargetLinks(
            loop, self._post_event, threads, time_source, tracer
        )
        self._waiting_replies: dict[
            str, list[replies.Reply[submission_status.SubmissionStatus]]
        ] = {}
        self._specs: tuple[capacity.TargetSpec, ...] = ()
        self._timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Handle messages until cancelled, then close the target links."""
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
            logs.log_error("dispatch", "Message handler failed.", exc, message=kind)
            reply: replies.Reply[typing.Any] | None = getattr(message, "reply", None)
            if reply is not None:
                reply.fail(kind, exc)

    def _post_event(self, event: target_links.TargetEvent) -> None:
        self.inbox.put(TargetEventReceived(event))

    @handlers.register("PlaceSubmission")
    def _place_submission(self, message: PlaceSubmission) -> None:
        submission, service_settings, is_orphan, reply = message
        now = self._clock.now()
        result = self._coordinator.submit(submission, service_settings, is_orphan, now)
        if result.status.state == submission_status.State.IN_PROGRESS:
            key = str(submission.submission_id)
            self._waiting_replies.setdefault(key, []).append(reply)
        else:
            reply.set_value(result.status)
        self._execute(result.actions, now)

    @handlers.register("Lookup")
    def _lookup(self, message: Lookup) -> None:
        status = self._coordinator.status_of(message.sid, self._clock.now())
        if status.state == submission_status.State.IN_PROGRESS and message.wait:
            key = str(message.sid)
            self._waiting_replies.setdefault(key, []).append(message.reply)
        else:
            message.reply.set_value(status)

    @handlers.register("Cancel")
    def _cancel(self, message: Cancel) -> None:
        self._handle_event(
            events.SubmissionsCancelled(message.submission_ids), self._clock.now()
        )

    @handlers.register("TargetEventReceived")
    def _target_event_received(self, message: TargetEventReceived) -> None:
        if isinstance(message.event, events.BatchFinished):
            self._links.record_batch_end(message.event.batch)
        self._handle_event(message.event, self._clock.now())

    @handlers.register("ApplySettings")
    def _apply_settings(self, message: ApplySettings) -> None:
        settings, shares = message
        now = self._clock.now()
        if settings.specs != self._specs:
            self._specs = settings.specs
            self._links.update_targets(settings.specs)
        self._register.set_window(settings.deduplication_window)
        self._tracer.set_ratio(settings.trace_ratio)
        self._handle_event(
            events.DispatchSettingsChanged(settings.dispatch_settings), now
        )
        self._handle_event(events.QuotasChanged(settings.allocations), now)
        self._handle_event(events.TargetsChanged(settings.specs, shares), now)

    @handlers.register("SuspectTargets")
    def _suspect_targets(self, message: SuspectTargets) -> None:
        self._handle_event(events.TargetsSuspected(message.targets), self._clock.now())

    @handlers.register("Drain")
    def _drain(self, message: Drain) -> None:
        self._handle_event(events.DrainRequested(), self._clock.now())

    @handlers.register("HandOver")
    def _hand_over(self, message: HandOver) -> None:
        message.reply.set_value(self._register.hand_over(self._clock.now()))

    @handlers.register("InheritChunk")
    def _inherit_chunk(self, message: InheritChunk) -> None:
        self._register.inherit_chunk(message.chunk, self._clock.now())
        own = self._register.incarnation
        message.reply.set_value(tuple(x for x in self._register.tables if x != own))

    @handlers.register("Describe")
    def _describe(self, message: Describe) -> None:
        now = self._clock.now()
        tables = self._register.tables.values()
        states = self._dispatcher.placement.targets.items()
        message.reply.set_value(
            Description(
                self._dispatcher.demand(),
                self._dispatcher.backlog.queued,
                self._dispatcher.running(),
                self._dispatcher.unfinished(),
                sum(table.known_count() for table in tables),
                self._dispatcher.ejected(now),
                self._dispatcher.leaving(now),
                self._dispatcher.counters,
                {name: _describe_target(state, now) for name, state in states},
            )
        )

    @handlers.register("TimerFired")
    def _timer_fired(self, message: TimerFired) -> None:
        self._timer = None
        self._handle_event(events.TimerFired(), self._clock.now())

    def _handle_event(self, event: events.Event, now: datetime.datetime) -> None:
        self._execute(self._coordinator.handle(event, now), now)

    def _execute(self, actions: list[events.Action], now: datetime.datetime) -> None:
        for action in actions:
            if isinstance(action, events.SendBatch):
                self._links.send(action)
            elif isinstance(action, events.StopTasks):
                self._links.stop(action)
            elif isinstance(action, events.ReportOutcome):
                for reply in self._waiting_replies.pop(str(action.submission), ()):
                    reply.set_value(submission_status.finished(action.outcome))
            else:
                self._set_timer(action.at, now)

    def _set_timer(self, at: datetime.datetime, now: datetime.datetime) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0.0, (at - now).total_seconds())
        self._timer = self._loop.call_later(delay_s, self.inbox.put, TimerFired())


def _describe_target(
    state: capacity.TargetState, now: datetime.datetime
) -> dict[str, object]:
    return {
        "kind": state.spec.kind,
        "in_flight": state.in_flight,
        "share": round(state.share.processors, 2),
        "speed": round(state.slowness, 3),
        "failures": state.health.failures,
        "ejected": state.health.is_ejected(now),
        "leaving": state.spec.leaving,
    }
