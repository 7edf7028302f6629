"""Jobs of parallel tasks, queues and outcomes, as clients of the platform use them."""

import datetime
import enum
import typing


class Resources(typing.NamedTuple):
    """Resources that a worker has, or that a task requires of its worker.

    Parameters
    ----------
    processor_milli : int
        Processor, in thousandths of a core.
    memory_mb : int
        Memory in MB.
    accelerators : int
        Number of accelerators.
    """

    processor_milli: int
    memory_mb: int
    accelerators: int

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of these and other resources."""
        return Resources(
            self.processor_milli + other.processor_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return these resources less other ones."""
        return Resources(
            self.processor_milli - other.processor_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def can_fit(self, other: "Resources") -> bool:
        """Return whether other resources fit into these in every dimension."""
        return (
            self.processor_milli >= other.processor_milli
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


NO_RESOURCES = Resources(0, 0, 0)


class Step(typing.NamedTuple):
    """A group of identical tasks of a job.

    Parameters
    ----------
    task_count : int
        Number of tasks.
    resources : Resources
        Resources that each task requires of its worker.
    estimate : datetime.timedelta
        The client's rough estimate of a task's run time; zero if the client gives none.
    after : tuple of int
        Numbers of the earlier steps that must be completed before this one starts;
        empty for none.
    required_label : str
        Label that the worker must have; empty for any worker.
    preferred_rack : str
        Rack that has the input data; empty for no preference.
    max_per_worker : int
        Largest number of tasks of the step on one worker; 0 for no limit.
    unsupported : tuple of str
        Requested features of the step that this system does not support.
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
        Sixteen hexadecimal digits chosen by the client; the same in a resubmission.
    spec : str
        Specification that is passed to each task.
    steps : tuple of Step
        The steps; their numbers are their positions, from 0.
    unsupported : tuple of str
        Requested features of the whole job that this system does not support.
    """

    job_id: str
    spec: str
    steps: tuple[Step, ...]
    unsupported: tuple[str, ...] = ()

    def unsupported_features(self) -> tuple[str, ...]:
        """Return the unsupported features of the job and its steps, without repeats."""
        features = list(self.unsupported)
        for step in self.steps:
            features.extend(step.unsupported)
        return tuple(dict.fromkeys(features))


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
        Priority; 0 is the highest.
    max_attempts : int
        Number of failed runs of a task at which its job fails.
    stretch : float
        Factor of the response-time objective, which is ``stretch`` times the run time
        of the job's critical path, plus ``objective``.
    objective : datetime.timedelta
        Constant part of the response-time objective.
    timeout : datetime.timedelta
        Longest client timeout, after which a request is answered in any case; also
        that of a request that states none.
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
    """Limits on clients' requests and connections.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest header and body of a request; larger requests are refused.
    header_timeout : datetime.timedelta
        Longest time to receive the header of a request.
    idle_timeout : datetime.timedelta
        Longest time that a connection stays open between requests.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)


class Configuration(typing.NamedTuple):
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Version; a newer configuration has a higher one.
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
        """Return the queue of a host with the longest prefix of a path, if any."""
        matching = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)


class Verdict(enum.StrEnum):
    """Result of a job, as it is reported to the client.

    ``REFUSED`` guarantees that no task of this submission has run or will run;
    ``UNKNOWN`` means that this is not known.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Cause of a verdict other than ``COMPLETED``.

    ``TOO_LONG`` means that the expected run time exceeds the client's timeout,
    ``TOO_LATE`` that a job which has waited can no longer finish before its deadline,
    ``SUPERSEDED`` that another submission of the same tasks has replaced it,
    ``INTERNAL_ERROR`` that a daemon has failed to handle it, ``IDENTIFIER_IN_USE`` that
    a different job with its identifier is under way, ``LEAVING`` that the daemon stops
    before it could be served, and ``NOT_HOLDER`` that the broker no longer holds the
    workers on which tasks may run.
    """

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
    INTERNAL_ERROR = "internal_error"
    IDENTIFIER_IN_USE = "identifier_in_use"
    LEAVING = "leaving"
    NOT_HOLDER = "not_holder"


class JobOutcome(typing.NamedTuple):
    """Outcome of a job for its client.

    Parameters
    ----------
    verdict : Verdict
        Result of the job.
    reason : Reason
        Cause of the verdict; ``NONE`` for a completed job.
    retry_after : datetime.timedelta
        Time after which a refused client may try again; zero if another try would be
        refused as well.
    """

    verdict: Verdict
    reason: Reason = Reason.NONE
    retry_after: datetime.timedelta = datetime.timedelta()
