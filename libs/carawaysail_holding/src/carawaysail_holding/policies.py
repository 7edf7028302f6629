"""Policies that settings choose: which job goes first, and which worker it gets."""

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
    """A worker that has room for a task.

    Parameters
    ----------
    worker : held.HeldWorker
        The worker.
    takes : lengths.Length
        Run time of the task there.
    spare_milli : int
        Thousandths of a core that stay free.
    """

    worker: held_worker.HeldWorker
    run_time: run_time_estimates.RunTimeEstimate
    spare_milli: int


class JobOrder(typing.Protocol):
    """Ranks jobs: the one with the least key gets a worker first."""

    def key(self, job: shard_state.ShardState, now: datetime.datetime) -> typing.Any:
        """Return the key of a job."""


class PlacementContext(typing.NamedTuple):
    """What a choice of a worker may depend on.

    Parameters
    ----------
    job : jobstate.JobState
        The task's job.
    next_finish : lengths.Length or None
        Time until the task is done if it waits for the best worker that has no room
        now.
    utilisation : float
        Share of the processors in use.
    now : datetime.datetime
        Present instant.
    """

    job: shard_state.ShardState
    next_finish: run_time_estimates.RunTimeEstimate | None
    utilisation: float
    now: datetime.datetime


class WorkerChoice(typing.Protocol):
    """Chooses among workers that have room for a task."""

    def choose(
        self, candidates: list[Candidate], view: PlacementContext
    ) -> Candidate | None:
        """Return one of the candidates, of which there is at least one.

        ``None`` lets the task wait for another worker.
        """


orders: registry.Registry[JobOrder] = registry.Registry("order policies")
choices: registry.Registry[WorkerChoice] = registry.Registry("worker choice policies")


class PolicyNames(typing.NamedTuple):
    """The policies in use, by name."""

    order: str = "latest_start"
    choice: str = "fit_to_due"


class _LatestStart:
    """Begun jobs first, then by the latest start that keeps the objective.

    Jobs that can no longer keep it come after all that can.
    """

    def key(self, job: shard_state.ShardState, now: datetime.datetime) -> typing.Any:
        is_late = now > job.schedule.latest_start
        return (not job.has_ordered_runs, is_late, job.schedule.latest_start)


class _Arrival:
    """First come, first served."""

    def key(self, job: shard_state.ShardState, now: datetime.datetime) -> typing.Any:
        return job.submission.arrived


class _Priority:
    """By the operator's priority, then by the latest start."""

    def key(self, job: shard_state.ShardState, now: datetime.datetime) -> typing.Any:
        late = now > job.schedule.latest_start
        priority = job.submission.queue.priority
        return (not job.has_ordered_runs, late, priority, job.schedule.latest_start)


orders.register("latest_start")(_LatestStart())
orders.register("arrival")(_Arrival())
orders.register("priority")(_Priority())


class _Fastest:
    """The worker that is expected to finish first, then the tightest fit."""

    def choose(
        self, candidates: list[Candidate], view: PlacementContext
    ) -> Candidate | None:
        return _fastest(candidates)


def _fastest(candidates: list[Candidate]) -> Candidate:
    return min(
        candidates, key=lambda found: (found.run_time.expected, found.spare_milli)
    )


class _FitToDue:
    """The fastest worker while there is room; the slowest that is in time when not.

    Fast workers are then left for long tasks. A task that a worker with room would
    make late waits for one that is expected to be done with it earlier; one that may
    outlast its client's patience waits for one that is done earlier even if the task
    is long.
    """

    def choose(
        self, candidates: list[Candidate], view: PlacementContext
    ) -> Candidate | None:
        fastest = _fastest(candidates)
        target_finish_ms = clock.to_milliseconds(
            view.job.schedule.target_finish - view.now
        )
        left_ms = clock.to_milliseconds(view.job.submission.deadline - view.now)
        safe = [
            x
            for x in candidates
            if planning.is_in_time(
                clock.to_milliseconds(x.run_time.expected),
                clock.to_milliseconds(x.run_time.upper_bound),
                target_finish_ms,
                left_ms,
            )
        ]
        if safe and view.utilisation < planning.HIGH_UTILISATION:
            return _fastest(safe)
        if safe:
            return max(
                safe, key=lambda found: (found.run_time.expected, -found.spare_milli)
            )
        if view.next_finish is not None and _is_sooner(
            view.next_finish, fastest.run_time, left_ms
        ):
            return None
        return fastest


def _is_sooner(
    one: run_time_estimates.RunTimeEstimate,
    other: run_time_estimates.RunTimeEstimate,
    left_ms: float,
) -> bool:
    """Tell which end is sooner: the latest one where patience may not suffice."""
    if clock.to_milliseconds(other.upper_bound) > left_ms:
        return one.upper_bound < other.upper_bound
    return one.expected < other.expected


class _MostRoom:
    """The worker with the most room left."""

    def choose(
        self, candidates: list[Candidate], view: PlacementContext
    ) -> Candidate | None:
        return max(candidates, key=lambda found: found.spare_milli)


class _Random:
    """Any worker with room; a rival to measure others against."""

    def __init__(self) -> None:
        self._random = random.Random(0)

    def choose(
        self, candidates: list[Candidate], view: PlacementContext
    ) -> Candidate | None:
        return self._random.choice(candidates)


class _TwoChoices:
    """The one with more room of two drawn at random; another rival."""

    def __init__(self) -> None:
        self._random = random.Random(0)

    def choose(
        self, candidates: list[Candidate], view: PlacementContext
    ) -> Candidate | None:
        drawn = [self._random.choice(candidates) for _ in range(2)]
        return max(drawn, key=lambda found: found.spare_milli)


choices.register("fastest")(_Fastest())
choices.register("fit_to_due")(_FitToDue())
choices.register("most_room")(_MostRoom())
choices.register("random")(_Random())
choices.register("two_choices")(_TwoChoices())


def make_schedule(
    known: run_time_estimates.RunTimeEstimates, submission: broker_messages.Submission
) -> shard_state.Schedule:
    """Return when a submission is due.

    Parameters
    ----------
    known : lengths.Lengths
        Learned run times.
    submission : events.Submission
        The submission.
    """
    queue, steps = submission.queue, submission.job.steps
    chains: list[datetime.timedelta] = []
    for step in steps:
        before = max((chains[x] for x in step.after), default=datetime.timedelta())
        chains.append(before + known.expected(queue.name, step))
    length = max(chains, default=datetime.timedelta())
    due = submission.arrived + length * queue.stretch + queue.objective
    return shard_state.Schedule(length, due, due - length)
