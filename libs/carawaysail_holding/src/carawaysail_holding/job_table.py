"""The shards at a broker, from their admission to their outcome."""

import datetime

from carawaysail_holding import (
    actions,
    broker_messages,
    gateways,
    held_worker,
    inherited_runs,
    ledger,
    outcome_cache,
    policies,
    run_time_estimates,
    shard_state,
    worker_table,
)
from carawaysail_types import clock, jobs, runs

RETRY_AFTER = clock.milliseconds(1000)
"""Retry-After of a refused client; the header counts whole seconds."""


class JobTable:
    """All shards of a broker, by identifier and by task.

    Parameters
    ----------
    sink : actions.Actions
        Receives the actions that the methods decide on.
    workers : worker_table.WorkerTable
        The held workers.
    estimates : run_time_estimates.RunTimeEstimates
        Run-time estimates of the queues.
    known_gateways : gateways.Gateways
        What is known of the gateways that submit shards.
    """

    def __init__(
        self,
        sink: actions.Actions,
        workers: worker_table.WorkerTable,
        estimates: run_time_estimates.RunTimeEstimates,
        known_gateways: gateways.Gateways,
    ) -> None:
        self.outcomes = outcome_cache.OutcomeCache()
        self.inherited = inherited_runs.InheritedRuns()
        self._actions = sink
        self._workers = workers
        self._estimates = estimates
        self._gateways = known_gateways
        self._shards: dict[broker_messages.ShardId, shard_state.ShardState] = {}
        # Used as sets in order of insertion.
        self._shard_ids_by_gateway: dict[
            broker_messages.GatewayId, dict[broker_messages.ShardId, None]
        ] = {}
        self._shard_by_task: dict[runs.Task, shard_state.ShardState] = {}
        # Shards with tasks that have become ready since the last pass over them.
        self._ready: dict[broker_messages.ShardId, shard_state.ShardState] = {}

    def get(self, shard_id: broker_messages.ShardId) -> shard_state.ShardState | None:
        """Return a shard, or ``None`` if it is not in the table."""
        return self._shards.get(shard_id)

    def all(self) -> list[shard_state.ShardState]:
        """Return all shards, as a new list."""
        return list(self._shards.values())

    def of_gateway(
        self, gateway: broker_messages.GatewayId
    ) -> list[shard_state.ShardState]:
        """Return the shards that a gateway has submitted, as a new list."""
        return [self._shards[x] for x in self._shard_ids_by_gateway.get(gateway, ())]

    def waits_until(self, shard: shard_state.ShardState) -> datetime.datetime:
        """Return until when the gateway of a shard is known to have waited for it."""
        return self._gateways.waits_until(shard.shard_id.gateway, shard.known_at)

    def wanted_until(self, run: runs.Run, entry: ledger.Entry) -> datetime.datetime:
        """Return until when the client of a run is known to have waited.

        Parameters
        ----------
        run : runs.Run
            The run.
        entry : ledger.Entry
            What the ledger of its worker has of it.
        """
        shard = self._shard_by_task.get(run.task)
        if shard is not None and entry.resources is not None:
            return self.waits_until(shard)
        return entry.wanted_until or held_worker.NEVER

    def known_shards(self) -> set[tuple[broker_messages.GatewayId, int]]:
        """Return gateway and number of the shards that were submitted, open or not."""
        shard_ids = (*self._shards, *self.outcomes.shard_ids())
        return {(x.gateway, x.shard) for x in shard_ids}

    def count(self) -> int:
        """Return the number of shards."""
        return len(self._shards)

    def admit(
        self,
        shard_id: broker_messages.ShardId,
        submission: broker_messages.Submission,
        now: datetime.datetime,
    ) -> None:
        """Add a shard to the table, or refuse it.

        A shard whose tasks are all done already is finished at once. Of two copies of
        a job, sent by its client one after the other, the later sent one is kept.

        Parameters
        ----------
        shard_id : broker_messages.ShardId
            Its identifier, which must not be in the table yet.
        submission : broker_messages.Submission
            Its job and tasks.
        now : datetime.datetime
            Present instant.
        """
        for step in submission.job.steps:
            self._estimates.record_estimate(submission.queue.name, step)
        usable = self._workers.usable(submission, now)
        fastest = self._estimates.highest_speed(x.report for x in usable)
        schedule = policies.make_schedule(self._estimates, submission, fastest)
        shard = shard_state.ShardState(shard_id, submission, schedule)
        if self._is_superseded(shard):
            outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, jobs.Reason.SUPERSEDED)
            self._actions.log("superseded", shard_id.job_id, waiter=shard_id.gateway.vm)
            self.outcomes.record_outcome(shard_id, outcome, now)
            self._actions.add(broker_messages.SendOutcome(shard_id, outcome))
            return
        self._supersede(shard, now)
        self._shards[shard_id] = shard
        self._shard_ids_by_gateway.setdefault(shard_id.gateway, {})[shard_id] = None
        for task in shard.tasks:
            self._shard_by_task[task] = shard
        self._restore_history(shard, now)
        fields = {
            "queue": submission.queue.name,
            "waiter": shard_id.gateway.vm,
            "part": shard_id.shard,
            "tasks": len(shard.tasks),
            "length_ms": round(clock.to_milliseconds(schedule.run_time)),
            "due_ms": round(clock.to_milliseconds(schedule.target_finish - now)),
            "resumed": submission.is_resumed,
        }
        reason = self._refusal_reason(shard, bool(usable), now)
        if reason is not jobs.Reason.NONE and not shard.has_ordered_runs:
            self._actions.log("refused", shard_id.job_id, reason=reason.value, **fields)
            self.remove(shard)
            outcome = jobs.JobOutcome(jobs.Verdict.REFUSED, reason, RETRY_AFTER)
            self.outcomes.record_outcome(shard_id, outcome, now)
            self._actions.add(broker_messages.SendOutcome(shard_id, outcome))
            return
        self._actions.log("admitted", shard_id.job_id, **fields)
        if shard.is_done():
            self.finish(shard, jobs.JobOutcome(jobs.Verdict.COMPLETED), now)

    def _is_superseded(self, shard: shard_state.ShardState) -> bool:
        """Return whether a later sent copy has some of the same tasks.

        An earlier copy comes last if its gateway, or a message, was held up.
        """
        arrived = shard.submission.arrived
        others = (self._shard_by_task.get(task) for task in shard.tasks)
        return any(x is not None and x.submission.arrived > arrived for x in others)

    def _supersede(self, shard: shard_state.ShardState, now: datetime.datetime) -> None:
        """Finish an earlier submission of the same tasks, abandoned by its client."""
        for task in shard.tasks:
            earlier = self._shard_by_task.get(task)
            if earlier is not None:
                reason = jobs.Reason.SUPERSEDED
                outcome = jobs.JobOutcome(jobs.Verdict.UNKNOWN, reason)
                self.finish(earlier, outcome, now)

    def _restore_history(
        self, shard: shard_state.ShardState, now: datetime.datetime
    ) -> None:
        """Apply run numbers, results and runs that earlier submissions left behind."""
        shard.has_ordered_runs = shard.submission.is_resumed
        for task, state in shard.tasks.items():
            state.last_run_number = self.outcomes.last_run_number(task)
            if self.outcomes.is_done(task, now):
                state.phase = shard_state.Phase.DONE
                shard.has_ordered_runs = True
            for run, worker_id in self.inherited.runs_of(task):
                worker = self._workers.get(worker_id)
                if worker is not None and state.phase is shard_state.Phase.WAITING:
                    self.inherited.drop_run(run, worker_id)
                    self.match_run(worker, run, state, now)

    def _refusal_reason(
        self, shard: shard_state.ShardState, has_workers: bool, now: datetime.datetime
    ) -> jobs.Reason:
        """Return why a shard cannot be admitted; ``NONE`` if it can."""
        if shard.submission.job.unsupported_features():
            return jobs.Reason.UNSUPPORTED
        if shard.submission.deadline <= now:
            return jobs.Reason.TIMED_OUT
        if not has_workers:
            return jobs.Reason.NO_WORKERS
        if not self._workers.can_ever_fit(shard.submission):
            return jobs.Reason.NEVER_FITS
        return jobs.Reason.NONE

    def check_deadline(
        self, shard: shard_state.ShardState, now: datetime.datetime
    ) -> None:
        """Finish a shard whose deadline has passed or can no longer be met.

        It counts as refused only as long as none of its runs has been ordered.
        """
        remaining = shard.submission.deadline - now
        if remaining <= datetime.timedelta():
            verdict = (
                jobs.Verdict.UNKNOWN if shard.has_ordered_runs else jobs.Verdict.REFUSED
            )
            self.finish(shard, jobs.JobOutcome(verdict, jobs.Reason.TIMED_OUT), now)
        elif not shard.has_ordered_runs and self._is_too_late(shard, remaining, now):
            reason = jobs.Reason.TOO_LATE
            outcome = jobs.JobOutcome(jobs.Verdict.REFUSED, reason, RETRY_AFTER)
            self.finish(shard, outcome, now)

    def _is_too_late(
        self,
        shard: shard_state.ShardState,
        remaining: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Return whether not even the fastest worker completes a shard in time."""
        if remaining >= shard.schedule.run_time:
            return False
        least = shard.least_run_time(self._estimates)
        if remaining >= least / shard.schedule.highest_speed:
            return False
        # A faster one may have joined, or shown its speed, since the job arrived.
        usable = self._workers.usable(shard.submission, now)
        fastest = self._estimates.highest_speed(x.report for x in usable)
        return remaining < least / fastest

    def finish(
        self,
        shard: shard_state.ShardState,
        outcome: jobs.JobOutcome,
        now: datetime.datetime,
        wanted_until: datetime.datetime | None = None,
    ) -> None:
        """Remove a shard, stop its runs and send its outcome to the gateway.

        Parameters
        ----------
        shard : shard_state.ShardState
            The shard.
        outcome : jobs.JobOutcome
            Its outcome.
        now : datetime.datetime
            Present instant.
        wanted_until : datetime.datetime, optional
            Until when its gateway is known to have waited for it; by default what it
            has last said.
        """
        self.remove(shard)
        wanted_until = wanted_until or self.waits_until(shard)
        for state in shard.tasks.values():
            if state.last_run_number:
                self.outcomes.record_run_number(state.task, state.last_run_number, now)
            worker = self._workers.get(state.worker_id)
            if state.phase is shard_state.Phase.PLACED and worker is not None:
                run = runs.Run(state.task, state.last_run_number)
                self.stop_run(worker, run, now, wanted_until)
        self.outcomes.record_outcome(shard.shard_id, outcome, now)
        self._actions.log(
            "finished", shard.job_id, verdict=outcome.verdict.value,
            reason=outcome.reason.value, part=shard.shard_id.shard,
            runs=shard.done_runs(), queue=shard.submission.queue.name,
            age_ms=round(clock.to_milliseconds(now - shard.submission.arrived)),
            late_ms=round(clock.to_milliseconds(now - shard.schedule.target_finish)),
        )  # fmt: skip
        self._actions.add(broker_messages.SendOutcome(shard.shard_id, outcome))

    def remove(self, shard: shard_state.ShardState) -> None:
        """Remove a shard without sending an outcome to its gateway."""
        if self._shards.pop(shard.shard_id, None) is not None:
            gateway = shard.shard_id.gateway
            of_gateway = self._shard_ids_by_gateway[gateway]
            del of_gateway[shard.shard_id]
            if not of_gateway:
                del self._shard_ids_by_gateway[gateway]
        for task in shard.tasks:
            if self._shard_by_task.get(task) is shard:
                del self._shard_by_task[task]

    def record_inherited_run(
        self, worker: held_worker.HeldWorker, run: runs.Run, now: datetime.datetime
    ) -> None:
        """Match a run of an earlier holder with its shard, or store it until later.

        The gateway may not have submitted the shard to this holder yet.
        """
        state = self.task_state(run)
        if state is not None and state.phase is shard_state.Phase.WAITING:
            self.match_run(worker, run, state, now)
        else:
            self.inherited.add(run, worker.report.worker_id, now)

    def match_run(
        self,
        worker: held_worker.HeldWorker,
        run: runs.Run,
        state: shard_state.TaskState,
        now: datetime.datetime,
    ) -> None:
        """Count a run of an earlier holder as the present run of its task."""
        worker.ledger.record_match(run, state.step.resources, now)
        state.record_placement(run, worker.report.worker_id, now)
        shard = self._shard_by_task[run.task]
        shard.has_ordered_runs = True
        self._actions.add(
            broker_messages.SendShardStarted(shard.shard_id, (worker.report.worker_id,))
        )
        self._actions.log("claimed", run.task.job_id, run=actions.label(run))

    def stop_run(
        self,
        worker: held_worker.HeldWorker,
        run: runs.Run,
        now: datetime.datetime,
        wanted_until: datetime.datetime | None = None,
    ) -> None:
        """Order a run to stop, or never to start if its order is still in flight.

        Parameters
        ----------
        worker : held_worker.HeldWorker
            Its worker.
        run : runs.Run
            The run.
        now : datetime.datetime
            Present instant.
        wanted_until : datetime.datetime, optional
            Until when its client is known to have waited; by default what is known of
            its shard.
        """
        shard = self._shard_by_task.get(run.task)
        if wanted_until is None and shard is not None:
            wanted_until = self.waits_until(shard)
        worker.ledger.record_stop_order(run, now, wanted_until)
        self._actions.add(
            broker_messages.StopRun(worker.report, run, worker.ledger.token)
        )

    def requeue_task(
        self,
        run: runs.Run,
        worker_id: str,
        given_up_at: datetime.datetime | None = None,
    ) -> None:
        """Let a task start again after a run that has ended.

        Runs that are not the present run of their task on that worker are ignored.

        Parameters
        ----------
        run : runs.Run
            The run.
        worker_id : str
            Name of its worker.
        given_up_at : datetime.datetime, optional
            When the run was given up with a worker that did not answer; by default it
            was seen to end.
        """
        self.inherited.drop_run(run, worker_id)
        if self.is_present_run(run, worker_id):
            shard = self._shard_by_task[run.task]
            shard.tasks[run.task].requeue(given_up_at)
            self.record_ready(shard)

    def is_present_run(self, run: runs.Run, worker_id: str) -> bool:
        """Return whether a run on a worker is the one that its task waits for."""
        state = self.task_state(run)
        return (
            state is not None
            and state.phase is shard_state.Phase.PLACED
            and state.worker_id == worker_id
            and state.last_run_number == run.number
        )

    def record_ready(self, shard: shard_state.ShardState) -> None:
        """Record that tasks of a shard may have become ready to start."""
        self._ready[shard.shard_id] = shard

    def pop_ready(self) -> list[shard_state.ShardState]:
        """Return, and forget, the shards recorded by ``record_ready`` that are open."""
        ready, self._ready = self._ready, {}
        return [x for x in ready.values() if self._shards.get(x.shard_id) is x]

    def shard_of(self, task: runs.Task) -> shard_state.ShardState | None:
        """Return the shard that a task belongs to; ``None`` if it is not known."""
        return self._shard_by_task.get(task)

    def task_state(self, run: runs.Run) -> shard_state.TaskState | None:
        """Return the state of a run's task; ``None`` if its shard is not known."""
        shard = self._shard_by_task.get(run.task)
        return shard.tasks[run.task] if shard is not None else None
