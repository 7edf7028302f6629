"""Links to workers: a thread a worker asks for listings, a pool sends orders."""

import concurrent.futures
import queue
import threading
import typing

from carawaysail_fleet import messages, ports
from carawaysail_holding import broker_messages
from carawaysail_runtime import inbox
from carawaysail_types import clock, runs

ORDER_THREADS = 24
"""Orders under way at once; each takes a round trip."""


class _Link:
    """The thread that asks one worker for listings; it owns that connection."""

    def __init__(
        self,
        worker_id: str,
        workers: ports.WorkerClient,
        out: "inbox.Inbox[messages.Message]",
        source: clock.Clock,
    ) -> None:
        self._workers = workers
        self._out = out
        self._clock = source
        self._orders: queue.SimpleQueue[broker_messages.PollWorker | None] = (
            queue.SimpleQueue()
        )
        self._thread = threading.Thread(
            target=self._run, name=f"hold {worker_id}", daemon=True
        )
        self._thread.start()

    def poll(self, order: broker_messages.PollWorker) -> None:
        self._orders.put(order)

    def close(self) -> None:
        self._orders.put(None)

    def _run(self) -> None:
        while (order := self._orders.get()) is not None:
            asked = self._clock.now()
            answer = self._workers.poll(order)
            self._pause(answer, order)
            self._out.put(messages.WorkerStatusReceived(order.worker, answer, asked))

    def _pause(
        self,
        answer: runs.WorkerStatus | runs.OrderResult,
        order: broker_messages.PollWorker,
    ) -> None:
        """Wait before a worker that could not be reached is asked again."""
        if (
            isinstance(answer, runs.OrderResult)
            and answer is not runs.OrderResult.NO_ANSWER
        ):
            typing.cast(clock.SystemClock, self._clock).sleep(RETRY)


RETRY = clock.milliseconds(100)


class WorkerLinks:
    """All links of one daemon; used by the desk only.

    Parameters
    ----------
    workers : ports.WorkerClient
        Makes the calls.
    out : inbox.Inbox
        Takes the answers.
    source : clock.Clock
        The clock.
    """

    def __init__(
        self,
        workers: ports.WorkerClient,
        out: "inbox.Inbox[messages.Message]",
        source: clock.Clock,
    ) -> None:
        self._workers = workers
        self._out = out
        self._clock = source
        self._links: dict[str, _Link] = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(ORDER_THREADS, "order")

    def poll(self, order: broker_messages.PollWorker) -> None:
        """Ask a worker for a listing."""
        worker_id = order.worker.worker_id
        link = self._links.get(worker_id)
        if link is None:
            link = _Link(worker_id, self._workers, self._out, self._clock)
            self._links[worker_id] = link
        link.poll(order)

    def start(self, order: broker_messages.StartRun) -> None:
        """Order a run."""
        self._pool.submit(self._start, order)

    def stop(self, order: broker_messages.StopRun) -> None:
        """Stop a run."""
        self._pool.submit(self._stop, order)

    def close_except(self, worker_ids: frozenset[str]) -> None:
        """Close the links to all workers that are not held any more."""
        for worker_id in [x for x in self._links if x not in worker_ids]:
            self._links.pop(worker_id).close()
            self._workers.forget(worker_id)

    def close(self) -> None:
        """Close all links."""
        self.close_except(frozenset())
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _start(self, order: broker_messages.StartRun) -> None:
        answer = self._workers.start(order)
        self._out.put(messages.StartAnswered(order.worker, order.run, answer))

    def _stop(self, order: broker_messages.StopRun) -> None:
        answer = self._workers.stop(order)
        self._out.put(messages.StopAnswered(order.worker, order.run, answer))
