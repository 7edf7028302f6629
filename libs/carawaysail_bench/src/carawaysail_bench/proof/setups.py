"""The decisions that a node is made of; broken variants replace one."""

import typing

from carawaysail_decisions import dispatcher, events, forwarding, ownership, versions


class Parts(typing.NamedTuple):
    """The decisions that a node is made of; broken variants replace one.

    Parameters
    ----------
    register, dispatcher, versions : type
        Classes of the decisions.
    relaying : module
        Steps of relaying.
    limits : events.Limits
        Limits of every submission.
    waits_until_idle : bool
        Whether a graceful end waits for what is under way.
    piece_bytes : int
        Size of a piece of a handover; small, so that faults strike between pieces.
    """

    register: typing.Any = ownership.OwnershipRegister
    dispatcher: typing.Any = dispatcher.Dispatcher
    versions: typing.Any = versions.SettingsVersions
    forwarding: typing.Any = forwarding
    limits: events.Limits = events.Limits()
    waits_until_idle: bool = True
    piece_bytes: int = 300
