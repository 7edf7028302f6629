"""One part of a job at its broker: tasks, runs, attempts, and what it is due."""

import datetime
import enum
import math
import typing

from carawaysail_holding import broker_messages, run_time_estimates
from carawaysail_types import clock, jobs, runs

UNEVEN = 1.3
"""Tasks of one step exceed their mean by this factor once in twenty."""


class Phase(enum.Enum):
    """How far a task is."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


class TaskState:
    """One task.

    Parameters
    ----------
    task : runs.Task
        Its name.
    step : jobs.Step
        What it needs.
    """

    def __init__(self, task: runs.Task, step: jobs.Step) -> None:
        self.task = task
        self.step = step
        self.phase = Phase.WAITING
        self.last_run_number = 0
        self.failures = 0
        self.worker_id = ""
        self.started_at: datetime.datetime | None = None
        self.avoided_workers: set[str] = set()

    def next_run(self) -> runs.Run:
        """Return the run that would be ordered next."""
        return runs.Run(self.task, self.last_run_number + 1)

    def record_placement(
        self, run: runs.Run, worker_id: str, now: datetime.datetime
    ) -> None:
        """Take note that a run of this task counts on a worker."""
        self.phase = Phase.PLACED
        self.last_run_number = max(self.last_run_number, run.number)
        self.worker_id = worker_id
        self.started_at = now

    def requeue(self) -> None:
        """Let the task be started again."""
        self.phase = Phase.WAITING
        self.worker_id = ""
        self.started_at = None


class Schedule(typing.NamedTuple):
    """When a job has to be where.

    Parameters
    ----------
    length : datetime.timedelta
        Expected length of the longest chain of tasks on an average worker.
    due : datetime.datetime
        Until when an answer keeps the response-time objective.
    latest_start : datetime.datetime
        Until when the first task must start for that.
    """

    run_time: datetime.timedelta
    target_finish: datetime.datetime
    latest_start: datetime.datetime


class ShardState:
    """One part of a job; the whole of it where it has several steps.

    Parameters
    ----------
    part : events.PartId
        Names the part.
    submission : events.Submission
        What was submitted.
    schedule : Schedule
        When it is due.
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
        self._observed_log_ms: list[float] = []
        for number, step in enumerate(submission.job.steps):
            for index in submission.tasks or range(step.task_count):
                task = runs.Task(submission.job.job_id, 0, number, index)
                self.tasks[task] = TaskState(task, step)

    @property
    def job_id(self) -> str:
        """The job's identifier."""
        return self.submission.job.job_id

    def record_run_time(self, run_time: datetime.timedelta) -> None:
        """Take note of what a task took, as on an average worker."""
        length_ms = max(
            run_time_estimates.MIN_RUN_TIME_MS, clock.to_milliseconds(run_time)
        )
        self._observed_log_ms.append(math.log(length_ms))

    def _observed(self) -> datetime.timedelta | None:
        """Return the mean of what tasks took, if some are done.

        Tasks of one step are alike, so those that are done tell more than estimates.
        """
        seen = self._observed_log_ms
        if not seen or len(self.submission.job.steps) != 1:
            return None
        return clock.milliseconds(math.exp(sum(seen) / len(seen)))

    def run_time(
        self, known: run_time_estimates.RunTimeEstimates, step: jobs.Step
    ) -> run_time_estimates.RunTimeEstimate:
        """Return the run time of a task on an average worker."""
        mean = self._observed()
        if mean is not None:
            return run_time_estimates.RunTimeEstimate(mean, mean, mean * UNEVEN)
        return known.estimate(self.submission.queue.name, step)

    def expected_run_time(
        self, known: run_time_estimates.RunTimeEstimates, step: jobs.Step
    ) -> datetime.timedelta:
        """Return the expected length of a task on an average worker."""
        return self._observed() or known.expected(self.submission.queue.name, step)

    def is_done(self) -> bool:
        """Tell whether every task is done."""
        return all(state.phase is Phase.DONE for state in self.tasks.values())

    def ready_tasks(self) -> list[TaskState]:
        """Return the waiting tasks whose earlier steps are done."""
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
        """Return how many tasks wait for a worker."""
        return sum(state.phase is Phase.WAITING for state in self.tasks.values())
