"""The HTTP server: CherryPy's, with a WSGI application grafted on it."""

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
KEPT_CONNECTIONS = 1_000

ROUTE_MODULES = (caller_routes, operator_routes)
"""Modules whose import fills the registry of routes."""

Environ = dict[str, typing.Any]
StartResponse = collections.abc.Callable[..., typing.Any]

_PHRASES = {
    200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
    422: "Unprocessable Content", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip


class Application:
    """The WSGI application.

    Parameters
    ----------
    desk : task_bridge.Door
        What handlers may use.
    """

    def __init__(self, desk: task_bridge.Door) -> None:
        self._desk = desk

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Answer one request."""
        response = self._respond(environ)
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            (OWNER_HEADER, str(self._desk.owner())),
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
        found = routes.find(method, path)
        if isinstance(found, int):
            accepted = "; ".join(routes.routes.names())
            return encode.failure(found, "NoRoute", "path", path, accepted)
        try:
            body = _read(environ)
            query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
            trace = environ.get("HTTP_TRACEPARENT", "")
            call = routes.Call(method, path, found.parts, query, body, trace)
            return found.handler(self._desk, call)
        except task_bridge.NotReadyError as exc:
            return encode.failure(503, exc.tag, "settings", "none", str(exc))
        except settings_errors.NoSuchPathError as exc:
            return encode.refused(exc)
        except errors.CarawaysailError as exc:
            return encode.refused(exc)
        except Exception as exc:
            logs.log_error("front", "Call failed.", exc, path=path)
            return encode.failure(500, "Internal", "path", path, "see the log")


def _read(environ: Environ) -> bytes:
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
    """CherryPy's server on one address.

    Parameters
    ----------
    application : Application
        What answers.
    address : str
        ``host:port``.
    threads : int
        Requests answered at once.
    backlog : int
        Length of the accept queue.
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
        server.keep_alive_conn_limit = KEPT_CONNECTIONS
        cherrypy.server.httpserver = server

    def start(self) -> None:
        """Start to listen; raises if the address is taken."""
        cherrypy.engine.start()

    def stop(self) -> None:
        """Stop to listen and end the threads."""
        cherrypy.engine.exit()
