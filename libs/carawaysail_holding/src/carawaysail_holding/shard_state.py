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


class TaskState:
    """A task and its present run, if it has one.

    Parameters
    ----------
    task : runs.Task
        The task.
    step : jobs.Step
        Its step: requirements and the client's estimate.
    """

    def __init__(self, task: runs.Task, step: jobs.Step) -> None:
        self.task = task
        self.step = step
        self.phase = Phase.WAITING
        self.last_run_number = 0
        self.done_run_number = 0
        self.failures = 0
        self.worker_id = ""
        self.started_at: datetime.datetime | None = None
        self.avoided_workers: set[str] = set()

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

    def record_done(self, run_number: int) -> None:
        """Record that a run has completed the task."""
        self.phase = Phase.DONE
        self.done_run_number = run_number
        self.worker_id = ""

    def requeue(self) -> None:
        """Put the task back into the waiting phase."""
        self.phase = Phase.WAITING
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
        Latest start of the first task for that finish.
    """

    run_time: datetime.timedelta
    target_finish: datetime.datetime
    latest_start: datetime.datetime


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
        self.tasks: dict[runs.Task, TaskState] = {}
        # Least requirement of a task; without so much free nothing can be placed.
        self.least_processor_milli = min(
            (x.resources.processor_milli for x in submission.job.steps), default=0
        )
        self._observed_log_ms: list[float] = []
        for step_number, step in enumerate(submission.job.steps):
            for index in submission.tasks or range(step.task_count):
                task = runs.Task(submission.job.job_id, 0, step_number, index)
                self.tasks[task] = TaskState(task, step)

    @property
    def job_id(self) -> str:
        """Identifier of the job."""
        return self.submission.job.job_id

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
        self._observed_log_ms.append(math.log(run_time_ms))

    def _observed_mean(self) -> datetime.timedelta | None:
        """Return the geometric mean run time of the finished tasks.

        ``None`` if no task is done or the job has several steps. Tasks of one step
        are alike, so the finished ones are better predictors than estimates.
        """
        observed = self._observed_log_ms
        if not observed or len(self.submission.job.steps) != 1:
            return None
        return clock.milliseconds(math.exp(sum(observed) / len(observed)))

    def run_time(
        self, estimates: run_time_estimates.RunTimeEstimates, step: jobs.Step
    ) -> run_time_estimates.RunTimeEstimate:
        """Estimate the run time of a task of a step on an average worker."""
        mean = self._observed_mean()
        if mean is not None:
            return run_time_estimates.RunTimeEstimate(
                mean, mean, mean * UPPER_BOUND_FACTOR
            )
        return estimates.estimate(self.submission.queue.name, step)

    def expected_run_time(
        self, estimates: run_time_estimates.RunTimeEstimates, step: jobs.Step
    ) -> datetime.timedelta:
        """Return the expected run time of a task of a step on an average worker."""
        return self._observed_mean() or estimates.expected(
            self.submission.queue.name, step
        )

    def is_done(self) -> bool:
        """Return whether every task is done."""
        return all(state.phase is Phase.DONE for state in self.tasks.values())

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
        open_steps = {
            task.step
            for task, state in self.tasks.items()
            if state.phase is not Phase.DONE
        }
        return [
            state
            for state in self.tasks.values()
            if state.phase is Phase.WAITING
            and not open_steps.intersection(state.step.after)
        ]

    def waiting_count(self) -> int:
        """Return the number of tasks without a run, ready or not."""
        return sum(state.phase is Phase.WAITING for state in self.tasks.values())
