"""An HTTP server on the event loop, with one handler for all requests.

The handler gets each request with an ``Exchange``, and responds at once or later. It
learns of the client's disconnect, so that a request that nobody waits for can be
withdrawn.
"""

import asyncio
import collections
import collections.abc
import datetime
import select
import typing
import urllib.parse

import httptools

from carawaysail_fleet import ports
from carawaysail_runtime import logs, turns
from carawaysail_types import addresses, clock, jobs

MAX_CONNECTIONS = 2_000
"""Open connections; further ones are closed at once."""

ACCEPT_BACKLOG = 512
"""Connections in the accept queue."""

MAX_PIPELINED_REQUESTS = 16
"""Requests that a client may send before its present one is answered."""

SWEEP_INTERVAL_S = 1.0
"""Interval of the checks for connections that have been idle for too long."""

MIN_DELAY = clock.milliseconds(50)
"""A client whose request may have waited for longer is checked for its presence."""

LONG_DELAY = clock.milliseconds(250)
"""A request that may have waited for longer when it was read is kept for
``SETTLING_S``: the end of its connection may follow."""

SETTLING_S = 0.05

_PHRASES = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    408: "Request Timeout", 410: "Gone", 413: "Content Too Large",
    429: "Too Many Requests", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Exchange:
    """A request whose response is still to come.

    Attributes
    ----------
    arrived : datetime.datetime
        Earliest instant at which the request can have arrived.
    on_disconnect : callable or None
        Called once if the client disconnects before the response; ``None`` for no call.
    """

    def __init__(self, connection: "_Connection", arrived: datetime.datetime) -> None:
        self.arrived = arrived
        self.on_disconnect: collections.abc.Callable[[], None] | None = None
        self._connection: _Connection | None = connection

    def respond(self, response: ports.Response) -> None:
        """Send the response; without effect after the first one or a disconnect."""
        connection, self._connection = self._connection, None
        self.on_disconnect = None
        if connection is not None:
            connection.respond(response)

    def disconnect(self) -> None:
        """Report that the client has disconnected."""
        self._connection = None
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()


Handler = collections.abc.Callable[[ports.Request, Exchange], None]


class Server:
    """An HTTP server on one address.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    handler : callable
        Called in the event loop with each request and its exchange; it must not block.
        After an exception the client gets status 500.
    observer : turns.Observer
        Observer of the event loop.

    Attributes
    ----------
    limits : jobs.Limits
        Limits on requests and connections.
    is_closing : bool
        Whether connections are closed after their next response.
    """

    def __init__(
        self, address: str, handler: Handler, observer: turns.Observer
    ) -> None:
        self.handler = handler
        self.observer = observer
        self.limits = jobs.Limits()
        self.is_closing = False
        self._address = address
        self._connections: set[_Connection] = set()
        self._server: asyncio.Server | None = None
        self._sweep: asyncio.TimerHandle | None = None
        self._drained: asyncio.Future[None] | None = None

    def apply_limits(self, limits: jobs.Limits) -> None:
        """Apply limits to all further requests."""
        self.limits = limits

    async def start(self) -> None:
        """Start to listen.

        Raises
        ------
        carawaysail_types.errors.BadInputError
            If the address is not valid.
        OSError
            If the address is in use.
        """
        host, port = addresses.split(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=ACCEPT_BACKLOG
        )
        self._schedule_sweep()

    def close_connections(self) -> None:
        """Close each connection after its next response, for a graceful shutdown."""
        self.is_closing = True

    async def drain(self) -> None:
        """Stop listening, and wait until every request that has begun is answered."""
        self.is_closing = True
        if self._server is not None:
            self._server.close()
        self._drained = asyncio.get_running_loop().create_future()
        for connection in list(self._connections):
            if not connection.is_busy():
                connection.close()
        self._check_drained()
        await self._drained

    def _check_drained(self) -> None:
        if self._drained is None or self._drained.done():
            return
        if not any(x.is_busy() for x in self._connections):
            self._drained.set_result(None)

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._sweep is not None:
            self._sweep.cancel()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def add(self, connection: "_Connection") -> bool:
        """Record a new connection; return whether there is room for it."""
        if len(self._connections) >= MAX_CONNECTIONS:
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: "_Connection") -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)
        self._check_drained()

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._close_idle)

    def _close_idle(self) -> None:
        """Close connections that wait for too long for a request or its rest."""
        now = asyncio.get_running_loop().time()
        idle_s = self.limits.idle_timeout.total_seconds()
        request_s = self.limits.header_timeout.total_seconds()
        for connection in list(self._connections):
            connection.close_if_idle(now, idle_s, request_s)
        self._schedule_sweep()


class _Received(typing.NamedTuple):
    """A complete request, and how to answer it.

    Parameters
    ----------
    request : ports.Request
        The request.
    keeps_open : bool
        Whether the connection stays open after the response.
    arrived : datetime.datetime
        Earliest instant at which it can have arrived.
    settles_at_s : float
        Time of the event loop, in seconds, before which it is not handled.
    """

    request: ports.Request
    keeps_open: bool
    arrived: datetime.datetime
    settles_at_s: float


class _RequestError(Exception):
    """A request cannot be accepted; raised to the parser, which ends with it."""


class _Connection(asyncio.Protocol):
    """One client's connection; its requests are handled one after the other."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._ready: collections.deque[_Received] = collections.deque()
        self._current: _Received | None = None
        self._exchange: Exchange | None = None
        # Status and text of the answer to what cannot be read.
        self._error: tuple[int, str] | None = None
        self._waits_since_s = self._loop.time()
        self._arrivals = turns.Arrivals(server.observer)
        self._observer = server.observer
        self.on_message_begin()
        self._has_begun = False

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if not self._server.add(self):
            self.close()

    def data_received(self, data: bytes) -> None:
        """Parse bytes; handle the first complete request."""
        if self._error is not None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is answered as it is; what follows it is in another protocol.
            self._error = (400, "Upgrade is not supported.")
        except httptools.HttpParserError as exc:
            self._error = self._error or (400, str(exc))
        self._advance()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that nobody waits for its response."""
        self._transport = None
        self._server.remove(self)
        self._ready.clear()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.disconnect()

    # Events of the parser

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._has_begun = True
        self._arrived = self._arrivals.earliest()
        if self._exchange is None:
            self._waits_since_s = self._loop.time()
        self._url = b""
        self._headers: dict[str, str] = {}
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Collect a part of the URL."""
        self._count_header(len(url))
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header."""
        self._count_header(len(name) + len(value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits.max_header_bytes:
            self._fail(431, "The header is too large.")

    def on_headers_complete(self) -> None:
        """Let a client that waits for permission send its body."""
        if self._headers.get("expect", "").lower() == "100-continue":
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._server.limits.max_body_bytes:
            self._fail(413, "The body is too large.")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the request."""
        self._has_begun = False
        if len(self._ready) >= MAX_PIPELINED_REQUESTS:
            self._fail(429, "Too many requests wait on this connection.")
        try:
            path = httptools.parse_url(self._url).path or b"/"
        except httptools.HttpParserInvalidURLError as exc:
            self._fail(400, str(exc))
        request = ports.Request(
            self._parser.get_method().decode("latin-1"),
            self._headers.get("host", "").partition(":")[0],
            urllib.parse.unquote(path.decode("latin-1"), "latin-1"),
            self._headers,
            b"".join(self._body),
        )
        delay = self._observer.clock.now() - self._arrived
        settling_s = SETTLING_S if delay > LONG_DELAY else 0.0
        self._ready.append(
            _Received(
                request, self._parser.should_keep_alive(), self._arrived,
                self._loop.time() + settling_s,
            )
        )  # fmt: skip

    def _fail(self, status: int, text: str) -> typing.NoReturn:
        self._error = (status, text)
        raise _RequestError(text)

    # Requests

    def _advance(self) -> None:
        """Handle the next request, unless one is under way."""
        if self._exchange is not None or self._transport is None:
            return
        if self._ready:
            wait_s = self._ready[0].settles_at_s - self._loop.time()
            if wait_s > 0.0:
                self._loop.call_later(wait_s, self._advance)
            else:
                self._handle(self._ready.popleft())
        elif self._error is not None:
            self._refuse(*self._error)

    def _handle(self, received: _Received) -> None:
        delay = self._observer.clock.now() - received.arrived
        if delay > MIN_DELAY and self._has_client_left():
            logs.log_event(
                "front", "Client has left.", path=received.request.path[:200],
                waited_ms=round(clock.to_milliseconds(delay)),
            )  # fmt: skip
            self.close()
            return
        self._current = received
        exchange = self._exchange = Exchange(self, received.arrived)
        try:
            self._server.handler(received.request, exchange)
        except Exception as exc:
            logs.log_error(
                "front", "Request failed.", exc, path=received.request.path[:200],
                where=logs.location(exc),
            )  # fmt: skip
            exchange.respond(ports.Response(500))

    def _has_client_left(self) -> bool:
        """Return whether the connection has ended, though bytes before may be unread.

        The event loop learns of that only after it has read them.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        poller = select.poll()
        # Without events that are asked for, errors and resets are reported as well.
        poller.register(self._transport.get_extra_info("socket"), select.POLLRDHUP)
        return bool(poller.poll(0))

    def _refuse(self, status: int, text: str) -> None:
        """Answer what cannot be read, and close the connection."""
        self._current = None
        self.respond(ports.Response(status, text.encode(), content_type="text/plain"))

    def respond(self, response: ports.Response) -> None:
        """Send a response; then handle the next request, or close the connection."""
        current, self._current, self._exchange = self._current, None, None
        keeps_open = (
            current is not None and current.keeps_open and not self._server.is_closing
        )
        phrase = _PHRASES.get(response.status, "Other")
        lines = [
            f"HTTP/1.1 {response.status} {phrase}",
            f"Content-Type: {response.content_type}",
            f"Content-Length: {len(response.body)}",
            *(f"{name}: {value}" for name, value in response.headers),
        ]
        if not keeps_open:
            lines.append("Connection: close")
        head = "\r\n".join(lines).encode("latin-1", "replace") + b"\r\n\r\n"
        has_body = current is None or current.request.method != "HEAD"
        self._write(head + response.body if has_body else head)
        self._waits_since_s = self._loop.time()
        if not keeps_open:
            if self._transport is not None:
                self._transport.close()
        elif self._ready or self._error is not None:
            self._loop.call_soon(self._advance)

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def is_busy(self) -> bool:
        """Return whether a request has begun that is not answered yet."""
        return self._has_begun or self._exchange is not None or bool(self._ready)

    def close_if_idle(self, now_s: float, idle_s: float, request_s: float) -> None:
        """Close the connection if the client has sent nothing, or only a part.

        Parameters
        ----------
        now_s : float
            Present time of the event loop, in seconds.
        idle_s, request_s : float
            Longest time without a request, and from its first byte to its last, in
            seconds.
        """
        if self._exchange is not None:
            return
        waited_s = now_s - self._waits_since_s
        if self._has_begun and waited_s > request_s:
            self._refuse(408, "The request took too long to arrive.")
        elif not self._has_begun and waited_s > idle_s:
            self.close()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
