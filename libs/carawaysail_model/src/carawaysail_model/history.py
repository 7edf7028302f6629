"""Events observed in a simulation, and the invariants that they are checked against."""

import datetime
import typing

from carawaysail_types import jobs, runs


class Violation(typing.NamedTuple):
    """A violation of an invariant.

    Parameters
    ----------
    invariant : str
        Name of the invariant.
    subject : str
        Identifier of the job, task or worker.
    at : datetime.datetime
        When it was observed.
    """

    invariant: str
    subject: str
    at: datetime.datetime


class Entry(typing.NamedTuple):
    """An entry of the timeline of a job.

    Parameters
    ----------
    at : datetime.datetime
        When it happened.
    where : str
        The VM, worker or client.
    name : str
        What happened.
    fields : dict
        Further values, by name.
    """

    at: datetime.datetime
    where: str
    name: str
    fields: dict[str, typing.Any]


class History:
    """Records starts and ends of runs and job outcomes, and checks each at once.

    Parameters
    ----------
    max_start_delay : datetime.timedelta
        Time after the end of a client's last attempt in which its tasks may start.

    Attributes
    ----------
    timelines : dict of str to list of Entry, or None
        Timeline by job, worker or data centre; ``None`` unless it is to be kept.
    ----------
    violations : list of Violation
        Violations in the order in which they were observed.
    starts : int
        Number of runs that were started.
    unacknowledged : list of str
        Jobs that were answered as completed before each of their ends was acknowledged
        to its worker, which otherwise forgets it in a crash.
    """

    def __init__(
        self, max_start_delay: datetime.timedelta = datetime.timedelta.max
    ) -> None:
        self.violations: list[Violation] = []
        self.timelines: dict[str, list[Entry]] | None = None
        self.starts = 0
        self.unacknowledged: list[str] = []
        self._max_start_delay = max_start_delay
        # By task: the run number and the worker of each run.
        self._running: dict[runs.Task, set[tuple[int, str]]] = {}
        # When the last attempt of a client ended; absent while one is under way.
        self._attempt_ends: dict[str, datetime.datetime] = {}
        self._started_jobs: set[str] = set()
        self._done: dict[str, set[runs.Task]] = {}
        self._acknowledged: dict[str, set[runs.Task]] = {}

    def record_start(
        self,
        run: runs.Run,
        worker_id: str,
        used: jobs.Resources,
        capacity: jobs.Resources,
        now: datetime.datetime,
    ) -> None:
        """Record a run that starts.

        A worker must not run more than fits, and a task must not run twice at a time.

        Parameters
        ----------
        run : runs.Run
            The run.
        worker_id : str
            Worker that starts it.
        used, capacity : jobs.Resources
            Resources in use on the worker, this run included, and in total.
        now : datetime.datetime
            Current time.
        """
        self.starts += 1
        self._started_jobs.add(run.task.job_id)
        if not capacity.can_fit(used):
            self.violations.append(Violation("capacity", worker_id, now))
        others = self._running.setdefault(run.task, set())
        if others:
            self.violations.append(Violation("one run at a time", str(run.task), now))
        others.add((run.number, worker_id))
        ended_at = self._attempt_ends.get(run.task.job_id)
        if ended_at is not None and now - ended_at > self._max_start_delay:
            violation = Violation("no start without a client", str(run.task), now)
            self.violations.append(violation)

    def record_end(self, run: runs.Run, worker_id: str, result: runs.RunResult) -> None:
        """Record a run that ends; its task is done only if the result is ``DONE``."""
        self._running.get(run.task, set()).discard((run.number, worker_id))
        if result is runs.RunResult.DONE:
            self._done.setdefault(run.task.job_id, set()).add(run.task)

    def record_acknowledgement(self, run: runs.Run) -> None:
        """Record that a worker drops a run that is done, since it was acknowledged."""
        self._acknowledged.setdefault(run.task.job_id, set()).add(run.task)

    def record_attempt(self, job_id: str) -> None:
        """Record that a client sends its job."""
        self._attempt_ends.pop(job_id, None)

    def record_attempt_end(self, job_id: str, now: datetime.datetime) -> None:
        """Record that an attempt of a client ends without an answer."""
        self._attempt_ends[job_id] = now

    def check_runs_over(self, job_id: str, now: datetime.datetime) -> None:
        """Check that no run of a job is left, as its client may send it again now."""
        for task, running in self._running.items():
            if task.job_id == job_id and running:
                violation = Violation("runs end before resends", str(task), now)
                self.violations.append(violation)

    def check_lost(self, run_name: str, worker_id: str, now: datetime.datetime) -> None:
        """Check that a run has ended that its holder takes for lost with its lease.

        Parameters
        ----------
        run_name : str
            The run, as in the decision log.
        worker_id : str
            Its worker.
        now : datetime.datetime
            Current time.
        """
        for task, running in self._running.items():
            if any(
                worker_id == on and run_name == f"{task}#{number}"
                for number, on in running
            ):
                self.violations.append(Violation("lost runs are over", str(task), now))

    def record_entry(self, subject: str, entry: Entry) -> None:
        """Add an entry to a timeline, if timelines are kept."""
        if self.timelines is not None:
            self.timelines.setdefault(subject, []).append(entry)

    def record_start_on_draining(self, worker_id: str, now: datetime.datetime) -> None:
        """Record a violation: a run started long after its worker began to drain."""
        self.violations.append(Violation("nothing on draining workers", worker_id, now))

    def record_failure(self, kind: str, now: datetime.datetime) -> None:
        """Record a violation: a decision loop has failed to handle something."""
        self.violations.append(Violation("no exception in a daemon", kind, now))

    def record_outcome(
        self, job: jobs.Job, outcome: jobs.JobOutcome, now: datetime.datetime
    ) -> None:
        """Record the outcome that a client receives.

        All tasks of a completed job must be done, and no task of a refused job may
        have started.
        """
        if outcome.verdict is jobs.Verdict.COMPLETED:
            task_count = sum(step.task_count for step in job.steps)
            if len(self._done.get(job.job_id, ())) < task_count:
                self.violations.append(Violation("whole answers", job.job_id, now))
            if len(self._acknowledged.get(job.job_id, ())) < task_count:
                self.unacknowledged.append(job.job_id)
        if outcome.verdict is jobs.Verdict.REFUSED and job.job_id in self._started_jobs:
            self.violations.append(Violation("true refusals", job.job_id, now))
