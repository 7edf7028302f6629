"""Which worker a waiting task gets, or whether it had better wait for another."""

import collections.abc
import datetime

from carawaysail_holding import (
    broker_messages,
    held_worker,
    loads,
    policies,
    run_time_estimates,
    shard_state,
    utilisation,
)
from carawaysail_types import jobs, runs

OwnerOf = collections.abc.Callable[[runs.Task], shard_state.ShardState | None]


class Placer:
    """Offers workers with room to a policy.

    Parameters
    ----------
    terms : events.Terms
        Figures of the deployment.
    choice : policies.WorkerChoice
        The policy.
    known : lengths.Lengths
        Learned run times.
    owner_of : callable
        Returns the part that a running task belongs to, if it is known.
    """

    def __init__(
        self,
        terms: broker_messages.Terms,
        choice: policies.WorkerChoice,
        known: run_time_estimates.RunTimeEstimates,
        owner_of: OwnerOf,
    ) -> None:
        self.terms = terms
        self._choice = choice
        self._estimates = known
        self._owner_of = owner_of

    def candidates(
        self,
        job: shard_state.ShardState,
        state: shard_state.TaskState,
        usable: list[held_worker.HeldWorker],
        now: datetime.datetime,
    ) -> list[policies.Candidate]:
        """Return the workers with room for a task.

        Workers where the task has failed come only where there is no other.
        """
        length = job.run_time(self._estimates, state.step)
        found = [
            self._candidate(state.step, length, worker)
            for worker in usable
            if self._fits(job, state, worker) and worker.accepts(now)
        ]
        others = [
            x for x in found if x.worker.report.worker_id not in state.avoided_workers
        ]
        return others or found

    def _fits(
        self,
        job: shard_state.ShardState,
        state: shard_state.TaskState,
        worker: held_worker.HeldWorker,
    ) -> bool:
        step = state.step
        if not worker.ledger.free().can_fit(step.resources):
            return False
        if step.required_label and step.required_label not in worker.report.labels:
            return False
        limit = step.max_per_worker
        return not limit or (
            worker.ledger.tasks_of(job.job_id, state.task.step) < limit
        )

    def _candidate(
        self,
        step: jobs.Step,
        length: run_time_estimates.RunTimeEstimate,
        worker: held_worker.HeldWorker,
    ) -> policies.Candidate:
        report = worker.report
        takes = length.at_speed(self._estimates.speed(report))
        if step.preferred_rack and step.preferred_rack not in report.labels:
            takes = takes.scaled_by(self.terms.cross_rack_factor)
        free = worker.ledger.free().processor_milli
        return policies.Candidate(worker, takes, free - step.resources.processor_milli)

    def choose(
        self,
        job: shard_state.ShardState,
        state: shard_state.TaskState,
        candidates: list[policies.Candidate],
        usable: list[held_worker.HeldWorker],
        taken: int,
        now: datetime.datetime,
    ) -> policies.Candidate | None:
        """Return a candidate, or ``None`` if the task had better wait.

        Parameters
        ----------
        job : jobstate.JobState
            The task's part.
        state : jobstate.TaskState
            The task.
        candidates : list of policies.Candidate
            Workers with room, at least one.
        usable : list of held.HeldWorker
            All workers that take work.
        taken : int
            Tasks of the same part that wait already, each for a worker of its own.
        now : datetime.datetime
            Present instant.
        """
        length = job.run_time(self._estimates, state.step)
        ends = self._ends(length, state.step, usable, now)
        view = policies.PlacementContext(
            job,
            ends[taken] if taken < len(ends) else None,
            utilisation.processor_utilisation(usable),
            now,
        )
        return self._choice.choose(candidates, view)

    def _ends(
        self,
        length: run_time_estimates.RunTimeEstimate,
        step: jobs.Step,
        usable: list[held_worker.HeldWorker],
        now: datetime.datetime,
    ) -> list[run_time_estimates.RunTimeEstimate]:
        """Return when a task would be done on workers that are full now."""
        ends = []
        for worker in usable:
            if worker.ledger.free().can_fit(step.resources):
                continue
            own = length.at_speed(self._estimates.speed(worker.report))
            for run in worker.ledger.entries():
                owner = self._owner_of(run.task)
                if owner is not None:
                    left = self._time_left(owner, run.task, worker, now)
                    ends.append(own.delayed_by(left))
        return sorted(ends)

    def _time_left(
        self,
        owner: shard_state.ShardState,
        task: runs.Task,
        worker: held_worker.HeldWorker,
        now: datetime.datetime,
    ) -> datetime.timedelta:
        state = owner.tasks[task]
        expected = owner.expected_run_time(self._estimates, state.step)
        takes = self._estimates.expected_on_worker(expected, worker.report)
        return loads.remaining_run_time(state, takes, now)
