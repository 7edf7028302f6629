"""The parts of jobs at a broker, from their admission to their end."""

import datetime

from carawaysail_holding import (
    actions,
    broker_messages,
    held_worker,
    inherited_runs,
    outcome_cache,
    policies,
    run_time_estimates,
    shard_state,
    worker_table,
)
from carawaysail_types import clock, jobs, runs

FIRST_RETURN = clock.milliseconds(1000)
"""When a client that came too late had better come back: the least whole second."""


class JobTable:
    """All parts, by name and by task.

    Parameters
    ----------
    sink : actions.Actions
        Takes what is to be done.
    workers : roster.Roster
        The held workers.
    known : lengths.Lengths
        Learned run times.
    """

    def __init__(
        self,
        sink: actions.Actions,
        workers: worker_table.WorkerTable,
        known: run_time_estimates.RunTimeEstimates,
    ) -> None:
        self.outcomes = outcome_cache.OutcomeCache()
        self.inherited = inherited_runs.InheritedRuns()
        self._actions = sink
        self._workers = workers
        self._estimates = known
        self._jobs: dict[broker_messages.ShardId, shard_state.ShardState] = {}
        self._by_task: dict[runs.Task, shard_state.ShardState] = {}

    def get(self, part: broker_messages.ShardId) -> shard_state.ShardState | None:
        """Return a part."""
        return self._jobs.get(part)

    def all(self) -> list[shard_state.ShardState]:
        """Return all parts."""
        return list(self._jobs.values())

    def admit(
        self,
        part: broker_messages.ShardId,
        submission: broker_messages.Submission,
        now: datetime.datetime,
    ) -> None:
        """Take a part, or refuse it."""
        for step in submission.job.steps:
            self._estimates.record_estimate(submission.queue.name, step)
        schedule = policies.make_schedule(self._estimates, submission)
        job = shard_state.ShardState(part, submission, schedule)
        self._supersede(job, now)
        self._jobs[part] = job
        for task in job.tasks:
            self._by_task[task] = job
        self._recall(job, now)
        fields = {
            "queue": submission.queue.name,
            "waiter": part.gateway.vm,
            "part": part.shard,
            "tasks": len(job.tasks),
            "length_ms": round(clock.to_milliseconds(schedule.run_time)),
            "due_ms": round(clock.to_milliseconds(schedule.target_finish - now)),
            "resumed": submission.is_resumed,
        }
        reason = self._objection(job, now)
        if reason is not jobs.Reason.NONE and not job.has_ordered_runs:
            self._actions.log("refused", part.job_id, reason=reason.value, **fields)
            self.remove(job)
            outcome = jobs.JobOutcome(jobs.Verdict.REFUSED, reason, FIRST_RETURN)
            self.outcomes.record_outcome(part, outcome, now)
            self._actions.add(broker_messages.SendOutcome(part, outcome))
            return
        self._actions.log("admitted", part.job_id, **fields)
        if job.is_done():
            self.finish(job, jobs.JobOutcome(jobs.Verdict.COMPLETED), now)

    def _supersede(self, job: shard_state.ShardState, now: datetime.datetime) -> None:
        """End an earlier copy of the same tasks, which a client has given up."""
        for task in job.tasks:
            earlier = self._by_task.get(task)
            if earlier is not None:
                reason = jobs.Reason.SUPERSEDED
                outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, reason)
                self.finish(earlier, outcome, now)

    def _recall(self, job: shard_state.ShardState, now: datetime.datetime) -> None:
        """Give a job what earlier copies of it have left behind."""
        job.has_ordered_runs = job.submission.is_resumed
        for task, task_state in job.tasks.items():
            task_state.last_run_number = self.outcomes.last_run_number(task)
            if self.outcomes.is_done(task, now):
                task_state.phase = shard_state.Phase.DONE
                job.has_ordered_runs = True
            for run, worker_id in self.inherited.runs_of(task):
                worker = self._workers.get(worker_id)
                if worker is not None and task_state.phase is shard_state.Phase.WAITING:
                    self.inherited.drop_run(run)
                    self.match_run(worker, run, task_state, now)

    def _objection(
        self, job: shard_state.ShardState, now: datetime.datetime
    ) -> jobs.Reason:
        """Return why a job cannot be taken."""
        if job.submission.job.unsupported_features():
            return jobs.Reason.UNSUPPORTED
        if not self._workers.usable(job.submission, now):
            return jobs.Reason.NO_WORKERS
        if not self._workers.can_ever_fit(job.submission):
            return jobs.Reason.NEVER_FITS
        return jobs.Reason.NONE

    def check_deadline(
        self, job: shard_state.ShardState, now: datetime.datetime
    ) -> None:
        """End a part whose time is up, or cannot be enough any more."""
        left = job.submission.deadline - now
        if left <= datetime.timedelta():
            verdict = (
                jobs.Verdict.UNKNOWN if job.has_ordered_runs else jobs.Verdict.REFUSED
            )
            self.finish(job, jobs.JobOutcome(verdict, jobs.Reason.TIMED_OUT), now)
        elif not job.has_ordered_runs and left < job.schedule.run_time:
            reason = jobs.Reason.TOO_LATE
            outcome = jobs.JobOutcome(jobs.Verdict.REFUSED, reason, FIRST_RETURN)
            self.finish(job, outcome, now)

    def finish(
        self,
        job: shard_state.ShardState,
        outcome: jobs.JobOutcome,
        now: datetime.datetime,
    ) -> None:
        """Tell the waiter, and stop what still runs for the part."""
        self.remove(job)
        for task_state in job.tasks.values():
            if task_state.last_run_number:
                self.outcomes.record_run_number(
                    task_state.task, task_state.last_run_number, now
                )
            worker = self._workers.get(task_state.worker_id)
            if task_state.phase is shard_state.Phase.PLACED and worker is not None:
                self.stop_run(
                    worker, runs.Run(task_state.task, task_state.last_run_number), now
                )
        self.outcomes.record_outcome(job.shard_id, outcome, now)
        self._actions.log(
            "finished", job.job_id, verdict=outcome.verdict.value,
            reason=outcome.reason.value, queue=job.submission.queue.name,
            age_ms=round(clock.to_milliseconds(now - job.submission.arrived)),
            late_ms=round(clock.to_milliseconds(now - job.schedule.target_finish)),
        )  # fmt: skip
        self._actions.add(broker_messages.SendOutcome(job.shard_id, outcome))

    def remove(self, job: shard_state.ShardState) -> None:
        """Drop a part without a word to its waiter."""
        self._jobs.pop(job.shard_id, None)
        for task in job.tasks:
            if self._by_task.get(task) is job:
                del self._by_task[task]

    def record_inherited_run(
        self, worker: held_worker.HeldWorker, run: runs.Run, now: datetime.datetime
    ) -> None:
        """Match a run of an earlier holder with its part, or keep it for a while."""
        task_state = self.task_state(run)
        if task_state is not None and task_state.phase is shard_state.Phase.WAITING:
            self.match_run(worker, run, task_state, now)
        else:
            self.inherited.add(run, worker.report.worker_id, now)

    def match_run(
        self,
        worker: held_worker.HeldWorker,
        run: runs.Run,
        task_state: shard_state.TaskState,
        now: datetime.datetime,
    ) -> None:
        """Take over a run of an earlier holder as one of this part's."""
        worker.ledger.record_match(run, task_state.step.resources, now)
        task_state.record_placement(run, worker.report.worker_id, now)
        job = self._by_task[run.task]
        job.has_ordered_runs = True
        self._actions.add(
            broker_messages.ShardStarted(job.shard_id, (worker.report.worker_id,))
        )
        self._actions.log("claimed", run.task.job_id, run=actions.label(run))

    def stop_run(
        self, worker: held_worker.HeldWorker, run: runs.Run, now: datetime.datetime
    ) -> None:
        """Order a run to stop, or never to begin."""
        worker.ledger.record_stop_order(run, now)
        self._actions.add(
            broker_messages.StopRun(worker.report, run, worker.ledger.token)
        )

    def requeue_task(self, run: runs.Run, worker_id: str) -> None:
        """Let a task start again whose run is certainly over."""
        self.inherited.drop_run(run)
        task_state = self.task_state(run)
        if (
            task_state is not None
            and task_state.phase is shard_state.Phase.PLACED
            and task_state.worker_id == worker_id
            and task_state.last_run_number == run.number
        ):
            task_state.requeue()

    def shard_of(self, task: runs.Task) -> shard_state.ShardState | None:
        """Return the part that a task belongs to, if it is known."""
        return self._by_task.get(task)

    def task_state(self, run: runs.Run) -> shard_state.TaskState | None:
        """Return the task of a run, if its part is known."""
        job = self._by_task.get(run.task)
        return job.tasks[run.task] if job is not None else None
