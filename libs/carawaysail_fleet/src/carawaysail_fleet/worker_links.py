"""Links to workers: their connections, and the calls under way on them."""

import collections.abc
import datetime
import typing

from carawaysail_fleet import messages, metrics, ports
from carawaysail_holding import actions, broker_messages
from carawaysail_platform import errors, http_calls
from carawaysail_runtime import inbox, logs
from carawaysail_types import addresses, clock, runs

MAX_IDLE_CONNECTIONS = 6
"""Idle connections kept to a worker: one waits for the reply to a poll, the others send
orders."""

RETRY_PAUSE = clock.milliseconds(100)
"""Least time between a poll without a status and the next one."""

NO_REPLY_OUTCOME = "lost"
"""Outcome in the metrics of a call without a reply."""

Result = runs.WorkerStatus | runs.OrderResult
PostMessage = collections.abc.Callable[[messages.Message], None]


class _Call(typing.Protocol):
    """One call to a worker: its request, and what follows from its result."""

    worker: runs.WorkerReport

    def request(self) -> http_calls.Request:
        """Return the request."""

    def decode(self, reply: http_calls.Reply) -> Result:
        """Return the result that a reply means."""

    def post(self, result: Result) -> None:
        """Pass the result to the decision loop."""

    def fail(self, exc: Exception) -> None:
        """Pass on that the call raised an exception, so it may have been executed."""


class _Poll:
    """A poll: renews a worker's lease and requests its status."""

    def __init__(self, order: broker_messages.PollWorker, links: "WorkerLinks") -> None:
        self.worker = order.worker
        self._order = order
        self._links = links
        self._requested_at = links.clock.now()

    def request(self) -> http_calls.Request:
        return self._links.codec.poll(self._order)

    def decode(self, reply: http_calls.Reply) -> Result:
        status = self._links.codec.status(reply)
        self._links.failed_polls.discard(self.worker.worker_id)
        return status

    def post(self, result: Result) -> None:
        pause = clock.milliseconds(0)
        if isinstance(result, runs.OrderResult):
            # A worker that ends may accept connections and close them at once.
            waited = self._links.clock.now() - self._requested_at
            pause = max(pause, RETRY_PAUSE - waited)
        self._post(result, pause)

    def fail(self, exc: Exception) -> None:
        worker_id = self.worker.worker_id
        if worker_id not in self._links.failed_polls:
            self._links.failed_polls.add(worker_id)
            logs.log_error("workers", "Poll failed.", exc, worker=worker_id)
        self._post(runs.OrderResult.NO_ANSWER, RETRY_PAUSE)

    def _post(self, result: Result, pause: datetime.timedelta) -> None:
        message = messages.WorkerStatusReceived(self.worker, result, self._requested_at)
        if pause:
            self._links.call_later(
                pause.total_seconds(), self._links.loop_inbox.put, message
            )
        else:
            self._links.loop_inbox.put(message)


class _Order:
    """An order that starts or stops a run.

    Parameters
    ----------
    order : broker_messages.StartRun or broker_messages.StopRun
        The order.
    encode : callable
        Encodes it.
    make_message : callable
        Makes the message with its result.
    links : WorkerLinks
        The links.
    """

    def __init__(
        self,
        order: typing.Any,
        encode: collections.abc.Callable[[typing.Any], http_calls.Request],
        make_message: collections.abc.Callable[..., messages.Message],
        links: "WorkerLinks",
    ) -> None:
        self.worker: runs.WorkerReport = order.worker
        self._order = order
        self._encode = encode
        self._make_message = make_message
        self._links = links

    def request(self) -> http_calls.Request:
        return self._encode(self._order)

    def decode(self, reply: http_calls.Reply) -> Result:
        return self._links.codec.order_result(reply)

    def post(self, result: Result) -> None:
        message = self._make_message(self.worker, self._order.run, result)
        self._links.loop_inbox.put(message)

    def fail(self, exc: Exception) -> None:
        run = self._order.run
        logs.log_error(
            "workers", "Order failed.", exc, id=run.task.job_id,
            run=actions.label(run), worker=self.worker.worker_id,
        )  # fmt: skip
        self.post(runs.OrderResult.NO_ANSWER)


class WorkerLinks:
    """Links to all workers that one daemon holds; used in the event loop only.

    No method blocks; results come as messages to the decision loop.

    Parameters
    ----------
    codec : ports.WorkerCodec
        Encodes the calls and decodes the replies.
    loop_inbox : inbox.Inbox
        Inbox of the decision loop.
    source : clock.Clock
        Source of the present instant.
    daemon_metrics : metrics.DaemonMetrics
        Records duration and status of each call.
    call_later : callable
        Calls a function with an argument after some seconds.
    """

    def __init__(
        self,
        codec: ports.WorkerCodec,
        loop_inbox: "inbox.Inbox[messages.Message]",
        source: clock.Clock,
        daemon_metrics: metrics.DaemonMetrics,
        call_later: collections.abc.Callable[[float, PostMessage, typing.Any], object],
    ) -> None:
        self.codec = codec
        self.loop_inbox = loop_inbox
        self.clock = source
        self.call_later = call_later
        # Workers whose last poll raised an exception.
        self.failed_polls: set[str] = set()
        self._metrics = daemon_metrics
        self._clients: dict[str, http_calls.Client] = {}

    def poll(self, order: broker_messages.PollWorker) -> None:
        """Poll a worker: renew its lease and request its status."""
        self._make(_Poll(order, self))

    def start(self, order: broker_messages.StartRun) -> None:
        """Order a worker to start a run."""
        self._make(_Order(order, self.codec.start, messages.StartResultReceived, self))

    def stop(self, order: broker_messages.StopRun) -> None:
        """Order a worker to stop a run."""
        self._make(_Order(order, self.codec.stop, messages.StopResultReceived, self))

    def _make(self, call: _Call) -> None:
        """Make a call; pass on its result, or an exception on the way."""
        started = self.clock.now()

        def handle(reply: http_calls.Reply | errors.NoReplyError) -> None:
            try:
                result = self._decode(call, reply, self.clock.now() - started)
            except Exception as exc:
                call.fail(exc)
            else:
                call.post(result)

        try:
            self._client(call.worker).call(call.request(), handle)
        except Exception as exc:
            call.fail(exc)

    def _decode(
        self,
        call: _Call,
        reply: http_calls.Reply | errors.NoReplyError,
        elapsed: datetime.timedelta,
    ) -> Result:
        if isinstance(reply, http_calls.Reply):
            self._metrics.record_call("worker", str(reply.status), elapsed)
            return call.decode(reply)
        self._metrics.record_call("worker", NO_REPLY_OUTCOME, elapsed)
        if reply.is_unsent:
            return runs.OrderResult.NOT_SENT
        return runs.OrderResult.NO_ANSWER

    def _client(self, worker: runs.WorkerReport) -> http_calls.Client:
        client = self._clients.get(worker.worker_id)
        if client is None or client.address != worker.address:
            if client is not None:
                client.close()
            host, port = addresses.split(worker.address)
            client = http_calls.Client(worker.address, host, port, MAX_IDLE_CONNECTIONS)
            self._clients[worker.worker_id] = client
        return client

    def close_except(self, worker_ids: frozenset[str]) -> None:
        """Close the links to all workers but the given ones, which are still held."""
        for worker_id in [x for x in self._clients if x not in worker_ids]:
            self._clients.pop(worker_id).close()
            self.failed_polls.discard(worker_id)

    def close(self) -> None:
        """Close all links."""
        self.close_except(frozenset())
