"""Daemons of the fleet, and which of them holds the workers of a data centre."""

import typing


class Daemon(typing.NamedTuple):
    """One life of an entry daemon.

    Parameters
    ----------
    vm : str
        Name of its VM.
    data_centre : str
        Where the VM is.
    incarnation : str
        Drawn at the start of the process; never reused.
    address : str
        ``host:port`` where it takes messages of other daemons.
    """

    vm: str
    data_centre: str
    incarnation: str
    address: str


class Holder(typing.NamedTuple):
    """The daemon that alone gives orders to the workers of a data centre.

    Parameters
    ----------
    data_centre : str
        Whose workers are held.
    vm, incarnation : str
        The holding daemon.
    token : int
        Fencing token: the revision of the write that began the tenure.
    """

    data_centre: str
    vm: str
    incarnation: str
    token: int
