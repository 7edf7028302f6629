"""Calls to entry daemons over the HTTP interface that they offer to callers."""

import json
import typing
import urllib.parse

import urllib3
import urllib3.exceptions

from carawaysail_cli import errors
from carawaysail_settings import tree

ANSWER_TIMEOUT_S = 3_700.0
"""Above the largest deadline that the setting ``deadline_ms`` accepts."""

STATUS_TIMEOUT_S = 2.0


class Response(typing.NamedTuple):
    """HTTP response of an entry daemon.

    Parameters
    ----------
    status : int
        HTTP status code.
    value : dict
        The body, parsed from JSON.
    """

    status: int
    value: dict[str, typing.Any]


class DaemonClient:
    """Client of the entry daemons.

    Parameters
    ----------
    url : str
        Address of the daemon that is called by default, ``http://host:port``; empty
        for none.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._http = urllib3.PoolManager(retries=False)

    def call(
        self, method: str, path: str, body: object = None, url: str = "",
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Response:  # fmt: skip
        """Send a request to a daemon and return its response.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path of the URL.
        body : object
            Value of the JSON body; ``None`` for no body.
        url : str
            Address of the daemon; empty for the default one.
        timeout_s : float
            Timeout for opening the connection and for each read, in seconds.

        Raises
        ------
        errors.NotConfiguredError
            If ``url`` is empty and there is no default daemon.
        errors.DaemonUnavailableError
            If the daemon does not answer, or its answer is not JSON.
        """
        base = url or self._url
        if not base:
            raise errors.NotConfiguredError("--entry URL", "CARAWAYSAIL_ENTRY")
        content = None if body is None else json.dumps(body)
        try:
            response = self._http.request(
                method, base + path, body=content, timeout=timeout_s
            )
            return Response(response.status, json.loads(response.data))
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            raise errors.DaemonUnavailableError(base, str(exc)) from exc

    def status_of_all(self, cfg: tree.Tree) -> dict[str, dict[str, typing.Any] | None]:
        """Return the status of each entry daemon in a tree, by VM.

        The status is ``None`` for a daemon that does not answer within
        ``STATUS_TIMEOUT_S``.
        """
        found: dict[str, dict[str, typing.Any] | None] = {}
        for vm, url in caller_urls(cfg).items():
            try:
                found[vm] = self.call(
                    "GET", "/v1/status", url=url, timeout_s=STATUS_TIMEOUT_S
                )[1]
            except errors.DaemonUnavailableError:
                found[vm] = None
        return found


def caller_urls(cfg: tree.Tree) -> dict[str, str]:
    """Return the URL of each entry daemon in a tree, by VM."""
    found = {}
    for data_centre in cfg.get("places", {}).values():
        for vm, entry in data_centre.get("entries", {}).items():
            found[vm] = f"http://{entry.get('caller', '')}"
    return found


def quote_segment(text: str) -> str:
    """Return a text quoted as one segment of a URL path."""
    return urllib.parse.quote(text, safe="")
