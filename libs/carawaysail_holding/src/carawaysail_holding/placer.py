"""Choice of a worker for a waiting task, which may also be to wait for a better one."""

import bisect
import collections.abc
import datetime
import functools
import operator

from carawaysail_holding import (
    broker_messages,
    held_worker,
    loads,
    policies,
    run_time_estimates,
    shard_state,
    utilisation,
)
from carawaysail_types import clock, jobs, runs

MAX_VIEW_AGE = clock.milliseconds(20)
"""How long remaining run times and the utilisation are kept; starts of runs are added
meanwhile. As long as the interval of a busy holder's timed checks."""

FindShard = collections.abc.Callable[[runs.Task], shard_state.ShardState | None]


class Pool:
    """The workers of a service in a data centre that accept runs.

    Parameters
    ----------
    key : tuple of (str, str)
        Service and data centre.
    find : callable
        Returns them; called when they are first needed.
    """

    def __init__(
        self,
        key: tuple[str, str],
        find: collections.abc.Callable[[], list[held_worker.HeldWorker]],
    ) -> None:
        self.key = key
        self._find = find
        self._workers: list[held_worker.HeldWorker] | None = None

    def workers(self) -> list[held_worker.HeldWorker]:
        """Return all workers of the pool, with and without free resources."""
        if self._workers is None:
            self._workers = self._find()
        return self._workers

    def select(
        self, workers: list[held_worker.HeldWorker]
    ) -> list[held_worker.HeldWorker]:
        """Return those of some workers that belong to the pool."""
        return [x for x in workers if _pool_key(x) == self.key]


class Candidates:
    """Candidates for the tasks of one shard, placed one after the other.

    The tasks of a step are alike, so the workers that fit one fit the others, but for
    those on which one was started meanwhile.

    Parameters
    ----------
    placer : Placer
        Finds them.
    shard : shard_state.ShardState
        The shard.
    workers : list of held_worker.HeldWorker
        Workers that accept runs and may have room.
    now : datetime.datetime
        Present instant.
    """

    def __init__(
        self,
        placer: "Placer",
        shard: shard_state.ShardState,
        workers: list[held_worker.HeldWorker],
        now: datetime.datetime,
    ) -> None:
        self._placer = placer
        self._shard = shard
        self._workers = workers
        self._now = now
        self._fitting: dict[int, list[policies.Candidate]] = {}
        # Number of runs after which a task would finish sooner, by step and limit.
        self._sooner: dict[tuple[int, float], int] = {}

    def of(self, state: shard_state.TaskState) -> list[policies.Candidate]:
        """Return the candidates for a task.

        Workers that the task avoids, because a run of it failed, stalled or was refused
        there, are returned only if there is no other.
        """
        step = state.task.step
        fitting = self._fitting.get(step)
        if fitting is None:
            fitting = self._fitting[step] = self._placer.fitting(
                self._shard, state, self._workers
            )
        if not state.avoided_workers:
            return fitting
        avoided = state.avoided_workers
        preferred = [x for x in fitting if x.worker.report.worker_id not in avoided]
        return preferred or fitting

    def record_start(
        self, state: shard_state.TaskState, chosen: policies.Candidate
    ) -> None:
        """Record that a task was started on a worker, which has less room now."""
        step, worker = state.task.step, chosen.worker
        self._placer.record_start(chosen)
        self._sooner.clear()
        remaining = [worker] if worker.accepts(self._now) else []
        again = self._placer.fitting(self._shard, state, remaining)
        kept = []
        for candidate in self._fitting.pop(step):
            if candidate.worker is not worker:
                kept.append(candidate)
            else:
                kept.extend(again)
        self._fitting = {step: kept}

    def count_sooner(
        self,
        state: shard_state.TaskState,
        run_time_ms: float,
        limit_ms: float,
        pool: Pool,
    ) -> int:
        """Count the runs after which a task would finish earlier than at a limit.

        Parameters
        ----------
        state : shard_state.TaskState
            The task.
        run_time_ms, limit_ms : float
            Run time of the task on an average worker, and time until the limit, in
            milliseconds.
        pool : Pool
            The workers that accept runs.
        """
        key = (state.task.step, limit_ms)
        if key not in self._sooner:
            self._sooner[key] = self._placer.count_sooner(
                run_time_ms, limit_ms, state.step, pool, self._now
            )
        return self._sooner[key]


class Placer:
    """Finds candidate workers and lets a policy choose among them.

    Parameters
    ----------
    terms : broker_messages.Terms
        Parameters of the deployment.
    choice : policies.WorkerChoice
        The policy.
    estimates : run_time_estimates.RunTimeEstimates
        Run-time estimates of the queues.
    find_shard : callable
        Returns the shard that a task belongs to; ``None`` if it is not known.
    """

    def __init__(
        self,
        terms: broker_messages.Terms,
        choice: policies.WorkerChoice,
        estimates: run_time_estimates.RunTimeEstimates,
        find_shard: FindShard,
    ) -> None:
        self.terms = terms
        self._choice = choice
        self._estimates = estimates
        self._find_shard = find_shard
        self._view_until: datetime.datetime | None = None
        # Expected remaining times of runs in milliseconds: by worker, and of all
        # usable workers of a service.
        self._remaining: dict[str, list[float]] = {}
        self._sorted_runs: dict[
            tuple[str, str], list[tuple[float, float, held_worker.HeldWorker]]
        ] = {}
        self._utilisations: dict[tuple[str, str], float] = {}

    def fitting(
        self,
        shard: shard_state.ShardState,
        state: shard_state.TaskState,
        usable: collections.abc.Iterable[held_worker.HeldWorker],
    ) -> list[policies.Candidate]:
        """Return those of the workers that have the resources for a task."""
        run_time = shard.run_time(self._estimates, state)
        return [
            self._candidate(state.step, run_time, worker)
            for worker in usable
            if self._fits(shard, state, worker)
        ]

    def _fits(
        self,
        shard: shard_state.ShardState,
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
            worker.ledger.tasks_of(shard.job_id, state.task.step) < limit
        )

    def _candidate(
        self,
        step: jobs.Step,
        run_time: run_time_estimates.RunTimeEstimate,
        worker: held_worker.HeldWorker,
    ) -> policies.Candidate:
        report = worker.report
        on_worker = run_time.at_speed(self._estimates.speed(report))
        if step.preferred_rack and step.preferred_rack not in report.labels:
            on_worker = on_worker.scaled_by(self.terms.cross_rack_factor)
        free = worker.ledger.free().processor_milli
        return policies.Candidate(
            worker, on_worker, free - step.resources.processor_milli
        )

    def choose(
        self,
        shard: shard_state.ShardState,
        state: shard_state.TaskState,
        candidates_of: Candidates,
        pool: Pool,
        queued: int,
        now: datetime.datetime,
    ) -> policies.Candidate | None:
        """Return the chosen candidate, or ``None`` if the task is to wait.

        Parameters
        ----------
        shard : shard_state.ShardState
            The task's shard.
        state : shard_state.TaskState
            The task.
        candidates_of : Candidates
            Workers with free resources for the shard's tasks; at least one for this.
        pool : Pool
            The workers that accept runs.
        queued : int
            Number of tasks of the shard that wait already; each is expected to take
            one of the slots that become free next.
        now : datetime.datetime
            Present instant.
        """
        candidates = candidates_of.of(state)

        def is_sooner_after_wait(
            candidate: run_time_estimates.RunTimeEstimate, compares_bounds: bool
        ) -> bool:
            run_time = shard.run_time(self._estimates, state)
            own_ms, other_ms = (
                (run_time.upper_bound_ms, candidate.upper_bound_ms)
                if compares_bounds
                else (run_time.expected_ms, candidate.expected_ms)
            )
            return candidates_of.count_sooner(state, own_ms, other_ms, pool) > queued

        context = policies.PlacementContext(
            shard,
            is_sooner_after_wait,
            functools.partial(self._utilisation, pool),
            now,
        )
        return self._choice.choose(candidates, context)

    def _utilisation(self, pool: Pool) -> float:
        found = self._utilisations.get(pool.key)
        if found is None:
            found = utilisation.processor_utilisation(pool.workers())
            self._utilisations[pool.key] = found
        return found

    def count_sooner(
        self,
        run_time_ms: float,
        limit_ms: float,
        step: jobs.Step,
        pool: Pool,
        now: datetime.datetime,
    ) -> int:
        """Count the runs after which a task would finish earlier than at a limit.

        Only runs on workers that are full now count: the task starts when the run ends.

        Parameters
        ----------
        run_time_ms, limit_ms : float
            Run time of the task on an average worker, and time until the limit, in
            milliseconds.
        step : jobs.Step
            Step of the task.
        pool : Pool
            The workers that accept runs.
        now : datetime.datetime
            Present instant.
        """
        count = 0
        for remaining_ms, speed, worker in self._busy_runs(pool, now):
            if remaining_ms >= limit_ms:
                break
            if remaining_ms + run_time_ms / speed >= limit_ms:
                continue
            if not worker.ledger.free().can_fit(step.resources):
                count += 1
        return count

    def _busy_runs(
        self, pool: Pool, now: datetime.datetime
    ) -> list[tuple[float, float, held_worker.HeldWorker]]:
        """Return remaining time in ms, speed and worker of all runs, soonest first."""
        if pool.key not in self._sorted_runs:
            self._sorted_runs[pool.key] = sorted(
                (
                    (remaining_ms, self._estimates.speed(worker.report), worker)
                    for worker in pool.workers()
                    for remaining_ms in self._remaining_times(worker, now)
                ),
                key=operator.itemgetter(0),
            )
        return self._sorted_runs[pool.key]

    def _remaining_times(
        self, worker: held_worker.HeldWorker, now: datetime.datetime
    ) -> list[float]:
        """Return the expected remaining times of a worker's runs, in milliseconds."""
        worker_id = worker.report.worker_id
        if worker_id not in self._remaining:
            speed = self._estimates.speed(worker.report)
            remaining = []
            for run in worker.ledger.entries():
                shard = self._find_shard(run.task)
                if shard is not None:
                    state = shard.tasks[run.task]
                    run_time = shard.run_time(self._estimates, state)
                    expected_ms = run_time.expected_ms / speed
                    remaining.append(
                        loads.remaining_run_time_ms(state, expected_ms, now)
                    )
            self._remaining[worker_id] = remaining
        return self._remaining[worker_id]

    def begin_pass(self, now: datetime.datetime) -> None:
        """Forget remaining times of runs and utilisations that are too old."""
        if self._view_until is not None and now < self._view_until:
            return
        self._view_until = now + MAX_VIEW_AGE
        self._remaining.clear()
        self._sorted_runs.clear()
        self._utilisations.clear()

    def record_start(self, chosen: policies.Candidate) -> None:
        """Record that a worker has one more run in this pass."""
        worker = chosen.worker
        self._remaining.pop(worker.report.worker_id, None)
        speed = self._estimates.speed(worker.report)
        started = (chosen.run_time.expected_ms, speed, worker)
        sorted_runs = self._sorted_runs.get(_pool_key(worker))
        if sorted_runs is not None:
            bisect.insort(sorted_runs, started, key=operator.itemgetter(0))


def _pool_key(worker: held_worker.HeldWorker) -> tuple[str, str]:
    """Return service and data centre of a worker."""
    return worker.report.service, worker.report.data_centre
