"""An HTTP server with one handler for all requests, based on CherryPy's server.

The handler runs in one of the server's threads and may block there. It gets the
client's socket, so that it can detect a disconnect while it waits.
"""

import collections.abc
import socket
import threading
import typing

import cheroot.wsgi

from carawaysail_fleet import ports
from carawaysail_types import errors, jobs

MAX_IDLE_CONNECTIONS = 2_000
ACCEPT_BACKLOG = 512
"""Connections in the accept queue; the server's default of 5 drops connections."""

STOP_TIMEOUT_S = 1

_SOCKET_KEY = "carawaysail.socket"
_REQUEST_KEY = "carawaysail.request"

_PHRASES = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    410: "Gone", 413: "Content Too Large", 429: "Too Many Requests",
    500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip

Handler = collections.abc.Callable[[ports.Request, socket.socket], ports.Response]


class _WsgiGateway(cheroot.wsgi.Gateway_10):  # type: ignore[misc]
    """Adds the client's socket and the request object to the environment."""

    def get_environ(self) -> typing.Any:
        environ: dict[str, typing.Any] = super().get_environ()
        environ[_SOCKET_KEY] = self.req.conn.socket
        environ[_REQUEST_KEY] = self.req
        return environ


class Server:
    """An HTTP server on one address.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    handler : callable
        Returns the response to a request; called in a thread of the server.
    threads : int
        Number of threads, thus of requests that are handled at the same time.
    """

    def __init__(self, address: str, handler: Handler, threads: int) -> None:
        host, _, port = address.rpartition(":")
        self._handler = handler
        self._is_closing = False
        self._server = cheroot.wsgi.Server(
            (host, int(port)), self._handle_wsgi, numthreads=threads, max=threads,
            request_queue_size=ACCEPT_BACKLOG, shutdown_timeout=STOP_TIMEOUT_S,
        )  # fmt: skip
        self._server.gateway = _WsgiGateway
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http {port}", daemon=True
        )

    def limit(self, limits: jobs.Limits) -> None:
        """Apply limits to all further requests; ``header_timeout`` has no effect."""
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.max_request_body_size = limits.max_body_bytes
        self._server.timeout = limits.idle_timeout.total_seconds()

    def start(self) -> None:
        """Bind the address and start the threads.

        Raises
        ------
        OSError
            If the address is in use.
        """
        self._server.prepare()
        self._thread.start()

    def close_connections(self) -> None:
        """Close each connection after its next response, for a graceful shutdown."""
        self._is_closing = True

    def stop(self) -> None:
        """Close the listening socket and end the threads."""
        self._server.stop()

    def _handle_wsgi(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        response = self._respond(environ)
        if self._is_closing:
            environ[_REQUEST_KEY].close_connection = True
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
                _read_body(environ),
            )
        except errors.BadInputError as exc:
            return ports.Response(400, str(exc).encode(), content_type="text/plain")
        return self._handler(request, environ[_SOCKET_KEY])


def _read_body(environ: dict[str, typing.Any]) -> bytes:
    length = environ.get("CONTENT_LENGTH") or ""
    if length:
        if not length.isdigit():
            raise errors.BadInputError("Content-Length", length, "a number of bytes")
        return bytes(environ["wsgi.input"].read(int(length))) if int(length) else b""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return bytes(environ["wsgi.input"].read())
    return b""
