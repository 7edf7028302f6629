"""Connections between daemons: frames with a length prefix over TCP, both ways.

A daemon opens a connection to each daemon that it has to reach, and that daemon answers
on the same connection. The first frame in each direction is the sender's introduction;
each later one is a batch of encoded messages. Frames carry no answer of their own: what
is lost with a connection is sent again by its owner.
"""

import asyncio
import collections.abc
import contextlib
import socket
import struct
import typing

from carawaysail_types import addresses, daemons

CONNECT_TIMEOUT_S = 0.5
RECONNECT_PAUSE_S = 0.1
ACCEPT_BACKLOG = 512
"""Connections in the accept queue; after a restart of the fleet all come at once."""

TCP_USER_TIMEOUT_MS = 1000
"""The kernel breaks the connection if sent bytes stay unacknowledged for this long."""

MAX_QUEUED_MESSAGES = 2_000
"""Messages queued while a connection is being opened; more are dropped."""

MAX_FRAME_BYTES = 16_000_000
MAX_UNSENT_BYTES = 1_000_000
"""Bytes that may wait for a peer that does not read; beyond, the connection is
closed, so that a slow peer takes no memory."""

_LENGTH = struct.Struct("!I")


class Receiver(typing.Protocol):
    """Receiver of what arrives on connections; called in the event loop."""

    def on_introduction(self, connection: "Connection", data: bytes) -> None:
        """Handle the first frame of a connection, which names the sender."""

    def on_frame(self, connection: "Connection", data: bytes) -> None:
        """Handle a later frame."""

    def on_closed(self, connection: "Connection") -> None:
        """Handle the end of a connection, whatever the cause."""


class Link(typing.NamedTuple):
    """What all connections of a daemon share.

    Parameters
    ----------
    introduction : bytes
        First frame of each connection.
    encode : callable
        Encodes a list of messages as the bytes of a frame.
    receiver : Receiver
        Handles what arrives.
    """

    introduction: bytes
    encode: collections.abc.Callable[[list[typing.Any]], bytes]
    receiver: Receiver


def frame(data: bytes) -> bytes:
    """Return the bytes of a frame on the wire: its length, then its content."""
    return _LENGTH.pack(len(data)) + data


class Shared:
    """A message to several daemons, which is encoded once.

    Parameters
    ----------
    message : object
        The message.

    Attributes
    ----------
    size_bytes : int
        Size of its frame; 0 until it has been encoded.
    """

    def __init__(self, message: typing.Any) -> None:
        self.message = message
        self.size_bytes = 0
        self._frame = b""

    def frame(
        self, encode: collections.abc.Callable[[list[typing.Any]], bytes]
    ) -> bytes:
        """Return the frame with the message."""
        if not self._frame:
            self._frame = frame(encode([self.message]))
            self.size_bytes = len(self._frame)
        return self._frame


class Connection(asyncio.Protocol):
    """One connection to another daemon, opened by either side.

    Parameters
    ----------
    link : Link
        What all connections of the daemon share.
    peer : daemons.Daemon, optional
        Daemon that the connection was opened to; ``None`` if it was accepted.

    Attributes
    ----------
    closed : asyncio.Future
        Done once the connection has ended.
    frames_received : int
        Number of frames that have arrived.
    """

    def __init__(self, link: Link, peer: daemons.Daemon | None = None) -> None:
        self.peer = peer
        self.frames_received = 0
        self._link = link
        self._loop = asyncio.get_running_loop()
        self.closed: asyncio.Future[None] = self._loop.create_future()
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._queue: list[typing.Any] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Introduce this daemon."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        # The peer may have closed the connection already.
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        self._transport.write(frame(self._link.introduction))

    def data_received(self, data: bytes) -> None:
        """Pass each complete frame to the receiver."""
        received = self._received
        received += data
        start, size = 0, len(received)
        while size - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(received, start)
            if length > MAX_FRAME_BYTES:
                self.close()
                break
            end = start + _LENGTH.size + length
            if end > size:
                break
            self._pass(bytes(received[start + _LENGTH.size : end]))
            start = end
        if start:
            del received[:start]

    def _pass(self, data: bytes) -> None:
        self.frames_received += 1
        if self.frames_received == 1:
            self._link.receiver.on_introduction(self, data)
        else:
            self._link.receiver.on_frame(self, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self._transport = None
        if not self.closed.done():
            self.closed.set_result(None)
        self._link.receiver.on_closed(self)

    def send(self, message: typing.Any) -> None:
        """Queue a message; all that are queued in one step share a frame."""
        if not self._queue:
            self._loop.call_soon(self._flush)
        self._queue.append(message)

    def _flush(self) -> None:
        batch, self._queue = self._queue, []
        if not batch or self._transport is None:
            return
        try:
            data = self._link.encode(batch)
        except Exception as exc:
            self._fail(exc)
            return
        self._write(frame(data))

    def send_shared(self, shared: Shared) -> None:
        """Send a message that several daemons get, after what is queued."""
        self._flush()
        try:
            data = shared.frame(self._link.encode)
        except Exception as exc:
            self._fail(exc)
            return
        self._write(data)

    def _write(self, data: bytes) -> None:
        transport = self._transport
        if transport is None:
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return
        transport.write(data)

    def close(self) -> None:
        """Close the connection at once; unsent bytes are dropped."""
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, exc: Exception) -> None:
        """Close the connection because of an exception, which ``closed`` raises."""
        if not self.closed.done():
            self.closed.set_exception(exc)
            # Accepted connections have no task that awaits it.
            self.closed.exception()
        self.close()


class Server:
    """Accepts the connections of other daemons.

    Parameters
    ----------
    link : Link
        What all connections of the daemon share.
    """

    def __init__(self, link: Link) -> None:
        self._link = link
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Start to listen on ``host:port``.

        Raises
        ------
        carawaysail_types.errors.BadInputError
            If the address is not valid.
        """
        host, port = addresses.split(address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self._link), host, port, backlog=ACCEPT_BACKLOG
        )

    async def stop(self) -> None:
        """Stop listening; open connections stay open."""
        if self._server is not None:
            self._server.close()


class PeerStream:
    """A task that keeps a connection to one peer and reconnects after each failure.

    Parameters
    ----------
    peer : daemons.Daemon
        Daemon that is connected to.
    link : Link
        What all connections of the daemon share.
    on_refused : callable
        Called with the peer each time its address refuses a connection, that is, no
        process listens there.
    on_failure : callable
        Called with the peer and an exception that is not one of a lost connection; once
        if exceptions of the type repeat before a connection ends without one.
    """

    def __init__(
        self,
        peer: daemons.Daemon,
        link: Link,
        on_refused: collections.abc.Callable[[daemons.Daemon], None],
        on_failure: collections.abc.Callable[[daemons.Daemon, Exception], None],
    ) -> None:
        self.peer = peer
        self._link = link
        self._on_refused = on_refused
        self._on_failure = on_failure
        self._last_failure = ""
        self._queue: list[typing.Any] = []
        self._connection: Connection | None = None
        self._heartbeats_unanswered = 0
        self._frames_seen = 0
        self._task = asyncio.create_task(self._run())

    def send(self, message: typing.Any) -> None:
        """Send a message, or queue it while the connection is being opened.

        It is lost if the connection breaks, or if the queue is full.
        """
        if self._connection is not None:
            self._connection.send(message)
        elif len(self._queue) < MAX_QUEUED_MESSAGES:
            self._queue.append(message)

    def send_shared(self, shared: Shared) -> None:
        """Send a message that several daemons get, if the connection is open."""
        if self._connection is not None:
            self._connection.send_shared(shared)

    def count_heartbeat(self) -> int:
        """Return the number of calls, this one included, since a frame arrived.

        0 without an open connection.
        """
        connection = self._connection
        if connection is None:
            return 0
        if connection.frames_received != self._frames_seen:
            self._frames_seen = connection.frames_received
            self._heartbeats_unanswered = 0
        self._heartbeats_unanswered += 1
        return self._heartbeats_unanswered

    def restart(self) -> None:
        """Replace an open connection by a new one; without one do nothing."""
        if self._connection is not None:
            self._connection.close()

    def close(self) -> None:
        """Cancel the task, which closes its connection."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            was_open = False
            try:
                connection = await self._connect()
                was_open = True
                await self._use(connection)
            except ConnectionRefusedError:
                self._on_refused(self.peer)
            except (OSError, TimeoutError):
                pass
            except Exception as exc:
                self._report_failure(exc)
            finally:
                self._queue.clear()
            # A lost connection shows by its next attempt whether the process has ended.
            if not was_open:
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _connect(self) -> Connection:
        host, port = addresses.split(self.peer.address)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: Connection(self._link, self.peer), host, port
            )
        return connection

    async def _use(self, connection: Connection) -> None:
        """Keep a connection until it ends, or this task is cancelled."""
        self._heartbeats_unanswered = self._frames_seen = 0
        for message in self._queue:
            connection.send(message)
        self._connection = connection
        opened_at = asyncio.get_running_loop().time()
        try:
            await connection.closed
            self._last_failure = ""
        finally:
            self._connection = None
            connection.close()
        # A process that accepts and closes at once must not be called in a tight loop.
        age_s = asyncio.get_running_loop().time() - opened_at
        if age_s < RECONNECT_PAUSE_S:
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def _report_failure(self, exc: Exception) -> None:
        failure = type(exc).__name__
        if failure != self._last_failure:
            self._last_failure = failure
            self._on_failure(self.peer, exc)
