"""The backlog: waiting work by flow, and the flows that cannot be served now."""

import datetime

from carawaysail_decisions import pending_work, queues, run_times

PoolKey = tuple[str, str]
"""Target kind and service."""


class Backlog:
    """Waiting work of one entry daemon.

    Parameters
    ----------
    policy : queues.Policy
        Order of the flows.
    """

    def __init__(self, policy: queues.Policy) -> None:
        self.queued = 0
        self._policy = policy
        self._flows: dict[tuple[run_times.Key, str, bool], queues.Flow] = {}
        self._parked: dict[PoolKey, list[queues.Flow]] = {}
        self.pending_work = pending_work.PendingWork()

    def set_policy(self, policy: queues.Policy) -> None:
        """Order the flows by another policy."""
        self._policy = policy
        self._parked = {}
        for flow in self._flows.values():
            if flow.head() is not None:
                self._policy.push(flow)

    def flow(
        self, key: run_times.Key, team: str, kind: str, is_long: bool, weight: float
    ) -> queues.Flow:
        """Return the flow of a service, kind of target and lane."""
        name = (key, kind, is_long)
        flow = self._flows.get(name)
        if flow is None:
            flow = self._flows[name] = queues.Flow(key, team, kind, is_long, weight)
        flow.weight = weight
        return flow

    def add(self, flow: queues.Flow, entry: queues.QueueEntry) -> None:
        """Let an entry wait at the end of its flow."""
        is_idle = flow.head() is None
        flow.push(entry)
        self.queued += len(entry.indexes)
        self.count_pending(flow, entry, len(entry.indexes))
        if is_idle:
            flow.deficit_ms = 0.0
            self._policy.push(flow)

    def put_back(self, flow: queues.Flow, entry: queues.QueueEntry, index: int) -> None:
        """Let one task that did not start wait at the front of its flow."""
        is_idle = flow.head() is None
        flow.put_back(entry, index)
        self.queued += 1
        if is_idle:
            self._policy.push(flow)

    def take(self, flow: queues.Flow) -> int:
        """Remove the first task of a flow's first entry and return its index."""
        self.queued -= 1
        return flow.take()

    def remove(self, flow: queues.Flow, entry: queues.QueueEntry) -> None:
        """Remove what is left of an entry."""
        dropped = flow.remove(entry)
        self.queued -= dropped
        self.count_pending(flow, entry, -dropped)

    def next(self, now: datetime.datetime) -> queues.Flow | None:
        """Remove and return the flow to serve next."""
        return self._policy.next(now)

    def requeue(self, flow: queues.Flow) -> None:
        """Return a flow that has more work and may be served again at once."""
        self._policy.push(flow)

    def park(self, flow: queues.Flow, key: PoolKey) -> None:
        """Set a flow aside until something ends in a pool, or for a team."""
        self._parked.setdefault(key, []).append(flow)

    def unpark(self, key: PoolKey) -> None:
        """Bring back the flows that wait for a pool or a team."""
        for flow in self._parked.pop(key, ()):
            if flow.head() is not None:
                self._policy.push(flow)

    def unpark_all(self) -> None:
        """Bring back every flow."""
        for key in list(self._parked):
            self.unpark(key)

    def count_pending(
        self, flow: queues.Flow, entry: queues.QueueEntry, tasks: int
    ) -> None:
        """Count tasks of an entry that came (positive) or ended (negative)."""
        lane = pending_work.Lane(flow.target_kind, flow.key.service, flow.is_long)
        self.pending_work.add_tasks(lane, tasks, tasks * entry.expected_ms, flow.weight)
