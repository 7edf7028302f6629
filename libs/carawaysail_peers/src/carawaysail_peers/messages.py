"""Message types exchanged between entry daemons, registered by kind.

Messages are encoded by position: the order, number and types of the fields are part of
the protocol.
"""

import typing

from carawaysail_decisions import handover, membership, versions
from carawaysail_types import outcomes, registry, work

kinds: registry.Registry[type] = registry.Registry("message kinds")


@kinds.register("gossip")
class Gossip(typing.NamedTuple):
    """Membership records of the sender; the answer carries those of the peer.

    Parameters
    ----------
    gossip : membership.Gossip
        The membership records.
    """

    gossip: membership.Gossip


@kinds.register("forward")
class Forward(typing.NamedTuple):
    """A submission forwarded to its owner; answered by ``Placed``.

    Parameters
    ----------
    submission : work.Submission
        The submission. Its ``deadline`` is valid on the sender's clock only; the
        receiver derives its own from ``remaining_ms``.
    remaining_ms : float
        Time left until the deadline, in milliseconds.
    wait_ms : float
        How long the owner may wait for the outcome before it answers, in
        milliseconds.
    """

    submission: work.Submission
    remaining_ms: float
    wait_ms: float


@kinds.register("lookup")
class Lookup(typing.NamedTuple):
    """A query for the status of a submission; answered by ``Placed``.

    Parameters
    ----------
    submission_id : str
        Text form of its identifier.
    wait_ms : float
        How long the owner may wait for the outcome before it answers, in
        milliseconds; 0 to answer with the present status.
    """

    submission_id: str
    wait_ms: float


@kinds.register("placed")
class Placed(typing.NamedTuple):
    """Status of a submission, as reported by its owner.

    Parameters
    ----------
    state : str
        A value of ``submission_status.State``: ``ended``, ``under_way``,
        ``conflict``, ``never_came`` or ``elsewhere``.
    outcome : outcomes.FlatOutcome or None
        Its outcome; ``None`` unless the state is ``ended``.
    """

    state: str
    outcome: outcomes.FlatOutcome | None = None


@kinds.register("cancel")
class Cancel(typing.NamedTuple):
    """Cancellation of submissions; answered by ``Done``.

    Parameters
    ----------
    submission_ids : tuple of str
        Text form of their identifiers.
    """

    submission_ids: tuple[str, ...]


@kinds.register("push")
class Push(typing.NamedTuple):
    """Sections of the settings sent without a request; answered by ``Done``.

    Parameters
    ----------
    sections : tuple of versions.Section
        The sections, each with its revision.
    """

    sections: tuple[versions.Section, ...]


@kinds.register("pull")
class Pull(typing.NamedTuple):
    """A request for newer sections of the settings; answered by ``Push``.

    Parameters
    ----------
    revisions : dict of str to int
        Revision of each section at the sender; sections newer than these are
        returned.
    """

    revisions: dict[str, int]


@kinds.register("hand_over")
class HandOver(typing.NamedTuple):
    """A chunk of a table snapshot, sent by a daemon that is shutting down.

    Answered by ``Done``.

    Parameters
    ----------
    chunk : handover.Chunk
        The chunk.
    """

    chunk: handover.Chunk


@kinds.register("done")
class Done(typing.NamedTuple):
    """Acknowledgement of a message.

    Parameters
    ----------
    ok : bool
        Whether the request was carried out.
    detail : str
        Why it was not; empty if it was.
    """

    ok: bool = True
    detail: str = ""


Message = Gossip | Forward | Lookup | Placed | Cancel | Push | Pull | HandOver | Done


def kind_of(message: Message) -> str:
    """Return the registered name of a message's type."""
    for name, message_type in kinds.items():
        if type(message) is message_type:
            return name
    return kinds.kind
