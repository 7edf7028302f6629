"""Placement: the targets' ledgers, the pools and the batches under way."""

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
"""A worker's backlog is filled again once it is down to this share of it."""

RUNNER_NEEDS = work.Needs(1.0, 0.0, 0)


class Batch:
    """Tasks sent to one target in one message, and not answered yet.

    Parameters
    ----------
    state : capacity.TargetState
        The target.
    at : datetime.datetime
        When it was sent.
    """

    __slots__ = ("at", "state", "tasks")

    def __init__(self, state: capacity.TargetState, at: datetime.datetime) -> None:
        self.state = state
        self.at = at
        self.tasks: dict[
            identifiers.TaskId, submission_progress.SubmissionProgress
        ] = {}


class OutgoingBatch:
    """One message being filled.

    Parameters
    ----------
    number : int
        Number of its batch.
    state : capacity.TargetState
        The target.
    """

    __slots__ = ("number", "state", "tasks", "until")

    def __init__(self, number: int, state: capacity.TargetState) -> None:
        self.number = number
        self.state = state
        self.tasks: list[events.BatchTask] = []
        self.until = datetime.datetime.min.replace(tzinfo=datetime.UTC)

    def action(self) -> events.SendBatch:
        """Return the action that sends it."""
        target_id = self.state.spec.target_id
        return events.SendBatch(self.number, target_id, tuple(self.tasks), self.until)


class OutgoingBatches:
    """Messages gathered while one event is handled: one a worker, one a request.

    Parameters
    ----------
    batch_tasks : int
        Tasks that one message may carry to a worker.
    """

    def __init__(self, batch_tasks: int) -> None:
        self._batch_tasks = batch_tasks
        self._all: list[OutgoingBatch] = []
        self._open: dict[str, OutgoingBatch] = {}
        self._last: dict[str, OutgoingBatch] = {}

    def message_for(self, state: capacity.TargetState) -> OutgoingBatch | None:
        """Return the message that a worker's next task joins, if there is one."""
        message = self._open.get(state.spec.target_id)
        if message is None or len(message.tasks) >= self._batch_tasks:
            return None
        return message

    def last_for(self, service: str) -> capacity.TargetState | None:
        """Return the worker that the last task of a service went to.

        Filling one message before the next is begun saves messages; the worker runs
        its tasks side by side, so spreading them wider would save no time.
        """
        message = self._last.get(service)
        if message is None or len(message.tasks) >= self._batch_tasks:
            return None
        return message.state

    def open(self, number: int, state: capacity.TargetState) -> OutgoingBatch:
        """Begin a message."""
        message = OutgoingBatch(number, state)
        self._all.append(message)
        if state.spec.kind == "worker":
            self._open[state.spec.target_id] = message
        return message

    def add(
        self,
        message: OutgoingBatch,
        sent: events.BatchTask,
        deadline: datetime.datetime,
    ) -> None:
        """Add a task to a message."""
        message.tasks.append(sent)
        message.until = max(message.until, deadline)
        self._last[sent.service] = message

    def actions(self) -> list[events.SendBatch]:
        """Return the actions that send the messages."""
        return [message.action() for message in self._all]


class Placement:
    """Targets of one data centre as one entry daemon uses them.

    Parameters
    ----------
    rng : random.Random
        Source of chance.
    """

    def __init__(self, rng: random.Random) -> None:
        self.targets: dict[str, capacity.TargetState] = {}
        self.batches: dict[int, Batch] = {}
        self._rng = rng
        self._pools: dict[backlog.PoolKey, pools.Pool] = {}
        self._numbers = itertools.count(1)

    def set_targets(self, event: events.TargetsChanged) -> None:
        """Take over other targets or shares; what is in flight stays counted."""
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
        states = [self.targets[name] for name in sorted(self.targets)]
        for place, state in enumerate(states):
            state.phase = place / len(states)

    def pool(self, kind: str, service: str) -> pools.Pool | None:
        """Return the targets that serve a service, or ``None`` for none."""
        pool = self._pools.get((kind, service))
        return pool if pool is not None and pool.states else None

    def find_target(
        self,
        flow: queues.Flow,
        needs: work.Needs,
        expected_ms: float,
        rules: events.Rules,
        policy: routing.Policy,
        out: OutgoingBatches,
        now: datetime.datetime,
    ) -> capacity.TargetState | None:
        """Return a target with room for a task, or ``None``.

        A worker whose processors are all taken may still get a backlog of
        ``rules.batch_ms``, so that one message carries several tasks.
        """
        pool = self.pool(flow.target_kind, flow.key.service)
        if pool is None:
            return None
        ask = pools.PlacementRequest(needs, flow.is_long, rules.long_share, 1.0)
        last = None
        if flow.target_kind == "worker":
            last = out.last_for(flow.key.service)
            if last is not None and last in pool and ask.fits(last):
                return last
        state = pool.find_target(ask, policy, now)
        if state is not None or flow.target_kind == "runner":
            return state
        backlog_share = rules.batch_ms / max(expected_ms, 1.0)
        ask = ask._replace(overcommit=1.0 + backlog_share)
        if last is not None and last in pool and ask.fits(last):
            return last
        ask = ask._replace(overcommit=1.0 + backlog_share * REFILL_SHARE)
        return pool.find_with_backlog(ask, now)

    def assign(
        self,
        item: submission_progress.SubmissionProgress,
        index: int,
        needs: work.Needs,
        state: capacity.TargetState,
        out: OutgoingBatches,
        now: datetime.datetime,
    ) -> None:
        """Put a task into a message for a target and count it there."""
        message = out.message_for(state)
        if message is None:
            message = out.open(next(self._numbers), state)
            self.batches[message.number] = Batch(state, now)
        task_id = identifiers.TaskId(item.key, index)
        self.batches[message.number].tasks[task_id] = item
        submission = item.submission
        payload = submission.tasks[index].payload
        sent = events.BatchTask(
            task_id, submission.service, payload, needs, submission.trace
        )
        out.add(message, sent, submission.deadline)
        state.allocate(needs, item.flow.is_long)
        item.batch_by_task[index] = message.number
        item.may_have_started += 1
        item.attempts[index] = item.attempts.get(index, 0) + 1

    def release(
        self, number: int, task_id: identifiers.TaskId
    ) -> submission_progress.SubmissionProgress | None:
        """Count a task as ended and return its submission.

        Returns
        -------
        progress.Progress or None
            ``None`` if no such task is under way in that batch: a late, crossed or
            doubled answer.
        """
        batch = self.batches.get(number)
        item = batch.tasks.pop(task_id, None) if batch is not None else None
        if batch is None or item is None:
            return None
        batch.state.release(needs_of(item, task_id.position), item.flow.is_long)
        item.batch_by_task.pop(task_id.position, None)
        self.mark_available(batch.state)
        return item

    def mark_available(self, state: capacity.TargetState) -> None:
        """Count a target as one that may have room in all its pools."""
        for service in state.spec.services:
            pool = self._pools.get((state.spec.kind, service))
            if pool is not None and state in pool:
                pool.mark_available(state)

    def record_failure(
        self, state: capacity.TargetState, now: datetime.datetime
    ) -> datetime.datetime | None:
        """Record a failure of a target.

        Returns
        -------
        datetime.datetime or None
            Until when it is ejected, if it is now.
        """
        if not state.health.record_failure(now):
            return None
        for service in state.spec.services:
            pool = self._pools.get((state.spec.kind, service))
            if pool is not None and not pool.may_eject(now):
                return None
        return state.health.eject(now)


def needs_of(item: submission_progress.SubmissionProgress, index: int) -> work.Needs:
    """Return what a task takes of the kind of target that it goes to."""
    if item.flow.target_kind == "runner":
        return RUNNER_NEEDS
    return item.submission.tasks[index].needs
