"""Connection pools to platform services, with TCP keep-alive probes.

An established connection can stop delivering packets for good while new connections
work. Keep-alive probes detect this within ``DEAD_CONNECTION_TIMEOUT_S``, also while a
slow task sends nothing, because the kernel of the other host answers them and not the
task.
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
DEAD_CONNECTION_TIMEOUT_S = KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_COUNT

_SocketOption = tuple[int, int, int]


def socket_options() -> list[_SocketOption]:
    """Return the socket options of every connection to a platform service."""
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_CONNECTION_TIMEOUT_S * 1000),
    ]


def open_pool(
    url: str, connect_s: float, read_s: float | None, connections: int
) -> urllib3.HTTPConnectionPool:
    """Create a connection pool for one service, without opening a connection.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    connect_s : float
        Timeout for opening a connection, in seconds.
    read_s : float or None
        Timeout for each read from the socket, in seconds; ``None`` for no timeout.
    connections : int
        Maximum number of idle connections that stay open.
    """
    parts = urllib.parse.urlsplit(url)
    pool_class: typing.Any = urllib3.HTTPConnectionPool
    if parts.scheme == "https":
        pool_class = urllib3.HTTPSConnectionPool
    return pool_class(
        parts.hostname,
        port=parts.port,
        maxsize=connections,
        block=False,
        retries=False,
        timeout=urllib3.Timeout(connect=connect_s, read=read_s),
        socket_options=socket_options(),
    )


def is_unsent(exc: urllib3.exceptions.HTTPError) -> bool:
    """Return whether a call failed before any byte was sent.

    That is certain only if no connection could be opened.
    """
    unsent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    return isinstance(exc, unsent)
