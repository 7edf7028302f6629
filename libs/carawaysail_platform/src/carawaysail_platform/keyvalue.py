"""Client of the platform's key-value service: compare-and-swap, leases, watches.

The client uses the JSON mapping of the etcd version 3 API (``/v3/kv/range``,
``/v3/kv/txn``, ``/v3/watch``, ``/v3/lease/grant``, ``/v3/lease/keepalive``). Every
write increases the revision of the service. Calls are counted, so each method states
how many it makes; an open watch is one call.
"""

import base64
import collections.abc
import json
import typing

import urllib3
import urllib3.exceptions

from carawaysail_platform import errors, http

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
WATCH_READ_TIMEOUT_S = 2.0
"""A service may stop sending on an open connection. A change has to be in force within
6 s, which leaves this time after the timeouts of the next call."""


class Item(typing.NamedTuple):
    """A key and its value at one revision.

    Parameters
    ----------
    key : str
        The key.
    value : str
        Value of the key; empty if the key was deleted.
    revision : int
        Revision of the write that set the value.
    """

    key: str
    value: str
    revision: int


class Snapshot(typing.NamedTuple):
    """All keys under a prefix at one revision.

    Parameters
    ----------
    items : tuple of Item
        The keys, with their values.
    revision : int
        Revision of the service at the read; a watch continues after it.
    """

    items: tuple[Item, ...]
    revision: int


class KeyValue(typing.Protocol):
    """Interface of the key-value service."""

    def read(self, prefix: str) -> Snapshot:
        """Return all keys with a prefix."""

    def compare_and_swap(self, key: str, expected_revision: int, value: str) -> int:
        """Write a key if it has the expected revision; return the new revision."""

    def watch(
        self, prefix: str, after_revision: int
    ) -> collections.abc.Iterator[tuple[Item, ...]]:
        """Yield the changes of keys with a prefix after a revision, as they arrive."""


class HttpKeyValue:
    """Client of the key-value service over HTTP.

    Parameters
    ----------
    url : str
        ``http://host:port``.
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self._pool = http.open_pool(
            url, CONNECT_TIMEOUT_S, READ_TIMEOUT_S, connections=2
        )

    def read(self, prefix: str) -> Snapshot:
        """Return all keys with a prefix; one call.

        Raises
        ------
        errors.StoreUnavailableError
            If the service does not answer.
        """
        body = {
            "key": _to_base64(prefix),
            "range_end": _to_base64(_end_of_prefix(prefix)),
        }
        answer = self._call("/v3/kv/range", body)
        items = tuple(_parse_item(kv) for kv in answer.get("kvs", []))
        return Snapshot(items, _parse_revision(answer))

    def compare_and_swap(self, key: str, expected_revision: int, value: str) -> int:
        """Write a key if it has the expected revision; one call.

        Parameters
        ----------
        key : str
            The key.
        expected_revision : int
            Revision that the key must have; 0 if the key must not exist.
        value : str
            The new value; empty to delete the key.

        Returns
        -------
        int
            Revision of the write.

        Raises
        ------
        errors.WriteConflictError
            If the key has another revision.
        errors.WriteUncertainError
            If the write was sent but its response was lost.
        errors.StoreUnavailableError
            If the write certainly did not take effect.
        """
        encoded_key = _to_base64(key)
        change: dict[str, object] = {"requestDeleteRange": {"key": encoded_key}}
        if value:
            change = {"requestPut": {"key": encoded_key, "value": _to_base64(value)}}
        compare = {"key": encoded_key, "target": "MOD", "result": "EQUAL"}
        body = {
            "compare": [{**compare, "mod_revision": str(expected_revision)}],
            "success": [change],
            "failure": [{"requestRange": {"key": encoded_key}}],
        }
        try:
            answer = self._call("/v3/kv/txn", body)
        except _LostError as exc:
            raise errors.WriteUncertainError(key, str(exc)) from exc
        if not answer.get("succeeded", False):
            raise errors.WriteConflictError(
                key, expected_revision, _parse_current_revision(answer)
            )
        return _parse_revision(answer)

    def watch(
        self, prefix: str, after_revision: int
    ) -> collections.abc.Iterator[tuple[Item, ...]]:
        """Yield the changes of keys with a prefix after a revision, as they arrive.

        The iterator ends when no data arrived for ``WATCH_READ_TIMEOUT_S``. The calling
        code then watches again after the last revision that it has seen, so that a dead
        connection does not block the watch for longer.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after_revision : int
            Revision after which changes are reported.

        Yields
        ------
        tuple of Item
            Changes that arrived together; an empty value stands for a deleted key.

        Raises
        ------
        errors.StoreUnavailableError
            If the service does not answer, the connection breaks, or the service
            cancels the watch because it no longer has the changes after the revision.
        """
        request = {
            "key": _to_base64(prefix),
            "range_end": _to_base64(_end_of_prefix(prefix)),
            "start_revision": str(after_revision + 1),
        }
        body = json.dumps({"create_request": request})
        try:
            response = self._pool.request(
                "POST", "/v3/watch", body=body, preload_content=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=WATCH_READ_TIMEOUT_S
                ),
            )  # fmt: skip
            yield from _read_events(response, self.url)
        except urllib3.exceptions.ReadTimeoutError:
            return
        except urllib3.exceptions.HTTPError as exc:
            raise errors.StoreUnavailableError(self.url, str(exc)) from exc

    def grant_lease(self, seconds: int) -> str:
        """Create a lease and return its identifier; one call.

        Parameters
        ----------
        seconds : int
            Duration of the lease, in seconds.

        Raises
        ------
        errors.StoreUnavailableError
            If the service does not answer; the lease may exist nevertheless.
        """
        return str(self._call("/v3/lease/grant", {"TTL": str(seconds)})["ID"])

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return whether it was still valid; one call.

        Parameters
        ----------
        lease : str
            Identifier of the lease.

        Raises
        ------
        errors.StoreUnavailableError
            If the service does not answer; the lease may be renewed nevertheless.
        """
        answer = self._call("/v3/lease/keepalive", {"ID": lease})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    def _call(self, path: str, body: object) -> dict[str, typing.Any]:
        """Make a call; raise ``_LostError`` if it failed but may have taken effect."""
        try:
            response = self._pool.request("POST", path, body=json.dumps(body))
        except urllib3.exceptions.HTTPError as exc:
            is_unsent = http.is_unsent(exc)
            error_class = errors.StoreUnavailableError if is_unsent else _LostError
            raise error_class(self.url, str(exc)) from exc
        if response.status == 503:
            raise errors.StoreUnavailableError(self.url, "status 503")
        return _parse_object(response.data, response.status, self.url)


class _LostError(errors.StoreUnavailableError):
    """The call was sent, but gave no usable response: it may have taken effect."""


def _parse_object(data: bytes, status: int, url: str) -> dict[str, typing.Any]:
    if status != 200:
        raise _LostError(url, f"status {status}")
    try:
        answer = json.loads(data)
    except (ValueError, RecursionError) as exc:
        raise _LostError(url, "not JSON") from exc
    if not isinstance(answer, dict):
        raise _LostError(url, "not an object")
    return answer


def _read_events(
    response: urllib3.BaseHTTPResponse, url: str
) -> collections.abc.Iterator[tuple[Item, ...]]:
    if response.status != 200:
        raise errors.StoreUnavailableError(url, f"status {response.status}")
    incomplete = b""
    for chunk in response.stream(65_536, decode_content=True):
        *lines, incomplete = (incomplete + chunk).split(b"\n")
        for line in lines:
            if not line.strip():
                continue
            result = _parse_object(line, 200, url).get("result", {})
            if result.get("canceled"):
                reason = result.get("cancel_reason") or "the changes are compacted"
                raise errors.StoreUnavailableError(url, f"watch cancelled: {reason}")
            items = tuple(_parse_event(event) for event in result.get("events", []))
            if items:
                yield items


def _parse_event(event: dict[str, typing.Any]) -> Item:
    item = _parse_item(event["kv"])
    return item._replace(value="") if event.get("type") == "DELETE" else item


def _parse_item(kv: dict[str, typing.Any]) -> Item:
    return Item(
        _from_base64(kv["key"]),
        _from_base64(kv.get("value", "")),
        int(kv["mod_revision"]),
    )


def _parse_revision(answer: dict[str, typing.Any]) -> int:
    return int(answer.get("header", {}).get("revision", 0))


def _parse_current_revision(answer: dict[str, typing.Any]) -> int:
    """Return the revision of the key in the response to a failed comparison.

    The result is 0 if the key does not exist.
    """
    for response in answer.get("responses", []):
        for kv in response.get("response_range", {}).get("kvs", []):
            return int(kv["mod_revision"])
    return 0


def _to_base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _from_base64(text: str) -> str:
    return base64.b64decode(text).decode()


def _end_of_prefix(prefix: str) -> str:
    """Return the first key after all keys with a prefix, for a range of keys."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
