"""Links to targets: one client each; a thread pool makes the blocking calls."""

import asyncio
import collections.abc
import concurrent.futures
import typing

from carawaysail_decisions import capacity, events
from carawaysail_entry import traces
from carawaysail_platform import runners, targets, workers
from carawaysail_runtime import logs
from carawaysail_types import clock, identifiers, outcomes, registry

LATE_ANSWER_WAIT_S = 30.0
"""How long after the latest deadline of a batch an answer is still accepted."""

TargetEvent = events.TaskFinished | events.BatchFinished | events.TargetLeaving

PostEvent = collections.abc.Callable[[TargetEvent], None]
ClientFactory = collections.abc.Callable[[capacity.TargetSpec], targets.Client]

clients: registry.Registry[ClientFactory] = registry.Registry("target kinds")


@clients.register("runner")
def make_runner(spec: capacity.TargetSpec) -> targets.Client:
    """Return a client for a runner, which runs one task per request."""
    return runners.RunnerClient(
        spec.url, spec.connect_timeout.total_seconds(), spec.max_connections
    )


@clients.register("worker")
def make_worker(spec: capacity.TargetSpec) -> targets.Client:
    """Return a client for a worker, which runs batches of tasks under a lease."""
    lease_ms = int(clock.to_milliseconds(spec.lease))
    connect_s = spec.connect_timeout.total_seconds()
    return workers.WorkerClient(spec.url, connect_s, spec.max_connections, lease_ms)


class _TargetLink:
    """Client of a target, its batches in flight, and the timer of lease renewal."""

    def __init__(self, spec: capacity.TargetSpec) -> None:
        self.spec = spec
        self.client = clients.get(spec.kind)(spec)
        self.batches_in_flight: dict[int, tuple[identifiers.TaskId, ...]] = {}
        self.renewal: asyncio.TimerHandle | None = None


class TargetLinks:
    """Links of one entry daemon to the targets of its data centre.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop of the dispatch task, which owns the links. All methods are called in
        it, except those that run in the thread pool.
    post_event : callable
        Sends an event to the dispatch task; called from any thread.
    threads : int
        Size of the thread pool: the largest number of concurrent calls to targets.
    time_source : clock.Clock
        The clock.
    tracer : traces.Tracer
        Records a span for each exchange with a target.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        post_event: PostEvent,
        threads: int,
        time_source: clock.Clock,
        tracer: traces.Tracer,
    ) -> None:
        self._loop = loop
        self._post_event = post_event
        self._clock = time_source
        self._tracer = tracer
        self._links: dict[str, _TargetLink] = {}
        self._executor = concurrent.futures.ThreadPoolExecutor(threads, "target")

    def update_targets(self, specs: tuple[capacity.TargetSpec, ...]) -> None:
        """Create links to new or changed targets and drop those no longer listed.

        Parameters
        ----------
        specs : tuple of capacity.TargetSpec
            All targets of this data centre. A link is kept if its target's spec is
            unchanged.
        """
        previous = self._links
        self._links = {}
        for spec in specs:
            link = previous.get(spec.target_id)
            if link is None or link.spec != spec:
                link = _TargetLink(spec)
            self._links[spec.target_id] = link

    def send(self, action: events.SendBatch) -> None:
        """Send a batch from the thread pool; its results are posted as events.

        A batch for a target without a link is reported as not started.
        """
        link = self._links.get(action.target_id)
        if link is None:
            reason = outcomes.Reason.NO_TARGET
            batch_status = outcomes.BatchStatus.NOT_STARTED
            self._post_event(events.BatchFinished(action.batch, batch_status, reason))
            return
        link.batches_in_flight[action.batch] = tuple(
            sent.task_id for sent in action.tasks
        )
        self._schedule_renewal(link)
        self._executor.submit(self._call, link, action)

    def stop(self, action: events.StopTasks) -> None:
        """Ask a target to stop tasks, from the thread pool."""
        link = self._links.get(action.target_id)
        if link is not None:
            self._executor.submit(link.client.stop, action.tasks)

    def record_batch_end(self, batch: int) -> None:
        """Record that a batch has ended, so that its leases are no longer renewed."""
        for link in self._links.values():
            if link.batches_in_flight.pop(batch, None) is not None:
                return

    def close(self) -> None:
        """Shut down the thread pool without waiting; queued calls are cancelled."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _call(self, link: _TargetLink, action: events.SendBatch) -> None:
        """Run one exchange with a target, in the thread pool, and post its events."""
        received_result: targets.ExchangeResult | None = None
        try:
            for item in self._exchange(link, action):
                if isinstance(item, targets.ExchangeResult):
                    received_result = item
                else:
                    self._post_event(events.TaskFinished(action.batch, *item))
        except Exception as exc:
            logs.log_error(
                "target", "Exchange with target failed.", exc, target=action.target_id
            )
            batch_status = outcomes.BatchStatus.MAY_HAVE_STARTED
            received_result = targets.ExchangeResult(
                batch_status, outcomes.Reason.CONNECTION_LOST
            )
        exchange_result = received_result or targets.ExchangeResult(
            outcomes.BatchStatus.MAY_HAVE_STARTED
        )
        if exchange_result.is_leaving:
            self._post_event(events.TargetLeaving(action.target_id))
        self._post_event(
            events.BatchFinished(
                action.batch, exchange_result.batch_status, exchange_result.reason
            )
        )

    def _exchange(
        self, link: _TargetLink, action: events.SendBatch
    ) -> collections.abc.Iterator[targets.TaskResult | targets.ExchangeResult]:
        remaining_s = (action.latest_deadline - self._clock.now()).total_seconds()
        wait_s = max(0.0, remaining_s) + LATE_ANSWER_WAIT_S
        parent = action.tasks[0].trace
        with self._tracer.span("target.exchange", parent) as span:
            span.set("target", action.target_id)
            span.set("tasks", len(action.tasks))
            orders = tuple(
                targets.Order(
                    x.task_id, x.service, x.payload, x.resources, span.traceparent
                )
                for x in action.tasks
            )
            yield from link.client.run(orders, wait_s)

    def _schedule_renewal(self, link: _TargetLink) -> None:
        if link.renewal is not None or not isinstance(
            link.client, workers.WorkerClient
        ):
            return
        delay_s = link.spec.lease.total_seconds() / RENEWALS_PER_LEASE
        link.renewal = self._loop.call_later(delay_s, self._renew, link)

    def _renew(self, link: _TargetLink) -> None:
        link.renewal = None
        tasks = tuple(
            task for batch in link.batches_in_flight.values() for task in batch
        )
        if tasks:
            renew = typing.cast(workers.WorkerClient, link.client).renew
            self._executor.submit(renew, tasks)
            self._schedule_renewal(link)


RENEWALS_PER_LEASE = 3
