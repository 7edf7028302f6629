"""A stand-in key-value service: etcd's interface in its JSON mapping, in memory.

It has compare-and-swap, leases and watches, and counts calls by path; a watch counts
as one call for as long as it lasts.
"""

import base64
import collections
import collections.abc
import json
import threading
import typing

from carawaysail_standins import faults, web
from carawaysail_types import clock

THREAD_COUNT = 64
"""Each watch occupies a thread of the server for as long as it lasts."""

WATCH_WAIT_S = 5.0
"""Longest time between two results of a watch that does not lag."""


class Change(typing.NamedTuple):
    """One change of a key.

    Parameters
    ----------
    at_s : float
        Monotonic time of the change, in seconds.
    revision : int
        Revision of the store after the change.
    key, value : str
        The key and its value, in base64; the value is empty for a deletion.
    """

    at_s: float
    revision: int
    key: str
    value: str


class Store:
    """The key-value service.

    Parameters
    ----------
    port : int
        Port on loopback; 0 for any unused one.
    """

    def __init__(self, port: int) -> None:
        self.faults = faults.ActiveFaults("store")
        self.calls: collections.Counter[str] = collections.Counter()
        self._clock = clock.SystemClock()
        self._changed = threading.Condition()
        self._revision = 1
        self._items: dict[bytes, Change] = {}
        self._changes: list[Change] = []
        self._lease_ends_s: dict[str, float] = {}
        self.server = web.WebServer(
            self._handle, port, THREAD_COUNT, self._notify_watchers
        )
        self._handlers: dict[
            str, collections.abc.Callable[[typing.Any], typing.Any]
        ] = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
        }

    def _notify_watchers(self) -> None:
        with self._changed:
            self._changed.notify_all()

    def _handle(self, request: web.Request) -> web.Response:
        if request.path == "/faults":
            self.faults.set(request.json())
            return web.json_response({})
        if request.path == "/calls":
            return web.json_response(dict(self.calls))
        with self._changed:
            self.calls[request.path] += 1
        if self.faults.value("down"):
            return web.json_response({"error": "down"}, 503)
        self._clock.sleep_s(self.faults.value("slow_store"))
        if request.path == "/v3/watch":
            return web.Response(200, self._watch(request.json()["create_request"]))
        handler = self._handlers.get(request.path)
        if handler is None:
            return web.json_response({"error": "no such call"}, 404)
        with self._changed:
            value = handler(request.json())
        if request.path == "/v3/kv/txn" and self.faults.value("lost_answers"):
            return web.json_response({"error": "lost"}, 500)
        return web.json_response(value)

    def _header(self) -> dict[str, typing.Any]:
        return {"header": {"revision": str(self._revision)}}

    def _range(self, body: typing.Any) -> typing.Any:
        first = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        kvs = [
            _kv(change)
            for key, change in sorted(self._items.items())
            if key == first or (end and first <= key < end)
        ]
        return {**self._header(), "kvs": kvs}

    def _txn(self, body: typing.Any) -> typing.Any:
        compare = body["compare"][0]
        item = self._items.get(base64.b64decode(compare["key"]))
        current_revision = item.revision if item else 0
        if current_revision != int(compare["mod_revision"]):
            kvs = [_kv(item)] if item else []
            responses = [{"response_range": {"kvs": kvs}}]
            return {**self._header(), "succeeded": False, "responses": responses}
        for change in body["success"]:
            if "requestPut" in change:
                put = change["requestPut"]
                self._write(put["key"], put["value"])
            else:
                self._write(change["requestDeleteRange"]["key"], "")
        return {**self._header(), "succeeded": True}

    def _write(self, key: str, value: str) -> None:
        self._revision += 1
        change = Change(self._clock.seconds(), self._revision, key, value)
        self._changes.append(change)
        if value:
            self._items[base64.b64decode(key)] = change
        else:
            self._items.pop(base64.b64decode(key), None)
        self._changed.notify_all()

    def _grant(self, body: typing.Any) -> typing.Any:
        lease_id = str(len(self._lease_ends_s) + 1)
        self._lease_ends_s[lease_id] = self._clock.seconds() + float(body["TTL"])
        return {**self._header(), "ID": lease_id, "TTL": body["TTL"]}

    def _keep_alive(self, body: typing.Any) -> typing.Any:
        """Answer with TTL 0 if the lease has expired; the call does not extend it."""
        end_s = self._lease_ends_s.get(str(body["ID"]), 0.0)
        is_alive = end_s > self._clock.seconds()
        return {"result": {"ID": body["ID"], "TTL": "10" if is_alive else "0"}}

    def _watch(self, request: typing.Any) -> typing.Iterator[bytes]:
        first = base64.b64decode(request["key"])
        end = base64.b64decode(request["range_end"])
        after_revision = int(request["start_revision"]) - 1
        yield json.dumps({"result": {"created": True}}).encode() + b"\n"
        while not (self.faults.value("down") or self.server.ending.is_set()):
            found = self._since(after_revision, first, end)
            after_revision = found[-1].revision if found else after_revision
            # A result without events is etcd's progress notification. Writing it also
            # raises an error if the caller has closed the connection.
            result = {**self._header(), "events": [_event(change) for change in found]}
            yield json.dumps({"result": result}).encode() + b"\n"

    def _since(self, after_revision: int, first: bytes, end: bytes) -> list[Change]:
        """Return the changes of a key range after a revision.

        Without any, wait for the next change or the timeout and return an empty list.
        """
        with self._changed:
            lag_s = self.faults.value("lagging_watch")
            found = [
                change
                for change in self._changes
                if change.revision > after_revision
                and first <= base64.b64decode(change.key) < end
                and self._clock.seconds() - change.at_s >= lag_s
            ]
            if not found and not self.server.ending.is_set():
                self._changed.wait(lag_s or WATCH_WAIT_S)
            return found


def _kv(change: Change) -> dict[str, str]:
    kv = {"key": change.key, "mod_revision": str(change.revision)}
    return {**kv, "value": change.value} if change.value else kv


def _event(change: Change) -> dict[str, typing.Any]:
    if change.value:
        return {"kv": _kv(change)}
    return {"type": "DELETE", "kv": _kv(change)}
