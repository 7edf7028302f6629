"""Policies that settings choose: which job goes first, which worker, who is refused."""

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


class Outlook(typing.NamedTuple):
    """What a job can expect on arrival.

    Parameters
    ----------
    finish : datetime.datetime
        When it is expected to be done.
    drained : datetime.timedelta
        When the work ahead is expected to be done.
    """

    finish: datetime.datetime
    drained: datetime.timedelta


class Admission(typing.Protocol):
    """Decides whether a job is taken."""

    def admits(
        self, job: jobstate.JobState, outlook: Outlook, now: datetime.datetime
    ) -> bool:
        """Tell whether a job is taken."""


orders: registry.Registry[Order] = registry.Registry("order policies")
choices: registry.Registry[Choice] = registry.Registry("worker choice policies")
admissions: registry.Registry[Admission] = registry.Registry("admission policies")


class PolicyNames(typing.NamedTuple):
    """The policies in use, by name."""

    order: str = "latest_start"
    choice: str = "fit_to_due"
    admission: str = "objective"


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


class _FitToDue:
    """The fastest worker while there is room; the slowest that is in time when not.

    A task that is late on each worker with room, but not on a faster one, waits for
    that; a slow worker would only make it late.
    """

    def choose(self, candidates: list[Candidate], view: View) -> Candidate | None:
        fastest = _fastest(candidates)
        due = view.job.schedule.due
        if view.now + fastest.takes > due:
            is_hopeless = view.now + view.least > due
            return fastest if is_hopeless else None
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


class _Objective:
    """Takes what is expected to keep its response-time objective."""

    def admits(
        self, job: jobstate.JobState, outlook: Outlook, now: datetime.datetime
    ) -> bool:
        return outlook.finish <= job.schedule.due


class _Deadline:
    """Takes what is expected to be done while its client waits."""

    def admits(
        self, job: jobstate.JobState, outlook: Outlook, now: datetime.datetime
    ) -> bool:
        return outlook.finish <= job.submission.deadline


class _All:
    """Takes everything."""

    def admits(
        self, job: jobstate.JobState, outlook: Outlook, now: datetime.datetime
    ) -> bool:
        return True


admissions.register("objective")(_Objective())
admissions.register("deadline")(_Deadline())
admissions.register("all")(_All())


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
