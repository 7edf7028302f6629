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

SMALL_FLEET_HEARTBEAT_INTERVAL = clock.milliseconds(150)
HEARTBEAT_INTERVAL = clock.milliseconds(240)
"""A broker stops the runs of a gateway whose heartbeats it has missed before clients
send their jobs again; see docs/design/resends.md."""

HEARTBEATS_MISSED = 4
"""Intervals without a message after which a daemon is suspected."""

UNANSWERED_HEARTBEATS = 4
"""Heartbeats sent on a connection without anything received on it after which it is
replaced."""

MIN_LOADS_INTERVAL = clock.milliseconds(25)
"""Least time between two load reports; half of the run time of a short task."""

LOADS_PROCESSOR_SHARE = 0.02
LOADS_LINK_SHARE = 0.1
"""Shares of the processor and of the link that load reports may take."""

SEND_TIME = clock.milliseconds(0.03)
"""Processor time to send a frame to one daemon, on a whole core."""


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


def heartbeat_interval(peer_count: int) -> datetime.timedelta:
    """Return the interval of heartbeats in a fleet of so many other daemons."""
    if is_full_mesh(peer_count):
        return SMALL_FLEET_HEARTBEAT_INTERVAL
    return HEARTBEAT_INTERVAL


def suspect_after(peer_count: int) -> datetime.timedelta:
    """Return the time without a message after which a daemon is suspected."""
    return HEARTBEATS_MISSED * heartbeat_interval(peer_count)


def loads_interval(
    listeners: int, report_bytes: int, limits: Limits
) -> datetime.timedelta:
    """Return the least time between two load reports to all listeners.

    Parameters
    ----------
    listeners : int
        Number of daemons that get each report.
    report_bytes : int
        Size of a report.
    limits : Limits
        Limits of this daemon's VM.
    """
    processor_ms = clock.to_milliseconds(SEND_TIME) * 1000.0 / limits.processor_milli
    by_processor_ms = listeners * processor_ms / LOADS_PROCESSOR_SHARE
    link_bytes_ms = limits.link_bytes / 1000.0
    by_link_ms = listeners * report_bytes / (LOADS_LINK_SHARE * link_bytes_ms)
    least = clock.milliseconds(max(by_processor_ms, by_link_ms))
    return max(MIN_LOADS_INTERVAL, least)
