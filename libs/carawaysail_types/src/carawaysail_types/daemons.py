"""Daemons, and the record of which one holds the workers of a data centre.

The holder is the only daemon that sends orders to a data centre's workers. It is
elected by a conditional write to the platform's store.
"""

import typing


class Daemon(typing.NamedTuple):
    """One incarnation of a daemon: one process, from its start to its end.

    Parameters
    ----------
    vm : str
        Name of the daemon's VM.
    data_centre : str
        Data centre of the VM.
    incarnation : str
        Random identifier drawn at the start of the process; never reused.
    address : str
        ``host:port`` that receives messages of other daemons.
    processor_milli : int
        Thousandths of a core that its VM has; 0 if unknown.
    """

    vm: str
    data_centre: str
    incarnation: str
    address: str
    processor_milli: int = 0


class Holder(typing.NamedTuple):
    """Record of the only daemon that sends orders to the workers of a data centre.

    Parameters
    ----------
    data_centre : str
        Data centre whose workers are held.
    vm, incarnation : str
        VM and incarnation of the holding daemon.
    token : int
        Fencing token: the store's revision of the write that made the daemon the
        holder. Workers refuse orders with a lower token than the highest they know.
    """

    data_centre: str
    vm: str
    incarnation: str
    token: int
