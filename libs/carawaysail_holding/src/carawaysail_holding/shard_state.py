"""The state of a shard at its broker: its tasks, their runs, and its schedule."""

import datetime
import enum
import math
import typing

from carawaysail_holding import broker_messages, run_time_estimates
from carawaysail_types import clock, jobs, runs

UPPER_BOUND_FACTOR = 1.3
"""One task in twenty takes longer than the mean of its step times this factor."""


class Phase(enum.Enum):
    """Whether a task waits, has a run on a worker, or is done."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class PhaseCounts:
    """Number of tasks of a shard that wait, and of those that are not done."""

    def __init__(self) -> None:
        self.waiting = 0
        self.open = 0

    def add(self, phase: Phase, change: int) -> None:
        """Add tasks in a phase, or remove them by a negative change."""
        if phase is Phase.WAITING:
            self.waiting += change
        if phase is not Phase.DONE:
            self.open += change


class TaskState:
    """A task and its present run, if it has one.

    Parameters
    ----------
    task : runs.Task
        The task.
    step : jobs.Step
        Its step: requirements and the client's estimate.
    counts : PhaseCounts
        Counts of the shard's tasks, kept up to date with the task's phase.

    Attributes
    ----------
    given_up_at : datetime.datetime or None
        When its last run was given up together with a worker that did not answer;
        ``None`` if the run was seen to end.
    """

    def __init__(self, task: runs.Task, step: jobs.Step, counts: PhaseCounts) -> None:
        self.task = task
        self.step = step
        self._counts = counts
        self._phase = Phase.WAITING
        counts.add(Phase.WAITING, 1)
        self.last_run_number = 0
        self.done_run_number = 0
        self.failures = 0
        self.worker_id = ""
        self.started_at: datetime.datetime | None = None
        self.given_up_at: datetime.datetime | None = None
        self.avoided_workers: set[str] = set()

    @property
    def phase(self) -> Phase:
        """Whether the task waits, has a run on a worker, or is done."""
        return self._phase

    @phase.setter
    def phase(self, phase: Phase) -> None:
        self._counts.add(self._phase, -1)
        self._counts.add(phase, 1)
        self._phase = phase

    def next_run(self) -> runs.Run:
        """Return the run to order next; its number is one above the last."""
        return runs.Run(self.task, self.last_run_number + 1)

    def record_placement(
        self, run: runs.Run, worker_id: str, now: datetime.datetime
    ) -> None:
        """Record that a run was ordered, or matched, on a worker."""
        self.phase = Phase.PLACED
        self.last_run_number = max(self.last_run_number, run.number)
        self.worker_id = worker_id
        self.started_at = now
        self.given_up_at = None

    def record_done(self, run_number: int) -> None:
        """Record that a run has completed the task."""
        self.phase = Phase.DONE
        self.done_run_number = run_number
        self.worker_id = ""

    def requeue(self, given_up_at: datetime.datetime | None = None) -> None:
        """Put the task back into the waiting phase."""
        self.phase = Phase.WAITING
        self.given_up_at = given_up_at
        self.worker_id = ""
        self.started_at = None


class Schedule(typing.NamedTuple):
    """Expected run time and target times of a job.

    Parameters
    ----------
    run_time : datetime.timedelta
        Expected run time of the job's critical path on an average worker.
    target_finish : datetime.datetime
        Latest finish that meets the response-time objective.
    latest_start : datetime.datetime
        Latest start of the first task, on the fastest worker, for that finish, or for
        an answer before the client leaves if that is earlier.
    highest_speed : float
        Speed of the fastest worker as the job arrived; 1 is that of an average one.
    """

    run_time: datetime.timedelta
    target_finish: datetime.datetime
    latest_start: datetime.datetime
    highest_speed: float = 1.0


def critical_path(
    steps: tuple[jobs.Step, ...], run_times_ms: list[float]
) -> datetime.timedelta:
    """Return the run time of the longest chain of steps.

    Parameters
    ----------
    steps : tuple of jobs.Step
        The steps of a job.
    run_times_ms : list of float
        Run time of a task of each step, in milliseconds.
    """
    lengths_ms: list[float] = []
    for step, run_time_ms in zip(steps, run_times_ms, strict=True):
        before_ms = max((lengths_ms[x] for x in step.after), default=0.0)
        lengths_ms.append(before_ms + run_time_ms)
    return clock.milliseconds(max(lengths_ms, default=0.0))


class ShardState:
    """A shard of a job; the whole job if it has several steps.

    Parameters
    ----------
    shard_id : broker_messages.ShardId
        Its identifier.
    submission : broker_messages.Submission
        The job, and which of its tasks belong to the shard.
    schedule : Schedule
        Expected run time and target times of the job.

    Attributes
    ----------
    has_ordered_runs : bool
        Whether a run of one of its tasks may have been ordered.
    known_at : datetime.datetime
        Up to when its gateway knew that a client waits, as it last submitted it.
    earlier_runs_end : datetime.datetime or None
        When the runs that earlier holders have ordered end at the latest, on whatever
        worker they are; ``None`` if there are none.
    """

    def __init__(
        self,
        shard_id: broker_messages.ShardId,
        submission: broker_messages.Submission,
        schedule: Schedule,
    ) -> None:
        self.shard_id = shard_id
        self.submission = submission
        self.schedule = schedule
        self.has_ordered_runs = False
        self.known_at = submission.arrived
        self.earlier_runs_end: datetime.datetime | None = None
        self.tasks: dict[runs.Task, TaskState] = {}
        # Least requirement of a task; without so much free nothing can be placed.
        self.least_processor_milli = min(
            (x.resources.processor_milli for x in submission.job.steps), default=0
        )
        self._counts = PhaseCounts()
        self._observed_log_ms: list[float] = []
        # By step number; made when first needed, and replaced by observed run times.
        self._run_times: dict[int, run_time_estimates.RunTimeEstimate] = {}
        self._least_run_time: datetime.timedelta | None = None
        for step_number, step in enumerate(submission.job.steps):
            for index in submission.tasks or range(step.task_count):
                task = runs.Task(submission.job.job_id, 0, step_number, index)
                self.tasks[task] = TaskState(task, step, self._counts)

    @property
    def job_id(self) -> str:
        """Identifier of the job."""
        return self.submission.job.job_id

    def record_submission(
        self, submission: broker_messages.Submission, known_at: datetime.datetime
    ) -> None:
        """Record that the gateway has submitted the shard, perhaps again.

        ``known_at`` is up to when it knew then that a client waits.
        """
        self.known_at = max(self.known_at, known_at)
        sequence = max(self.submission.sequence, submission.sequence)
        self.submission = self.submission._replace(sequence=sequence)

    def record_run_time(self, run_time: datetime.timedelta) -> None:
        """Record the run time of a finished task.

        Parameters
        ----------
        run_time : datetime.timedelta
            Run time, converted by the caller to that on an average worker.
        """
        run_time_ms = max(
            run_time_estimates.MIN_RUN_TIME_MS, clock.to_milliseconds(run_time)
        )
        observed = self._observed_log_ms
        observed.append(math.log(run_time_ms))
        if len(self.submission.job.steps) == 1:
            # Tasks of one step are alike, so the finished ones are better predictors
            # than estimates.
            mean_ms = math.exp(sum(observed) / len(observed))
            self._run_times[0] = run_time_estimates.RunTimeEstimate(
                mean_ms, mean_ms, mean_ms * UPPER_BOUND_FACTOR
            )

    def run_time(
        self, estimates: run_time_estimates.RunTimeEstimates, state: TaskState
    ) -> run_time_estimates.RunTimeEstimate:
        """Estimate the run time of one of the tasks on an average worker."""
        step_number = state.task.step
        run_time = self._run_times.get(step_number)
        if run_time is None:
            run_time = estimates.estimate(self.submission.queue.name, state.step)
            self._run_times[step_number] = run_time
        return run_time

    def least_run_time(
        self, estimates: run_time_estimates.RunTimeEstimates
    ) -> datetime.timedelta:
        """Return the lower bound of the job's run time on an average worker."""
        if self._least_run_time is None:
            name, steps = self.submission.queue.name, self.submission.job.steps
            bounds_ms = [estimates.estimate(name, x).lower_bound_ms for x in steps]
            self._least_run_time = critical_path(steps, bounds_ms)
        return self._least_run_time

    def is_done(self) -> bool:
        """Return whether every task is done."""
        return not self._counts.open

    def done_runs(self) -> list[str]:
        """Return step, number and completing run of each done task, for logs.

        The run number is 0 if the run ended before the shard was submitted.
        """
        return [
            f"{task.step}.{task.number}#{state.done_run_number}"
            for task, state in self.tasks.items()
            if state.phase is Phase.DONE
        ]

    def ready_tasks(self) -> list[TaskState]:
        """Return the waiting tasks of steps whose preceding steps are done."""
        waiting = [x for x in self.tasks.values() if x.phase is Phase.WAITING]
        if len(self.submission.job.steps) == 1:
            return waiting
        open_steps = {
            task.step
            for task, state in self.tasks.items()
            if state.phase is not Phase.DONE
        }
        return [x for x in waiting if not open_steps.intersection(x.step.after)]

    def waiting_count(self) -> int:
        """Return the number of tasks without a run, ready or not."""
        return self._counts.waiting
