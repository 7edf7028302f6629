"""An HTTP server for stand-ins: CherryPy's WSGI server with one handler."""

import collections.abc
import json
import threading
import typing

import cheroot.wsgi

Body = bytes | collections.abc.Iterator[bytes]


class Request(typing.NamedTuple):
    """One HTTP request.

    Parameters
    ----------
    method, path : str
        Method and path of the request line.
    headers : dict
        The WSGI environment, which holds each header as ``HTTP_NAME``.
    body : bytes
        The whole body.
    """

    method: str
    path: str
    headers: dict[str, typing.Any]
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of a header, an empty string if it is absent."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return str(self.headers.get(key, ""))

    def json(self) -> typing.Any:
        """Return the decoded JSON body, an empty object if there is no body."""
        return json.loads(self.body or b"{}")


class Response(typing.NamedTuple):
    """The response to a request.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes or iterator of bytes
        The whole body, or an iterator that streams it.
    headers : tuple of (str, str)
        Headers besides content type and length.
    """

    status: int
    body: Body
    headers: tuple[tuple[str, str], ...] = ()


Handler = collections.abc.Callable[[Request], Response]


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(value).encode())


class WebServer:
    """CherryPy's server with one handler, in a thread of its own.

    Parameters
    ----------
    handler : Handler
        Returns the response to a request; runs in a thread of the server.
    port : int
        Port on loopback; 0 for any unused one.
    threads : int
        Number of requests that are handled concurrently.
    on_stop : callable, optional
        Runs on ``stop``; ends the waits of handlers on anything but ``ending``.

    Attributes
    ----------
    ending : threading.Event
        Set when the server stops; a handler waits on it instead of sleeping.
    """

    def __init__(
        self,
        handler: Handler,
        port: int,
        threads: int,
        on_stop: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self.ending = threading.Event()
        self._handler = handler
        self._on_stop = on_stop
        self._server = cheroot.wsgi.Server(
            ("127.0.0.1", port), self._application, numthreads=threads,
            request_queue_size=512, timeout=120,
        )  # fmt: skip
        self._server.keep_alive_conn_limit = 1_000
        self._server.prepare()
        self.port = int(self._server.bind_addr[1])
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://127.0.0.1:{self.port}"

    def start(self) -> None:
        """Start to handle requests."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the server and wait until all of its threads have ended.

        The server's threads outlive the main thread, so a handler that waits on
        neither ``ending`` nor a condition that ``on_stop`` sets would keep the process
        from ending.
        """
        self.ending.set()
        self._on_stop()
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()

    def _application(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        content_length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(content_length) if content_length else b""
        request = Request(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], environ, body
        )
        response = self._handler(request)
        headers = [("Content-Type", "application/json"), *response.headers]
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
            start_response(f"{response.status} Status", headers)
            return [response.body]
        start_response(f"{response.status} Status", headers)
        return response.body
