"""Connection pools to platform services."""

import typing
import urllib.parse

import urllib3
import urllib3.connection
import urllib3.exceptions

from carawaysail_platform import tcp


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
        socket_options=tcp.socket_options(),
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
