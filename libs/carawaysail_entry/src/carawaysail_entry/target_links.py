"""Links to targets: each owns its connections; a pool of threads makes the calls."""

import asyncio
import collections.abc
import concurrent.futures
import typing

from carawaysail_decisions import capacity, events
from carawaysail_entry import traces
from carawaysail_platform import runners, targets, workers
from carawaysail_runtime import logs
from carawaysail_types import clock, identifiers, outcomes, registry

LATE_S = 30.0
"""How long after the deadline an answer is still taken, in seconds."""

News = events.TaskEnded | events.BatchEnded | events.TargetLeaving

Post = collections.abc.Callable[[News], None]
MakeClient = collections.abc.Callable[[capacity.TargetSpec], targets.Client]

clients: registry.Registry[MakeClient] = registry.Registry("target kinds")


@clients.register("runner")
def make_runner(spec: capacity.TargetSpec) -> targets.Client:
    """Return the client of a runner."""
    return runners.Runner(
        spec.url, spec.connect_timeout.total_seconds(), spec.max_connections
    )


@clients.register("worker")
def make_worker(spec: capacity.TargetSpec) -> targets.Client:
    """Return the client of a worker."""
    lease_ms = int(clock.to_milliseconds(spec.lease))
    connect_s = spec.connect_timeout.total_seconds()
    return workers.Worker(spec.url, connect_s, spec.max_connections, lease_ms)


class _Link:
    def __init__(self, spec: capacity.TargetSpec) -> None:
        self.spec = spec
        self.client = clients.get(spec.kind)(spec)
        self.under_way: dict[int, tuple[identifiers.TaskId, ...]] = {}
        self.renewal: asyncio.TimerHandle | None = None


class Links:
    """The links of one entry daemon.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop of the dispatch task, which owns the links.
    post : callable
        Takes each event back to the dispatch task, from any thread.
    threads : int
        Calls to targets at once.
    source : clock.Clock
        The clock.
    tracer : traces.Tracer
        Records a span for each message to a target.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        post: Post,
        threads: int,
        source: clock.Clock,
        tracer: traces.Tracer,
    ) -> None:
        self._loop = loop
        self._post = post
        self._clock = source
        self._tracer = tracer
        self._links: dict[str, _Link] = {}
        self._executor = concurrent.futures.ThreadPoolExecutor(threads, "target")

    def change(self, specs: tuple[capacity.TargetSpec, ...]) -> None:
        """Open links to new targets and leave those that are gone or elsewhere."""
        known = self._links
        self._links = {}
        for spec in specs:
            link = known.get(spec.target_id)
            if link is None or link.spec != spec:
                link = _Link(spec)
            self._links[spec.target_id] = link

    def send(self, action: events.SendBatch) -> None:
        """Send a batch from a thread; its results come back as events."""
        link = self._links.get(action.target_id)
        if link is None:
            reason = outcomes.Reason.NO_TARGET
            fate = outcomes.Fate.NOT_STARTED
            self._post(events.BatchEnded(action.batch, fate, reason))
            return
        link.under_way[action.batch] = tuple(sent.task_id for sent in action.tasks)
        self._renew_later(link)
        self._executor.submit(self._call, link, action)

    def stop(self, action: events.StopTasks) -> None:
        """Ask a target to stop tasks, from a thread."""
        link = self._links.get(action.target_id)
        if link is not None:
            self._executor.submit(link.client.stop, action.tasks)

    def ended(self, batch: int) -> None:
        """Count a batch as ended, so that its lease is not renewed any more."""
        for link in self._links.values():
            if link.under_way.pop(batch, None) is not None:
                return

    def close(self) -> None:
        """Let the threads end when their calls have ended."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _call(self, link: _Link, action: events.SendBatch) -> None:
        """Run in a thread: make one exchange with a target."""
        ended: targets.End | None = None
        try:
            for item in self._exchange(link, action):
                if isinstance(item, targets.End):
                    ended = item
                else:
                    self._post(events.TaskEnded(action.batch, *item))
        except Exception as exc:
            logs.log_error("target", "Call failed.", exc, target=action.target_id)
            fate = outcomes.Fate.MAY_HAVE_STARTED
            ended = targets.End(fate, outcomes.Reason.CONNECTION_LOST)
        end = ended or targets.End(outcomes.Fate.MAY_HAVE_STARTED)
        if end.is_leaving:
            self._post(events.TargetLeaving(action.target_id))
        self._post(events.BatchEnded(action.batch, end.fate, end.reason))

    def _exchange(
        self, link: _Link, action: events.SendBatch
    ) -> collections.abc.Iterator[targets.Result | targets.End]:
        left = (action.latest_deadline - self._clock.now()).total_seconds()
        wait_s = max(0.0, left) + LATE_S
        parent = action.tasks[0].trace
        with self._tracer.span("target.exchange", parent) as span:
            span.set("target", action.target_id)
            span.set("tasks", len(action.tasks))
            orders = tuple(
                targets.Order(
                    x.task_id, x.service, x.payload, x.needs, span.traceparent
                )
                for x in action.tasks
            )
            yield from link.client.run(orders, wait_s)

    def _renew_later(self, link: _Link) -> None:
        if link.renewal is not None or not isinstance(link.client, workers.Worker):
            return
        pause = link.spec.lease.total_seconds() / RENEWALS_A_LEASE
        link.renewal = self._loop.call_later(pause, self._renew, link)

    def _renew(self, link: _Link) -> None:
        link.renewal = None
        tasks = tuple(task for batch in link.under_way.values() for task in batch)
        if tasks:
            renew = typing.cast(workers.Worker, link.client).renew
            self._executor.submit(renew, tasks)
            self._renew_later(link)


RENEWALS_A_LEASE = 3
