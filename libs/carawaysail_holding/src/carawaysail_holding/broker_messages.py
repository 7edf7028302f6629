"""Inputs of the broker's decisions, and the actions that the broker returns."""

import datetime
import typing

from carawaysail_types import jobs, runs


class Terms(typing.NamedTuple):
    """Parameters of the deployment that the broker's decisions depend on.

    Parameters
    ----------
    lease : datetime.timedelta
        Longest lease that a worker grants to its holder.
    cross_rack_factor : float
        Factor on the run time of a task that is not in the rack of its data.
    retransmit : datetime.timedelta
        Time after which a client whose attempt has ended without an answer, or as
        unknown, sends its job again; by then no run of the attempt may be left.
    stop : datetime.timedelta
        Longest time that a worker takes to stop a run.
    drain : datetime.timedelta
        Time for which a worker may be used after the store has its report that it
        drains.
    contact : datetime.timedelta
        Time after a disruption of the store in which a daemon does not count as being
        in contact with it, and has to learn what it has missed.
    """

    lease: datetime.timedelta = datetime.timedelta(seconds=1)
    cross_rack_factor: float = 1.5
    retransmit: datetime.timedelta = datetime.timedelta(milliseconds=1300)
    stop: datetime.timedelta = datetime.timedelta(milliseconds=50)
    drain: datetime.timedelta = datetime.timedelta(seconds=2)
    contact: datetime.timedelta = datetime.timedelta(seconds=3)


class GatewayId(typing.NamedTuple):
    """The gateway whose client waits for a job.

    Parameters
    ----------
    vm, incarnation : str
        VM and incarnation of its daemon.
    """

    vm: str
    incarnation: str


class ShardId(typing.NamedTuple):
    """Identifier of a shard: the tasks of a job that a gateway assigned to a broker.

    Parameters
    ----------
    job_id : str
        Identifier of the job.
    shard : int
        Number of the shard; unique at its gateway.
    gateway : GatewayId
        The gateway that submitted the shard.
    """

    job_id: str
    shard: int
    gateway: GatewayId


class Submission(typing.NamedTuple):
    """A shard of a job, submitted to the broker of a data centre.

    Parameters
    ----------
    job : jobs.Job
        The job.
    queue : jobs.Queue
        Its queue, in the version of the configuration that the gateway has.
    data_centre : str
        Data centre whose workers are to run it.
    arrived, deadline : datetime.datetime
        When the client sent the job, and when the client stops waiting.
    shard : int
        Number of the shard; unique at its gateway.
    tasks : tuple of int
        Numbers of the tasks of the only step; empty for all tasks of all steps.
    is_resumed : bool
        Whether an earlier broker may have started some of its tasks.
    workers : tuple of str
        Names of the workers that tasks were started on, as far as the gateway has
        received them; empty unless ``is_resumed``.
    sequence : int
        Number of statements that the gateway had made when it sent the submission.
    token : int
        Fencing token under which the receiver is to run it, as the gateway knows.
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
    sequence: int = 0
    token: int = 0


class Statement(typing.NamedTuple):
    """Which of its shards at a broker a gateway still waits for.

    Parameters
    ----------
    sequence : int
        Number of the statement at its gateway, from 1. It covers the submissions with
        a lower ``sequence``; those are withdrawn unless they are listed.
    shards : frozenset of int
        Numbers of the shards that the gateway waits for.
    tokens : frozenset of int
        Tokens under which the receiver is a holder, as the gateway knows. All its
        shards there have been submitted under these.
    """

    sequence: int
    shards: frozenset[int]
    tokens: frozenset[int] = frozenset()


class WorkerSet(typing.NamedTuple):
    """Workers of a data centre that its holder may have given orders to.

    Parameters
    ----------
    data_centre : str
        The data centre.
    token : int
        Fencing token of the holder.
    sequence : int
        Number that grows with each set of the holder.
    workers : frozenset of str
        Names of the workers, with those of earlier holders that may be alive.
    is_whole : bool
        Whether the holder knows which workers the earlier holders have used.
    """

    data_centre: str
    token: int
    sequence: int
    workers: frozenset[str]
    is_whole: bool


class StartRun(typing.NamedTuple):
    """Order a worker to start a run.

    Parameters
    ----------
    worker : runs.WorkerReport
        The worker.
    run : runs.Run
        The run.
    spec : str
        Specification of the job, passed to the task.
    lease_end : datetime.timedelta
        End of the lease, on the worker's monotonic clock.
    token : int
        Fencing token of the holder.
    """

    worker: runs.WorkerReport
    run: runs.Run
    spec: str
    lease_end: datetime.timedelta
    token: int


class StopRun(typing.NamedTuple):
    """Order a worker to stop a run, or never to start it."""

    worker: runs.WorkerReport
    run: runs.Run
    token: int


class PollWorker(typing.NamedTuple):
    """Renew a worker's lease and request its status.

    Parameters
    ----------
    worker : runs.WorkerReport
        The worker.
    token : int
        Fencing token of the holder.
    acknowledged_sequence : int
        Sequence number; the worker may drop finished runs up to this one.
    wait : datetime.timedelta
        How long the worker may wait for a run to finish before it answers.
    lease_end : datetime.timedelta or None
        End of the lease, on the worker's monotonic clock; ``None`` does not extend it.
    """

    worker: runs.WorkerReport
    token: int
    acknowledged_sequence: int
    wait: datetime.timedelta
    lease_end: datetime.timedelta | None


class SendOutcome(typing.NamedTuple):
    """Send the outcome of a shard to its gateway.

    Parameters
    ----------
    shard_id : ShardId
        The shard.
    outcome : jobs.JobOutcome
        Its outcome.
    token : int
        Token of the submission that a ``NOT_HOLDER`` answers; 0 for other outcomes.
    """

    shard_id: ShardId
    outcome: jobs.JobOutcome
    token: int = 0


class SendShardStarted(typing.NamedTuple):
    """Send a gateway the names of the workers that runs were just ordered on."""

    shard_id: ShardId
    workers: tuple[str, ...]


class AskAgain(typing.NamedTuple):
    """Ask a gateway for its shards: one was refused, as it may have been withdrawn."""

    gateway: GatewayId


class TellWorkers(typing.NamedTuple):
    """Tell all other daemons which workers may get orders of this holder."""

    worker_set: WorkerSet


class HolderFenced(typing.NamedTuple):
    """A worker refused this holder because another one has a higher token."""

    data_centre: str
    worker_id: str


class LogDecision(typing.NamedTuple):
    """An entry of the decision log.

    Parameters
    ----------
    name : str
        Name of the decision.
    subject : str
        Identifier of the job, worker or data centre that it concerns.
    fields : dict
        Inputs and result of the decision, by log key.
    """

    name: str
    subject: str
    fields: dict[str, typing.Any]


Action = (
    StartRun
    | StopRun
    | PollWorker
    | SendOutcome
    | SendShardStarted
    | AskAgain
    | TellWorkers
    | HolderFenced
    | LogDecision
)
