"""Runs of tasks on workers, and what workers say of them and of themselves."""

import datetime
import enum
import typing

from carawaysail_types import jobs


class Task(typing.NamedTuple):
    """One task of a job.

    Parameters
    ----------
    job_id : str
        The job.
    occurrence : int
        Which repetition of the job; 0 for a job that runs once.
    step, number : int
        Number of the step, and of the task within it.
    """

    job_id: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        """Return the task's name on the wire."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.number}"


class Run(typing.NamedTuple):
    """One start of a task.

    Parameters
    ----------
    task : Task
        The task.
    number : int
        Number of the start, from 1; a later start has a higher one.
    """

    task: Task
    number: int


class RunResult(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class FinishedRun(typing.NamedTuple):
    """The end of a run, as its worker lists it.

    Parameters
    ----------
    sequence : int
        Number of the end in this life of the worker, from 1.
    run : Run
        The run.
    ending : RunResult
        How it ended.
    """

    sequence: int
    run: Run
    result: RunResult


class WorkerStatus(typing.NamedTuple):
    """What a worker runs, and the ends that were not acknowledged yet.

    Parameters
    ----------
    incarnation : str
        Life of the worker that answered.
    clock : datetime.timedelta
        The worker's steady clock.
    running : tuple of Run
        Runs that hold room.
    ends : tuple of FinishedRun
        Ends, oldest first.
    progress : tuple of float
        Share of the work of each running run that is done; empty if not told.
    """

    incarnation: str
    clock: datetime.timedelta
    running: tuple[Run, ...]
    finished_runs: tuple[FinishedRun, ...]
    progress: tuple[float, ...] = ()


class OrderResult(enum.StrEnum):
    """How a worker answered an order.

    ``NO_ANSWER`` means that the order may have been carried out or may still be;
    ``NOT_SENT`` that it certainly was not and will not be.
    """

    ACCEPTED = "taken"
    FENCED = "fenced"
    STALE_RUN = "old"
    EXPIRED = "late"
    FULL = "full"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"
    NO_ANSWER = "lost"
    NOT_SENT = "unsent"


NOT_EXECUTED_RESULTS = frozenset(
    set(OrderResult) - {OrderResult.ACCEPTED, OrderResult.NO_ANSWER}
)
"""Answers which say that the order was not carried out and will not be."""


class WorkerReport(typing.NamedTuple):
    """What a worker says of itself in the platform's store.

    Parameters
    ----------
    worker_id : str
        The worker's name in the store.
    incarnation : str
        Its present life.
    service : str
        The service that it belongs to.
    address : str
        ``host:port``.
    data_centre : str
        Where it is.
    room : jobs.Resources
        Its capacity.
    labels : tuple of str
        Its labels.
    rack : str
        The label that names its rack; empty if none does.
    is_draining : bool
        Whether it is about to leave and takes no new work.
    """

    worker_id: str
    incarnation: str
    service: str
    address: str
    data_centre: str
    resources: jobs.Resources
    labels: tuple[str, ...] = ()
    rack: str = ""
    is_draining: bool = False
