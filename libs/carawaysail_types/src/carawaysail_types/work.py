"""Submissions of callers and their tasks, the input of decisions."""

import datetime
import typing

from carawaysail_types import identifiers

MAX_JOB_TASKS = 340

FIRST_ATTEMPT = 1
"""The ``attempt`` of a caller that has sent no other copy."""


class TaskResources(typing.NamedTuple):
    """Resources that a task requires of its worker while it runs.

    Parameters
    ----------
    processors : float
        Number of processors; may be a fraction.
    memory_mb : float
        Memory in MB.
    accelerators : int
        Number of accelerators.
    """

    processors: float = 1.0
    memory_mb: float = 256.0
    accelerators: int = 0


class Task(typing.NamedTuple):
    """One task of a submission.

    Parameters
    ----------
    payload : bytes
        JSON text that is sent to the target.
    declared_run_time : datetime.timedelta or None
        Run time that the caller declares; ``None`` if the caller declares none.
    resources : TaskResources
        Resource requirements that the caller declares; used for jobs on workers.
    """

    payload: bytes
    declared_run_time: datetime.timedelta | None = None
    resources: TaskResources = TaskResources()


class Submission(typing.NamedTuple):
    """A request (one task, on a runner) or a job (1 to ``MAX_JOB_TASKS``, on workers).

    Parameters
    ----------
    submission_id : identifiers.SubmissionId
        Identifier, which includes the owner.
    digest : bytes
        Hash of the request body; another body under the same identifier is refused.
    service : str
        Name of the service.
    kind : str
        Kind of job, which selects settings and run-time estimates; ``request`` for a
        single request.
    tasks : tuple of Task
        The tasks; answers have the same order.
    deadline : datetime.datetime
        Instant at which the caller stops waiting, by the clock of the process that
        has the value.
    idempotent : bool
        Whether a task that may have started may be started again.
    is_job : bool
        Whether it was submitted as a job and not as a request.
    attempt : int
        Number of copies that the caller has sent, including this one; 0 if unknown.
    trace : str
        W3C ``traceparent`` of the caller's span; empty if there is none.
    """

    submission_id: identifiers.SubmissionId
    digest: bytes
    service: str
    kind: str
    tasks: tuple[Task, ...]
    deadline: datetime.datetime
    idempotent: bool = False
    is_job: bool = False
    attempt: int = 0
    trace: str = ""
