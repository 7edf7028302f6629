"""Placement: the targets of a data centre, their pools and the unanswered batches."""

import datetime
import itertools
import random

from carawaysail_decisions import (
    backlog,
    capacity,
    events,
    pools,
    queues,
    routing,
    submission_progress,
)
from carawaysail_types import identifiers, work

REFILL_SHARE = 0.5
"""A worker's backlog is refilled when it falls to this share of its maximum."""

RUNNER_TASK_RESOURCES = work.TaskResources(1.0, 0.0, 0)
"""Resources that a task on a runner occupies: one slot."""


class Batch:
    """Tasks sent to one target in one message and not answered yet.

    Parameters
    ----------
    state : capacity.TargetState
        The target.
    sent_at : datetime.datetime
        When the message was sent.

    Attributes
    ----------
    tasks : dict of identifiers.TaskId to submission_progress.Progress
        The tasks that are not answered yet, with their submissions.
    """

    __slots__ = ("sent_at", "state", "tasks")

    def __init__(self, state: capacity.TargetState, sent_at: datetime.datetime) -> None:
        self.state = state
        self.sent_at = sent_at
        self.tasks: dict[identifiers.TaskId, submission_progress.Progress] = {}


class OutgoingBatch:
    """A message to a target to which tasks are being added.

    Parameters
    ----------
    number : int
        Number of the batch.
    state : capacity.TargetState
        The target.

    Attributes
    ----------
    tasks : list of events.BatchTask
        Tasks added so far.
    latest_deadline : datetime.datetime
        The latest deadline among their submissions.
    """

    __slots__ = ("latest_deadline", "number", "state", "tasks")

    def __init__(self, number: int, state: capacity.TargetState) -> None:
        self.number = number
        self.state = state
        self.tasks: list[events.BatchTask] = []
        self.latest_deadline = datetime.datetime.min.replace(tzinfo=datetime.UTC)

    def action(self) -> events.SendBatch:
        """Return the action that sends the message."""
        target_id = self.state.spec.target_id
        return events.SendBatch(
            self.number, target_id, tuple(self.tasks), self.latest_deadline
        )


class OutgoingBatches:
    """Messages built while one event is handled.

    Tasks for the same worker share a message; each task for a runner has its own.

    Parameters
    ----------
    batch_tasks : int
        Tasks that one message to a worker may carry.
    """

    def __init__(self, batch_tasks: int) -> None:
        self._batch_tasks = batch_tasks
        self._messages: list[OutgoingBatch] = []
        self._open_by_worker: dict[str, OutgoingBatch] = {}
        self._last_by_service: dict[str, OutgoingBatch] = {}

    def message_for(self, state: capacity.TargetState) -> OutgoingBatch | None:
        """Return the message to which a worker's next task is added, or ``None``."""
        message = self._open_by_worker.get(state.spec.target_id)
        if message is None or len(message.tasks) >= self._batch_tasks:
            return None
        return message

    def last_for(self, service: str) -> capacity.TargetState | None:
        """Return the worker that the last task of a service was assigned to.

        Filling one message before the next is opened saves messages; the worker runs
        its tasks in parallel, so spreading them further would save no time.

        Returns
        -------
        capacity.TargetState or None
            ``None`` if there is no such worker or its message is full.
        """
        message = self._last_by_service.get(service)
        if message is None or len(message.tasks) >= self._batch_tasks:
            return None
        return message.state

    def open(self, number: int, state: capacity.TargetState) -> OutgoingBatch:
        """Open a message to a target."""
        message = OutgoingBatch(number, state)
        self._messages.append(message)
        if state.spec.kind == "worker":
            self._open_by_worker[state.spec.target_id] = message
        return message

    def add(
        self,
        message: OutgoingBatch,
        task: events.BatchTask,
        deadline: datetime.datetime,
    ) -> None:
        """Add a task to a message; ``deadline`` is that of its submission."""
        message.tasks.append(task)
        message.latest_deadline = max(message.latest_deadline, deadline)
        self._last_by_service[task.service] = message

    def actions(self) -> list[events.SendBatch]:
        """Return the actions that send the messages, in the order of opening."""
        return [message.action() for message in self._messages]


class Placement:
    """The targets of one data centre and the load that one entry daemon puts on them.

    Parameters
    ----------
    rng : random.Random
        Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self.targets: dict[str, capacity.TargetState] = {}
        self.batches: dict[int, Batch] = {}
        self._rng = rng
        self._pools: dict[backlog.PoolKey, pools.Pool] = {}
        self._batch_numbers = itertools.count(1)

    def set_targets(self, event: events.TargetsChanged) -> None:
        """Replace targets and shares; the load of a target that remains is kept."""
        known = self.targets
        self.targets = {}
        groups: dict[backlog.PoolKey, list[capacity.TargetState]] = {}
        for spec in event.specs:
            state = known.get(spec.target_id) or capacity.TargetState(spec)
            state.spec = spec
            share = event.shares.get(spec.target_id, 0.0)
            state.share = spec.capacity.scaled(0.0 if spec.leaving else share)
            self.targets[spec.target_id] = state
            if not spec.leaving:
                for service in spec.services:
                    groups.setdefault((spec.kind, service), []).append(state)
        self._spread_phases()
        for key in set(groups) | set(self._pools):
            self._pools.setdefault(key, pools.Pool(self._rng)).set_targets(
                groups.get(key, ())
            )

    def _spread_phases(self) -> None:
        """Space the rounding phases of the targets evenly over 0 to 1."""
        states = [self.targets[name] for name in sorted(self.targets)]
        for rank, state in enumerate(states):
            state.phase = rank / len(states)

    def pool(self, kind: str, service: str) -> pools.Pool | None:
        """Return the targets that serve a service, or ``None`` if there are none."""
        pool = self._pools.get((kind, service))
        return pool if pool is not None and pool.states else None

    def find_target(
        self,
        flow: queues.Flow,
        resources: work.TaskResources,
        expected_ms: float,
        dispatch_settings: events.DispatchSettings,
        policy: routing.Policy,
        out: OutgoingBatches,
        now: datetime.datetime,
    ) -> capacity.TargetState | None:
        """Return a target with capacity for the next task of a flow, or ``None``.

        A worker whose processors are all occupied may still get a backlog of
        ``dispatch_settings.batch_ms``, so that one message carries several tasks. The
        worker of the service's last task is preferred; another one gets more only when
        its backlog has fallen to ``REFILL_SHARE``. ``expected_ms`` is the expected run
        time of the task.
        """
        pool = self.pool(flow.target_kind, flow.key.service)
        if pool is None:
            return None
        request = pools.PlacementRequest(
            resources, flow.is_long, dispatch_settings.long_share, 1.0
        )
        last = None
        if flow.target_kind == "worker":
            last = out.last_for(flow.key.service)
            if last is not None and last in pool and request.fits(last):
                return last
        state = pool.find_target(request, policy, now)
        if state is not None or flow.target_kind == "runner":
            return state
        backlog_share = dispatch_settings.batch_ms / max(expected_ms, 1.0)
        request = request._replace(overcommit=1.0 + backlog_share)
        if last is not None and last in pool and request.fits(last):
            return last
        request = request._replace(overcommit=1.0 + backlog_share * REFILL_SHARE)
        return pool.find_with_backlog(request, now)

    def assign(
        self,
        progress: submission_progress.Progress,
        index: int,
        resources: work.TaskResources,
        state: capacity.TargetState,
        out: OutgoingBatches,
        now: datetime.datetime,
    ) -> None:
        """Add a task to a message for a target, and allocate its resources there.

        Parameters
        ----------
        progress : submission_progress.Progress
            Progress of the task's submission.
        index : int
            Index of the task in its submission.
        resources : work.TaskResources
            Resources that the task requires.
        state : capacity.TargetState
            The target.
        out : OutgoingBatches
            Messages of the event that is being handled.
        now : datetime.datetime
            The present instant.
        """
        message = out.message_for(state)
        if message is None:
            message = out.open(next(self._batch_numbers), state)
            self.batches[message.number] = Batch(state, now)
        task_id = identifiers.TaskId(progress.key, index)
        self.batches[message.number].tasks[task_id] = progress
        submission = progress.submission
        payload = submission.tasks[index].payload
        task = events.BatchTask(
            task_id, submission.service, payload, resources, submission.trace
        )
        out.add(message, task, submission.deadline)
        state.allocate(resources, progress.flow.is_long)
        progress.batch_by_task[index] = message.number
        progress.possible_starts += 1
        progress.attempts[index] = progress.attempts.get(index, 0) + 1

    def release(
        self, number: int, task_id: identifiers.TaskId
    ) -> submission_progress.Progress | None:
        """Release the resources of a task that has ended and return its submission.

        Returns
        -------
        submission_progress.Progress or None
            ``None`` if the batch has no such unanswered task: the answer is late, a
            duplicate, or names a task of another batch.
        """
        batch = self.batches.get(number)
        progress = batch.tasks.pop(task_id, None) if batch is not None else None
        if batch is None or progress is None:
            return None
        batch.state.release(
            resources_of(progress, task_id.position), progress.flow.is_long
        )
        progress.batch_by_task.pop(task_id.position, None)
        self.mark_available(batch.state)
        return progress

    def mark_available(self, state: capacity.TargetState) -> None:
        """Make a target a candidate again in all its pools."""
        for service in state.spec.services:
            pool = self._pools.get((state.spec.kind, service))
            if pool is not None and state in pool:
                pool.mark_available(state)

    def record_failure(
        self, state: capacity.TargetState, now: datetime.datetime
    ) -> datetime.datetime | None:
        """Record a failure of a target, and eject it if all its pools allow that.

        Returns
        -------
        datetime.datetime or None
            End of the ejection; ``None`` if the target has not just been ejected.
        """
        if not state.health.record_failure(now):
            return None
        for service in state.spec.services:
            pool = self._pools.get((state.spec.kind, service))
            if pool is not None and not pool.may_eject(now):
                return None
        return state.health.eject(now)


def resources_of(
    progress: submission_progress.Progress, index: int
) -> work.TaskResources:
    """Return the resources that a task occupies at its kind of target."""
    if progress.flow.target_kind == "runner":
        return RUNNER_TASK_RESOURCES
    return progress.submission.tasks[index].resources
