"""Codecs of the messages, each registered under its name."""

import typing

import msgspec

from carawaysail_peers import errors, messages
from carawaysail_types import registry

MAX_MESSAGE_BYTES = 16_000_000


class Codec(typing.Protocol):
    """Turns a message into bytes and back."""

    def encode(self, message: messages.Message) -> bytes:
        """Return the bytes of a message."""

    def decode(self, data: bytes, kind: type) -> typing.Any:
        """Return the message of a type that bytes hold."""


codecs: registry.Registry[Codec] = registry.Registry("codecs")


class _Msgpack:
    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[type, typing.Any] = {}

    def encode(self, message: messages.Message) -> bytes:
        return self._encoder.encode(message)

    def decode(self, data: bytes, kind: type) -> typing.Any:
        decoder = self._decoders.get(kind)
        if decoder is None:
            decoder = self._decoders[kind] = msgspec.msgpack.Decoder(kind)
        return decoder.decode(data)


class _Json:
    def encode(self, message: messages.Message) -> bytes:
        return msgspec.json.encode(message)

    def decode(self, data: bytes, kind: type) -> typing.Any:
        return msgspec.json.decode(data, type=kind)


codecs.register("msgpack")(_Msgpack())
codecs.register("json")(_Json())


def decode(kind: str, codec: str, data: bytes) -> typing.Any:
    """Return the message that bytes hold.

    Parameters
    ----------
    kind : str
        Name of the message's type.
    codec : str
        Name of the codec.
    data : bytes
        The encoded message.

    Raises
    ------
    errors.BadMessageError
        If the bytes are not such a message.
    carawaysail_types.errors.UnknownNameError
        If the kind or the codec is not registered.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise errors.BadMessageError(kind, f"over {MAX_MESSAGE_BYTES} bytes")
    expected = messages.kinds.get(kind)
    try:
        return codecs.get(codec).decode(data, expected)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        raise errors.BadMessageError(kind, str(exc)) from exc
