"""Runs of tasks on workers, and what workers report about runs and themselves.

A task is one piece of work of a job; a run is one execution of a task.
"""

import datetime
import enum
import typing

from carawaysail_types import jobs


class Task(typing.NamedTuple):
    """One task of a job.

    Parameters
    ----------
    job_id : str
        Identifier of the job.
    occurrence : int
        Number of the repetition of the job; 0 for a job that runs once.
    step, number : int
        Number of the step in the job, and of the task in the step.
    """

    job_id: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        """Return the name of the task on the wire."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.number}"


class Run(typing.NamedTuple):
    """One execution of a task.

    Parameters
    ----------
    task : Task
        The task.
    number : int
        Number of the run, from 1; a later run of the task has a higher one.
    """

    task: Task
    number: int


class RunResult(enum.StrEnum):
    """Result of a run, as its worker reports it.

    ``DONE`` completes the task; ``FAILED`` counts as one of its failed runs. After any
    other result the task starts again, and the run does not count as failed.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class FinishedRun(typing.NamedTuple):
    """A finished run, as its worker reports it.

    Parameters
    ----------
    sequence : int
        Number of the finished run in this incarnation of the worker, from 1; the holder
        acknowledges finished runs by it.
    run : Run
        The run.
    result : RunResult
        Result of the run.
    """

    sequence: int
    run: Run
    result: RunResult


class WorkerStatus(typing.NamedTuple):
    """Status of a worker, its answer to a poll.

    Parameters
    ----------
    incarnation : str
        Incarnation of the worker that answered.
    clock : datetime.timedelta
        Reading of the worker's monotonic clock, at the answer.
    running : tuple of Run
        Runs that occupy resources of the worker.
    finished_runs : tuple of FinishedRun
        Finished runs that were not acknowledged yet, oldest first.
    progress : tuple of float
        Completed share of the work of each running run, 0 to 1, in the order of
        ``running``; empty if the worker reports none.
    """

    incarnation: str
    clock: datetime.timedelta
    running: tuple[Run, ...]
    finished_runs: tuple[FinishedRun, ...]
    progress: tuple[float, ...] = ()


class OrderResult(enum.StrEnum):
    """Result of an order to a worker.

    - ``ACCEPTED``: the worker executes the order.
    - ``FENCED``: the worker knows a higher fencing token.
    - ``STALE_RUN``: the worker knows a run of the task with this or a higher number.
    - ``EXPIRED``: the lease in the order has ended.
    - ``FULL``: the worker has too few free resources.
    - ``INVALID``: the worker does not accept the order's content.
    - ``UNHEALTHY``: the worker refuses orders at present.
    - ``OTHER_INCARNATION``: the address belongs to another worker or incarnation.
    - ``NO_ANSWER``: the order may have been executed or may still be executed.
    - ``NOT_SENT``: the order was certainly not executed and will not be.
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
"""Results which mean that the order was not executed and will not be."""


class WorkerReport(typing.NamedTuple):
    """A worker's report on itself, which it writes to the platform's store.

    Parameters
    ----------
    worker_id : str
        Name of the worker in the store.
    incarnation : str
        Present incarnation of the worker.
    service : str
        Service whose tasks the worker runs.
    address : str
        ``host:port`` that receives orders and polls.
    data_centre : str
        Data centre of the worker.
    resources : jobs.Resources
        Capacity of the worker.
    labels : tuple of str
        Labels of the worker.
    rack : str
        Label that names the worker's rack; empty if no label does.
    is_draining : bool
        Whether the worker is about to leave and accepts no new work.
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
