"""The HTTP server: a WSGI application on CherryPy's server."""

import collections.abc
import typing
import urllib.parse

import cherrypy
import cherrypy._cpwsgi_server

from carawaysail_entry.front import (
    caller_routes,
    encode,
    operator_routes,
    routes,
    task_bridge,
)
from carawaysail_runtime import logs
from carawaysail_settings import errors as settings_errors
from carawaysail_types import errors

MAX_BODY_BYTES = 64_000_000
OWNER_HEADER = "Carawaysail-Owner"
"""Header of each response with the owner token for new submission identifiers."""

MAX_KEEP_ALIVE_CONNECTIONS = 1_000

ROUTE_MODULES = (caller_routes, operator_routes)
"""Modules whose import registers the routes."""

Environ = dict[str, typing.Any]
StartResponse = collections.abc.Callable[..., typing.Any]

_PHRASES = {
    200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
    422: "Unprocessable Content", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip


class Application:
    """The WSGI application that passes requests to the handlers of the routes.

    Parameters
    ----------
    bridge : task_bridge.TaskBridge
        Passed to each handler.
    """

    def __init__(self, bridge: task_bridge.TaskBridge) -> None:
        self._bridge = bridge

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Handle one request; called by the server in one of its threads."""
        response = self._respond(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            (OWNER_HEADER, str(self._bridge.owner())),
        ]
        if response.status == 503:
            headers.append(("Retry-After", "1"))
        if response.status == 413:
            headers.append(("Connection", "close"))
        phrase = _PHRASES.get(response.status, "Other")
        start_response(f"{response.status} {phrase}", headers)
        return [response.body]

    def _respond(self, environ: Environ) -> routes.Response:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        match = routes.find(method, path)
        if isinstance(match, int):
            accepted = "; ".join(routes.routes.names())
            return encode.error_response(match, "NoRoute", "path", path, accepted)
        try:
            body = _read_body(environ)
            query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
            trace = environ.get("HTTP_TRACEPARENT", "")
            req = routes.HttpRequest(
                method, path, match.path_params, query, body, trace
            )
            return match.handler(self._bridge, req)
        except task_bridge.NotReadyError as exc:
            return encode.error_response(503, exc.tag, "settings", "none", str(exc))
        except settings_errors.NoSuchPathError as exc:
            return encode.exception_response(exc)
        except errors.CarawaysailError as exc:
            return encode.exception_response(exc)
        except Exception as exc:
            logs.log_error("front", "Request handler failed.", exc, path=path)
            return encode.error_response(500, "Internal", "path", path, "see the log")


def _read_body(environ: Environ) -> bytes:
    length = environ.get("CONTENT_LENGTH") or ""
    accepted = f"at most {MAX_BODY_BYTES} bytes"
    if length.isdigit():
        if int(length) > MAX_BODY_BYTES:
            raise errors.BadInputError("body size", length, accepted)
        return environ["wsgi.input"].read(int(length)) if int(length) else b""
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() != "chunked":
        return b""
    body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        raise errors.BadInputError("body size", len(body), accepted)
    return bytes(body)


class Server:
    """CherryPy's HTTP server on one address.

    Parameters
    ----------
    application : Application
        The application that handles the requests.
    address : str
        ``host:port`` to listen on.
    threads : int
        Size of the thread pool: the number of requests handled at once.
    backlog : int
        Length of the accept queue, in connections.
    """

    def __init__(
        self, application: Application, address: str, threads: int, backlog: int
    ) -> None:
        host, _, port = address.rpartition(":")
        cherrypy.config.update(
            {
                "environment": "production",
                "log.screen": False,
                "engine.autoreload.on": False,
                "server.socket_host": host,
                "server.socket_port": int(port),
                "server.thread_pool": threads,
                "server.thread_pool_max": threads,
                "server.socket_queue_size": backlog,
                "server.max_request_body_size": MAX_BODY_BYTES,
            }
        )
        cherrypy.tree.graft(application, "/")
        server = cherrypy._cpwsgi_server.CPWSGIServer(cherrypy.server)
        server.keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
        cherrypy.server.httpserver = server

    def start(self) -> None:
        """Start listening; raises if the address is in use."""
        cherrypy.engine.start()

    def stop(self) -> None:
        """Stop listening and end the threads."""
        cherrypy.engine.exit()
