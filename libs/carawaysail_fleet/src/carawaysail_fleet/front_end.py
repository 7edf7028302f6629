"""The HTTP front end: what is done with requests of clients.

A request is decoded and its job posted to the decision loop. The response follows when
the outcome comes or the client's timeout has passed; a job whose client disconnects is
withdrawn.
"""

import collections.abc
import datetime
import typing

from carawaysail_fleet import http_server, messages, metrics, ports, replies
from carawaysail_runtime import inbox, logs
from carawaysail_types import clock, errors, jobs, registry

WAIT_MARGIN = clock.milliseconds(100)
"""Wait beyond the client's timeout, in case the decision loop, which answers shortly
after that timeout, is late."""

Respond = collections.abc.Callable[[ports.Response], None]
"""Sends the response, now or later."""

Handler = collections.abc.Callable[
    ["FrontEnd", typing.Any, Respond, http_server.Exchange], None
]

handlers: registry.Registry[Handler] = registry.Registry("client request handlers")

RETRY_AFTER = clock.milliseconds(1000)
"""Time after which a refused client may try again, sent with the refusal."""


class FrontEnd:
    """Handler of client requests; used in the event loop only.

    Parameters
    ----------
    codec : ports.ClientCodec
        Decodes requests and encodes responses.
    loop_inbox : inbox.Inbox
        Inbox of the decision loop.
    replies : replies.Replies
        Outcomes that clients wait for.
    daemon_metrics : metrics.DaemonMetrics
        Metrics of the daemon.
    source : clock.Clock
        Source of the present instant.
    max_waiting : int
        Number of clients that may wait at the same time; more are refused.
    call_later : callable
        Calls a function after some seconds; returns a handle with ``cancel``.
    """

    def __init__(
        self,
        codec: ports.ClientCodec,
        loop_inbox: "inbox.Inbox[messages.Message]",
        replies: replies.Replies,
        daemon_metrics: metrics.DaemonMetrics,
        source: clock.Clock,
        max_waiting: int,
        call_later: collections.abc.Callable[..., typing.Any],
    ) -> None:
        self.codec = codec
        self.loop_inbox = loop_inbox
        self.replies = replies
        self.clock = source
        self.call_later = call_later
        self._metrics = daemon_metrics
        self._max_waiting = max_waiting
        self._end: datetime.datetime | None = None
        self._configuration: jobs.Configuration | None = None

    def configure(self, configuration: jobs.Configuration) -> None:
        """Use a configuration if it is newer than the present one."""
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

    def handle(self, request: ports.Request, exchange: http_server.Exchange) -> None:
        """Handle a request of a client; its response follows when it is known.

        Parameters
        ----------
        request : ports.Request
            The request.
        exchange : http_server.Exchange
            Takes the response.
        """
        queue, handler, decoded = self._decode(request)

        def respond(response: ports.Response) -> None:
            elapsed = self.clock.now() - exchange.arrived
            self._metrics.record_response(queue, response.status, elapsed)
            exchange.respond(response)

        if isinstance(decoded, ports.Response):
            respond(decoded)
        else:
            handler(self, decoded, respond, exchange)

    def _decode(
        self, request: ports.Request
    ) -> tuple[str, Handler, ports.ClientRequest | ports.Response]:
        """Return the queue, the handler and the request, or the response to it."""
        configuration = self._configuration
        if configuration is None:
            reason = jobs.Reason.NO_CONFIGURATION
            return "", _ignore, self.codec.outcome(_refused(reason))
        try:
            decoded = self.codec.decode(request, configuration)
        except errors.CarawaysailError as exc:
            logs.log_error("front", "Request refused.", exc, path=request.path)
            return "", _ignore, self.codec.invalid(exc)
        if decoded is None:
            logs.log_event(
                "front", "No queue.", host=request.host, path=request.path[:200],
                version=configuration.version,
            )  # fmt: skip
            return "", _ignore, self.codec.unknown_queue()
        return decoded.queue.name, handlers.get(type(decoded).__name__), decoded


def _ignore(*args: object) -> None:
    """Handle nothing: the response is known already."""


def _refused(reason: jobs.Reason) -> jobs.JobOutcome:
    return jobs.JobOutcome(jobs.Verdict.REFUSED, reason, RETRY_AFTER)


@handlers.register("JobRequest")
def _handle_job(
    front_end: FrontEnd,
    request: ports.JobRequest,
    respond: Respond,
    exchange: http_server.Exchange,
) -> None:
    job_id = request.job.job_id
    if front_end.is_full():
        logs.log_event("front", "Too many waiting clients.", id=job_id)
        respond(front_end.codec.outcome(_refused(jobs.Reason.OVERLOADED)))
        return
    elapsed = front_end.clock.now() - exchange.arrived
    if elapsed >= request.client_timeout:
        logs.log_event("front", "Client's timeout has passed.", id=job_id)
        respond(front_end.codec.outcome(_refused(jobs.Reason.TIMED_OUT)))
        return
    timeout = front_end.limit_timeout(request.client_timeout - elapsed)
    if timeout <= datetime.timedelta():
        logs.log_event("front", "Leaving; job refused.", id=job_id)
        respond(front_end.codec.outcome(_refused(jobs.Reason.LEAVING)))
        return

    def finish(outcome: jobs.JobOutcome) -> None:
        timer.cancel()
        respond(front_end.codec.outcome(outcome))

    def leave() -> None:
        timer.cancel()
        if front_end.replies.close(reply_id):
            front_end.loop_inbox.put(messages.ClientLeft(job_id, reply_id))

    def expire() -> None:
        leave()
        outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.TIMED_OUT)
        respond(front_end.codec.outcome(outcome))

    max_wait = timeout + WAIT_MARGIN
    timer = front_end.call_later(max_wait.total_seconds(), expire)
    reply_id = front_end.replies.open(finish)
    exchange.on_disconnect = leave
    front_end.loop_inbox.put(
        messages.JobPosted(
            request._replace(client_timeout=elapsed + timeout),
            reply_id,
            exchange.arrived,
        )
    )


@handlers.register("StateRequest")
def _handle_state(
    front_end: FrontEnd,
    request: ports.StateRequest,
    respond: Respond,
    exchange: http_server.Exchange,
) -> None:
    """Respond that the job is unknown: no job is stored beyond its client's request."""
    respond(front_end.codec.unknown_job())


@handlers.register("CancelRequest")
def _handle_cancel(
    front_end: FrontEnd,
    request: ports.CancelRequest,
    respond: Respond,
    exchange: http_server.Exchange,
) -> None:
    """Respond that the job is unknown, because no job is stored."""
    respond(front_end.codec.unknown_job())


@handlers.register("PendingRequest")
def _handle_pending(
    front_end: FrontEnd,
    request: ports.PendingRequest,
    respond: Respond,
    exchange: http_server.Exchange,
) -> None:
    """Respond with 0, because no job is stored."""
    respond(front_end.codec.pending(0))
