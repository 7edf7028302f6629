"""Calls to entry daemons over their callers' interface."""

import json
import typing
import urllib.parse

import urllib3
import urllib3.exceptions

from carawaysail_cli import errors
from carawaysail_settings import tree

ANSWER_S = 3_700.0
STATUS_S = 2.0


class Told(typing.NamedTuple):
    """A daemon's answer.

    Parameters
    ----------
    status : int
        HTTP status code.
    value : dict
        The body.
    """

    status: int
    value: dict[str, typing.Any]


class Daemons:
    """Entry daemons, one of which was named by the operator.

    Parameters
    ----------
    url : str
        Where the named one answers; empty for none.
    """

    def __init__(self, url: str) -> None:
        self._url = url
        self._http = urllib3.PoolManager(retries=False)

    def call(
        self, method: str, path: str, body: object = None, url: str = "",
        seconds: float = ANSWER_S,
    ) -> Told:  # fmt: skip
        """Call a daemon, the named one if no other is given.

        Raises
        ------
        errors.NotConfiguredError
            If none was named.
        errors.DaemonUnavailableError
            If it does not answer.
        """
        base = url or self._url
        if not base:
            raise errors.NotConfiguredError("--entry URL", "CARAWAYSAIL_ENTRY")
        content = None if body is None else json.dumps(body)
        try:
            answer = self._http.request(
                method, base + path, body=content, timeout=seconds
            )
            return Told(answer.status, json.loads(answer.data))
        except (urllib3.exceptions.HTTPError, ValueError) as exc:
            raise errors.DaemonUnavailableError(base, str(exc)) from exc

    def status_of_all(self, cfg: tree.Tree) -> dict[str, dict[str, typing.Any] | None]:
        """Return the status of every daemon of a tree; ``None`` where it is silent."""
        found: dict[str, dict[str, typing.Any] | None] = {}
        for vm, url in urls(cfg).items():
            try:
                found[vm] = self.call("GET", "/v1/status", url=url, seconds=STATUS_S)[1]
            except errors.DaemonUnavailableError:
                found[vm] = None
        return found


def urls(cfg: tree.Tree) -> dict[str, str]:
    """Return where each entry daemon of a tree answers."""
    found = {}
    for place in cfg.get("places", {}).values():
        for vm, entry in place.get("entries", {}).items():
            found[vm] = f"http://{entry.get('caller', '')}"
    return found


def quote(text: str) -> str:
    """Return a text as one part of a path."""
    return urllib.parse.quote(text, safe="")
