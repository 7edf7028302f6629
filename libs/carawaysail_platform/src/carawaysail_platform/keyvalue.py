"""The platform's key-value service: compare-and-swap, leases and watches.

The client speaks the JSON mapping of the etcd version 3 interface (``/v3/kv/range``,
``/v3/kv/txn``, ``/v3/watch``, ``/v3/lease/grant``, ``/v3/lease/keepalive``). Every
write gets a revision that only grows. Each call counts, a waiting watch as one.
"""

import base64
import collections.abc
import json
import typing

import urllib3
import urllib3.exceptions

from carawaysail_platform import errors, http

CONNECT_S = 1.0
READ_S = 3.0
WATCH_READ_S = 60.0


class Item(typing.NamedTuple):
    """One key at one revision.

    Parameters
    ----------
    key : str
        The key.
    value : str
        Its value; empty where it was deleted.
    revision : int
        Revision of the write.
    """

    key: str
    value: str
    revision: int


class Snapshot(typing.NamedTuple):
    """All keys under a prefix at one revision.

    Parameters
    ----------
    items : tuple of Item
        The keys.
    revision : int
        Revision of the whole service; a watch goes on from the next one.
    """

    items: tuple[Item, ...]
    revision: int


class KeyValue(typing.Protocol):
    """The key-value service as the system uses it."""

    def read(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix."""

    def compare_and_swap(self, key: str, expected: int, value: str) -> int:
        """Write a key if its revision is the expected one; return the new one."""

    def watch(
        self, prefix: str, after: int
    ) -> collections.abc.Iterator[tuple[Item, ...]]:
        """Yield the changes under a prefix after a revision, as they come."""


class HttpKeyValue:
    """The key-value service over HTTP.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self._pool = http.open_pool(url, CONNECT_S, READ_S, connections=2)

    def read(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix; one call.

        Raises
        ------
        errors.StoreUnavailableError
            If the service does not answer.
        """
        body = {"key": _encode(prefix), "range_end": _encode(_after(prefix))}
        answer = self._call("/v3/kv/range", body)
        items = tuple(_item(kv) for kv in answer.get("kvs", []))
        return Snapshot(items, _revision(answer))

    def compare_and_swap(self, key: str, expected: int, value: str) -> int:
        """Write a key if its revision is the expected one; one call.

        Parameters
        ----------
        key : str
            The key.
        expected : int
            Its revision; 0 for a key that must not exist.
        value : str
            The new value; empty to delete the key.

        Returns
        -------
        int
            Revision of the write.

        Raises
        ------
        errors.WriteConflictError
            If the key is at another revision.
        errors.WriteUncertainError
            If the answer was lost.
        errors.StoreUnavailableError
            If the write certainly was not taken.
        """
        encoded = _encode(key)
        change: dict[str, object] = {"requestDeleteRange": {"key": encoded}}
        if value:
            change = {"requestPut": {"key": encoded, "value": _encode(value)}}
        compare = {"key": encoded, "target": "MOD", "result": "EQUAL"}
        body = {
            "compare": [{**compare, "mod_revision": str(expected)}],
            "success": [change],
            "failure": [{"requestRange": {"key": encoded}}],
        }
        try:
            answer = self._call("/v3/kv/txn", body)
        except _LostError as exc:
            raise errors.WriteUncertainError(key, str(exc)) from exc
        if not answer.get("succeeded", False):
            raise errors.WriteConflictError(key, expected, _found(answer))
        return _revision(answer)

    def watch(
        self, prefix: str, after: int
    ) -> collections.abc.Iterator[tuple[Item, ...]]:
        """Yield the changes under a prefix after a revision, as they come.

        The iterator ends when the service has been quiet for ``WATCH_READ_S``; the
        caller reads once and watches again, so a silent connection is left in time.

        Raises
        ------
        errors.StoreUnavailableError
            If the service does not answer.
        """
        request = {
            "key": _encode(prefix),
            "range_end": _encode(_after(prefix)),
            "start_revision": str(after + 1),
        }
        body = json.dumps({"create_request": request})
        try:
            answer = self._pool.request(
                "POST", "/v3/watch", body=body, preload_content=False,
                timeout=urllib3.Timeout(connect=CONNECT_S, read=WATCH_READ_S),
            )  # fmt: skip
            yield from _events(answer, self.url)
        except urllib3.exceptions.ReadTimeoutError:
            return
        except urllib3.exceptions.HTTPError as exc:
            raise errors.StoreUnavailableError(self.url, str(exc)) from exc

    def grant_lease(self, seconds: int) -> str:
        """Return the identifier of a new lease; one call."""
        return str(self._call("/v3/lease/grant", {"TTL": str(seconds)})["ID"])

    def keep_lease(self, lease: str) -> bool:
        """Renew a lease; tell whether it still held; one call."""
        answer = self._call("/v3/lease/keepalive", {"ID": lease})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    def _call(self, path: str, body: object) -> dict[str, typing.Any]:
        try:
            answer = self._pool.request("POST", path, body=json.dumps(body))
        except urllib3.exceptions.HTTPError as exc:
            unsent = http.is_unsent(exc)
            kind = errors.StoreUnavailableError if unsent else _LostError
            raise kind(self.url, str(exc)) from exc
        if answer.status == 503:
            raise errors.StoreUnavailableError(self.url, "status 503")
        return _parse(answer.data, answer.status, self.url)


class _LostError(errors.StoreUnavailableError):
    """The call was sent and its answer was lost."""


def _parse(data: bytes, status: int, url: str) -> dict[str, typing.Any]:
    if status != 200:
        raise _LostError(url, f"status {status}")
    try:
        answer = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise _LostError(url, "not JSON") from exc
    if not isinstance(answer, dict):
        raise _LostError(url, "not an object")
    return answer


def _events(
    answer: urllib3.BaseHTTPResponse, url: str
) -> collections.abc.Iterator[tuple[Item, ...]]:
    if answer.status != 200:
        raise errors.StoreUnavailableError(url, f"status {answer.status}")
    rest = b""
    for chunk in answer.stream(65_536, decode_content=True):
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            if not line.strip():
                continue
            result = _parse(line, 200, url).get("result", {})
            items = tuple(_event(event) for event in result.get("events", []))
            if items:
                yield items


def _event(event: dict[str, typing.Any]) -> Item:
    item = _item(event["kv"])
    return item._replace(value="") if event.get("type") == "DELETE" else item


def _item(kv: dict[str, typing.Any]) -> Item:
    return Item(
        _decode(kv["key"]), _decode(kv.get("value", "")), int(kv["mod_revision"])
    )


def _revision(answer: dict[str, typing.Any]) -> int:
    return int(answer.get("header", {}).get("revision", 0))


def _found(answer: dict[str, typing.Any]) -> int:
    for response in answer.get("responses", []):
        for kv in response.get("response_range", {}).get("kvs", []):
            return int(kv["mod_revision"])
    return 0


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _after(prefix: str) -> str:
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
