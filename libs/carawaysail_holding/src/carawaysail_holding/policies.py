"""Policies that the settings name: the order of jobs, and the choice of workers."""

import collections.abc
import datetime
import random
import typing

from carawaysail_holding import (
    broker_messages,
    held_worker,
    planning,
    run_time_estimates,
    shard_state,
)
from carawaysail_types import clock, registry


class Candidate(typing.NamedTuple):
    """A worker with free resources for a task.

    Parameters
    ----------
    worker : held_worker.HeldWorker
        The worker.
    run_time : run_time_estimates.RunTimeEstimate
        Estimated run time of the task on that worker.
    spare_milli : int
        Thousandths of a core that would stay free.
    """

    worker: held_worker.HeldWorker
    run_time: run_time_estimates.RunTimeEstimate
    spare_milli: int


class JobOrder(typing.Protocol):
    """Orders shards: the one with the smallest key gets workers first."""

    def key(self, shard: shard_state.ShardState, now: datetime.datetime) -> typing.Any:
        """Return the sort key of a shard; keys of one policy are comparable."""


class PlacementContext(typing.NamedTuple):
    """Inputs of a choice of a worker, besides the candidates.

    Parameters
    ----------
    shard : shard_state.ShardState
        The task's shard.
    is_sooner_after_wait : callable
        Returns whether a worker that is full now is expected to finish the task earlier
        than a candidate with a given run time would. The second argument says whether
        upper bounds of the finish are compared.
    find_utilisation : callable
        Returns the share of the usable workers' processors in use, from 0 to 1.
    now : datetime.datetime
        Present instant.
    """

    shard: shard_state.ShardState
    is_sooner_after_wait: collections.abc.Callable[
        [run_time_estimates.RunTimeEstimate, bool], bool
    ]
    find_utilisation: collections.abc.Callable[[], float]
    now: datetime.datetime


class WorkerChoice(typing.Protocol):
    """Chooses among workers with free resources for a task."""

    def choose(
        self, candidates: list[Candidate], context: PlacementContext
    ) -> Candidate | None:
        """Return one of the candidates, of which there is at least one.

        ``None`` leaves the task waiting for another worker.
        """


job_order_policies: registry.Registry[JobOrder] = registry.Registry("order policies")
worker_choice_policies: registry.Registry[WorkerChoice] = registry.Registry(
    "worker choice policies"
)


class PolicyNames(typing.NamedTuple):
    """Names of the policies in use."""

    order: str = "latest_start"
    choice: str = "fit_to_due"


class _LatestStart:
    """Started jobs first, then by the latest start that meets the objective.

    Jobs that can no longer meet it, or whose client leaves first, come last.
    """

    def key(self, shard: shard_state.ShardState, now: datetime.datetime) -> typing.Any:
        is_late = now > shard.schedule.latest_start
        return (not shard.has_ordered_runs, is_late, shard.schedule.latest_start)


class _Arrival:
    """First come, first served."""

    def key(self, shard: shard_state.ShardState, now: datetime.datetime) -> typing.Any:
        return shard.submission.arrived


class _Priority:
    """Started jobs first, then by lateness, the queue's priority, the latest start."""

    def key(self, shard: shard_state.ShardState, now: datetime.datetime) -> typing.Any:
        is_late = now > shard.schedule.latest_start
        priority = shard.submission.queue.priority
        return (
            not shard.has_ordered_runs,
            is_late,
            priority,
            shard.schedule.latest_start,
        )


job_order_policies.register("latest_start")(_LatestStart())
job_order_policies.register("arrival")(_Arrival())
job_order_policies.register("priority")(_Priority())


class _Fastest:
    """The worker with the earliest expected finish, then the tightest fit."""

    def choose(
        self, candidates: list[Candidate], context: PlacementContext
    ) -> Candidate | None:
        return _fastest(candidates)


def _fastest(candidates: list[Candidate]) -> Candidate:
    return min(candidates, key=lambda x: (x.run_time.expected_ms, x.spare_milli))


class _FitToTarget:
    """The fastest worker at low utilisation, else the slowest that finishes in time.

    So at high utilisation fast workers stay free for long tasks. A task that no
    candidate would finish in time waits if a worker that is full now is expected to
    finish it earlier. If the task may outlast its client timeout, the upper bounds of
    the finish are compared instead of the expected ones.
    """

    def choose(
        self, candidates: list[Candidate], context: PlacementContext
    ) -> Candidate | None:
        fastest = _fastest(candidates)
        target_finish_ms = clock.to_milliseconds(
            context.shard.schedule.target_finish - context.now
        )
        remaining_ms = clock.to_milliseconds(
            context.shard.submission.deadline - context.now
        )
        in_time = [
            x
            for x in candidates
            if planning.is_in_time(
                x.run_time.expected_ms,
                x.run_time.upper_bound_ms,
                target_finish_ms,
                remaining_ms,
            )
        ]
        if in_time and context.find_utilisation() < planning.HIGH_UTILISATION:
            return _fastest(in_time)
        if in_time:
            return max(in_time, key=lambda x: (x.run_time.expected_ms, -x.spare_milli))
        may_time_out = fastest.run_time.upper_bound_ms > remaining_ms
        if context.is_sooner_after_wait(fastest.run_time, may_time_out):
            return None
        return fastest


class _MostFree:
    """The worker with the most free processors."""

    def choose(
        self, candidates: list[Candidate], context: PlacementContext
    ) -> Candidate | None:
        return max(candidates, key=lambda x: x.spare_milli)


class _Random:
    """A random candidate; a baseline for measurements."""

    def __init__(self) -> None:
        self._random = random.Random(0)

    def choose(
        self, candidates: list[Candidate], context: PlacementContext
    ) -> Candidate | None:
        return self._random.choice(candidates)


class _TwoChoices:
    """The one with more free processors of two random candidates; another baseline."""

    def __init__(self) -> None:
        self._random = random.Random(0)

    def choose(
        self, candidates: list[Candidate], context: PlacementContext
    ) -> Candidate | None:
        drawn = [self._random.choice(candidates) for _ in range(2)]
        return max(drawn, key=lambda x: x.spare_milli)


worker_choice_policies.register("fastest")(_Fastest())
worker_choice_policies.register("fit_to_due")(_FitToTarget())
worker_choice_policies.register("most_room")(_MostFree())
worker_choice_policies.register("random")(_Random())
worker_choice_policies.register("two_choices")(_TwoChoices())


def make_schedule(
    estimates: run_time_estimates.RunTimeEstimates,
    submission: broker_messages.Submission,
    highest_speed: float = 1.0,
) -> shard_state.Schedule:
    """Return the target times of a submission.

    Parameters
    ----------
    estimates : run_time_estimates.RunTimeEstimates
        Run-time estimates of the queues.
    submission : broker_messages.Submission
        The submission.
    highest_speed : float
        Speed of the fastest worker; 1 is that of an average one.
    """
    queue = submission.queue
    run_time = shard_state.critical_path(
        submission.job.steps,
        [estimates.expected_ms(queue.name, x) for x in submission.job.steps],
    )
    target_finish = submission.arrived + run_time * queue.stretch + queue.objective
    latest_finish = min(target_finish, submission.deadline)
    latest_start = latest_finish - run_time / highest_speed
    return shard_state.Schedule(run_time, target_finish, latest_start, highest_speed)
