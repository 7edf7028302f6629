"""The door: what handlers of routes may use, and how many callers may wait."""

import asyncio
import secrets
import threading
import typing

from carawaysail_decisions import forwarding, membership, ownership, submission_status
from carawaysail_entry import (
    configuring,
    dispatch_task,
    effective,
    metrics,
    peers_task,
    replies,
    traces,
)
from carawaysail_entry.front import decode
from carawaysail_types import clock, errors, identifiers, outcomes, work

ANSWER_GRACE_S = 1.0
OWN_BYTES = 12


class NotReadyError(errors.CarawaysailError):
    """No settings are in force yet, so no work can be placed."""

    def __str__(self) -> str:
        """Return a sentence."""
        return "no settings are in force here yet"


class Door:
    """Takes calls from the HTTP server's threads to the tasks of the loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop of the tasks.
    register : ownership.OwnershipRegister
        Gives the owner token; only its constant parts are read here.
    dispatch, peers, settings
        The tasks.
    source : clock.Clock
        The clock.
    tracer : traces.Tracer
        Records a span for each call.
    meters : metrics.Meters
        Counts calls.
    max_waiting : int
        Callers that may wait at once; more are refused.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        register: ownership.OwnershipRegister,
        dispatch: dispatch_task.DispatchTask,
        peers: peers_task.PeersTask,
        settings: configuring.SettingsTask,
        source: clock.Clock,
        tracer: traces.Tracer,
        meters: metrics.Meters,
        max_waiting: int,
    ) -> None:
        self._loop = loop
        self._register = register
        self._dispatch = dispatch
        self._peers = peers
        self._settings = settings
        self._seats = threading.BoundedSemaphore(max_waiting)
        self._waiting = 0
        self._lock = threading.Lock()
        self.clock = source
        self.tracer = tracer
        self.meters = meters
        self.drain_asked = threading.Event()

    def owner(self) -> identifiers.Owner:
        """Return the token to give to callers now."""
        return self._register.owner(self.clock.now())

    def effective(self) -> effective.Effective:
        """Return the settings in force.

        Raises
        ------
        NotReadyError
            If there are none yet.
        """
        found = self._settings.effective
        if found is None:
            raise NotReadyError
        return found

    def is_ready(self) -> bool:
        """Tell whether this daemon should be sent new work."""
        alive = self._peers.members.own_record.state == membership.ALIVE
        return alive and self._settings.effective is not None

    def context(self, trace: str) -> decode.Context:
        """Return what decoding needs to know."""
        mint = _mint
        return decode.Context(
            self.clock.now(), self.owner(), mint, self.effective(), trace
        )

    def place(
        self, submission: work.Submission, wait_s: float
    ) -> submission_status.SubmissionStatus:
        """Place a submission, here or with its owner, and wait for its outcome.

        Parameters
        ----------
        submission : work.Submission
            The submission.
        wait_s : float
            How long to wait, in seconds.
        """
        if not self._seats.acquire(blocking=False):
            reason = outcomes.Reason.QUEUE_FULL
            return submission_status.ended(
                outcomes.NotRun(reason, "too many callers wait")
            )
        self._count_waiting(1)
        try:
            return self._place(submission, wait_s)
        finally:
            self._count_waiting(-1)
            self._seats.release()

    def waiting(self) -> int:
        """Return how many callers wait, also for what other daemons own."""
        with self._lock:
            return self._waiting

    def _count_waiting(self, change: int) -> None:
        with self._lock:
            self._waiting += change

    def _place(
        self, submission: work.Submission, wait_s: float
    ) -> submission_status.SubmissionStatus:
        found = self._place_here(submission, wait_s, is_orphan=False)
        if found.state != submission_status.State.OTHER_OWNER:
            return found
        relayed = self._run(self._peers.relay(submission, wait_s), wait_s + RELAY_S)
        if relayed is None:
            reason = outcomes.Reason.OWNER_UNREACHABLE
            return submission_status.ended(outcomes.Unknown(reason))
        if isinstance(relayed, forwarding.BindHere):
            return self._place_here(submission, wait_s, is_orphan=True)
        return typing.cast(submission_status.SubmissionStatus, relayed)

    def _place_here(
        self, submission: work.Submission, wait_s: float, is_orphan: bool
    ) -> submission_status.SubmissionStatus:
        found = self.effective().service(submission.service, submission.kind)
        reply: replies.Reply[submission_status.SubmissionStatus] = replies.Reply()
        message = dispatch_task.Place(submission, found.limits, is_orphan, reply)
        if not self._dispatch.inbox.offer(message):
            return submission_status.ended(outcomes.NotRun(outcomes.Reason.QUEUE_FULL))
        return reply.wait(wait_s) or submission_status.IN_PROGRESS

    def look(
        self, sid: identifiers.SubmissionId, wait_s: float
    ) -> submission_status.SubmissionStatus:
        """Return how a submission stands, waiting for its outcome at most so long."""
        reply: replies.Reply[submission_status.SubmissionStatus] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.Look(sid, wait_s > 0, reply))
        found = reply.wait(max(wait_s, LOOK_S)) or submission_status.IN_PROGRESS
        if found.state != submission_status.State.OTHER_OWNER:
            return found
        told = self._run(self._peers.look(sid, wait_s), wait_s + RELAY_S)
        reason = outcomes.Reason.OWNER_UNREACHABLE
        return told or submission_status.ended(outcomes.Unknown(reason))

    def cancel(self, names: tuple[str, ...]) -> None:
        """Cancel submissions, here and at their owners."""
        own = self._register.tables
        here: list[str] = []
        away: list[str] = []
        for name in names:
            incarnation = identifiers.parse_submission(name).owner.incarnation
            (here if incarnation in own else away).append(name)
        if here:
            self._dispatch.inbox.put(dispatch_task.Cancel(tuple(here)))
        if away:
            self._run(self._peers.cancel(tuple(away)), RELAY_S)

    def describe(self) -> dispatch_task.Description | None:
        """Return what the dispatch task says of itself, or ``None`` if it is busy."""
        reply: replies.Reply[dispatch_task.Description] = replies.Reply()
        self._dispatch.inbox.put(dispatch_task.Describe(reply))
        return reply.wait(LOOK_S)

    def members(self) -> tuple[tuple[membership.Record, bool], ...]:
        """Return the records of all daemons, and whether each is thought to live."""
        return self._peers.members.all_records(self.clock.now())

    def settings_state(self) -> dict[str, typing.Any]:
        """Return the revision in force of each section, and what was refused."""
        return {
            "revisions": self._settings.versions.revisions(),
            "newest": self._settings.versions.newest_revision(),
            "digest": self._settings.versions.digest(),
            "rejected": dict(self._settings.rejected),
        }

    def traffic(self) -> dict[str, int]:
        """Return the bytes and messages exchanged with other daemons."""
        sent, served = self._peers.channels.counts, self._peers.service.counts
        return {name: sent[name] + served[name] for name in sent}  # type: ignore[literal-required]

    def _run(self, work_to_do: typing.Any, seconds: float) -> typing.Any:
        fut = asyncio.run_coroutine_threadsafe(work_to_do, self._loop)
        try:
            return fut.result(seconds)
        except TimeoutError:
            fut.cancel()
            return None


RELAY_S = 4.0
LOOK_S = 2.0


def _mint() -> str:
    return secrets.token_urlsafe(OWN_BYTES)
