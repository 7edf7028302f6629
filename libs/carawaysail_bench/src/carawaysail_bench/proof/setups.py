"""The decision code that a node runs; a test replaces some by broken variants."""

import typing

from carawaysail_decisions import dispatcher, events, forwarding, ownership, versions


class NodeSetup(typing.NamedTuple):
    """The decision code that a node runs, and how the node uses it.

    Tests replace a field by a broken variant to show that the rules detect it.

    Parameters
    ----------
    register, dispatcher, versions : type
        Classes of the ownership register, the dispatcher and the settings versions.
    forwarding : module
        Functions that decide the next step of a forwarded submission.
    service_settings : events.ServiceDispatchSettings
        Settings of the service that every submission is for.
    waits_until_idle : bool
        Whether a graceful end waits until no submission is unfinished.
    chunk_bytes : int
        Largest chunk of a handover, in bytes; small, so that a handover has several
        chunks and faults occur between them.
    """

    register: typing.Any = ownership.OwnershipRegister
    dispatcher: typing.Any = dispatcher.Dispatcher
    versions: typing.Any = versions.SettingsVersions
    forwarding: typing.Any = forwarding
    service_settings: events.ServiceDispatchSettings = events.ServiceDispatchSettings()
    waits_until_idle: bool = True
    chunk_bytes: int = 300
