"""The HTTP front end: threads that pass requests of clients to the decision loop."""

import socket
import threading
import typing

from carawaysail_fleet import messages, metrics, ports, replies
from carawaysail_runtime import inbox, logs
from carawaysail_types import clock, errors, jobs, registry

WAIT_MARGIN = clock.milliseconds(100)
"""Beyond the time that the desk keeps, in case it is late itself."""

Answer = typing.Callable[["FrontEnd", typing.Any, socket.socket], ports.Response]

answers: registry.Registry[Answer] = registry.Registry("client requests")

RETRY_LATER = clock.milliseconds(1000)


class FrontEnd:
    """What the threads of the HTTP server share.

    Parameters
    ----------
    codec : ports.ClientCodec
        Translates requests and answers.
    out : inbox.Inbox
        The desk's inbox.
    places : replies.Replies
        Where the threads wait.
    counters : meters.Meters
        Counters.
    source : clock.Clock
        The clock.
    max_waiting : int
        Clients that may wait at once; more are refused.
    """

    def __init__(
        self,
        codec: ports.ClientCodec,
        out: "inbox.Inbox[messages.Message]",
        replies: replies.Replies,
        counters: metrics.DaemonMetrics,
        source: clock.Clock,
        max_waiting: int,
    ) -> None:
        self.codec = codec
        self.out = out
        self.replies = replies
        self.clock = source
        self._meters = counters
        self._max_waiting = max_waiting
        self._lock = threading.Lock()
        self._configuration: jobs.Configuration | None = None

    def configure(self, configuration: jobs.Configuration) -> None:
        """Take over a newer configuration; an older one is passed over."""
        with self._lock:
            known = self._configuration
            if known is None or configuration.version > known.version:
                self._configuration = configuration

    def is_configured(self) -> bool:
        """Tell whether there is a configuration."""
        return self._configuration is not None

    def is_full(self) -> bool:
        """Tell whether no further client can wait."""
        return self.replies.waiting_count() >= self._max_waiting

    def handle(self, request: ports.Request, client: socket.socket) -> ports.Response:
        """Answer a request of a client."""
        began = self.clock.now()
        queue, response = self._handle(request, client)
        self._meters.record_response(queue, response.status, self.clock.now() - began)
        return response

    def _handle(
        self, request: ports.Request, client: socket.socket
    ) -> tuple[str, ports.Response]:
        configuration = self._configuration
        if configuration is None:
            reason = jobs.Reason.NO_CONFIGURATION
            return "", self.codec.outcome(_refused(reason))
        try:
            found = self.codec.decode(request, configuration)
        except errors.CarawaysailError as exc:
            logs.log_error("front", "Request refused.", exc, path=request.path)
            return "", self.codec.invalid(exc)
        if found is None:
            logs.log_event(
                "front", "No queue.", host=request.host, path=request.path[:200],
                version=configuration.version,
            )  # fmt: skip
            return "", self.codec.unknown_queue()
        answer = answers.get(type(found).__name__)
        return found.queue.name, answer(self, found, client)


def _refused(reason: jobs.Reason) -> jobs.JobOutcome:
    return jobs.JobOutcome(jobs.Verdict.REFUSED, reason, RETRY_LATER)


@answers.register("JobRequest")
def _job(
    front_end: FrontEnd, request: ports.JobRequest, client: socket.socket
) -> ports.Response:
    if front_end.is_full():
        logs.log_event("front", "Too many waiting.", id=request.job.job_id)
        return front_end.codec.outcome(_refused(jobs.Reason.OVERLOADED))
    number = front_end.replies.open()
    front_end.out.put(messages.JobPosted(request, number))
    longest = request.client_timeout + WAIT_MARGIN
    outcome = front_end.replies.wait(number, client, longest.total_seconds())
    if outcome is None:
        front_end.out.put(messages.ClientLeft(request.job.job_id, number))
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.TIMED_OUT)
    return front_end.codec.outcome(outcome)


@answers.register("StateRequest")
def _state(
    front_end: FrontEnd, request: ports.StateRequest, client: socket.socket
) -> ports.Response:
    return front_end.codec.unknown_job()


@answers.register("CancelRequest")
def _cancel(
    front_end: FrontEnd, request: ports.CancelRequest, client: socket.socket
) -> ports.Response:
    return front_end.codec.unknown_job()


@answers.register("PendingRequest")
def _pending(
    front_end: FrontEnd, request: ports.PendingRequest, client: socket.socket
) -> ports.Response:
    return front_end.codec.pending(0)
