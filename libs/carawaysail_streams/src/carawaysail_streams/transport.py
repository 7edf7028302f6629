"""Streams of frames between daemons over grpclib: one each way for each pair.

A stream carries frames of messages in order, without an answer to each. It is left
when it breaks, when the peer does not take what is sent, or when its owner says that
the peer does not hear it; the owner sends again what was open.
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

from carawaysail_types import daemons

PATH = "/carawaysail.Fleet/Feed"
CONNECT_S = 0.5
SEND_S = 0.5
RETRY_S = 0.1
UNACKNOWLEDGED_MS = 1000
"""Sent bytes that are not acknowledged for so long break the connection."""

MAX_WAITING = 2_000
"""Messages that wait for one peer; a peer that takes none is away."""


class _Bytes(grpclib.encoding.base.CodecBase):
    """Frames are bytes already."""

    __content_subtype__ = "carawaysail"

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        return typing.cast(bytes, message)

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        return data


class Receiver(typing.Protocol):
    """Takes what comes in."""

    def on_open(self, connection: int) -> None:
        """Take note of a new stream from some peer."""

    def on_frame(self, connection: int, data: bytes) -> None:
        """Take a frame."""


class _Service:
    def __init__(self, receiver: Receiver) -> None:
        self._receiver = receiver
        self._count = 0

    async def feed(self, stream: typing.Any) -> None:
        self._count += 1
        number = self._count
        self._receiver.on_open(number)
        async for data in stream:
            self._receiver.on_frame(number, data)
        await stream.send_message(b"")

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        return {
            PATH: grpclib.const.Handler(
                self.feed, grpclib.const.Cardinality.STREAM_UNARY, bytes, bytes
            )
        }


class Server:
    """Listens for streams of other daemons.

    Parameters
    ----------
    receiver : Receiver
        Takes the frames.
    """

    def __init__(self, receiver: Receiver) -> None:
        service = typing.cast(typing.Any, _Service(receiver))
        self._server = grpclib.server.Server([service], codec=_Bytes())

    async def start(self, address: str) -> None:
        """Listen on ``host:port``."""
        host, _, port = address.rpartition(":")
        await self._server.start(host, int(port))

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()


class PeerStream:
    """The task that owns the stream to one peer.

    Parameters
    ----------
    peer : daemons.Daemon
        The peer.
    encode : callable
        Turns messages into the bytes of a frame.
    opened : callable
        Called when a stream is open.
    refused : callable
        Called when nothing listens at the peer's address.
    """

    def __init__(
        self,
        peer: daemons.Daemon,
        encode: collections.abc.Callable[[list[typing.Any]], bytes],
        on_open: collections.abc.Callable[[daemons.Daemon], None],
        on_refused: collections.abc.Callable[[daemons.Daemon], None],
    ) -> None:
        self.peer = peer
        self._encode = encode
        self._opened = on_open
        self._refused = on_refused
        self._waiting: list[typing.Any] = []
        self._has_messages = asyncio.Event()
        self._task = asyncio.create_task(self._run())
        self._is_open = False
        self._restart_asked = False

    def send(self, message: typing.Any) -> None:
        """Queue a message; what a peer does not take in time is dropped."""
        if len(self._waiting) < MAX_WAITING:
            self._waiting.append(message)
            self._has_messages.set()

    def restart(self) -> None:
        """Leave the stream, because the peer does not hear it."""
        if self._is_open:
            self._restart_asked = True
            self._has_messages.set()

    def close(self) -> None:
        """End the task and its connection."""
        self._task.cancel()

    async def _run(self) -> None:
        host, _, port = self.peer.address.rpartition(":")
        while True:
            channel = grpclib.client.Channel(host, int(port), codec=_Bytes())
            try:
                await self._feed(channel)
            except ConnectionRefusedError:
                self._refused(self.peer)
            except (
                OSError, TimeoutError, grpclib.exceptions.GRPCError,
                grpclib.exceptions.StreamTerminatedError, _RestartError,
            ):  # fmt: skip
                pass
            finally:
                self._is_open = False
                self._waiting.clear()
                channel.close()
            await asyncio.sleep(RETRY_S)

    async def _feed(self, channel: grpclib.client.Channel) -> None:
        protocol = await asyncio.wait_for(channel.__connect__(), CONNECT_S)
        _watch_silence(protocol)
        method = grpclib.client.StreamUnaryMethod(channel, PATH, bytes, bytes)
        async with method.open() as stream:
            await asyncio.wait_for(stream.send_request(), SEND_S)
            self._is_open, self._restart_asked = True, False
            self._opened(self.peer)
            while True:
                await self._has_messages.wait()
                self._has_messages.clear()
                if self._restart_asked:
                    raise _RestartError
                taken, self._waiting = self._waiting, []
                if taken:
                    data = self._encode(taken)
                    await asyncio.wait_for(stream.send_message(data), SEND_S)


class _RestartError(Exception):
    """The stream is to be opened anew."""


def _watch_silence(protocol: typing.Any) -> None:
    """Let the kernel break a connection whose peer acknowledges nothing."""
    transport = protocol.connection._transport
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
