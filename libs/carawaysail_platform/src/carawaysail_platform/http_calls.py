"""HTTP calls on the event loop, over kept connections to one address.

A call is sent on an idle connection, or on a new one; its result comes by a callback.
Nothing blocks, and a call costs no thread: a daemon with many workers waits on one
connection to each.
"""

import asyncio
import collections.abc
import contextlib
import socket
import typing

import httptools

from carawaysail_platform import errors, tcp

CONNECT_TIMEOUT_S = 0.25
"""Connect timeout in seconds; a round trip takes a few milliseconds."""

MAX_BODY_BYTES = 16_000_000


class Request(typing.NamedTuple):
    """An HTTP request with a JSON body.

    Parameters
    ----------
    method, path : str
        Method, and path with the query.
    body : bytes
        Encoded body.
    timeout_s : float
        Longest wait for the whole response, in seconds; ``CONNECT_TIMEOUT_S`` more for
        a new connection.
    headers : tuple of (str, str)
        Further headers.
    """

    method: str
    path: str
    body: bytes
    timeout_s: float
    headers: tuple[tuple[str, str], ...] = ()


class Reply(typing.NamedTuple):
    """An HTTP response: its status code and its body."""

    status: int
    body: bytes


OnResult = collections.abc.Callable[[Reply | errors.NoReplyError], None]


def encode(address: str, request: Request) -> bytes:
    """Return the bytes of a request to an address on the wire."""
    lines = [
        f"{request.method} {request.path} HTTP/1.1",
        f"Host: {address}",
        "Content-Type: application/json",
        f"Content-Length: {len(request.body)}",
        *(f"{name}: {value}" for name, value in request.headers),
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + request.body


class Client:
    """Calls to one address; used in the event loop's thread only.

    Parameters
    ----------
    address : str
        ``host:port``; the host is an IP address.
    host, port : str and int
        Its parts, without the brackets of an IPv6 address.
    max_idle : int
        Number of idle connections that are kept.
    """

    def __init__(self, address: str, host: str, port: int, max_idle: int) -> None:
        self.address = address
        self._host, self._port = host, port
        self._max_idle = max_idle
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._is_closed = False

    def call(self, request: Request, on_result: OnResult) -> None:
        """Send a request; the result is passed to a callback, always later.

        Parameters
        ----------
        request : Request
            The request.
        on_result : callable
            Called once, with the reply or with why there is none.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.send(request, encode(self.address, request), on_result):
                return
        task = asyncio.get_running_loop().create_task(self._connect(request, on_result))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, request: Request, on_result: OnResult) -> None:
        try:
            data = encode(self.address, request)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: _Connection(self), self._host, self._port
                )
        except asyncio.CancelledError:
            on_result(errors.NoReplyError("closed", True))
            raise
        except Exception as exc:
            on_result(errors.NoReplyError(repr(exc), True))
            return
        if not connection.send(request, data, on_result):
            on_result(errors.NoReplyError("closed by the peer", True))

    def add(self, connection: "_Connection") -> None:
        """Record a connection that was opened."""
        self._open.add(connection)

    def release(self, connection: "_Connection") -> None:
        """Keep a connection whose call has ended for the next one."""
        if self._is_closed or len(self._idle) >= self._max_idle:
            connection.close()
        else:
            self._idle.append(connection)

    def remove(self, connection: "_Connection") -> None:
        """Forget a connection that has ended."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close all connections; calls under way get no reply."""
        self._is_closed = True
        for task in list(self._connecting):
            task.cancel()
        for connection in list(self._open):
            connection.close()


class _Connection(asyncio.Protocol):
    """One connection, with at most one call under way."""

    def __init__(self, client: Client) -> None:
        self._client = client
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._on_result: OnResult | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._client.add(self)
        sock: socket.socket = transport.get_extra_info("socket")
        # The peer may have closed the connection already.
        with contextlib.suppress(OSError):
            for level, option, value in tcp.socket_options():
                sock.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Pass bytes of the response to the parser."""
        if self._on_result is None:
            # Nothing was asked.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._finish(errors.NoReplyError(repr(exc), False))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call under way."""
        self._transport = None
        self._client.remove(self)
        self._finish(errors.NoReplyError(f"connection lost: {exc!r}", False))

    # Events of the parser

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            self._finish(errors.NoReplyError("the body is too large", False))
            self.close()

    def on_message_complete(self) -> None:
        """Pass on the reply."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        reply = Reply(status, b"".join(self._body))
        keeps_open = self._parser.should_keep_alive()
        self._finish(reply)
        if keeps_open:
            self._client.release(self)
        else:
            self.close()

    # Calls

    def send(self, request: Request, data: bytes, on_result: OnResult) -> bool:
        """Send a request; return whether the connection was open."""
        if self._transport is None or self._transport.is_closing():
            return False
        self._on_result = on_result
        self._body, self._body_bytes = [], 0
        self._timer = self._loop.call_later(request.timeout_s, self._expire)
        self._transport.write(data)
        return True

    def _expire(self) -> None:
        self._finish(errors.NoReplyError("timed out", False))
        self.close()

    def _finish(self, result: Reply | errors.NoReplyError) -> None:
        on_result, self._on_result = self._on_result, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if on_result is not None:
            on_result(result)

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
