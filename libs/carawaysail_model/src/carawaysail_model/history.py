"""What was seen in a run of the model, and the promises it is checked against."""

import datetime
import typing

from carawaysail_types import jobs, runs


class Broken(typing.NamedTuple):
    """A promise that was not kept.

    Parameters
    ----------
    promise : str
        Which.
    subject : str
        Job, task or worker.
    at : datetime.datetime
        When.
    """

    promise: str
    subject: str
    at: datetime.datetime


class History:
    """Collects starts, ends and answers, and checks them as they come."""

    def __init__(self) -> None:
        self.broken: list[Broken] = []
        self.starts = 0
        self._running: dict[runs.Task, set[str]] = {}
        self._started_jobs: set[str] = set()
        self._done: dict[str, set[runs.Task]] = {}

    def started(
        self,
        run: runs.Run,
        worker_id: str,
        taken: jobs.Resources,
        room: jobs.Resources,
        now: datetime.datetime,
    ) -> None:
        """Take note of a run that begins; ``taken`` includes it."""
        self.starts += 1
        self._started_jobs.add(run.task.job_id)
        if not room.can_fit(taken):
            self.broken.append(Broken("capacity", worker_id, now))
        others = self._running.setdefault(run.task, set())
        if others:
            self.broken.append(Broken("one run at a time", str(run.task), now))
        others.add(worker_id)

    def ended(self, run: runs.Run, worker_id: str, ending: runs.RunResult) -> None:
        """Take note of a run that ends."""
        self._running.get(run.task, set()).discard(worker_id)
        if ending is runs.RunResult.DONE:
            self._done.setdefault(run.task.job_id, set()).add(run.task)

    def draining_used(self, worker_id: str, now: datetime.datetime) -> None:
        """Take note of a start on a worker long after it began to drain."""
        self.broken.append(Broken("nothing on draining workers", worker_id, now))

    def answered(
        self, job: jobs.Job, outcome: jobs.JobOutcome, now: datetime.datetime
    ) -> None:
        """Take note of the answer to a client."""
        if outcome.verdict is jobs.Verdict.COMPLETED:
            width = sum(step.task_count for step in job.steps)
            if len(self._done.get(job.job_id, ())) < width:
                self.broken.append(Broken("whole answers", job.job_id, now))
        if outcome.verdict is jobs.Verdict.REFUSED and job.job_id in self._started_jobs:
            self.broken.append(Broken("true refusals", job.job_id, now))
