"""Links to workers: a polling thread for each worker, and a pool that sends orders."""

import collections.abc
import concurrent.futures
import queue
import threading
import typing

from carawaysail_fleet import messages, ports
from carawaysail_holding import actions, broker_messages
from carawaysail_runtime import inbox, logs
from carawaysail_types import clock, runs

ORDER_THREADS = 24
"""Orders that can be under way at the same time; each blocks for a round trip."""

Order = typing.TypeVar("Order", broker_messages.StartRun, broker_messages.StopRun)


class _Link:
    """The thread that polls one worker; it owns the connection for polls."""

    def __init__(
        self,
        worker_id: str,
        workers: ports.WorkersClient,
        loop_inbox: "inbox.Inbox[messages.Message]",
        source: clock.Clock,
    ) -> None:
        self._workers = workers
        self._loop_inbox = loop_inbox
        self._clock = source
        self._has_failed = False
        self._orders: queue.SimpleQueue[broker_messages.PollWorker | None] = (
            queue.SimpleQueue()
        )
        self._thread = threading.Thread(
            target=self._run, name=f"poll {worker_id}", daemon=True
        )
        self._thread.start()

    def poll(self, order: broker_messages.PollWorker) -> None:
        self._orders.put(order)

    def close(self) -> None:
        self._orders.put(None)

    def _run(self) -> None:
        while (order := self._orders.get()) is not None:
            requested_at = self._clock.now()
            result = self._poll(order)
            self._loop_inbox.put(
                messages.WorkerStatusReceived(order.worker, result, requested_at)
            )

    def _poll(
        self, order: broker_messages.PollWorker
    ) -> runs.WorkerStatus | runs.OrderResult:
        """Send a poll; an exception counts as a poll without an answer."""
        try:
            result = self._workers.poll(order)
        except Exception as exc:
            if not self._has_failed:
                self._has_failed = True
                worker_id = order.worker.worker_id
                logs.log_error("workers", "Poll failed.", exc, worker=worker_id)
            self._pause()
            return runs.OrderResult.NO_ANSWER
        self._has_failed = False
        self._pause_after_error(result, order)
        return result

    def _pause_after_error(
        self,
        result: runs.WorkerStatus | runs.OrderResult,
        order: broker_messages.PollWorker,
    ) -> None:
        """Wait after a refused or unsent poll, which is otherwise repeated at once."""
        if (
            isinstance(result, runs.OrderResult)
            and result is not runs.OrderResult.NO_ANSWER
        ):
            self._pause()

    def _pause(self) -> None:
        typing.cast(clock.SystemClock, self._clock).sleep(RETRY_PAUSE)


RETRY_PAUSE = clock.milliseconds(100)


class WorkerLinks:
    """Links to all workers that one daemon holds; used by the decision loop only.

    No method blocks; results come as messages to the decision loop.

    Parameters
    ----------
    workers : ports.WorkersClient
        Makes the calls to workers.
    loop_inbox : inbox.Inbox
        Inbox of the decision loop.
    source : clock.Clock
        Source of the present instant.
    """

    def __init__(
        self,
        workers: ports.WorkersClient,
        loop_inbox: "inbox.Inbox[messages.Message]",
        source: clock.Clock,
    ) -> None:
        self._workers = workers
        self._loop_inbox = loop_inbox
        self._clock = source
        self._links: dict[str, _Link] = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(ORDER_THREADS, "order")

    def poll(self, order: broker_messages.PollWorker) -> None:
        """Poll a worker: renew its lease and request its status."""
        worker_id = order.worker.worker_id
        link = self._links.get(worker_id)
        if link is None:
            link = _Link(worker_id, self._workers, self._loop_inbox, self._clock)
            self._links[worker_id] = link
        link.poll(order)

    def start(self, order: broker_messages.StartRun) -> None:
        """Order a worker to start a run."""
        self._pool.submit(self._start, order)

    def stop(self, order: broker_messages.StopRun) -> None:
        """Order a worker to stop a run."""
        self._pool.submit(self._stop, order)

    def close_except(self, worker_ids: frozenset[str]) -> None:
        """Close the links to all workers but the given ones, which are still held."""
        for worker_id in [x for x in self._links if x not in worker_ids]:
            self._links.pop(worker_id).close()
            self._workers.forget(worker_id)

    def close(self) -> None:
        """Close all links and cancel orders that have not been sent."""
        self.close_except(frozenset())
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _start(self, order: broker_messages.StartRun) -> None:
        result = _send(self._workers.start, order)
        self._loop_inbox.put(
            messages.StartResultReceived(order.worker, order.run, result)
        )

    def _stop(self, order: broker_messages.StopRun) -> None:
        result = _send(self._workers.stop, order)
        self._loop_inbox.put(
            messages.StopResultReceived(order.worker, order.run, result)
        )


def _send(
    call: collections.abc.Callable[[Order], runs.OrderResult], order: Order
) -> runs.OrderResult:
    """Send an order; after an exception it may have been executed."""
    try:
        return call(order)
    except Exception as exc:
        logs.log_error(
            "workers", "Order failed.", exc, id=order.run.task.job_id,
            run=actions.label(order.run), worker=order.worker.worker_id,
        )  # fmt: skip
        return runs.OrderResult.NO_ANSWER
