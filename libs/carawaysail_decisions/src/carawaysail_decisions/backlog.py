"""The backlog: queued tasks by flow, and the flows that cannot be served now."""

import datetime

from carawaysail_decisions import pending_work, queues, run_times

PoolKey = tuple[str, str]
"""Target kind and service; or ``dispatcher.TEAM`` and team, for a team at its quota."""


class Backlog:
    """Queued tasks of one entry daemon.

    A flow that has tasks is either in the order of the queue policy or parked until
    the pool or team that blocks it has capacity again.

    Parameters
    ----------
    policy : queues.Policy
        Order in which flows are served.

    Attributes
    ----------
    queued : int
        Number of queued tasks.
    pending_work : pending_work.PendingWork
        Tasks that are queued, running, or waiting for a retry.
    """

    def __init__(self, policy: queues.Policy) -> None:
        self.queued = 0
        self._policy = policy
        self._flows: dict[tuple[run_times.Key, str, bool], queues.Flow] = {}
        self._parked: dict[PoolKey, list[queues.Flow]] = {}
        self.pending_work = pending_work.PendingWork()

    def set_policy(self, policy: queues.Policy) -> None:
        """Replace the queue policy; parked flows are ordered again with all others."""
        self._policy = policy
        self._parked = {}
        for flow in self._flows.values():
            if flow.head() is not None:
                self._policy.push(flow)

    def flow(
        self, key: run_times.Key, team: str, kind: str, is_long: bool, weight: float
    ) -> queues.Flow:
        """Return the flow of a service, kind of job, kind of target and lane.

        Parameters
        ----------
        key : run_times.Key
            Service and kind of job.
        team : str
            Team that the service belongs to.
        kind : str
            Kind of target: ``runner`` or ``worker``.
        is_long : bool
            Whether the flow belongs to the long lane.
        weight : float
            Weight of the service; replaces the flow's earlier one.
        """
        name = (key, kind, is_long)
        flow = self._flows.get(name)
        if flow is None:
            flow = self._flows[name] = queues.Flow(key, team, kind, is_long, weight)
        flow.weight = weight
        return flow

    def add(self, flow: queues.Flow, entry: queues.QueueEntry) -> None:
        """Add an entry at the end of its flow."""
        was_empty = flow.head() is None
        flow.push(entry)
        self.queued += len(entry.indexes)
        self.count_pending(flow, entry, len(entry.indexes))
        if was_empty:
            flow.deficit_ms = 0.0
            self._policy.push(flow)

    def put_back(self, flow: queues.Flow, entry: queues.QueueEntry, index: int) -> None:
        """Add a task that has been sent before to the front of its flow again.

        It is in the count of pending tasks already.
        """
        was_empty = flow.head() is None
        flow.put_back(entry, index)
        self.queued += 1
        if was_empty:
            self._policy.push(flow)

    def pop_task(self, flow: queues.Flow) -> int:
        """Remove the first task of a flow's first entry and return its index.

        It remains in the count of pending tasks until it has ended.
        """
        self.queued -= 1
        return flow.pop_task()

    def remove(self, flow: queues.Flow, entry: queues.QueueEntry) -> None:
        """Remove the queued tasks of an entry."""
        removed = flow.remove(entry)
        self.queued -= removed
        self.count_pending(flow, entry, -removed)

    def next(self, now: datetime.datetime) -> queues.Flow | None:
        """Remove the flow to serve next from the order and return it, or ``None``."""
        return self._policy.next(now)

    def requeue(self, flow: queues.Flow) -> None:
        """Put a flow that has more tasks and is not blocked back into the order."""
        self._policy.push(flow)

    def park(self, flow: queues.Flow, key: PoolKey) -> None:
        """Set a flow aside until ``unpark`` is called for its pool or team."""
        self._parked.setdefault(key, []).append(flow)

    def unpark(self, key: PoolKey) -> None:
        """Put the flows parked for a pool or team back into the order."""
        for flow in self._parked.pop(key, ()):
            if flow.head() is not None:
                self._policy.push(flow)

    def unpark_all(self) -> None:
        """Put all parked flows back into the order."""
        for key in list(self._parked):
            self.unpark(key)

    def count_pending(
        self, flow: queues.Flow, entry: queues.QueueEntry, tasks: int
    ) -> None:
        """Add tasks to the pending work, or remove tasks that have ended.

        Parameters
        ----------
        flow : queues.Flow
            Flow of the entry.
        entry : queues.QueueEntry
            The submission's entry.
        tasks : int
            Number of tasks; negative to remove them.
        """
        lane = pending_work.Lane(flow.target_kind, flow.key.service, flow.is_long)
        self.pending_work.add_tasks(lane, tasks, tasks * entry.expected_ms, flow.weight)
