"""A small WSGI application on CherryPy's HTTP server, shared by all stand-ins."""

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
        The request line's.
    headers : dict of str to str
        WSGI's environment, for headers.
    body : bytes
        The body.
    """

    method: str
    path: str
    headers: dict[str, typing.Any]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header, or an empty text."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return str(self.headers.get(key, ""))

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


class Answer(typing.NamedTuple):
    """What is answered.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes or iterator of bytes
        The body, whole or in pieces as they come.
    headers : tuple of (str, str)
        More headers.
    """

    status: int
    body: Body
    headers: tuple[tuple[str, str], ...] = ()


Handler = collections.abc.Callable[[Request], Answer]


def answer_json(value: object, status: int = 200) -> Answer:
    """Return an answer with a JSON body."""
    return Answer(status, json.dumps(value).encode())


class WebServer:
    """CherryPy's server with one handler, in a thread of its own.

    Parameters
    ----------
    handler : Handler
        What answers.
    port : int
        Port on loopback; 0 for any free one.
    threads : int
        Requests answered at once.
    on_stop : callable, optional
        Wakes what waits on anything but ``ending``.
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
        """Where it answers."""
        return f"http://127.0.0.1:{self.port}"

    def start(self) -> None:
        """Start to answer."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to answer; returns when no thread of the server is left.

        The server's threads outlive the main thread, so an answer that waited on
        nothing would keep the process from ending.
        """
        self.ending.set()
        self._on_stop()
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join()

    def _application(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        request = Request(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], environ, body
        )
        answer = self._handler(request)
        headers = [("Content-Type", "application/json"), *answer.headers]
        if isinstance(answer.body, bytes):
            headers.append(("Content-Length", str(len(answer.body))))
            start_response(f"{answer.status} Status", headers)
            return [answer.body]
        start_response(f"{answer.status} Status", headers)
        return answer.body
