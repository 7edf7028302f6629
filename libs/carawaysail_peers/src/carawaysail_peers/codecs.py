"""Registry of the codecs that encode and decode messages between entry daemons."""

import typing

import msgspec

from carawaysail_peers import errors, messages
from carawaysail_types import registry

MAX_MESSAGE_BYTES = 16_000_000


class Codec(typing.Protocol):
    """Encodes messages to bytes and decodes them."""

    def encode(self, message: messages.Message) -> bytes:
        """Encode a message."""

    def decode(self, data: bytes, message_type: type) -> typing.Any:
        """Decode a message of the given type."""


codecs: registry.Registry[Codec] = registry.Registry("codecs")


class _Msgpack:
    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[type, typing.Any] = {}

    def encode(self, message: messages.Message) -> bytes:
        return self._encoder.encode(message)

    def decode(self, data: bytes, message_type: type) -> typing.Any:
        decoder = self._decoders.get(message_type)
        if decoder is None:
            decoder = self._decoders[message_type] = msgspec.msgpack.Decoder(
                message_type
            )
        return decoder.decode(data)


class _Json:
    def encode(self, message: messages.Message) -> bytes:
        return msgspec.json.encode(message)

    def decode(self, data: bytes, message_type: type) -> typing.Any:
        return msgspec.json.decode(data, type=message_type)


codecs.register("msgpack")(_Msgpack())
codecs.register("json")(_Json())


def decode(kind: str, codec: str, data: bytes) -> typing.Any:
    """Decode a message whose kind and codec are given by name.

    Parameters
    ----------
    kind : str
        Registered name of the message type.
    codec : str
        Registered name of the codec.
    data : bytes
        The encoded message.

    Raises
    ------
    errors.BadMessageError
        If the data exceeds ``MAX_MESSAGE_BYTES`` or cannot be decoded as this kind.
    carawaysail_types.errors.UnknownNameError
        If the kind or the codec is not registered.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.BadMessageError(kind, f"over {MAX_MESSAGE_BYTES} bytes")
    message_type = messages.kinds.get(kind)
    try:
        return codecs.get(codec).decode(data, message_type)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        raise errors.BadMessageError(kind, str(exc)) from exc
