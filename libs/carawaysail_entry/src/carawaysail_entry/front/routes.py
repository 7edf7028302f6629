"""The registry of routes: what answers a method and a path."""

import collections.abc
import typing

from carawaysail_types import errors, registry


class Call(typing.NamedTuple):
    """One HTTP request, read and bounded.

    Parameters
    ----------
    method, path : str
        The request line's.
    parts : dict of str to str
        Values of the path's variables.
    query : dict of str to str
        The query's parameters.
    body : bytes
        The body.
    trace : str
        W3C ``traceparent``, or empty.
    """

    method: str
    path: str
    parts: dict[str, str]
    query: dict[str, str]
    body: bytes
    trace: str


class Response(typing.NamedTuple):
    """What is answered.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        The body.
    content_type : str
        Its type.
    """

    status: int
    body: bytes
    content_type: str = "application/json"


Handler = collections.abc.Callable[[typing.Any, Call], Response]

routes: registry.Registry[Handler] = registry.Registry("routes")


class Found(typing.NamedTuple):
    """The handler of a path and the values of the path's variables."""

    handler: Handler
    parts: dict[str, str]


def find(method: str, path: str) -> Found | int:
    """Return what answers a request, or 404 or 405.

    Examples
    --------
    >>> find("GET", "/nothing")
    404
    """
    given = path.strip("/").split("/")
    status = 404
    for name, handler in routes.items():
        expected_method, _, pattern = name.partition(" ")
        parts = _match(pattern.strip("/").split("/"), given)
        if parts is None:
            continue
        if expected_method == method:
            return Found(handler, parts)
        status = 405
    return status


def _match(pattern: list[str], given: list[str]) -> dict[str, str] | None:
    if len(pattern) != len(given):
        return None
    parts = {}
    for expected, value in zip(pattern, given, strict=True):
        if expected.startswith("{"):
            parts[expected.strip("{}")] = value
        elif expected != value:
            return None
    return parts


def integer(call: Call, name: str, default: int, high: int) -> int:
    """Return a whole number from the query.

    Raises
    ------
    errors.BadInputError
        If it is not a whole number from 0 to ``high``.
    """
    text = call.query.get(name)
    if text is None:
        return default
    if not text.isdigit() or len(text) > MAX_DIGITS or int(text) > high:
        raise errors.BadInputError(name, text, f"a whole number from 0 to {high}")
    return int(text)


MAX_DIGITS = 12
