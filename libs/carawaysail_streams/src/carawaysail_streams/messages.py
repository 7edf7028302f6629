"""Typed messages between daemons that hold workers, and their encoding.

The registry ``kinds`` maps the name of a kind on the wire to its type. Fields are
encoded by position as MessagePack arrays. Clocks of VMs differ, so messages carry ages
and remaining times instead of instants.
"""

import typing

import msgspec

from carawaysail_holding import broker_messages, loads
from carawaysail_streams import errors
from carawaysail_types import daemons, jobs, registry

kinds: registry.Registry[type] = registry.Registry("fleet message kinds")


@kinds.register("heartbeat")
class Heartbeat(typing.NamedTuple):
    """State of the sending daemon, sent on all its connections several times a second.

    Parameters
    ----------
    is_leaving : bool
        Whether the daemon is shutting down.
    holders : tuple of daemons.Holder
        Newest holder of each data centre that the daemon knows; empty in most
        heartbeats between which it has not changed.
    clock_ms : float
        Reading of the sender's clock, which ``Submit`` returns; ms since its start.
    """

    is_leaving: bool
    holders: tuple[daemons.Holder, ...]
    clock_ms: float = 0.0


@kinds.register("loads")
class Loads(typing.NamedTuple):
    """Load of the workers that the sending daemon holds.

    Parameters
    ----------
    loads : tuple of (str, tuple of loads.ServiceLoad)
        Load by data centre and service.
    delay_ms : int
        By how much the daemon is late with its work, in milliseconds.
    clock_ms : float
        Reading of the sender's clock, which ``Submit`` returns; ms since its start.
    """

    loads: tuple[tuple[str, tuple[loads.ServiceLoad, ...]], ...]
    delay_ms: int = 0
    clock_ms: float = 0.0


@kinds.register("submit")
class Submit(typing.NamedTuple):
    """Submission of a shard of a job to a broker.

    Parameters
    ----------
    job : jobs.Job
        The job.
    queue : jobs.Queue
        Queue of the job.
    data_centre : str
        Data centre whose workers are to run the shard.
    age_ms, remaining_ms : float
        Time since the job's arrival from the client, and until the client stops
        waiting, in ms.
    shard : int
        Number of the shard, unique at the sender.
    tasks : tuple of int
        Numbers of the shard's tasks; empty for all tasks of the job.
    is_resumed : bool
        Whether an earlier broker may have started tasks of the shard.
    workers : tuple of str
        Names of the workers that tasks of the shard were started on, as far as the
        sender knows; empty unless ``is_resumed``.
    sequence : int
        Number of statements of the sender before this message.
    token : int
        Fencing token of the receiver as holder of the data centre.
    echo_ms : float or None
        Newest reading of the receiver's clock that the sender has got; ``None`` if it
        has got none. The message was sent after it, however long it takes to arrive.
    known_age_ms : float
        Time since the last instant at which the job's client certainly waited, in ms.
    """

    job: jobs.Job
    queue: jobs.Queue
    data_centre: str
    age_ms: float
    remaining_ms: float
    shard: int
    tasks: tuple[int, ...]
    is_resumed: bool
    workers: tuple[str, ...] = ()
    sequence: int = 0
    token: int = 0
    echo_ms: float | None = None
    known_age_ms: float = 0.0


@kinds.register("waiting")
class WaitingShards(typing.NamedTuple):
    """Statement of a gateway to a broker: the shards there that it still waits for.

    Repeated with the heartbeats and on each new connection, so that a lost ``Withdraw``
    is made up for.

    Parameters
    ----------
    statement : broker_messages.Statement
        The statement.
    known_age_ms : float
        Time since the instant up to which the sender knows of all disconnects of its
        clients, in ms.
    """

    statement: broker_messages.Statement
    known_age_ms: float = 0.0


@kinds.register("begun")
class ShardStarted(typing.NamedTuple):
    """Notice of a broker to a gateway: workers were just ordered to run its shard.

    Parameters
    ----------
    job_id : str
        The job.
    shard : int
        Number of the shard at the receiver.
    workers : tuple of str
        Names of these workers; they are in addition to those of earlier notices.
    """

    job_id: str
    shard: int
    workers: tuple[str, ...]


@kinds.register("again")
class AskAgain(typing.NamedTuple):
    """Notice of a broker to a gateway: a submission was too old to be acted on.

    The gateway submits all its open shards there again with its next heartbeat.
    """


@kinds.register("held")
class HeldWorkers(typing.NamedTuple):
    """Notice of a holder to all daemons: which workers may get its orders.

    Sent when that changes and on each new connection. The next holder of the data
    centre expects these workers even if the store lacks them.

    Parameters
    ----------
    worker_set : broker_messages.WorkerSet
        The workers.
    """

    worker_set: broker_messages.WorkerSet


@kinds.register("withdraw")
class Withdraw(typing.NamedTuple):
    """Notice of a gateway to a broker: no client waits for a shard any more.

    Parameters
    ----------
    job_id : str
        The job.
    shard : int
        Number of the shard at the sender.
    """

    job_id: str
    shard: int


@kinds.register("outcome")
class Outcome(typing.NamedTuple):
    """Outcome of a shard, from its broker to the gateway whose client waits.

    Parameters
    ----------
    job_id : str
        The job.
    shard : int
        Number of the shard at the receiver.
    outcome : jobs.JobOutcome
        The outcome.
    token : int
        Token of the submission that a ``NOT_HOLDER`` answers; 0 for other outcomes.
    """

    job_id: str
    shard: int
    outcome: jobs.JobOutcome
    token: int = 0


Message = (
    Heartbeat
    | Loads
    | Submit
    | WaitingShards
    | ShardStarted
    | AskAgain
    | HeldWorkers
    | Withdraw
    | Outcome
)

_AGE_ROW = "known_age"
"""Name of a row with the ``known_age_ms`` of the message in the next row. Daemons of an
earlier release skip rows with unknown names, but not unknown fields."""

_AGED_KINDS = (Submit, WaitingShards)
"""Kinds whose last field is ``known_age_ms``."""

_names_by_type = {kind: name for name, kind in kinds.items()}
_decoders: dict[str, msgspec.msgpack.Decoder[typing.Any]] = {
    name: msgspec.msgpack.Decoder(kind) for name, kind in kinds.items()
}
_encoder = msgspec.msgpack.Encoder()


_Row = tuple[str, msgspec.Raw]
"""Name of the kind of a message, and its encoding."""

_frame_decoder = msgspec.msgpack.Decoder(tuple[_Row, ...])
_age_decoder = msgspec.msgpack.Decoder(float)
_introduction_decoder = msgspec.msgpack.Decoder(daemons.Daemon)

_DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeDecodeError)


def encode_introduction(sender: daemons.Daemon) -> bytes:
    """Return the first frame of a connection."""
    return _encoder.encode(sender)


def decode_introduction(data: bytes) -> daemons.Daemon:
    """Return the sender that the first frame of a connection names.

    Raises
    ------
    errors.BadFrameError
        If the bytes do not name a daemon.
    """
    try:
        return _introduction_decoder.decode(data)
    except _DECODE_ERRORS as exc:
        raise errors.BadFrameError(len(data), str(exc)) from exc


def encode(messages: typing.Iterable[Message]) -> bytes:
    """Return a frame with messages, in order."""
    return _encoder.encode([row for message in messages for row in _rows(message)])


def _rows(message: Message) -> list[_Row]:
    """Return the rows of a message."""
    name = _names_by_type[type(message)]
    if not isinstance(message, _AGED_KINDS):
        return [(name, msgspec.Raw(_encoder.encode(message)))]
    *others, known_age_ms = message
    return [
        (_AGE_ROW, msgspec.Raw(_encoder.encode(known_age_ms))),
        (name, msgspec.Raw(_encoder.encode(others))),
    ]


def decode(data: bytes) -> list[Message]:
    """Return the messages of a frame.

    Messages of an unknown kind, which a later release may send, are skipped.

    Raises
    ------
    errors.BadFrameError
        If the bytes are not a valid frame.
    """
    try:
        messages: list[Message] = []
        known_age_ms = 0.0
        for name, raw in _frame_decoder.decode(data):
            if name == _AGE_ROW:
                known_age_ms = _age_decoder.decode(raw)
                continue
            decoder = _decoders.get(name)
            if decoder is None:
                continue
            message = decoder.decode(raw)
            if isinstance(message, _AGED_KINDS):
                message = message._replace(known_age_ms=known_age_ms)
            messages.append(message)
            known_age_ms = 0.0
    except _DECODE_ERRORS as exc:
        raise errors.BadFrameError(len(data), str(exc)) from exc
    return messages


def submit(
    submission: broker_messages.Submission,
    age_ms: float,
    remaining_ms: float,
    echo_ms: float | None,
    known_age_ms: float,
) -> Submit:
    """Return the message that sends a submission.

    Parameters
    ----------
    submission : broker_messages.Submission
        The submission.
    age_ms, remaining_ms : float
        Its age, and the time until its client stops waiting, in ms.
    echo_ms : float or None
        Newest reading of the receiver's clock, in ms.
    known_age_ms : float
        Time since the last instant at which its client certainly waited, in ms.
    """
    return Submit(
        submission.job,
        submission.queue,
        submission.data_centre,
        age_ms,
        remaining_ms,
        submission.shard,
        submission.tasks,
        submission.is_resumed,
        submission.workers,
        submission.sequence,
        submission.token,
        echo_ms,
        known_age_ms,
    )
