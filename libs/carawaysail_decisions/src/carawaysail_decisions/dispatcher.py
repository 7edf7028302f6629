"""The dispatcher: from submissions to batches and from answers to outcomes.

``Dispatcher.handle`` takes one event with its instant and returns actions. It owns
the waiting work, the targets' ledgers and the submissions under way.
"""

import collections.abc
import datetime
import random
import typing

from carawaysail_decisions import (
    admission,
    backlog,
    capacity,
    counters,
    events,
    health,
    pending_work,
    placement,
    pools,
    queues,
    quotas,
    retries,
    routing,
    run_times,
    submission_progress,
    timers,
)
from carawaysail_types import identifiers, outcomes, registry, work

Handler = collections.abc.Callable[
    ["Dispatcher", typing.Any, datetime.datetime], "list[events.Action]"
]

handlers: registry.Registry[Handler] = registry.Registry("dispatcher events")


class Dispatcher:
    """Places tasks and gathers answers for one entry daemon.

    Parameters
    ----------
    random_state : int
        Seed of every random choice.
    rules : events.Rules, optional
        Policies and shares.
    """

    def __init__(self, random_state: int, rules: events.Rules | None = None) -> None:
        self.rules = rules or events.Rules()
        self.run_times = run_times.RunTimes()
        self.quotas = quotas.Ledger()
        self.draining = False
        self.leaving_until: dict[str, datetime.datetime] = {}
        self.counters = counters.zero()
        self._rng = random.Random(random_state)
        self.placement = placement.Placement(self._rng)
        self.backlog = backlog.Backlog(queues.policies.get(self.rules.queue)())
        self._set_policies()
        self._submissions: dict[str, submission_progress.SubmissionProgress] = {}
        self._timers = timers.Timers()
        self._budgets = retries.Budgets()

    def handle(
        self, event: events.Event, now: datetime.datetime
    ) -> list[events.Action]:
        """Take one event and return what follows from it.

        Parameters
        ----------
        event : events.Event
            What happened.
        now : datetime.datetime
            The present instant.

        Returns
        -------
        list of events.Action
            What to do, in order.
        """
        actions = handlers.get(type(event).__name__)(self, event, now)
        if self.backlog.queued:
            self._place(actions, now)
        wake = self._timers.next_wake(self._submissions, self.backlog.queued > 0)
        if wake is not None:
            actions.append(events.WakeAt(wake))
        return actions

    def unfinished(self) -> int:
        """Return how many submissions have no final outcome."""
        return len(self._submissions)

    def running(self) -> int:
        """Return how many tasks are with targets."""
        return sum(state.in_flight for state in self.placement.targets.values())

    def demand(self) -> int:
        """Return how many tasks wait or run, for the shares."""
        return self.backlog.queued + self.running()

    def ejected(self, now: datetime.datetime) -> tuple[str, ...]:
        """Return the targets that get nothing at an instant."""
        states = self.placement.targets.items()
        return tuple(name for name, x in states if x.health.is_ejected(now))

    def _set_policies(self) -> None:
        self._routing = routing.policies.get(self.rules.routing)()
        self._admission = admission.policies.get(self.rules.admission)()

    # Intake

    @handlers.register("SubmissionReceived")
    def _submitted(
        self, event: events.SubmissionReceived, now: datetime.datetime
    ) -> list[events.Action]:
        submission, limits = event
        self.counters["submitted"] += 1
        kind = "worker" if submission.is_job else "runner"
        key = run_times.Key(submission.service, submission.kind)
        expected = self._expected_ms(key, submission.tasks)
        pool = self.placement.pool(kind, submission.service)
        lane = pending_work.Lane(kind, key.service, self._is_long(key, event))
        reason = self._refusal(event, pool, lane, expected, now)
        if reason is not None:
            self.counters["refused"] += 1
            return [
                events.ReportOutcome(submission.submission_id, outcomes.NotRun(reason))
            ]
        flow = self.backlog.flow(key, limits.team, kind, lane.is_long, limits.weight)
        name = str(submission.submission_id)
        indexes = range(len(submission.tasks))
        entry = queues.QueueEntry(name, submission.tasks, indexes, expected, now)
        self._submissions[name] = submission_progress.SubmissionProgress(
            submission, limits, flow, entry
        )
        self._timers.add_deadline(submission.deadline, name)
        self.backlog.add(flow, entry)
        return []

    def _refusal(
        self,
        event: events.SubmissionReceived,
        pool: pools.Pool | None,
        lane: pending_work.Lane,
        expected_ms: float,
        now: datetime.datetime,
    ) -> outcomes.Reason | None:
        submission, limits = event
        if self.draining:
            return outcomes.Reason.LEAVING
        if pool is None:
            return outcomes.Reason.NO_TARGET
        if submission.is_job and not pool.can_fit_all(submission.tasks):
            return outcomes.Reason.INFEASIBLE
        pending_ms = self.backlog.pending_work.work_ms(lane, limits.weight)
        key = run_times.Key(submission.service, submission.kind)
        p90_ms = self.run_times.p90_ms(key) or expected_ms
        p90_ms *= pool.max_slowness()
        offer = admission.AdmissionRequest(
            now, submission.deadline, len(submission.tasks), expected_ms, p90_ms,
            pending_ms, pool.slots(), self.backlog.queued, limits.max_queued,
        )  # fmt: skip
        return self._admission.refusal_reason(offer)

    def _expected_ms(self, key: run_times.Key, tasks: tuple[work.Task, ...]) -> float:
        return self.run_times.expected_ms(key, run_times.longest_declared(tasks))

    def _is_long(self, key: run_times.Key, event: events.SubmissionReceived) -> bool:
        declared = run_times.longest_declared(event.submission.tasks)
        return self.run_times.median_ms(key, declared) > event.limits.short_ms

    @handlers.register("SubmissionsCancelled")
    def _cancelled(
        self, event: events.SubmissionsCancelled, now: datetime.datetime
    ) -> list[events.Action]:
        stops: dict[str, list[identifiers.TaskId]] = {}
        actions: list[events.Action] = []
        for name in event.submissions:
            item = self._submissions.get(name)
            if item is not None:
                actions += self._end_early(item, outcomes.Reason.CANCELLED, stops)
        return actions + events.stop_actions(stops)

    @handlers.register("DrainRequested")
    def _drained(
        self, event: events.DrainRequested, now: datetime.datetime
    ) -> list[events.Action]:
        self.draining = True
        return []

    # Settings

    @handlers.register("RulesChanged")
    def _rules_changed(
        self, event: events.RulesChanged, now: datetime.datetime
    ) -> list[events.Action]:
        before, self.rules = self.rules, event.rules
        self._set_policies()
        if before.queue != self.rules.queue:
            self.backlog.set_policy(queues.policies.get(self.rules.queue)())
        return []

    @handlers.register("QuotasChanged")
    def _quotas_changed(
        self, event: events.QuotasChanged, now: datetime.datetime
    ) -> list[events.Action]:
        for team, part in event.allocations.items():
            self.quotas.set_allocation(team, part)
        self.backlog.unpark_all()
        return []

    @handlers.register("TargetsChanged")
    def _targets_changed(
        self, event: events.TargetsChanged, now: datetime.datetime
    ) -> list[events.Action]:
        self.placement.set_targets(event)
        served = ((x.kind, x.services) for x in event.specs if not x.leaving)
        self.backlog.pending_work.set_groups(pending_work.find_representatives(served))
        self.backlog.unpark_all()
        return []

    @handlers.register("TargetsSuspected")
    def _suspected(
        self, event: events.TargetsSuspected, now: datetime.datetime
    ) -> list[events.Action]:
        for name in event.targets:
            state = self.placement.targets.get(name)
            if state is not None:
                state.health.limit_to_one_task()
        return []

    @handlers.register("TargetLeaving")
    def _target_leaving(
        self, event: events.TargetLeaving, now: datetime.datetime
    ) -> list[events.Action]:
        state = self.placement.targets.get(event.target_id)
        if state is not None:
            until = now + health.LEAVING_NOTICE_VALIDITY
            state.health.ejected_until = until
            self.leaving_until[event.target_id] = until
            self._timers.add_ejection(until)
        return []

    def leaving(self, now: datetime.datetime) -> tuple[str, ...]:
        """Return the targets that lately told that they are leaving."""
        return tuple(name for name, until in self.leaving_until.items() if now < until)

    # Answers

    @handlers.register("TaskEnded")
    def _task_ended(
        self, event: events.TaskEnded, now: datetime.datetime
    ) -> list[events.Action]:
        batch = self.placement.batches.get(event.batch)
        item = self.placement.release(event.batch, event.task_id)
        if batch is None or item is None:
            self.counters["unmatched_answers"] += 1
            return []
        self._freed(item, batch.state)
        if event.reason == outcomes.Reason.TARGET_REFUSED:
            self._blame(batch.state, now)
            return self._not_started(item, event.task_id.position, now)
        self.backlog.count_pending(item.flow, item.entry, -1)
        if event.ok:
            self._learn(item, batch, event, now)
            batch.state.health.record_success()
            item.record_answer(event.task_id.position, event.answer)
            return self._settle(item, now)
        stopped = event.reason == outcomes.Reason.TASK_STOPPED
        if not stopped:
            self._blame(batch.state, now)
        return self._task_failed(item, event.task_id.position, event.reason, now)

    @handlers.register("BatchEnded")
    def _batch_ended(
        self, event: events.BatchEnded, now: datetime.datetime
    ) -> list[events.Action]:
        batch = self.placement.batches.get(event.batch)
        if batch is None:
            return []
        actions: list[events.Action] = []
        if event.fate != outcomes.Fate.ANSWERED:
            self._blame(batch.state, now)
        for task_id in list(batch.tasks):
            item = self.placement.release(event.batch, task_id)
            if item is None:
                continue
            self._freed(item, batch.state)
            if event.fate == outcomes.Fate.NOT_STARTED:
                actions += self._not_started(item, task_id.position, now)
            else:
                self.backlog.count_pending(item.flow, item.entry, -1)
                reason = event.reason or outcomes.Reason.BAD_ANSWER
                actions += self._task_failed(item, task_id.position, reason, now)
        del self.placement.batches[event.batch]
        return actions

    def _freed(
        self, item: submission_progress.SubmissionProgress, state: capacity.TargetState
    ) -> None:
        self.quotas.record_end(item.flow.team)
        self.backlog.unpark((TEAM, item.flow.team))
        for service in state.spec.services:
            self.backlog.unpark((state.spec.kind, service))

    def _learn(
        self,
        item: submission_progress.SubmissionProgress,
        batch: placement.Batch,
        event: events.TaskEnded,
        now: datetime.datetime,
    ) -> None:
        ran_ms = event.ran_ms
        if ran_ms is None:
            ran_ms = (now - batch.at).total_seconds() * 1000.0
        ratio = self.run_times.record_run(item.flow.key, ran_ms, batch.state.speed)
        batch.state.update_speed(ratio)

    def _blame(self, state: capacity.TargetState, now: datetime.datetime) -> None:
        until = self.placement.record_failure(state, now)
        if until is not None:
            self.counters["ejections"] += 1
            self._timers.add_ejection(until)

    def _not_started(
        self,
        item: submission_progress.SubmissionProgress,
        index: int,
        now: datetime.datetime,
    ) -> list[events.Action]:
        item.may_have_started -= 1
        if item.outcome is not None:
            self.backlog.count_pending(item.flow, item.entry, -1)
            return self._settle(item, now)
        self._delay(item, index, now)
        return []

    def _delay(
        self,
        item: submission_progress.SubmissionProgress,
        index: int,
        now: datetime.datetime,
    ) -> None:
        wait = retries.backoff(item.attempts[index], self._rng)
        self._timers.add_delayed(now + wait, timers.DelayedTask(item, index))

    def _task_failed(
        self,
        item: submission_progress.SubmissionProgress,
        index: int,
        reason: outcomes.Reason,
        now: datetime.datetime,
    ) -> list[events.Action]:
        if item.outcome is not None:
            if reason in _RAN and isinstance(item.outcome, outcomes.Unknown):
                return self._replace(item, outcomes.Failed(reason))
            return self._settle(item, now)
        if self._may_retry(item, index):
            self.counters["retries"] += 1
            self.backlog.count_pending(item.flow, item.entry, 1)
            self._delay(item, index, now)
            return []
        stops: dict[str, list[identifiers.TaskId]] = {}
        certain = reason in _RAN or (item.submission.is_job and item.answered_count > 0)
        outcome = outcomes.Failed(reason) if certain else outcomes.Unknown(reason)
        actions = self._conclude(item, outcome, stops)
        return actions + events.stop_actions(stops)

    def _may_retry(
        self, item: submission_progress.SubmissionProgress, index: int
    ) -> bool:
        submission = item.submission
        if submission.is_job or not submission.idempotent:
            return False
        if item.attempts[index] >= item.limits.max_attempts:
            return False
        return self._budget(item).try_acquire()

    def _budget(self, item: submission_progress.SubmissionProgress) -> retries.Budget:
        return self._budgets.of(item.submission.service, item.limits.retry_ratio)

    # Outcomes

    def _settle(
        self, item: submission_progress.SubmissionProgress, now: datetime.datetime
    ) -> list[events.Action]:
        """Answer a submission that is whole, also after an ``unknown``."""
        is_open = item.outcome is None or isinstance(item.outcome, outcomes.Unknown)
        if item.is_complete() and is_open:
            return self._replace(item, item.completed_outcome())
        self._drop_if_done(item)
        return []

    def _replace(
        self, item: submission_progress.SubmissionProgress, outcome: outcomes.Outcome
    ) -> list[events.Action]:
        item.outcome = outcome
        self._drop_if_done(item)
        return [events.ReportOutcome(item.submission.submission_id, outcome)]

    def _end_early(
        self,
        item: submission_progress.SubmissionProgress,
        reason: outcomes.Reason,
        stops: dict[str, list[identifiers.TaskId]],
    ) -> list[events.Action]:
        if item.outcome is not None:
            return []
        return self._conclude(item, item.early_outcome(reason), stops)

    def _conclude(
        self,
        item: submission_progress.SubmissionProgress,
        outcome: outcomes.Outcome,
        stops: dict[str, list[identifiers.TaskId]],
    ) -> list[events.Action]:
        """Answer a submission that is not whole; kill what waits, stop what runs."""
        self.backlog.remove(item.flow, item.entry)
        for index, number in item.batch_by_task.items():
            target_id = self.placement.batches[number].state.spec.target_id
            task_id = identifiers.TaskId(item.key, index)
            stops.setdefault(target_id, []).append(task_id)
        return self._replace(item, outcome)

    def _drop_if_done(self, item: submission_progress.SubmissionProgress) -> None:
        if item.outcome is not None and not item.batch_by_task:
            self._submissions.pop(item.key, None)

    # Time

    @handlers.register("TimerFired")
    def _ticked(
        self, event: events.TimerFired, now: datetime.datetime
    ) -> list[events.Action]:
        self._timers.record_wake_up()
        for item, index in self._timers.pop_delayed(now):
            if item.outcome is None:
                self.backlog.put_back(item.flow, item.entry, index)
            else:
                self.backlog.count_pending(item.flow, item.entry, -1)
        if self._timers.pop_ejections(now):
            self.backlog.unpark_all()
        return self._expire(now)

    def _expire(self, now: datetime.datetime) -> list[events.Action]:
        stops: dict[str, list[identifiers.TaskId]] = {}
        actions: list[events.Action] = []
        for name in self._timers.pop_expired(now):
            item = self._submissions.get(name)
            if item is not None:
                actions += self._end_early(item, outcomes.Reason.DEADLINE, stops)
        return actions + events.stop_actions(stops)

    # Placing

    def _place(self, actions: list[events.Action], now: datetime.datetime) -> None:
        out = placement.OutgoingBatches(self.rules.batch_tasks)
        while (flow := self.backlog.next(now)) is not None:
            blocked = self._place_from(flow, out, now)
            if blocked is not None:
                self.backlog.park(flow, blocked)
            elif flow.head() is not None:
                self.backlog.requeue(flow)
        for action in out.actions():
            self.counters["batches_sent"] += 1
            self.counters["tasks_sent"] += len(action.tasks)
            actions.append(action)

    def _place_from(
        self, flow: queues.Flow, out: placement.OutgoingBatches, now: datetime.datetime
    ) -> backlog.PoolKey | None:
        """Place tasks of a flow while its turn lasts; return what it waits for."""
        room = self.quotas.remaining(flow.team, now)
        rules = self._rules_for(flow, now)
        while (entry := flow.head()) is not None:
            if room <= 0:
                return (TEAM, flow.team)
            item = self._submissions[entry.key]
            needs = placement.needs_of(item, entry.indexes[0])
            state = self.placement.find_target(
                flow, needs, entry.expected_ms, rules, self._routing, out, now
            )
            if state is None:
                return (flow.target_kind, flow.key.service)
            index = self.backlog.take(flow)
            self.placement.assign(item, index, needs, state, out, now)
            self.quotas.record_start(flow.team)
            room -= 1
            if item.attempts[index] == 1:
                self._budget(item).record_first_start()
            if flow.deficit_ms <= 0.0:
                return None
        return None

    def _rules_for(self, flow: queues.Flow, now: datetime.datetime) -> events.Rules:
        """Return the rules, with the share that long work may hold at present."""
        pool = self.placement.pool(flow.target_kind, flow.key.service)
        if pool is None:
            return self.rules
        lane = pending_work.Lane(flow.target_kind, flow.key.service, False)
        pool.reserve.record_tasks(self.backlog.pending_work.tasks(lane), now)
        if not flow.is_long:
            return self.rules
        share = pool.reserve.long_share(pool.slots(), self.rules.long_share)
        return self.rules._replace(long_share=share)


TEAM = "team"
"""First part of the key under which flows of a team at its quota are parked."""

_RAN = frozenset({outcomes.Reason.TARGET_FAILED, outcomes.Reason.TASK_STOPPED})
