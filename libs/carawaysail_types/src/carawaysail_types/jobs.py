"""Jobs of parallel tasks, as their clients name them."""

import datetime
import enum
import typing


class Resources(typing.NamedTuple):
    """Resources of a worker, or what a task takes of them.

    Parameters
    ----------
    processor_milli : int
        Thousandths of a processor core.
    memory_mb : int
        Memory in MB.
    accelerators : int
        Number of accelerators.
    """

    processor_milli: int
    memory_mb: int
    accelerators: int

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum with other resources."""
        return Resources(
            self.processor_milli + other.processor_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return what is left when other resources are taken."""
        return Resources(
            self.processor_milli - other.processor_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def can_fit(self, other: "Resources") -> bool:
        """Tell whether other resources fit into these."""
        return (
            self.processor_milli >= other.processor_milli
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


NO_RESOURCES = Resources(0, 0, 0)


class Step(typing.NamedTuple):
    """Tasks of a job that are alike.

    Parameters
    ----------
    width : int
        Number of tasks.
    room : Resources
        What each task takes of its worker.
    estimate : datetime.timedelta
        The client's rough estimate of a task's run time.
    after : tuple of int
        Numbers of earlier steps that must be done first.
    required_label : str
        Label that the worker must have; empty for any worker.
    preferred_rack : str
        Rack where the data is; empty for none.
    max_per_worker : int
        Tasks of the step that may run on one worker; 0 for no limit.
    unsupported : tuple of str
        Features that the step asks for and this system does not carry out.
    """

    task_count: int
    resources: Resources
    estimate: datetime.timedelta
    after: tuple[int, ...] = ()
    required_label: str = ""
    preferred_rack: str = ""
    max_per_worker: int = 0
    unsupported: tuple[str, ...] = ()


class Job(typing.NamedTuple):
    """A job as a client submits it.

    Parameters
    ----------
    job_id : str
        Sixteen hexadecimal digits chosen by the client; a resubmission has the same.
    spec : str
        What the tasks get to read.
    steps : tuple of Step
        The steps, in the client's numbering.
    unsupported : tuple of str
        Features of the job as a whole that this system does not carry out.
    """

    job_id: str
    spec: str
    steps: tuple[Step, ...]
    unsupported: tuple[str, ...] = ()

    def unsupported_features(self) -> tuple[str, ...]:
        """Return all features that the job asks for and nothing here carries out."""
        found = list(self.unsupported)
        for step in self.steps:
            found.extend(step.unsupported)
        return tuple(dict.fromkeys(found))


class Queue(typing.NamedTuple):
    """A queue of the operators' configuration.

    Parameters
    ----------
    name : str
        Name of the queue.
    host, prefix : str
        Host name and path prefix that select the queue.
    service : str
        Service whose workers run the queue's tasks.
    priority : int
        0 comes first.
    max_attempts : int
        Failed runs of a task after which its job has failed.
    stretch : float
        Response-time objective as a multiple of the longest chain of tasks.
    objective : datetime.timedelta
        Time that the objective adds to that multiple.
    timeout : datetime.timedelta
        Time after which a request is answered in any case.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    objective: datetime.timedelta
    timeout: datetime.timedelta


class Limits(typing.NamedTuple):
    """Limits on clients' requests.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Larger requests are refused.
    header_timeout, idle_timeout : datetime.timedelta
        Time for the header of a request, and for a kept connection to stay idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


class Configuration(typing.NamedTuple):
    """The operators' configuration of one version.

    Parameters
    ----------
    version : int
        Version; a newer one is larger.
    queues : tuple of Queue
        All queues.
    services : tuple of str
        Names of the services.
    limits : Limits
        Limits on clients' requests.
    """

    version: int
    queues: tuple[Queue, ...]
    services: tuple[str, ...]
    limits: Limits = Limits()

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix that a path begins with."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)


class Verdict(enum.StrEnum):
    """What becomes of a job, as its client is told.

    ``REFUSED`` promises that no task of this submission ran or will run; ``UNKNOWN``
    says that this cannot be told.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a job ended as it did."""

    NONE = "none"
    OVERLOADED = "overloaded"
    TOO_LATE = "too_late"
    TOO_LONG = "too_long"
    NEVER_FITS = "never_fits"
    UNSUPPORTED = "unsupported"
    NO_WORKERS = "no_workers"
    NO_BROKER = "no_broker"
    BROKER_LOST = "broker_lost"
    TIMED_OUT = "timed_out"
    WITHDRAWN = "withdrawn"
    TASK_FAILED = "task_failed"
    SUPERSEDED = "superseded"
    NO_CONFIGURATION = "no_configuration"


class JobOutcome(typing.NamedTuple):
    """The end of a submission.

    Parameters
    ----------
    verdict : Verdict
        What the client is told.
    reason : Reason
        Why.
    retry_after : datetime.timedelta
        When a refused client had better come back; zero if that would not help.
    """

    verdict: Verdict
    reason: Reason = Reason.NONE
    retry_after: datetime.timedelta = datetime.timedelta()
