"""The dispatcher: places the tasks of submissions and collects their answers.

``Dispatcher.handle`` takes one event with its instant and returns actions. It owns
the queued tasks, the load of each target and the submissions without a final outcome.
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
    """Places tasks and collects their answers for one entry daemon.

    Parameters
    ----------
    random_state : int
        Seed of every random choice.
    dispatch_settings : events.DispatchSettings, optional
        Names of policies, shares and batch sizes; the defaults if omitted.

    Attributes
    ----------
    draining : bool
        Whether the daemon is leaving, so that submissions are refused.
    leaving_until : dict of str to datetime.datetime
        Until when the last leaving notice of each target is honoured.
    """

    def __init__(
        self,
        random_state: int,
        dispatch_settings: events.DispatchSettings | None = None,
    ) -> None:
        self.dispatch_settings = dispatch_settings or events.DispatchSettings()
        self.run_times = run_times.RunTimes()
        self.quotas = quotas.Ledger()
        self.draining = False
        self.leaving_until: dict[str, datetime.datetime] = {}
        self.counters = counters.zero()
        self._rng = random.Random(random_state)
        self.placement = placement.Placement(self._rng)
        self.backlog = backlog.Backlog(
            queues.policies.get(self.dispatch_settings.queue)()
        )
        self._set_policies()
        self._submissions: dict[str, submission_progress.Progress] = {}
        self._timers = timers.Timers()
        self._budgets = retries.Budgets()

    def handle(
        self, event: events.Event, now: datetime.datetime
    ) -> list[events.Action]:
        """Handle one event and return the resulting actions.

        Parameters
        ----------
        event : events.Event
            The event.
        now : datetime.datetime
            The present instant.

        Returns
        -------
        list of events.Action
            What the caller has to do, in order.
        """
        actions = handlers.get(type(event).__name__)(self, event, now)
        if self.backlog.queued:
            self._place(actions, now)
        timer_at = self._timers.next_timer(self._submissions, self.backlog.queued > 0)
        if timer_at is not None:
            actions.append(events.SetTimer(timer_at))
        return actions

    def unfinished(self) -> int:
        """Return how many submissions have no final outcome or have running tasks."""
        return len(self._submissions)

    def running(self) -> int:
        """Return how many tasks have been sent to targets and not finished."""
        return sum(state.in_flight for state in self.placement.targets.values())

    def demand(self) -> int:
        """Return how many tasks are queued or running, to compute the shares."""
        return self.backlog.queued + self.running()

    def ejected(self, now: datetime.datetime) -> tuple[str, ...]:
        """Return the names of the targets that are ejected at an instant."""
        states = self.placement.targets.items()
        return tuple(name for name, x in states if x.health.is_ejected(now))

    def _set_policies(self) -> None:
        self._routing = routing.policies.get(self.dispatch_settings.routing)()
        self._admission = admission.policies.get(self.dispatch_settings.admission)()

    # Submissions

    @handlers.register("SubmissionReceived")
    def _handle_submission_received(
        self, event: events.SubmissionReceived, now: datetime.datetime
    ) -> list[events.Action]:
        submission, service_settings = event
        self.counters["submitted"] += 1
        kind = "worker" if submission.is_job else "runner"
        key = run_times.Key(submission.service, submission.kind)
        expected = self._expected_ms(key, submission.tasks)
        pool = self.placement.pool(kind, submission.service)
        lane = pending_work.Lane(kind, key.service, self._is_long(key, event))
        reason = self._refusal_reason(event, pool, lane, expected, now)
        if reason is not None:
            self.counters["refused"] += 1
            return [
                events.ReportOutcome(submission.submission_id, outcomes.NotRun(reason))
            ]
        flow = self.backlog.flow(
            key, service_settings.team, kind, lane.is_long, service_settings.weight
        )
        name = str(submission.submission_id)
        indexes = range(len(submission.tasks))
        entry = queues.QueueEntry(name, submission.tasks, indexes, expected, now)
        self._submissions[name] = submission_progress.Progress(
            submission, service_settings, flow, entry
        )
        self._timers.add_deadline(submission.deadline, name)
        self.backlog.add(flow, entry)
        return []

    def _refusal_reason(
        self,
        event: events.SubmissionReceived,
        pool: pools.Pool | None,
        lane: pending_work.Lane,
        expected_ms: float,
        now: datetime.datetime,
    ) -> outcomes.Reason | None:
        submission, service_settings = event
        if self.draining:
            return outcomes.Reason.LEAVING
        if pool is None:
            return outcomes.Reason.NO_TARGET
        if submission.is_job and not pool.can_fit_all(submission.tasks):
            return outcomes.Reason.INFEASIBLE
        pending_ms = self.backlog.pending_work.work_ms(lane, service_settings.weight)
        key = run_times.Key(submission.service, submission.kind)
        p90_ms = self.run_times.p90_ms(key) or expected_ms
        p90_ms *= pool.max_slowness()
        request = admission.AdmissionRequest(
            now, submission.deadline, len(submission.tasks), expected_ms, p90_ms,
            pending_ms, pool.slots(), self.backlog.queued, service_settings.max_queued,
        )  # fmt: skip
        return self._admission.refusal_reason(request)

    def _expected_ms(self, key: run_times.Key, tasks: tuple[work.Task, ...]) -> float:
        return self.run_times.expected_ms(key, run_times.longest_declared(tasks))

    def _is_long(self, key: run_times.Key, event: events.SubmissionReceived) -> bool:
        declared = run_times.longest_declared(event.submission.tasks)
        return self.run_times.median_ms(key, declared) > event.service_settings.short_ms

    @handlers.register("SubmissionsCancelled")
    def _handle_submissions_cancelled(
        self, event: events.SubmissionsCancelled, now: datetime.datetime
    ) -> list[events.Action]:
        stops: dict[str, list[identifiers.TaskId]] = {}
        actions: list[events.Action] = []
        for submission_id in event.submission_ids:
            progress = self._submissions.get(submission_id)
            if progress is not None:
                actions += self._end_early(progress, outcomes.Reason.CANCELLED, stops)
        return actions + events.stop_actions(stops)

    @handlers.register("DrainRequested")
    def _handle_drain_requested(
        self, event: events.DrainRequested, now: datetime.datetime
    ) -> list[events.Action]:
        self.draining = True
        return []

    # Settings

    @handlers.register("DispatchSettingsChanged")
    def _handle_dispatch_settings_changed(
        self, event: events.DispatchSettingsChanged, now: datetime.datetime
    ) -> list[events.Action]:
        before, self.dispatch_settings = self.dispatch_settings, event.dispatch_settings
        self._set_policies()
        if before.queue != self.dispatch_settings.queue:
            self.backlog.set_policy(queues.policies.get(self.dispatch_settings.queue)())
        return []

    @handlers.register("QuotasChanged")
    def _handle_quotas_changed(
        self, event: events.QuotasChanged, now: datetime.datetime
    ) -> list[events.Action]:
        for team, allocation in event.allocations.items():
            self.quotas.set_allocation(team, allocation)
        self.backlog.unpark_all()
        return []

    @handlers.register("TargetsChanged")
    def _handle_targets_changed(
        self, event: events.TargetsChanged, now: datetime.datetime
    ) -> list[events.Action]:
        self.placement.set_targets(event)
        served = ((x.kind, x.services) for x in event.specs if not x.leaving)
        self.backlog.pending_work.set_groups(pending_work.find_representatives(served))
        self.backlog.unpark_all()
        return []

    @handlers.register("TargetsSuspected")
    def _handle_targets_suspected(
        self, event: events.TargetsSuspected, now: datetime.datetime
    ) -> list[events.Action]:
        for name in event.targets:
            state = self.placement.targets.get(name)
            if state is not None:
                state.health.limit_to_one_task()
        return []

    @handlers.register("TargetLeaving")
    def _handle_target_leaving(
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
        """Return the targets that recently announced that they are leaving."""
        return tuple(name for name, until in self.leaving_until.items() if now < until)

    # Answers

    @handlers.register("TaskFinished")
    def _handle_task_finished(
        self, event: events.TaskFinished, now: datetime.datetime
    ) -> list[events.Action]:
        batch = self.placement.batches.get(event.batch)
        progress = self.placement.release(event.batch, event.task_id)
        if batch is None or progress is None:
            self.counters["unmatched_answers"] += 1
            return []
        self._release_quota(progress, batch.state)
        if event.reason == outcomes.Reason.TARGET_REFUSED:
            self._add_failure(batch.state, now)
            return self._handle_not_started(progress, event.task_id.position, now)
        self.backlog.count_pending(progress.flow, progress.entry, -1)
        if event.ok:
            self._update_estimates(progress, batch, event, now)
            batch.state.health.record_success()
            progress.record_answer(event.task_id.position, event.answer)
            return self._report_if_complete(progress, now)
        stopped = event.reason == outcomes.Reason.TASK_STOPPED
        if not stopped:
            self._add_failure(batch.state, now)
        return self._fail_task(progress, event.task_id.position, event.reason, now)

    @handlers.register("BatchFinished")
    def _handle_batch_finished(
        self, event: events.BatchFinished, now: datetime.datetime
    ) -> list[events.Action]:
        batch = self.placement.batches.get(event.batch)
        if batch is None:
            return []
        actions: list[events.Action] = []
        if event.batch_status != outcomes.BatchStatus.ANSWERED:
            self._add_failure(batch.state, now)
        for task_id in list(batch.tasks):
            progress = self.placement.release(event.batch, task_id)
            if progress is None:
                continue
            self._release_quota(progress, batch.state)
            if event.batch_status == outcomes.BatchStatus.NOT_STARTED:
                actions += self._handle_not_started(progress, task_id.position, now)
            else:
                self.backlog.count_pending(progress.flow, progress.entry, -1)
                reason = event.reason or outcomes.Reason.BAD_ANSWER
                actions += self._fail_task(progress, task_id.position, reason, now)
        del self.placement.batches[event.batch]
        return actions

    def _release_quota(
        self, progress: submission_progress.Progress, state: capacity.TargetState
    ) -> None:
        """Return a task's quota and unpark the flows that it or its target blocked."""
        self.quotas.record_end(progress.flow.team)
        self.backlog.unpark((TEAM, progress.flow.team))
        for service in state.spec.services:
            self.backlog.unpark((state.spec.kind, service))

    def _update_estimates(
        self,
        progress: submission_progress.Progress,
        batch: placement.Batch,
        event: events.TaskFinished,
        now: datetime.datetime,
    ) -> None:
        ran_ms = event.ran_ms
        if ran_ms is None:
            ran_ms = (now - batch.sent_at).total_seconds() * 1000.0
        ratio = self.run_times.record_run(
            progress.flow.key, ran_ms, batch.state.slowness
        )
        batch.state.update_slowness(ratio)

    def _add_failure(self, state: capacity.TargetState, now: datetime.datetime) -> None:
        until = self.placement.record_failure(state, now)
        if until is not None:
            self.counters["ejections"] += 1
            self._timers.add_ejection(until)

    def _handle_not_started(
        self, progress: submission_progress.Progress, index: int, now: datetime.datetime
    ) -> list[events.Action]:
        """Place a task again that certainly did not start; no retry budget is used.

        If its submission already has an outcome, the task is dropped instead.
        """
        progress.possible_starts -= 1
        if progress.outcome is not None:
            self.backlog.count_pending(progress.flow, progress.entry, -1)
            return self._report_if_complete(progress, now)
        self._place_after_backoff(progress, index, now)
        return []

    def _place_after_backoff(
        self, progress: submission_progress.Progress, index: int, now: datetime.datetime
    ) -> None:
        wait = retries.backoff(progress.attempts[index], self._rng)
        self._timers.add_delayed(now + wait, timers.DelayedTask(progress, index))

    def _fail_task(
        self,
        progress: submission_progress.Progress,
        index: int,
        reason: outcomes.Reason,
        now: datetime.datetime,
    ) -> list[events.Action]:
        """Retry a task that failed or may have started, or end its submission.

        If the submission already has an outcome, the task is not retried; the proof
        that it ran turns ``unknown`` into ``failed``.
        """
        if progress.outcome is not None:
            if reason in _TASK_RAN and isinstance(progress.outcome, outcomes.Unknown):
                return self._set_outcome(progress, outcomes.Failed(reason))
            return self._report_if_complete(progress, now)
        if self._may_retry(progress, index):
            self.counters["retries"] += 1
            self.backlog.count_pending(progress.flow, progress.entry, 1)
            self._place_after_backoff(progress, index, now)
            return []
        stops: dict[str, list[identifiers.TaskId]] = {}
        has_run = reason in _TASK_RAN or (
            progress.submission.is_job and progress.answered_count > 0
        )
        outcome = outcomes.Failed(reason) if has_run else outcomes.Unknown(reason)
        actions = self._abort(progress, outcome, stops)
        return actions + events.stop_actions(stops)

    def _may_retry(self, progress: submission_progress.Progress, index: int) -> bool:
        submission = progress.submission
        if submission.is_job or not submission.idempotent:
            return False
        if progress.attempts[index] >= progress.service_settings.max_attempts:
            return False
        return self._retry_budget(progress).try_acquire()

    def _retry_budget(self, progress: submission_progress.Progress) -> retries.Budget:
        return self._budgets.of(
            progress.submission.service, progress.service_settings.retry_ratio
        )

    # Outcomes

    def _report_if_complete(
        self, progress: submission_progress.Progress, now: datetime.datetime
    ) -> list[events.Action]:
        """Report a submission that is complete, even if ``unknown`` was reported."""
        is_open = progress.outcome is None or isinstance(
            progress.outcome, outcomes.Unknown
        )
        if progress.is_complete() and is_open:
            return self._set_outcome(progress, progress.completed_outcome())
        self._drop_if_finished(progress)
        return []

    def _set_outcome(
        self, progress: submission_progress.Progress, outcome: outcomes.Outcome
    ) -> list[events.Action]:
        progress.outcome = outcome
        self._drop_if_finished(progress)
        return [events.ReportOutcome(progress.submission.submission_id, outcome)]

    def _end_early(
        self,
        progress: submission_progress.Progress,
        reason: outcomes.Reason,
        stops: dict[str, list[identifiers.TaskId]],
    ) -> list[events.Action]:
        if progress.outcome is not None:
            return []
        return self._abort(progress, progress.early_outcome(reason), stops)

    def _abort(
        self,
        progress: submission_progress.Progress,
        outcome: outcomes.Outcome,
        stops: dict[str, list[identifiers.TaskId]],
    ) -> list[events.Action]:
        """End a submission: drop its queued tasks, add the running ones to ``stops``.

        Parameters
        ----------
        progress : submission_progress.Progress
            The submission.
        outcome : outcomes.Outcome
            The outcome to report.
        stops : dict of str to list of identifiers.TaskId
            Tasks to stop, by target name; changed in place.
        """
        self.backlog.remove(progress.flow, progress.entry)
        for index, batch in progress.batch_by_task.items():
            target_id = self.placement.batches[batch].state.spec.target_id
            task_id = identifiers.TaskId(progress.key, index)
            stops.setdefault(target_id, []).append(task_id)
        return self._set_outcome(progress, outcome)

    def _drop_if_finished(self, progress: submission_progress.Progress) -> None:
        if progress.outcome is not None and not progress.batch_by_task:
            self._submissions.pop(progress.key, None)

    # Timers

    @handlers.register("TimerFired")
    def _handle_timer_fired(
        self, event: events.TimerFired, now: datetime.datetime
    ) -> list[events.Action]:
        self._timers.record_timer_fired()
        for progress, index in self._timers.pop_delayed(now):
            if progress.outcome is None:
                self.backlog.put_back(progress.flow, progress.entry, index)
            else:
                self.backlog.count_pending(progress.flow, progress.entry, -1)
        if self._timers.pop_ejections(now):
            self.backlog.unpark_all()
        return self._end_expired(now)

    def _end_expired(self, now: datetime.datetime) -> list[events.Action]:
        stops: dict[str, list[identifiers.TaskId]] = {}
        actions: list[events.Action] = []
        for name in self._timers.pop_expired(now):
            progress = self._submissions.get(name)
            if progress is not None:
                actions += self._end_early(progress, outcomes.Reason.DEADLINE, stops)
        return actions + events.stop_actions(stops)

    # Placement

    def _place(self, actions: list[events.Action], now: datetime.datetime) -> None:
        out = placement.OutgoingBatches(self.dispatch_settings.batch_tasks)
        while (flow := self.backlog.next(now)) is not None:
            blocked_by = self._place_flow(flow, out, now)
            if blocked_by is not None:
                self.backlog.park(flow, blocked_by)
            elif flow.head() is not None:
                self.backlog.requeue(flow)
        for action in out.actions():
            self.counters["batches_sent"] += 1
            self.counters["tasks_sent"] += len(action.tasks)
            actions.append(action)

    def _place_flow(
        self, flow: queues.Flow, out: placement.OutgoingBatches, now: datetime.datetime
    ) -> backlog.PoolKey | None:
        """Place tasks while a flow's turn lasts; return the key that blocks it."""
        remaining = self.quotas.remaining(flow.team, now)
        dispatch_settings = self._dispatch_settings_for(flow, now)
        while (entry := flow.head()) is not None:
            if remaining <= 0:
                return (TEAM, flow.team)
            progress = self._submissions[entry.key]
            resources = placement.resources_of(progress, entry.indexes[0])
            state = self.placement.find_target(
                flow,
                resources,
                entry.expected_ms,
                dispatch_settings,
                self._routing,
                out,
                now,
            )
            if state is None:
                return (flow.target_kind, flow.key.service)
            index = self.backlog.pop_task(flow)
            self.placement.assign(progress, index, resources, state, out, now)
            self.quotas.record_start(flow.team)
            remaining -= 1
            if progress.attempts[index] == 1:
                self._retry_budget(progress).record_first_start()
            if flow.deficit_ms <= 0.0:
                return None
        return None

    def _dispatch_settings_for(
        self, flow: queues.Flow, now: datetime.datetime
    ) -> events.DispatchSettings:
        """Return settings with the share of slots that long tasks may occupy now.

        The pool's reserve is updated with the present number of short tasks.
        """
        pool = self.placement.pool(flow.target_kind, flow.key.service)
        if pool is None:
            return self.dispatch_settings
        lane = pending_work.Lane(flow.target_kind, flow.key.service, False)
        pool.reserve.record_tasks(self.backlog.pending_work.tasks(lane), now)
        if not flow.is_long:
            return self.dispatch_settings
        share = pool.reserve.long_share(pool.slots(), self.dispatch_settings.long_share)
        return self.dispatch_settings._replace(long_share=share)


TEAM = "team"
"""First element of the key under which flows of a team at its quota are parked."""

_TASK_RAN = frozenset({outcomes.Reason.TARGET_FAILED, outcomes.Reason.TASK_STOPPED})
"""Reasons that a target itself reports of a task, so that the task has run."""
