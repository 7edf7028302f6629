"""What comes into the broker's decisions, and the actions that come out."""

import datetime
import typing

from carawaysail_types import jobs, runs


class Terms(typing.NamedTuple):
    """Figures of the deployment that decisions rest on.

    Parameters
    ----------
    lease : datetime.timedelta
        Longest lease that a worker grants.
    cross_rack_factor : float
        How many times longer a task takes away from its data's rack.
    """

    lease: datetime.timedelta = datetime.timedelta(seconds=1)
    cross_rack_factor: float = 1.5


class GatewayId(typing.NamedTuple):
    """The daemon whose client waits for a job.

    Parameters
    ----------
    vm, incarnation : str
        The daemon.
    """

    vm: str
    incarnation: str


class ShardId(typing.NamedTuple):
    """Names the tasks of a job that one daemon has handed to one broker.

    Parameters
    ----------
    job_id : str
        The job.
    part : int
        Number of the part at that daemon.
    waiter : GatewayId
        The daemon, whose client waits.
    """

    job_id: str
    shard: int
    gateway: GatewayId


class Submission(typing.NamedTuple):
    """Tasks of a job, handed to the broker of a data centre.

    Parameters
    ----------
    job : jobs.Job
        The job.
    queue : jobs.Queue
        Its queue, in the version that the client's daemon knows.
    place : str
        Data centre whose workers are to run it.
    arrived, deadline : datetime.datetime
        When the client sent it and until when it waits.
    part : int
        Number of this part of the job.
    tasks : tuple of int
        Numbers of the tasks of the only step; empty for all tasks of all steps.
    is_resumed : bool
        Whether another broker may have begun it.
    workers : tuple of str
        Workers that it was begun on, as far as the daemon was told.
    """

    job: jobs.Job
    queue: jobs.Queue
    data_centre: str
    arrived: datetime.datetime
    deadline: datetime.datetime
    shard: int = 0
    tasks: tuple[int, ...] = ()
    is_resumed: bool = False
    workers: tuple[str, ...] = ()


class StartRun(typing.NamedTuple):
    """Order a worker to start a run.

    Parameters
    ----------
    worker : runs.WorkerReport
        The worker.
    run : runs.Run
        The run.
    spec : str
        The job's specification.
    expires : datetime.timedelta
        End of the lease, on the worker's clock.
    token : int
        Fencing token.
    """

    worker: runs.WorkerReport
    run: runs.Run
    spec: str
    lease_end: datetime.timedelta
    token: int


class StopRun(typing.NamedTuple):
    """Order a worker to stop a run, or never to begin it."""

    worker: runs.WorkerReport
    run: runs.Run
    token: int


class PollWorker(typing.NamedTuple):
    """Renew a worker's lease and ask what runs there.

    Parameters
    ----------
    worker : runs.WorkerReport
        The worker.
    token : int
        Fencing token.
    acknowledged : int
        Ends up to this number may be forgotten.
    wait : datetime.timedelta
        How long the worker may wait for an end before it answers.
    expires : datetime.timedelta or None
        End of the lease, on the worker's clock; ``None`` leaves it as it is.
    """

    worker: runs.WorkerReport
    token: int
    acknowledged: int
    wait: datetime.timedelta
    lease_end: datetime.timedelta | None


class SendOutcome(typing.NamedTuple):
    """Tell a daemon what became of a part that its client waits for."""

    shard_id: ShardId
    outcome: jobs.JobOutcome


class ShardStarted(typing.NamedTuple):
    """Tell a daemon which workers its part has been ordered to, with this order."""

    shard_id: ShardId
    workers: tuple[str, ...]


class HolderFenced(typing.NamedTuple):
    """A worker follows a holder with a higher token."""

    data_centre: str
    worker_id: str


class LogDecision(typing.NamedTuple):
    """A decision, for the log.

    Parameters
    ----------
    name : str
        What was decided.
    subject : str
        Identifier of the job, worker or data centre.
    fields : dict
        The inputs and the outcome.
    """

    name: str
    subject: str
    fields: dict[str, typing.Any]


Action = (
    StartRun
    | StopRun
    | PollWorker
    | SendOutcome
    | ShardStarted
    | HolderFenced
    | LogDecision
)
