"""Submissions and their tasks, as decisions see them."""

import datetime
import typing

from carawaysail_types import identifiers

MAX_JOB_TASKS = 340


class Needs(typing.NamedTuple):
    """What a task takes of a worker while it runs.

    Parameters
    ----------
    processors : float
        Processors.
    memory_mb : float
        Memory, in MB.
    accelerators : int
        Accelerators.
    """

    processors: float = 1.0
    memory_mb: float = 256.0
    accelerators: int = 0


class Task(typing.NamedTuple):
    """One task of a submission.

    Parameters
    ----------
    payload : bytes
        JSON text handed to the target.
    declared : datetime.timedelta or None
        Run time that the caller declares.
    needs : Needs
        Resources that the caller declares; used on workers.
    """

    payload: bytes
    declared_run_time: datetime.timedelta | None = None
    needs: Needs = Needs()


class Submission(typing.NamedTuple):
    """A request (one task, on a runner) or a job (1 to 340 tasks, on workers).

    Parameters
    ----------
    submission_id : identifiers.SubmissionId
        Identifier, with its owner.
    digest : bytes
        Hash of the body; another body under the same identifier is refused.
    service : str
        Name of the service.
    kind : str
        Kind of job, for inheritance of settings and learned run times; ``request``
        for a single request.
    tasks : tuple of Task
        The tasks, in the order of their answers.
    deadline : datetime.datetime
        When the answer is due, by the clock of the process that holds the value.
    idempotent : bool
        Whether a task that may have started may be started again.
    is_job : bool
        Whether it came as a job.
    attempt : int
        How many copies the caller has sent, this one included; 0 if not told.
    trace : str
        W3C ``traceparent`` of the caller's span, or empty.
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
