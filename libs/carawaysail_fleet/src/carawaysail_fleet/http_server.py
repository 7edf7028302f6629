"""CherryPy's HTTP server, reduced to a handler of requests.

The handler runs in one of the server's threads and may wait there. It gets the
client's socket, so that it learns of a client that leaves.
"""

import collections.abc
import socket
import threading
import typing

import cheroot.wsgi

from carawaysail_fleet import ports
from carawaysail_types import errors, jobs

KEPT_CONNECTIONS = 2_000
BACKLOG = 512
"""Length of the accept queue; the server's default of 5 drops connections."""

STOP_S = 1

_SOCKET = "carawaysail.socket"
_REQUEST = "carawaysail.request"

_PHRASES = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    410: "Gone", 413: "Content Too Large", 429: "Too Many Requests",
    500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip

Handler = collections.abc.Callable[[ports.Request, socket.socket], ports.Response]


class _Gateway(cheroot.wsgi.Gateway_10):  # type: ignore[misc]
    """Adds the connection to what the application sees."""

    def get_environ(self) -> typing.Any:
        environ: dict[str, typing.Any] = super().get_environ()
        environ[_SOCKET] = self.req.conn.socket
        environ[_REQUEST] = self.req
        return environ


class Server:
    """An HTTP server on one address.

    Parameters
    ----------
    address : str
        ``host:port``.
    handler : callable
        Answers a request.
    threads : int
        Requests answered at once.
    """

    def __init__(self, address: str, handler: Handler, threads: int) -> None:
        host, _, port = address.rpartition(":")
        self._handler = handler
        self._is_closing = False
        self._server = cheroot.wsgi.Server(
            (host, int(port)), self._answer, numthreads=threads, max=threads,
            request_queue_size=BACKLOG, shutdown_timeout=STOP_S,
        )  # fmt: skip
        self._server.gateway = _Gateway
        self._server.keep_alive_conn_limit = KEPT_CONNECTIONS
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http {port}", daemon=True
        )

    def limit(self, limits: jobs.Limits) -> None:
        """Take over the limits of the configuration."""
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.max_request_body_size = limits.max_body_bytes
        self._server.timeout = limits.idle_timeout.total_seconds()

    def start(self) -> None:
        """Start to listen; raises ``OSError`` if the address is taken."""
        self._server.prepare()
        self._thread.start()

    def close_connections(self) -> None:
        """Close each connection after its next answer."""
        self._is_closing = True

    def stop(self) -> None:
        """Stop to listen and end the threads."""
        self._server.stop()

    def _answer(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        response = self._respond(environ)
        if self._is_closing:
            environ[_REQUEST].close_connection = True
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        phrase = _PHRASES.get(response.status, "Other")
        start_response(f"{response.status} {phrase}", headers)
        return [response.body]

    def _respond(self, environ: dict[str, typing.Any]) -> ports.Response:
        host = environ.get("HTTP_HOST", "")
        headers = {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        try:
            request = ports.Request(
                environ["REQUEST_METHOD"],
                host.partition(":")[0],
                environ["PATH_INFO"],
                headers,
                _read(environ),
            )
        except errors.BadInputError as exc:
            return ports.Response(400, str(exc).encode(), content_type="text/plain")
        return self._handler(request, environ[_SOCKET])


def _read(environ: dict[str, typing.Any]) -> bytes:
    length = environ.get("CONTENT_LENGTH") or ""
    if length:
        if not length.isdigit():
            raise errors.BadInputError("Content-Length", length, "a number of bytes")
        return bytes(environ["wsgi.input"].read(int(length))) if int(length) else b""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return bytes(environ["wsgi.input"].read())
    return b""
