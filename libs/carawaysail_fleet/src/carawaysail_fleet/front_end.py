"""The HTTP front end: what the server's threads do with requests of clients.

A thread decodes the request, posts the job to the decision loop and blocks until the
outcome comes, the client disconnects, or the client's timeout has passed.
"""

import datetime
import socket
import threading
import typing

from carawaysail_fleet import messages, metrics, ports, replies
from carawaysail_runtime import inbox, logs
from carawaysail_types import clock, errors, jobs, registry

WAIT_MARGIN = clock.milliseconds(100)
"""Wait of a thread beyond the client's timeout, in case the decision loop, which
answers shortly after that timeout, is late."""

Handler = typing.Callable[["FrontEnd", typing.Any, socket.socket], ports.Response]

handlers: registry.Registry[Handler] = registry.Registry("client request handlers")

RETRY_AFTER = clock.milliseconds(1000)
"""Time after which a refused client may try again, sent with the refusal."""


class FrontEnd:
    """Handler of client requests; shared by the threads of the HTTP server.

    Parameters
    ----------
    codec : ports.ClientCodec
        Decodes requests and encodes responses.
    loop_inbox : inbox.Inbox
        Inbox of the decision loop.
    replies : replies.Replies
        Outcomes that threads wait for.
    daemon_metrics : metrics.DaemonMetrics
        Metrics of the daemon.
    source : clock.Clock
        Source of the present instant.
    max_waiting : int
        Number of clients that may wait at the same time; more are refused.
    """

    def __init__(
        self,
        codec: ports.ClientCodec,
        loop_inbox: "inbox.Inbox[messages.Message]",
        replies: replies.Replies,
        daemon_metrics: metrics.DaemonMetrics,
        source: clock.Clock,
        max_waiting: int,
    ) -> None:
        self.codec = codec
        self.loop_inbox = loop_inbox
        self.replies = replies
        self.clock = source
        self._metrics = daemon_metrics
        self._max_waiting = max_waiting
        self._lock = threading.Lock()
        self._end: datetime.datetime | None = None
        self._configuration: jobs.Configuration | None = None

    def configure(self, configuration: jobs.Configuration) -> None:
        """Use a configuration if it is newer than the present one."""
        with self._lock:
            present = self._configuration
            if present is None or configuration.version > present.version:
                self._configuration = configuration

    def is_configured(self) -> bool:
        """Return whether a configuration has been set."""
        return self._configuration is not None

    def set_end(self, end: datetime.datetime) -> None:
        """Answer every request before an instant, at which the process stops."""
        self._end = end

    def limit_timeout(self, timeout: datetime.timedelta) -> datetime.timedelta:
        """Return how long a client may wait; not above 0 if it cannot be served."""
        if self._end is None:
            return timeout
        return min(timeout, self._end - WAIT_MARGIN - self.clock.now())

    def is_full(self) -> bool:
        """Return whether ``max_waiting`` clients or more wait."""
        return self.replies.waiting_count() >= self._max_waiting

    def handle(self, request: ports.Request, client: socket.socket) -> ports.Response:
        """Handle a request of a client; block until its response is known.

        Parameters
        ----------
        request : ports.Request
            The request.
        client : socket.socket
            Connection of the client; watched for a disconnect.
        """
        started = self.clock.now()
        queue, response = self._handle(request, client)
        self._metrics.record_response(
            queue, response.status, self.clock.now() - started
        )
        return response

    def _handle(
        self, request: ports.Request, client: socket.socket
    ) -> tuple[str, ports.Response]:
        configuration = self._configuration
        if configuration is None:
            reason = jobs.Reason.NO_CONFIGURATION
            return "", self.codec.outcome(_refused(reason))
        try:
            decoded = self.codec.decode(request, configuration)
        except errors.CarawaysailError as exc:
            logs.log_error("front", "Request refused.", exc, path=request.path)
            return "", self.codec.invalid(exc)
        if decoded is None:
            logs.log_event(
                "front", "No queue.", host=request.host, path=request.path[:200],
                version=configuration.version,
            )  # fmt: skip
            return "", self.codec.unknown_queue()
        handler = handlers.get(type(decoded).__name__)
        return decoded.queue.name, handler(self, decoded, client)


def _refused(reason: jobs.Reason) -> jobs.JobOutcome:
    return jobs.JobOutcome(jobs.Verdict.REFUSED, reason, RETRY_AFTER)


@handlers.register("JobRequest")
def _handle_job(
    front_end: FrontEnd, request: ports.JobRequest, client: socket.socket
) -> ports.Response:
    if front_end.is_full():
        logs.log_event("front", "Too many waiting clients.", id=request.job.job_id)
        return front_end.codec.outcome(_refused(jobs.Reason.OVERLOADED))
    timeout = front_end.limit_timeout(request.client_timeout)
    if timeout <= datetime.timedelta():
        logs.log_event("front", "Leaving; job refused.", id=request.job.job_id)
        return front_end.codec.outcome(_refused(jobs.Reason.LEAVING))
    request = request._replace(client_timeout=timeout)
    reply_id = front_end.replies.open()
    front_end.loop_inbox.put(messages.JobPosted(request, reply_id))
    max_wait = timeout + WAIT_MARGIN
    outcome = front_end.replies.wait(reply_id, client, max_wait.total_seconds())
    if outcome is None:
        front_end.loop_inbox.put(messages.ClientLeft(request.job.job_id, reply_id))
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.TIMED_OUT)
    return front_end.codec.outcome(outcome)


@handlers.register("StateRequest")
def _handle_state(
    front_end: FrontEnd, request: ports.StateRequest, client: socket.socket
) -> ports.Response:
    """Respond that the job is unknown: no job is stored beyond its client's request."""
    return front_end.codec.unknown_job()


@handlers.register("CancelRequest")
def _handle_cancel(
    front_end: FrontEnd, request: ports.CancelRequest, client: socket.socket
) -> ports.Response:
    """Respond that the job is unknown, because no job is stored."""
    return front_end.codec.unknown_job()


@handlers.register("PendingRequest")
def _handle_pending(
    front_end: FrontEnd, request: ports.PendingRequest, client: socket.socket
) -> ports.Response:
    """Respond with 0, because no job is stored."""
    return front_end.codec.pending(0)
