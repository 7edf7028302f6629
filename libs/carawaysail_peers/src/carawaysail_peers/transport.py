"""The exchange of messages between entry daemons over grpclib.

One channel a peer is kept open. A channel that goes silent is found by HTTP/2 pings
and left; the next message opens a new one. A peer is known by its address in the
settings: no discovery or balancing of the library is used.
"""

import asyncio
import collections.abc
import typing

import grpclib
import grpclib.client
import grpclib.config
import grpclib.exceptions
import grpclib.server

from carawaysail_peers import codecs, errors, messages
from carawaysail_peers.proto import peers_grpc, peers_pb2
from carawaysail_types import errors as type_errors

CONNECT_S = 1.0
PING_AFTER_S = 10.0
PING_TIMEOUT_S = 2.0


class Sender(typing.NamedTuple):
    """Who sent a message.

    Parameters
    ----------
    vm, data_centre : str
        Name and place of the sending daemon.
    trace : str
        W3C ``traceparent``, or empty.
    """

    vm: str
    data_centre: str
    trace: str = ""


Handler = collections.abc.Callable[
    [Sender, typing.Any], collections.abc.Awaitable[messages.Message]
]


def _configuration() -> grpclib.config.Configuration:
    return grpclib.config.Configuration(
        _keepalive_time=PING_AFTER_S,
        _keepalive_timeout=PING_TIMEOUT_S,
        _keepalive_permit_without_calls=False,
    )


class Counts(typing.TypedDict):
    """Bytes and messages since the start."""

    sent_messages: int
    sent_bytes: int
    received_messages: int
    received_bytes: int


class Service(peers_grpc.PeersBase):
    """Answers the messages of other daemons.

    Parameters
    ----------
    me : Sender
        This daemon.
    handler : Handler
        What answers a decoded message.
    """

    def __init__(self, me: Sender, handler: Handler) -> None:
        self._me = me
        self._handler = handler
        self.counts = Counts(
            sent_messages=0, sent_bytes=0, received_messages=0, received_bytes=0
        )

    async def Exchange(  # noqa: N802
        self,
        stream: "grpclib.server.Stream[peers_pb2.Envelope, peers_pb2.Envelope]",
    ) -> None:
        """Answer one message."""
        envelope = await stream.recv_message()
        if envelope is None:
            return
        self.counts["received_messages"] += 1
        self.counts["received_bytes"] += len(envelope.payload)
        try:
            message = codecs.decode(envelope.kind, envelope.codec, envelope.payload)
        except type_errors.CarawaysailError as exc:
            status = grpclib.Status.INVALID_ARGUMENT
            raise grpclib.exceptions.GRPCError(status, str(exc)) from exc
        sender = Sender(envelope.sender, envelope.data_centre, envelope.traceparent)
        answer = await self._handler(sender, message)
        wrapped = wrap(self._me, answer, envelope.codec)
        self.counts["sent_messages"] += 1
        self.counts["sent_bytes"] += len(wrapped.payload)
        await stream.send_message(wrapped)


def wrap(me: Sender, message: messages.Message, codec: str) -> peers_pb2.Envelope:
    """Return the envelope that carries a message."""
    return peers_pb2.Envelope(
        kind=messages.kind_of(message),
        codec=codec,
        payload=codecs.codecs.get(codec).encode(message),
        traceparent=me.trace,
        sender=me.vm,
        data_centre=me.data_centre,
    )


class Channels:
    """Open channels to peers; owned by one task.

    Parameters
    ----------
    me : Sender
        This daemon.
    codec : str
        Name of the codec to send with.
    """

    def __init__(self, me: Sender, codec: str = "msgpack") -> None:
        self._me = me
        self._codec = codec
        self._open: dict[str, grpclib.client.Channel] = {}
        self.counts = Counts(
            sent_messages=0, sent_bytes=0, received_messages=0, received_bytes=0
        )

    async def exchange(
        self, address: str, message: messages.Message, timeout_s: float, trace: str = ""
    ) -> typing.Any:
        """Send a message and return the answer.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        message : messages.Message
            The message.
        timeout_s : float
            Time to wait for the answer, in seconds.
        trace : str
            W3C ``traceparent``, or empty.

        Raises
        ------
        errors.PeerUnreachableError
            If there is no answer; its fields tell what is known.
        errors.BadMessageError
            If the answer cannot be understood.
        """
        channel = await self._channel(address)
        envelope = wrap(self._me._replace(trace=trace), message, self._codec)
        self.counts["sent_messages"] += 1
        self.counts["sent_bytes"] += len(envelope.payload)
        stub = peers_grpc.PeersStub(channel)
        try:
            answer = await stub.Exchange(envelope, timeout=timeout_s)
        except grpclib.exceptions.GRPCError as exc:
            raise errors.PeerUnreachableError(address, True, False, str(exc)) from exc
        except (OSError, grpclib.exceptions.StreamTerminatedError) as exc:
            self._leave(address)
            raise errors.PeerUnreachableError(address, True, False, repr(exc)) from exc
        except TimeoutError as exc:
            self._leave(address)
            raise errors.PeerUnreachableError(address, True, False, "timeout") from exc
        self.counts["received_messages"] += 1
        self.counts["received_bytes"] += len(answer.payload)
        return codecs.decode(answer.kind, answer.codec, answer.payload)

    def close(self) -> None:
        """Close every channel."""
        for address in list(self._open):
            self._leave(address)

    async def _channel(self, address: str) -> grpclib.client.Channel:
        channel = self._open.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = grpclib.client.Channel(host, int(port), config=_configuration())
            self._open[address] = channel
        try:
            await asyncio.wait_for(channel.__connect__(), CONNECT_S)
        except TimeoutError as exc:
            self._leave(address)
            raise errors.PeerUnreachableError(address, False, False, "timeout") from exc
        except OSError as exc:
            self._leave(address)
            refused = isinstance(exc, ConnectionRefusedError)
            raise errors.PeerUnreachableError(
                address, False, refused, str(exc)
            ) from exc
        return channel

    def _leave(self, address: str) -> None:
        channel = self._open.pop(address, None)
        if channel is not None:
            channel.close()


class Server:
    """Listens for messages of other daemons.

    Parameters
    ----------
    service : Service
        What answers them.
    """

    def __init__(self, service: Service) -> None:
        self._server = grpclib.server.Server([service], config=_configuration())

    async def start(self, address: str) -> None:
        """Listen on ``host:port``."""
        host, _, port = address.rpartition(":")
        await self._server.start(host, int(port))

    async def stop(self) -> None:
        """Stop listening and wait until what is under way has ended."""
        self._server.close()
        await self._server.wait_closed()
