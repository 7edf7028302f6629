"""The typed messages between daemons that hold workers, registered by kind.

Clocks of VMs differ, so a message gives the age of things rather than an instant.
"""

import typing

import msgspec

from carawaysail_holding import broker_messages, loads
from carawaysail_streams import errors
from carawaysail_types import daemons, jobs, registry

kinds: registry.Registry[type] = registry.Registry("fleet message kinds")


@kinds.register("heartbeat")
class Heartbeat(typing.NamedTuple):
    """What a daemon says of itself, several times a second.

    Parameters
    ----------
    is_leaving : bool
        Whether it is about to end.
    tenures : tuple of daemons.Holder
        All tenures that it knows.
    loads : tuple of (str, tuple of loads.ServiceLoad)
        How busy the workers are that it holds, by data centre.
    last_received_age_ms : float
        Age of the receiver's last message to the sender; negative for none.
    version : int
        Version of its configuration; 0 for none.
    """

    is_leaving: bool
    holders: tuple[daemons.Holder, ...]
    loads: tuple[tuple[str, tuple[loads.ServiceLoad, ...]], ...]
    last_received_age_ms: float
    version: int


@kinds.register("submit")
class Submit(typing.NamedTuple):
    """Hand a part of a job to a broker.

    Parameters
    ----------
    job : jobs.Job
        The job.
    queue : jobs.Queue
        Its queue.
    place : str
        Data centre whose workers are to run it.
    age_ms, remaining_ms : float
        Time since the client sent it, and until the client stops waiting.
    part : int
        Number of this part of the job.
    tasks : tuple of int
        Numbers of its tasks; empty for all.
    is_resumed : bool
        Whether another broker may have begun it.
    workers : tuple of str
        Workers that it was begun on, as far as the sender was told.
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


@kinds.register("begun")
class ShardStarted(typing.NamedTuple):
    """Tell a daemon which workers its part has just been ordered to."""

    job_id: str
    shard: int
    workers: tuple[str, ...]


@kinds.register("withdraw")
class Withdraw(typing.NamedTuple):
    """Tell a broker that nobody waits for a part here any more."""

    job_id: str
    shard: int


@kinds.register("outcome")
class Outcome(typing.NamedTuple):
    """Tell a daemon what became of a part that its client waits for."""

    job_id: str
    shard: int
    outcome: jobs.JobOutcome


Message = Heartbeat | Submit | ShardStarted | Withdraw | Outcome

_names = {kind: name for name, kind in kinds.items()}
_decoders: dict[str, msgspec.msgpack.Decoder[typing.Any]] = {
    name: msgspec.msgpack.Decoder(kind) for name, kind in kinds.items()
}
_encoder = msgspec.msgpack.Encoder()


class _Frame(typing.NamedTuple):
    sender: daemons.Daemon
    messages: tuple[tuple[str, msgspec.Raw], ...]


_frames = msgspec.msgpack.Decoder(_Frame)


def encode(sender: daemons.Daemon, messages: typing.Iterable[Message]) -> bytes:
    """Return the bytes of some messages from one daemon."""
    rows = tuple(
        (_names[type(message)], msgspec.Raw(_encoder.encode(message)))
        for message in messages
    )
    return _encoder.encode(_Frame(sender, rows))


def decode(data: bytes) -> tuple[daemons.Daemon, list[Message]]:
    """Return the sender and the messages that bytes hold.

    Messages of a kind that is not known, as a later release may send, are left out.

    Raises
    ------
    errors.BadFrameError
        If the bytes are not such messages.
    """
    try:
        frame = _frames.decode(data)
        found = []
        for name, raw in frame.messages:
            decoder = _decoders.get(name)
            if decoder is not None:
                found.append(decoder.decode(raw))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        raise errors.BadFrameError(len(data), str(exc)) from exc
    return frame.sender, found


def submit(
    submission: broker_messages.Submission, age_ms: float, remaining_ms: float
) -> Submit:
    """Return the message that hands on a submission."""
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
    )
