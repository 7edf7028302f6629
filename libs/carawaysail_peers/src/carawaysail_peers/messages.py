"""The typed messages between entry daemons, registered by kind."""

import typing

from carawaysail_decisions import handover, membership, versions
from carawaysail_types import outcomes, registry, work

kinds: registry.Registry[type] = registry.Registry("message kinds")


@kinds.register("gossip")
class Gossip(typing.NamedTuple):
    """Records of daemons; answered by a gossip with the peer's.

    Parameters
    ----------
    gossip : membership.Gossip
        The records.
    """

    gossip: membership.Gossip


@kinds.register("forward")
class Forward(typing.NamedTuple):
    """A submission for its owner; answered by ``Placed``.

    Parameters
    ----------
    submission : work.Submission
        The submission; its deadline counts by the sender's clock only.
    remaining_ms : float
        Time left until the deadline, in milliseconds.
    wait_ms : float
        How long to wait for the outcome, in milliseconds.
    """

    submission: work.Submission
    remaining_ms: float
    wait_ms: float


@kinds.register("lookup")
class Lookup(typing.NamedTuple):
    """A question after a submission; answered by ``Placed``.

    Parameters
    ----------
    submission_id : str
        Text of its identifier.
    wait_ms : float
        How long to wait for the outcome, in milliseconds.
    """

    submission_id: str
    wait_ms: float


@kinds.register("placed")
class Placed(typing.NamedTuple):
    """What the owner says of a submission.

    Parameters
    ----------
    state : str
        ``ended``, ``under_way``, ``conflict``, ``never_came`` or ``elsewhere``.
    outcome : outcomes.FlatOutcome or None
        Its outcome, where it has ended.
    """

    state: str
    outcome: outcomes.FlatOutcome | None = None


@kinds.register("cancel")
class Cancel(typing.NamedTuple):
    """Callers give up submissions; answered by ``Done``.

    Parameters
    ----------
    submission_ids : tuple of str
        Texts of their identifiers.
    """

    submission_ids: tuple[str, ...]


@kinds.register("push")
class Push(typing.NamedTuple):
    """Sections of the settings; answered by ``Done``.

    Parameters
    ----------
    sections : tuple of versions.Section
        The sections.
    """

    sections: tuple[versions.Section, ...]


@kinds.register("pull")
class Pull(typing.NamedTuple):
    """A request for newer sections; answered by ``Push``.

    Parameters
    ----------
    revisions : dict of str to int
        The sender's revision of each section.
    """

    revisions: dict[str, int]


@kinds.register("hand_over")
class HandOver(typing.NamedTuple):
    """A piece of the memory of a daemon that ends; answered by ``Done``.

    Parameters
    ----------
    piece : handover.Chunk
        The piece.
    """

    piece: handover.Chunk


@kinds.register("done")
class Done(typing.NamedTuple):
    """The message was taken.

    Parameters
    ----------
    ok : bool
        Whether what it asks was done.
    detail : str
        Why not.
    """

    ok: bool = True
    detail: str = ""


Message = Gossip | Forward | Lookup | Placed | Cancel | Push | Pull | HandOver | Done


def kind_of(message: Message) -> str:
    """Return the name under which a message's type is registered."""
    for name, kind in kinds.items():
        if type(message) is kind:
            return name
    return kinds.kind
