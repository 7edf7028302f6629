"""The store as each daemon sees it: with the proxy's addresses of the links it uses."""

import base64
import collections.abc
import json
import typing

import msgspec

from carawaysail_platform_standins import events, store
from carawaysail_standins import web
from carawaysail_types import daemons

ADDRESS_FIELD = daemons.Daemon._fields.index("address")
REWRITTEN_CALLS = ("/-/kv-key", "/-/kv-range", "/-/kv-watch")

View = collections.abc.Callable[[str, str], str | None]
"""Returns the address that a reader, named by its own IP address, is to use instead of
an address in the store; ``None`` for an address that is not the proxy's concern."""


class LinkedStore(store.Store):
    """A store whose answers name the proxy's addresses instead of the real ones.

    Parameters
    ----------
    view : callable
        Maps a reader and an address to the address that the reader is to use.
    threads : int
        Number of calls that are handled at once.
    record : events.Record
        Takes an event for each key that a client writes or removes.
    """

    def __init__(self, view: View, threads: int, record: events.Record) -> None:
        super().__init__(0, threads, record)
        self._view = view

    def value(self, key: str) -> bytes:
        """Return the value of a key; empty if there is none."""
        with self._changed:
            item = self._items.get(key)
        return base64.b64decode(item.value) if item is not None else b""

    def _handle(self, request: web.Request) -> web.Response:
        response = super()._handle(request)
        if request.path not in REWRITTEN_CALLS or response.status != 200:
            return response
        reader = str(request.headers.get("REMOTE_ADDR", ""))
        record = json.loads(typing.cast(bytes, response.body))
        for row in [record, *record.get("items", ()), *record.get("events", ())]:
            if "value" in row:
                row["value"] = self._rewrite(reader, row["value"])
        return web.json_response(record)

    def _rewrite(self, reader: str, value: str) -> str:
        """Rewrite the address in a worker's report or in the record of a daemon."""
        try:
            entry = msgspec.json.decode(base64.b64decode(value))
            key = "address" if isinstance(entry, dict) else ADDRESS_FIELD
            address = self._view(reader, entry[key])
        except (
            msgspec.MsgspecError, ValueError, LookupError, TypeError, RecursionError
        ):  # fmt: skip
            return value
        if address is None:
            return value
        entry[key] = address
        return base64.b64encode(msgspec.json.encode(entry)).decode()
