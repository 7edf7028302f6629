"""Message exchange between entry daemons over gRPC, by grpclib.

One channel per peer stays open. HTTP/2 keepalive pings detect a dead connection; its
channel is closed and the next message opens a new one. A peer is addressed by the
``host:port`` in its settings; the library's discovery and load balancing are not used.
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

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_PERIOD_S = 10.0
KEEPALIVE_TIMEOUT_S = 2.0


class Sender(typing.NamedTuple):
    """Sender of a message.

    Parameters
    ----------
    vm : str
        Name of the sending daemon's VM.
    data_centre : str
        Its data centre.
    trace : str
        W3C ``traceparent`` of the message; empty for none.
    """

    vm: str
    data_centre: str
    trace: str = ""


Handler = collections.abc.Callable[
    [Sender, typing.Any], collections.abc.Awaitable[messages.Message]
]


def _keepalive_configuration() -> grpclib.config.Configuration:
    return grpclib.config.Configuration(
        _keepalive_time=KEEPALIVE_PERIOD_S,
        _keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        _keepalive_permit_without_calls=False,
    )


class Counts(typing.TypedDict):
    """Messages and payload bytes since the process started."""

    sent_messages: int
    sent_bytes: int
    received_messages: int
    received_bytes: int


class Service(peers_grpc.PeersBase):
    """gRPC service that answers messages of other daemons.

    Parameters
    ----------
    local : Sender
        This daemon, as the sender of the answers.
    handler : Handler
        Coroutine function that receives the sender and the decoded message and returns
        the answer.
    """

    def __init__(self, local: Sender, handler: Handler) -> None:
        self._local = local
        self._handler = handler
        self.counts = Counts(
            sent_messages=0, sent_bytes=0, received_messages=0, received_bytes=0
        )

    async def Exchange(  # noqa: N802
        self,
        stream: "grpclib.server.Stream[peers_pb2.Envelope, peers_pb2.Envelope]",
    ) -> None:
        """Receive one message, pass it to the handler and send the answer.

        Raises
        ------
        grpclib.exceptions.GRPCError
            With status ``INVALID_ARGUMENT`` if the message cannot be decoded.
        """
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
        wrapped = wrap(self._local, answer, envelope.codec)
        self.counts["sent_messages"] += 1
        self.counts["sent_bytes"] += len(wrapped.payload)
        await stream.send_message(wrapped)


def wrap(sender: Sender, message: messages.Message, codec: str) -> peers_pb2.Envelope:
    """Encode a message and return it in an envelope with its sender and trace."""
    return peers_pb2.Envelope(
        kind=messages.kind_of(message),
        codec=codec,
        payload=codecs.codecs.get(codec).encode(message),
        traceparent=sender.trace,
        sender=sender.vm,
        data_centre=sender.data_centre,
    )


class Channels:
    """Client channels to peers, one per address; to be used by one task only.

    Parameters
    ----------
    local : Sender
        This daemon, as the sender of the messages.
    codec : str
        Name of the codec that encodes the messages.
    """

    def __init__(self, local: Sender, codec: str = "msgpack") -> None:
        self._local = local
        self._codec = codec
        self._channels: dict[str, grpclib.client.Channel] = {}
        self.counts = Counts(
            sent_messages=0, sent_bytes=0, received_messages=0, received_bytes=0
        )

    async def exchange(
        self, address: str, message: messages.Message, timeout_s: float, trace: str = ""
    ) -> typing.Any:
        """Send a message and return the decoded answer.

        Opens a channel to the peer first if there is none.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        message : messages.Message
            The message.
        timeout_s : float
            Timeout of the call after the channel is connected, in seconds.
        trace : str
            W3C ``traceparent`` to send along; empty for none.

        Raises
        ------
        errors.PeerUnreachableError
            If the connection fails, the peer does not answer in time, or it answers
            with a gRPC error. The field ``sent`` states whether the message may have
            arrived.
        errors.BadMessageError
            If the answer cannot be decoded.
        carawaysail_types.errors.UnknownNameError
            If the kind or the codec of the answer is not registered.
        """
        channel = await self._connect(address)
        envelope = wrap(self._local._replace(trace=trace), message, self._codec)
        self.counts["sent_messages"] += 1
        self.counts["sent_bytes"] += len(envelope.payload)
        stub = peers_grpc.PeersStub(channel)
        try:
            answer = await stub.Exchange(envelope, timeout=timeout_s)
        except grpclib.exceptions.GRPCError as exc:
            raise errors.PeerUnreachableError(address, True, False, str(exc)) from exc
        except (OSError, grpclib.exceptions.StreamTerminatedError) as exc:
            self._drop(address)
            raise errors.PeerUnreachableError(address, True, False, repr(exc)) from exc
        except TimeoutError as exc:
            self._drop(address)
            raise errors.PeerUnreachableError(address, True, False, "timeout") from exc
        self.counts["received_messages"] += 1
        self.counts["received_bytes"] += len(answer.payload)
        return codecs.decode(answer.kind, answer.codec, answer.payload)

    def close(self) -> None:
        """Close every channel."""
        for address in list(self._channels):
            self._drop(address)

    async def _connect(self, address: str) -> grpclib.client.Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = grpclib.client.Channel(
                host, int(port), config=_keepalive_configuration()
            )
            self._channels[address] = channel
        try:
            await asyncio.wait_for(channel.__connect__(), CONNECT_TIMEOUT_S)
        except TimeoutError as exc:
            self._drop(address)
            raise errors.PeerUnreachableError(address, False, False, "timeout") from exc
        except OSError as exc:
            self._drop(address)
            refused = isinstance(exc, ConnectionRefusedError)
            raise errors.PeerUnreachableError(
                address, False, refused, str(exc)
            ) from exc
        return channel

    def _drop(self, address: str) -> None:
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()


class Server:
    """gRPC server for messages of other daemons.

    Parameters
    ----------
    service : Service
        The service that answers them.
    """

    def __init__(self, service: Service) -> None:
        self._server = grpclib.server.Server(
            [service], config=_keepalive_configuration()
        )

    async def start(self, address: str) -> None:
        """Start listening.

        Parameters
        ----------
        address : str
            ``host:port``.

        Raises
        ------
        OSError
            If the address is in use or not available.
        """
        host, _, port = address.rpartition(":")
        await self._server.start(host, int(port))

    async def stop(self) -> None:
        """Stop listening and wait until calls in progress have ended."""
        self._server.close()
        await self._server.wait_closed()
