"""HTTP calls that block the calling thread, over kept connections to one address.

For threads that make few calls and wait for most of them. It needs nothing but the
parser of ``http_calls``, so that a daemon starts without a larger HTTP library.
"""

import collections
import socket
import typing

import httptools

from carawaysail_platform import errors, http_calls, tcp

RECEIVE_BYTES = 65_536


class Client:
    """Calls to one address; several threads may call at the same time.

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
        self._idle: collections.deque[socket.socket] = collections.deque()

    def call(self, request: http_calls.Request) -> http_calls.Reply:
        """Send a request and return the reply, whatever its status.

        Parameters
        ----------
        request : http_calls.Request
            The request; its timeout is that of each wait for data.

        Raises
        ------
        errors.NoReplyError
            If the connection fails or no reply arrives within the timeout. A request
            that no connection could be opened for is certainly unsent.
        """
        sock = self._take_idle() or self._connect()
        reader = _ReplyReader()
        try:
            sock.settimeout(request.timeout_s)
            sock.sendall(http_calls.encode(self.address, request))
            while not reader.is_complete:
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    raise errors.NoReplyError("closed by the peer", False)
                reader.feed(data)
        except (OSError, httptools.HttpParserError) as exc:
            sock.close()
            raise errors.NoReplyError(repr(exc), False) from exc
        except errors.NoReplyError:
            sock.close()
            raise
        if reader.keeps_open and len(self._idle) < self._max_idle:
            self._idle.append(sock)
        else:
            sock.close()
        return reader.reply()

    def _take_idle(self) -> socket.socket | None:
        """Return an idle connection that the other side has not closed."""
        while True:
            try:
                sock = self._idle.pop()
            except IndexError:
                return None
            if not _is_readable(sock):
                return sock
            sock.close()

    def _connect(self) -> socket.socket:
        try:
            sock = socket.create_connection(
                (self._host, self._port), http_calls.CONNECT_TIMEOUT_S
            )
        except OSError as exc:
            raise errors.NoReplyError(repr(exc), True) from exc
        for level, option, value in tcp.socket_options():
            sock.setsockopt(level, option, value)
        return sock

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()


class _ReplyReader:
    """Collects one reply; also the target of the parser's events."""

    def __init__(self) -> None:
        self.is_complete = False
        self.keeps_open = False
        self._status = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._parser: typing.Any = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Pass bytes of the response to the parser.

        Raises
        ------
        errors.NoReplyError
            If the body is too large.
        httptools.HttpParserError
            If the bytes are no HTTP response.
        """
        self._parser.feed_data(data)
        if self._body_bytes > http_calls.MAX_BODY_BYTES:
            raise errors.NoReplyError("the body is too large", False)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._body.append(body)
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Record the end of the reply, unless it only announces one."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        self._status = status
        self.is_complete = True
        self.keeps_open = self._parser.should_keep_alive()

    def reply(self) -> http_calls.Reply:
        """Return the complete reply."""
        return http_calls.Reply(self._status, b"".join(self._body))


def _is_readable(sock: socket.socket) -> bool:
    """Return whether an idle connection has data or its end: it cannot be used."""
    sock.setblocking(False)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
