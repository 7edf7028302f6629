"""Policies that settings choose: which job goes first, and which worker it gets."""

import datetime
import typing

from carawaysail_holding import events, held, jobstate, lengths
from carawaysail_types import registry


class Candidate(typing.NamedTuple):
    """A worker that has room for a task.

    Parameters
    ----------
    worker : held.HeldWorker
        The worker.
    takes : datetime.timedelta
        Expected run time of the task there.
    spare_milli : int
        Thousandths of a core that stay free.
    """

    worker: held.HeldWorker
    takes: datetime.timedelta
    spare_milli: int


class Order(typing.Protocol):
    """Ranks jobs: the one with the least key gets a worker first."""

    def key(self, job: jobstate.JobState, now: datetime.datetime) -> typing.Any:
        """Return the key of a job."""


class View(typing.NamedTuple):
    """What a choice of a worker may depend on.

    Parameters
    ----------
    job : jobstate.JobState
        The task's job.
    least : datetime.timedelta
        Expected run time on the fastest worker, whether it has room or not.
    utilisation : float
        Share of the processors in use.
    now : datetime.datetime
        Present instant.
    """

    job: jobstate.JobState
    least: datetime.timedelta
    utilisation: float
    now: datetime.datetime


class Choice(typing.Protocol):
    """Chooses among workers that have room for a task."""

    def choose(self, candidates: list[Candidate], view: View) -> Candidate | None:
        """Return one of the candidates, of which there is at least one.

        ``None`` lets the task wait for another worker.
        """


orders: registry.Registry[Order] = registry.Registry("order policies")
choices: registry.Registry[Choice] = registry.Registry("worker choice policies")


class PolicyNames(typing.NamedTuple):
    """The policies in use, by name."""

    order: str = "latest_start"
    choice: str = "fit_to_due"


class _LatestStart:
    """Begun jobs first, then by the latest start that keeps the objective.

    Jobs that can no longer keep it come after all that can.
    """

    def key(self, job: jobstate.JobState, now: datetime.datetime) -> typing.Any:
        is_late = now > job.schedule.latest_start
        return (not job.has_ordered, is_late, job.schedule.latest_start)


class _Arrival:
    """First come, first served."""

    def key(self, job: jobstate.JobState, now: datetime.datetime) -> typing.Any:
        return job.submission.arrived


class _Priority:
    """By the operator's priority, then by the latest start."""

    def key(self, job: jobstate.JobState, now: datetime.datetime) -> typing.Any:
        late = now > job.schedule.latest_start
        priority = job.submission.queue.priority
        return (not job.has_ordered, late, priority, job.schedule.latest_start)


orders.register("latest_start")(_LatestStart())
orders.register("arrival")(_Arrival())
orders.register("priority")(_Priority())


class _Fastest:
    """The worker that is expected to finish first, then the tightest fit."""

    def choose(self, candidates: list[Candidate], view: View) -> Candidate | None:
        return _fastest(candidates)


def _fastest(candidates: list[Candidate]) -> Candidate:
    return min(candidates, key=lambda found: (found.takes, found.spare_milli))


CROWDED = 0.5
"""Share of the room in use from which fast workers are kept for long tasks."""


NEAR = 1.3
"""A worker that takes at most so many times as long is as good as the fastest."""


class _FitToDue:
    """The fastest worker while there is room; the slowest that is in time when not.

    A task that is late on each worker with room, but not on a faster one, waits for
    that; a slow worker would only make it late.
    """

    def choose(self, candidates: list[Candidate], view: View) -> Candidate | None:
        fastest = _fastest(candidates)
        due = view.job.schedule.due
        if view.now + view.least > due:
            due = view.job.submission.deadline
        if view.now + fastest.takes > due:
            is_hopeless = view.now + view.least > due
            is_near = fastest.takes <= view.least * NEAR
            return fastest if is_hopeless and is_near else None
        if view.utilisation < CROWDED:
            return fastest
        in_time = [x for x in candidates if view.now + x.takes <= due]
        return max(in_time, key=lambda found: (found.takes, -found.spare_milli))


class _MostRoom:
    """The worker with the most room left."""

    def choose(self, candidates: list[Candidate], view: View) -> Candidate | None:
        return max(candidates, key=lambda found: found.spare_milli)


choices.register("fastest")(_Fastest())
choices.register("fit_to_due")(_FitToDue())
choices.register("most_room")(_MostRoom())


def schedule(
    known: lengths.Lengths, submission: events.Submission
) -> jobstate.Schedule:
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
    return jobstate.Schedule(length, due, due - length)
