"""Connections to outside services, with keep-alive probes for silent ones.

A connection can go silent for good while new ones work. The kernel's keep-alive
probes find that within ``SILENT_S`` even while a slow task keeps the connection quiet,
because they need an answer from the other end's kernel, not from the task.
"""

import socket
import typing
import urllib.parse

import urllib3
import urllib3.connection
import urllib3.exceptions

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
SILENT_S = KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_COUNT

_SocketOption = tuple[int, int, int]


def socket_options() -> list[_SocketOption]:
    """Return the options set on every connection to an outside service."""
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_S * 1000),
    ]


def open_pool(
    url: str, connect_s: float, read_s: float | None, connections: int
) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections to one service; none is opened yet.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    connect_s : float
        Time to open a connection, in seconds.
    read_s : float or None
        Time to wait for bytes, in seconds; ``None`` for no bound.
    connections : int
        Idle connections kept at most.
    """
    parts = urllib.parse.urlsplit(url)
    kind: typing.Any = urllib3.HTTPConnectionPool
    if parts.scheme == "https":
        kind = urllib3.HTTPSConnectionPool
    return kind(
        parts.hostname,
        port=parts.port,
        maxsize=connections,
        block=False,
        retries=False,
        timeout=urllib3.Timeout(connect=connect_s, read=read_s),
        socket_options=socket_options(),
    )


def is_unsent(exc: urllib3.exceptions.HTTPError) -> bool:
    """Tell whether a call failed before any of it was sent: no connection was had."""
    unsent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    return isinstance(exc, unsent)
