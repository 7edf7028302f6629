"""Streams of frames between daemons over gRPC, one in each direction for each pair.

A frame is a batch of encoded messages. A stream carries frames in order, without an
answer to each. It is replaced by a new one if its connection breaks, if a send times
out, or if its owner requests that because the peer receives nothing. Messages may be
lost then; the owner sends again what is still open.
"""

import asyncio
import collections.abc
import socket
import typing

import grpclib.client
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import grpclib.server

from carawaysail_types import addresses, daemons

PATH = "/carawaysail.Fleet/Feed"
CONNECT_TIMEOUT_S = 0.5
SEND_TIMEOUT_S = 0.5
RECONNECT_PAUSE_S = 0.1
TCP_USER_TIMEOUT_MS = 1000
"""The kernel breaks the connection if sent bytes stay unacknowledged for this long."""

MAX_QUEUED_MESSAGES = 2_000
"""Messages queued for one peer; more are dropped, because a peer that far behind counts
as unreachable."""


class _BytesCodec(grpclib.encoding.base.CodecBase):
    """Passes frames through unchanged, because they are bytes already."""

    __content_subtype__ = "carawaysail"

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        return typing.cast(bytes, message)

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        return data


class Receiver(typing.Protocol):
    """Receiver of streams and frames; called in the event loop."""

    def on_open(self, connection: int) -> None:
        """Handle a new stream; ``connection`` is its number, unique in the process."""

    def on_frame(self, connection: int, data: bytes) -> None:
        """Handle a frame that has arrived on a stream."""


class _Service:
    """The gRPC service; its only method receives a stream of frames."""

    def __init__(self, receiver: Receiver) -> None:
        self._receiver = receiver
        self._stream_count = 0

    async def _receive(self, stream: typing.Any) -> None:
        self._stream_count += 1
        number = self._stream_count
        self._receiver.on_open(number)
        async for data in stream:
            self._receiver.on_frame(number, data)
        await stream.send_message(b"")

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        return {
            PATH: grpclib.const.Handler(
                self._receive, grpclib.const.Cardinality.STREAM_UNARY, bytes, bytes
            )
        }


class Server:
    """A server for the streams of other daemons.

    Parameters
    ----------
    receiver : Receiver
        Handles the streams and frames that arrive.
    """

    def __init__(self, receiver: Receiver) -> None:
        service = typing.cast(typing.Any, _Service(receiver))
        self._server = grpclib.server.Server([service], codec=_BytesCodec())

    async def start(self, address: str) -> None:
        """Start to listen on ``host:port``.

        Raises
        ------
        carawaysail_types.errors.BadInputError
            If the address is not valid.
        """
        host, port = addresses.split(address)
        await self._server.start(host, port)

    async def stop(self) -> None:
        """Stop listening, and wait until the server is closed."""
        self._server.close()
        await self._server.wait_closed()


class PeerStream:
    """A task that sends messages to one peer and reconnects after each failure.

    Parameters
    ----------
    peer : daemons.Daemon
        Daemon that the messages are sent to.
    encode : callable
        Encodes a list of messages as the bytes of a frame.
    on_open : callable
        Called with the peer each time a stream has been opened.
    on_refused : callable
        Called with the peer each time its address refuses a connection, that is, no
        process listens there.
    on_failure : callable
        Called with the peer and an exception that is not one of a lost connection; once
        if exceptions of the type repeat before a frame is sent.
    """

    def __init__(
        self,
        peer: daemons.Daemon,
        encode: collections.abc.Callable[[list[typing.Any]], bytes],
        on_open: collections.abc.Callable[[daemons.Daemon], None],
        on_refused: collections.abc.Callable[[daemons.Daemon], None],
        on_failure: collections.abc.Callable[[daemons.Daemon, Exception], None],
    ) -> None:
        self.peer = peer
        self._encode = encode
        self._on_open = on_open
        self._on_refused = on_refused
        self._on_failure = on_failure
        self._last_failure = ""
        self._queue: list[typing.Any] = []
        self._has_messages = asyncio.Event()
        self._task = asyncio.create_task(self._run())
        self._is_open = False
        self._restart_requested = False

    def send(self, message: typing.Any) -> None:
        """Queue a message for sending.

        It is dropped if the queue is full, or if the stream breaks before it is sent.
        """
        if len(self._queue) < MAX_QUEUED_MESSAGES:
            self._queue.append(message)
            self._has_messages.set()

    def restart(self) -> None:
        """Replace an open stream by a new one; without an open stream do nothing."""
        if self._is_open:
            self._restart_requested = True
            self._has_messages.set()

    def close(self) -> None:
        """Cancel the task, which closes its connection."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._connect()
            except ConnectionRefusedError:
                self._on_refused(self.peer)
            except (
                OSError, TimeoutError, grpclib.exceptions.GRPCError,
                grpclib.exceptions.StreamTerminatedError, _RestartError,
            ):  # fmt: skip
                pass
            except Exception as exc:
                self._report_failure(exc)
            finally:
                self._is_open = False
                self._queue.clear()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def _report_failure(self, exc: Exception) -> None:
        failure = type(exc).__name__
        if failure != self._last_failure:
            self._last_failure = failure
            self._on_failure(self.peer, exc)

    async def _connect(self) -> None:
        host, port = addresses.split(self.peer.address)
        channel = grpclib.client.Channel(host, port, codec=_BytesCodec())
        try:
            await self._send_frames(channel)
        finally:
            channel.close()

    async def _send_frames(self, channel: grpclib.client.Channel) -> None:
        protocol = await asyncio.wait_for(channel.__connect__(), CONNECT_TIMEOUT_S)
        _set_user_timeout(protocol)
        method = grpclib.client.StreamUnaryMethod(channel, PATH, bytes, bytes)
        async with method.open() as stream:
            await asyncio.wait_for(stream.send_request(), SEND_TIMEOUT_S)
            self._is_open, self._restart_requested = True, False
            self._on_open(self.peer)
            while True:
                await self._has_messages.wait()
                self._has_messages.clear()
                if self._restart_requested:
                    raise _RestartError
                batch, self._queue = self._queue, []
                if batch:
                    data = self._encode(batch)
                    await asyncio.wait_for(stream.send_message(data), SEND_TIMEOUT_S)
                    self._last_failure = ""


class _RestartError(Exception):
    """A restart of the stream was requested."""


def _set_user_timeout(protocol: typing.Any) -> None:
    """Let the kernel break the connection if the peer stops acknowledging bytes.

    Raises
    ------
    ConnectionResetError
        If the peer has closed the connection already.
    """
    transport = getattr(protocol.connection, "_transport", None)
    if transport is None:
        raise ConnectionResetError
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
