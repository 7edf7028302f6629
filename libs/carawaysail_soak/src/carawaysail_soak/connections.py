"""Raw HTTP connections of clients."""

import asyncio
import http.client
import io
import socket
import struct
import typing

import msgspec


class Answer(typing.NamedTuple):
    """A complete answer; ``state`` is empty if it has none."""

    status: int
    state: str
    retry_after_s: float | None


class Connection:
    """A raw connection to a daemon."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader, self._writer = reader, writer

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self._writer.write(data)

    async def read_answer(self) -> Answer:
        """Read a whole answer.

        Raises
        ------
        OSError, EOFError
            If the connection ends before.
        """
        head = await self._reader.readuntil(b"\r\n\r\n")
        status_line, _, rest = head.partition(b"\r\n")
        status = int(status_line.split()[1])
        headers = http.client.parse_headers(io.BytesIO(rest))
        body = await self._reader.readexactly(int(headers.get("Content-Length", 0)))
        retry_after = headers.get("Retry-After")
        return Answer(status, _state(body), float(retry_after) if retry_after else None)

    def close(self, with_reset: bool = False) -> None:
        """Close the connection, optionally with a reset."""
        if with_reset:
            reset(self._writer)
        self._writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, without sending what is buffered."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _state(body: bytes) -> str:
    try:
        record = msgspec.json.decode(body) if body else {}
    except msgspec.DecodeError:
        return ""
    return str(record.get("state", "")) if isinstance(record, dict) else ""
