"""Bridge from the HTTP server's threads to the tasks of the event loop."""

import asyncio
import secrets
import threading
import typing

from carawaysail_decisions import forwarding, membership, ownership, submission_status
from carawaysail_entry import (
    dispatch_task,
    effective_settings,
    metrics,
    peers_task,
    replies,
    settings_task,
    traces,
)
from carawaysail_entry.front import decode
from carawaysail_types import clock, errors, identifiers, outcomes, work

ANSWER_GRACE_S = 1.0
"""Time that a caller's request waits for the outcome beyond the deadline."""

LOCAL_ID_BYTES = 12
"""Random bytes in the local part of an identifier that is generated here."""


class NotReadyError(errors.CarawaysailError):
    """No settings are in force yet, so no submission can be accepted."""

    def __str__(self) -> str:
        """Return one sentence with the reason."""
        return "no settings are in force here yet"


class TaskBridge:
    """Interface of the HTTP handlers to the tasks of the event loop.

    The methods are called in the HTTP server's threads and may block; the bridge sends
    messages to the tasks, reads their membership and settings directly, and bounds the
    number of callers that wait for submissions.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that the tasks run in.
    register : ownership.OwnershipRegister
        Source of the owner token and of the incarnations that have a table here. The
        dispatch task owns it; nothing else of it is read here.
    dispatch : dispatch_task.DispatchTask
        The task that runs submissions.
    peers : peers_task.PeersTask
        The task that exchanges messages with other daemons.
    settings : settings_task.SettingsTask
        The task that owns the settings.
    time_source : clock.Clock
        The clock.
    tracer : traces.Tracer
        Records a span for each submission.
    entry_metrics : metrics.EntryMetrics
        Counts answers.
    max_waiting : int
        Largest number of callers that may wait at once; more are refused.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        register: ownership.OwnershipRegister,
        dispatch: dispatch_task.DispatchTask,
        peers: peers_task.PeersTask,
        settings: settings_task.SettingsTask,
        time_source: clock.Clock,
        tracer: traces.Tracer,
        entry_metrics: metrics.EntryMetrics,
        max_waiting: int,
    ) -> None:
        self._loop = loop
        self._register = register
        self._dispatch = dispatch
        self._peers = peers
        self._settings = settings
        self._wait_permits = threading.BoundedSemaphore(max_waiting)
        self._waiting_count = 0
        self._lock = threading.Lock()
        self.clock = time_source
        self.tracer = tracer
        self.metrics = entry_metrics
        self.drain_requested = threading.Event()

    def owner(self) -> identifiers.Owner:
        """Return the present owner token, for new submission identifiers."""
        return self._register.owner(self.clock.now())

    def effective_settings(self) -> effective_settings.EffectiveSettings:
        """Return the settings in force.

        Raises
        ------
        NotReadyError
            If there are none yet.
        """
        current = self._settings.effective
        if current is None:
            raise NotReadyError
        return current

    def is_ready(self) -> bool:
        """Return whether this daemon is alive and has settings in force."""
        alive = self._peers.members.own_record.state == membership.ALIVE
        return alive and self._settings.effective is not None

    def decode_context(self, trace: str) -> decode.Context:
        """Return the context for decoding a submission.

        Parameters
        ----------
        trace : str
            W3C ``traceparent`` of the span of the request.

        Raises
        ------
        NotReadyError
            If no settings are in force yet.
        """
        generate_local_id = _generate_local_id
        return decode.Context(
            self.clock.now(),
            self.owner(),
            generate_local_id,
            self.effective_settings(),
            trace,
        )

    def submit(
        self, submission: work.Submission, wait_s: float
    ) -> submission_status.SubmissionStatus:
        """Submit work to this daemon or its owner, and wait for the outcome.

        Parameters
        ----------
        submission : work.Submission
            The submission.
        wait_s : float
            Longest time to wait, in seconds.

        Returns
        -------
        submission_status.SubmissionStatus
            Its status; ``IN_PROGRESS`` if there is no outcome in time.
        """
        if not self._wait_permits.acquire(blocking=False):
            reason = outcomes.Reason.QUEUE_FULL
            return submission_status.finished(
                outcomes.NotRun(reason, "too many callers wait")
            )
        self._count_waiting(1)
        try:
            return self._submit(submission, wait_s)
        finally:
            self._count_waiting(-1)
            self._wait_permits.release()

    def waiting_count(self) -> int:
        """Return how many callers wait, submissions of other owners included."""
        with self._lock:
            return self._waiting_count

    def _count_waiting(self, change: int) -> None:
        with self._lock:
            self._waiting_count += change

    def _submit(
        self, submission: work.Submission, wait_s: float
    ) -> submission_status.SubmissionStatus:
        status = self._submit_here(submission, wait_s, is_orphan=False)
        if status.state != submission_status.State.OTHER_OWNER:
            return status
        forwarded = self._run_in_loop(
            self._peers.forward(submission, wait_s), wait_s + FORWARD_MARGIN_S
        )
        if forwarded is None:
            reason = outcomes.Reason.OWNER_UNREACHABLE
            return submission_status.finished(outcomes.Unknown(reason))
        if isinstance(forwarded, forwarding.BindHere):
            return self._submit_here(submission, wait_s, is_orphan=True)
        return typing.cast(submission_status.SubmissionStatus, forwarded)

    def _submit_here(
        self, submission: work.Submission, wait_s: float, is_orphan: bool
    ) -> submission_status.SubmissionStatus:
        service = self.effective_settings().service(submission.service, submission.kind)
        reply: replies.Reply[submission_status.SubmissionStatus] = replies.Reply()
        message = dispatch_task.PlaceSubmission(
            submission, service.service_settings, is_orphan, reply
        )
        if not self._dispatch.inbox.try_put(message):
            return submission_status.finished(
                outcomes.NotRun(outcomes.Reason.QUEUE_FULL)
            )
        return reply.wait(wait_s) or submission_status.IN_PROGRESS

    def lookup(
        self, sid: identifiers.SubmissionId, wait_s: float
    ) -> submission_status.SubmissionStatus:
        """Return the status of a submission, from this daemon or its owner.

        Parameters
        ----------
        sid : identifiers.SubmissionId
            Its identifier.
        wait_s : float
            Longest time to wait for the outcome, in seconds; 0 for the present status.
        """
        reply: replies.Reply[submission_status.SubmissionStatus] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.Lookup(sid, wait_s > 0, reply))
        status = (
            reply.wait(max(wait_s, TASK_REPLY_TIMEOUT_S))
            or submission_status.IN_PROGRESS
        )
        if status.state != submission_status.State.OTHER_OWNER:
            return status
        remote_status = self._run_in_loop(
            self._peers.lookup(sid, wait_s), wait_s + FORWARD_MARGIN_S
        )
        reason = outcomes.Reason.OWNER_UNREACHABLE
        return remote_status or submission_status.finished(outcomes.Unknown(reason))

    def cancel(self, submission_ids: tuple[str, ...]) -> None:
        """Cancel submissions at this daemon and at other owners.

        Parameters
        ----------
        submission_ids : tuple of str
            Text form of their identifiers.
        """
        own_tables = self._register.tables
        here: list[str] = []
        elsewhere: list[str] = []
        for submission_id in submission_ids:
            incarnation = identifiers.parse_submission(submission_id).owner.incarnation
            (here if incarnation in own_tables else elsewhere).append(submission_id)
        if here:
            self._dispatch.inbox.put(dispatch_task.Cancel(tuple(here)))
        if elsewhere:
            self._run_in_loop(self._peers.cancel(tuple(elsewhere)), FORWARD_MARGIN_S)

    def describe(self) -> dispatch_task.Description | None:
        """Return the state of the dispatch task; ``None`` without a timely reply."""
        reply: replies.Reply[dispatch_task.Description] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.Describe(reply))
        return reply.wait(TASK_REPLY_TIMEOUT_S)

    def members(self) -> tuple[tuple[membership.Record, bool], ...]:
        """Return the record of each daemon and whether it is considered alive."""
        return self._peers.members.all_records(self.clock.now())

    def settings_state(self) -> dict[str, typing.Any]:
        """Return the revisions in force, their digest, and the rejected sections."""
        return {
            "revisions": self._settings.versions.revisions(),
            "newest": self._settings.versions.newest_revision(),
            "digest": self._settings.versions.digest(),
            "rejected": dict(self._settings.rejected),
        }

    def traffic(self) -> dict[str, int]:
        """Return the totals of messages and bytes exchanged with other daemons."""
        sent, served = self._peers.channels.counts, self._peers.service.counts
        return {name: sent[name] + served[name] for name in sent}  # type: ignore[literal-required]

    def _run_in_loop(self, coroutine: typing.Any, timeout_s: float) -> typing.Any:
        fut = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        try:
            return fut.result(timeout_s)
        except TimeoutError:
            fut.cancel()
            return None


FORWARD_MARGIN_S = 4.0
"""Time added to the wait for a message to the owner, and timeout of cancellations."""

TASK_REPLY_TIMEOUT_S = 2.0
"""Shortest wait for the dispatch task's reply to a lookup or a description."""


def _generate_local_id() -> str:
    return secrets.token_urlsafe(LOCAL_ID_BYTES)
