"""Registry of the HTTP routes, and the request and response types of handlers."""

import collections.abc
import typing

from carawaysail_types import errors, registry


class HttpRequest(typing.NamedTuple):
    """One HTTP request whose body has been read.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path of the URL.
    path_params : dict of str to str
        Values of the variables in the route's path, by their names.
    query : dict of str to str
        Parameters of the query string.
    body : bytes
        The body.
    trace : str
        W3C ``traceparent`` of the caller; empty for none.
    """

    method: str
    path: str
    path_params: dict[str, str]
    query: dict[str, str]
    body: bytes
    trace: str


class Response(typing.NamedTuple):
    """An HTTP response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        The body.
    content_type : str
        Media type of the body.
    """

    status: int
    body: bytes
    content_type: str = "application/json"


Handler = collections.abc.Callable[[typing.Any, HttpRequest], Response]

routes: registry.Registry[Handler] = registry.Registry("routes")


class RouteMatch(typing.NamedTuple):
    """The handler of a route and the values of the variables in its path."""

    handler: Handler
    path_params: dict[str, str]


def find(method: str, path: str) -> RouteMatch | int:
    """Return the route for a method and path, or an HTTP status if there is none.

    Returns
    -------
    RouteMatch or int
        404 if no route has this path, 405 if one has it under another method.

    Examples
    --------
    >>> find("GET", "/nothing")
    404
    """
    segments = path.strip("/").split("/")
    status = 404
    for name, handler in routes.items():
        expected_method, _, pattern = name.partition(" ")
        path_params = _match(pattern.strip("/").split("/"), segments)
        if path_params is None:
            continue
        if expected_method == method:
            return RouteMatch(handler, path_params)
        status = 405
    return status


def _match(pattern: list[str], segments: list[str]) -> dict[str, str] | None:
    if len(pattern) != len(segments):
        return None
    path_params = {}
    for expected, value in zip(pattern, segments, strict=True):
        if expected.startswith("{"):
            path_params[expected.strip("{}")] = value
        elif expected != value:
            return None
    return path_params


def integer(req: HttpRequest, name: str, default: int, high: int) -> int:
    """Return an integer parameter of the query string.

    Parameters
    ----------
    req : HttpRequest
        The request.
    name : str
        Name of the parameter.
    default : int
        Value if the parameter is absent.
    high : int
        Largest accepted value; the smallest is 0.

    Raises
    ------
    errors.BadInputError
        If it is not a whole number from 0 to ``high``.
    """
    text = req.query.get(name)
    if text is None:
        return default
    if not text.isdigit() or len(text) > MAX_INTEGER_DIGITS or int(text) > high:
        raise errors.BadInputError(name, text, f"a whole number from 0 to {high}")
    return int(text)


MAX_INTEGER_DIGITS = 12
