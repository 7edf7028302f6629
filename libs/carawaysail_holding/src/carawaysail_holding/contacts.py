"""Which daemons a daemon keeps connections to, and how often it sends on them.

In a small fleet all daemons are connected to each other. In a larger one a daemon is
connected to the holders, since those run its shards, and to others of its data centre
only while that has no holder, since the holder is chosen among them. So the cost of a
daemon that holds nothing follows the number of data centres, and that of a holder the
number of daemons.
"""

import datetime
import typing

from carawaysail_types import clock, daemons

FULL_MESH_PEERS = 12
"""Number of other daemons up to which all are connected."""


class Pace(typing.NamedTuple):
    """How often daemons show that they are alive.

    Parameters
    ----------
    heartbeat_interval : datetime.timedelta
        Time between two heartbeats.
    missed : int
        Intervals without a message after which a daemon is suspected, and without
        anything on a connection after which that is replaced.
    """

    heartbeat_interval: datetime.timedelta
    missed: int

    def suspect_after(self) -> datetime.timedelta:
        """Return the time without a message after which a daemon is suspected."""
        return self.missed * self.heartbeat_interval


SMALL_FLEET_PACE = Pace(clock.milliseconds(150), 4)
LARGE_FLEET_PACE = Pace(clock.milliseconds(320), 3)
"""Heartbeats are most of what an idle daemon of a large fleet does. A broker stops the
runs of a gateway that it suspects before clients send their jobs again; see
docs/design/resends.md."""

MIN_LOADS_INTERVAL = clock.milliseconds(25)
"""Least time between two load reports; half of the run time of a short task."""

LOADS_PROCESSOR_SHARE = 0.02
LOADS_LINK_SHARE = 0.1
"""Shares of the processor, at either end, and of the link for load reports."""

SEND_TIME = clock.milliseconds(0.03)
RECEIVE_TIME = clock.milliseconds(0.2)
"""Processor time to send a report to one daemon, and to receive one, on a core."""


class Limits(typing.NamedTuple):
    """Limits of a daemon's VM.

    Parameters
    ----------
    processor_milli : int
        Thousandths of a core.
    link_bytes : float
        Bytes a second that its network link carries.
    """

    processor_milli: int = 1000
    link_bytes: float = 125_000_000.0


class View(typing.NamedTuple):
    """What the choice of contacts depends on.

    Parameters
    ----------
    peers : tuple of daemons.Daemon
        All other daemons that are known.
    holders : tuple of daemons.Daemon
        Other daemons that hold the workers of a data centre.
    candidates : tuple of daemons.Daemon
        Other daemons that may become the holder of this daemon's data centre before it;
        empty while that has a holder.
    """

    peers: tuple[daemons.Daemon, ...]
    holders: tuple[daemons.Daemon, ...]
    candidates: tuple[daemons.Daemon, ...]


def is_full_mesh(peer_count: int) -> bool:
    """Return whether each of so many daemons is connected to this one."""
    return peer_count <= FULL_MESH_PEERS


def wanted(view: View) -> tuple[daemons.Daemon, ...]:
    """Return the daemons to keep a connection to, each once."""
    if is_full_mesh(len(view.peers)):
        return view.peers
    return tuple(dict.fromkeys((*view.holders, *view.candidates)))


def pace(peer_count: int) -> Pace:
    """Return the pace of a fleet of so many other daemons."""
    return SMALL_FLEET_PACE if is_full_mesh(peer_count) else LARGE_FLEET_PACE


class Listeners(typing.NamedTuple):
    """The daemons that get a holder's load reports.

    Parameters
    ----------
    total : int
        Number of daemons.
    holders : int
        Number of holders whose reports each of them gets.
    least_processor_milli : int
        Thousandths of a core that the smallest of them has; 0 if not known.
    """

    total: int
    holders: int = 1
    least_processor_milli: int = 0


def loads_interval(
    listeners: Listeners, report_bytes: int, limits: Limits
) -> datetime.timedelta:
    """Return the least time between two load reports to all listeners.

    Parameters
    ----------
    listeners : Listeners
        The daemons that get each report.
    report_bytes : int
        Size of a report.
    limits : Limits
        Limits of this daemon's VM.
    """
    sending_ms = listeners.total * _on_core(SEND_TIME, limits.processor_milli)
    receiving_ms = listeners.holders * _on_core(
        RECEIVE_TIME, listeners.least_processor_milli or limits.processor_milli
    )
    by_processor_ms = max(sending_ms, receiving_ms) / LOADS_PROCESSOR_SHARE
    link_bytes_ms = limits.link_bytes / 1000.0
    by_link_ms = listeners.total * report_bytes / (LOADS_LINK_SHARE * link_bytes_ms)
    least = clock.milliseconds(max(by_processor_ms, by_link_ms))
    return max(MIN_LOADS_INTERVAL, least)


def _on_core(duration: datetime.timedelta, processor_milli: int) -> float:
    """Return a processor time, given for a whole core, on a part of one, in ms."""
    return clock.to_milliseconds(duration) * 1000.0 / processor_milli
