"""Tasks that speak to the platform's store, each a thread with its own connection.

One watches the configuration, one keeps this daemon's entry and reads who else is
there, one reads the workers' reports, and one takes tenures. Each logs when it loses
the store and when it has it again.
"""

import queue
import random
import threading

import msgspec

from carawaysail_fleet import backoff, messages, ports
from carawaysail_platform import errors
from carawaysail_runtime import inbox, logs
from carawaysail_types import clock, daemons
from carawaysail_types import errors as type_errors

WATCH_WAIT = clock.milliseconds(15_000)
"""Below the 20 s of history that the store keeps: a watch goes on from there."""

RENEW_EVERY = clock.milliseconds(1000)
LEASE_TTL = clock.milliseconds(3000)
REPORTS_EVERY = clock.milliseconds(700)
"""A worker that drains may be used for two seconds: two reads fall into that."""

NO_CONFIGURATION_S = 0.2
"""Pause until the configuration is looked for again, in seconds."""

PREFIX = "carawaysail/"
DAEMONS_PREFIX = PREFIX + "daemon/"
HOLDERS_PREFIX = PREFIX + "holder/"

_encode = msgspec.json.encode


class _Task:
    """A thread that repeats a step until it is told to end."""

    name = "store"

    def __init__(
        self, store: ports.Store, out: "inbox.Inbox[messages.Message]", seed: int
    ) -> None:
        self._store = store
        self._out = out
        self._backoff = backoff.Backoff(random.Random(seed))
        self._ending = threading.Event()
        self._has_store = True
        self._thread = threading.Thread(target=self._run, name=self.name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Tell the thread to end after its present call."""
        self._ending.set()

    def _run(self) -> None:
        while not self._ending.is_set():
            try:
                pause_s = self._step()
            except errors.HistoryLostError as exc:
                name = self.name
                logs.log_event(
                    "store", "History forgotten.", task=name, after=exc.after
                )
                pause_s = 0.0
            except type_errors.CarawaysailError as exc:
                self._lost(exc)
                pause_s = self._backoff.next_pause_s()
            else:
                self._regained()
            self._ending.wait(pause_s)

    def _step(self) -> float:
        """Do one step; return the pause after it, in seconds."""
        raise NotImplementedError

    def _lost(self, exc: type_errors.CarawaysailError) -> None:
        if self._has_store:
            self._has_store = False
            logs.log_error("store", "Store lost.", exc, task=self.name)

    def _regained(self) -> None:
        self._backoff.reset()
        if not self._has_store:
            self._has_store = True
            logs.log_event("store", "Store regained.", task=self.name)


class _Watcher(_Task):
    """A task that reads once and then watches what changes."""

    def __init__(
        self, store: ports.Store, out: "inbox.Inbox[messages.Message]", seed: int
    ) -> None:
        super().__init__(store, out, seed)
        self._after = 0

    def _watch(self, prefix: str) -> ports.WatchResult:
        """Wait for changes; where a call fails, the next one goes on from there.

        A watch that the store has forgotten the history of begins with a read.
        """
        after = self._after
        try:
            seen = self._store.wait(prefix, after, WATCH_WAIT)
        except errors.HistoryLostError:
            self._after = 0
            raise
        self._after = max(after, seen.revision)
        return seen


class ConfigurationTask(_Watcher):
    """Watches the operators' configuration, and reads it fresh where that fails."""

    name = "configuration"

    def __init__(
        self,
        store: ports.Store,
        directory: ports.StoreCodec,
        out: "inbox.Inbox[messages.Message]",
        seed: int,
    ) -> None:
        super().__init__(store, out, seed)
        self._directory = directory

    def _step(self) -> float:
        key = self._directory.configuration_key
        if not self._after:
            item = self._store.read(key)
            if item is None:
                return NO_CONFIGURATION_S
            self._take(item)
            self._after = item.revision
        seen = self._watch(key)
        for item in seen.changed:
            if item.key == key:
                self._take(item)
        return 0.0

    def _take(self, item: ports.Item) -> None:
        try:
            found = self._directory.configuration(item.value)
        except type_errors.CarawaysailError as exc:
            logs.log_error("store", "Configuration unreadable.", exc)
            return
        self._out.put(messages.ConfigurationRead(found))


class LeaseTask(_Task):
    """Keeps this daemon's entry in the store under a lease."""

    name = "lease"

    def __init__(
        self,
        store: ports.Store,
        me: daemons.Daemon,
        out: "inbox.Inbox[messages.Message]",
        seed: int,
    ) -> None:
        super().__init__(store, out, seed)
        self._me = me
        self._lease = 0

    def _step(self) -> float:
        if not self._lease or not self._store.renew(self._lease):
            self._lease = self._store.grant(LEASE_TTL)
            self._register()
        return RENEW_EVERY.total_seconds()

    def _register(self) -> None:
        key = DAEMONS_PREFIX + self._me.vm
        known = self._store.read(key)
        revision = known.revision if known is not None else 0
        self._store.compare_and_swap(key, revision, _encode(self._me), self._lease)
        logs.log_event("store", "Registered.", lease=self._lease)

    def deregister(self) -> None:
        """End the lease, so that the entry goes at once; best effort."""
        if self._lease:
            try:
                self._store.revoke(self._lease)
            except type_errors.CarawaysailError as exc:
                logs.log_error("store", "Lease not ended.", exc)


class MembersTask(_Watcher):
    """Follows the entries of all daemons and tenures by a watch."""

    name = "members"

    def __init__(
        self, store: ports.Store, out: "inbox.Inbox[messages.Message]", seed: int
    ) -> None:
        super().__init__(store, out, seed)
        self._items: dict[str, ports.Item] = {}

    def _step(self) -> float:
        if not self._after:
            snapshot = self._store.list(PREFIX)
            self._items = {item.key: item for item in snapshot.items}
            self._after = snapshot.revision
            self._tell()
        seen = self._watch(PREFIX)
        for key in seen.removed:
            self._items.pop(key, None)
        for item in seen.changed:
            self._items[item.key] = item
        if seen.changed or seen.removed:
            self._tell()
        return 0.0

    def _tell(self) -> None:
        found, tenures = [], []
        for item in self._items.values():
            try:
                if item.key.startswith(DAEMONS_PREFIX):
                    found.append(msgspec.json.decode(item.value, type=daemons.Daemon))
                elif item.key.startswith(HOLDERS_PREFIX):
                    tenures.append(decode_holder(item))
            except msgspec.MsgspecError as exc:
                logs.log_error("store", "Entry unreadable.", exc, key=item.key)
        self._out.put(messages.MembersRead(tuple(found), tuple(tenures)))


def decode_holder(item: ports.Item) -> daemons.Holder:
    """Return the tenure that an entry of the store holds."""
    holder = msgspec.json.decode(item.value, type=daemons.Daemon)
    place = item.key.removeprefix(HOLDERS_PREFIX)
    return daemons.Holder(place, holder.vm, holder.incarnation, item.revision)


class ReportsTask(_Task):
    """Reads the workers' reports while this daemon needs them."""

    name = "reports"

    def __init__(
        self,
        store: ports.Store,
        directory: ports.StoreCodec,
        out: "inbox.Inbox[messages.Message]",
        seed: int,
        source: clock.Clock,
    ) -> None:
        super().__init__(store, out, seed)
        self._directory = directory
        self._clock = source
        self._beats: dict[str, int] = {}
        self._revision = 0
        self._is_fresh_wanted = False
        self._wanted = threading.Event()
        self._now = threading.Event()

    def set_needed(self, is_needed: bool) -> None:
        """Say whether reports are needed; the first ones are read at once."""
        if is_needed and not self._wanted.is_set():
            self.refresh()
            self._wanted.set()
        elif not is_needed:
            self._wanted.clear()

    def refresh(self) -> None:
        """Read at once, and not from a stale copy."""
        self._is_fresh_wanted = True
        self._now.set()

    def stop(self) -> None:
        """Tell the thread to end."""
        super().stop()
        self._now.set()
        self._wanted.set()

    def _step(self) -> float:
        self._wanted.wait()
        if self._ending.is_set():
            return 0.0
        self._now.clear()
        found, beating = [], set()
        asked = self._clock.now()
        for item in self._read().items:
            decoded = self._directory.report(item)
            if decoded is None:
                continue
            report, beat = decoded
            found.append(report)
            if self._beats.get(report.worker_id) != beat:
                beating.add(report.data_centre)
            self._beats[report.worker_id] = beat
        self._out.put(messages.ReportsRead(tuple(found), frozenset(beating), asked))
        self._now.wait(REPORTS_EVERY.total_seconds())
        return 0.0

    def _read(self) -> ports.Snapshot:
        """Read cheaply, and fresh where the cheap answer is older than the last."""
        prefix = self._directory.reports_prefix
        allow_stale = bool(self._revision) and not self._is_fresh_wanted
        self._is_fresh_wanted = False
        snapshot = self._store.list(prefix, allow_stale)
        if snapshot.revision <= self._revision:
            snapshot = self._store.list(prefix)
        self._revision = max(self._revision, snapshot.revision)
        return snapshot


class ClaimTask(_Task):
    """Takes tenures by conditional writes."""

    name = "claims"

    def __init__(
        self,
        store: ports.Store,
        me: daemons.Daemon,
        out: "inbox.Inbox[messages.Message]",
        seed: int,
    ) -> None:
        super().__init__(store, out, seed)
        self._me = me
        self._claims: queue.SimpleQueue[tuple[str, int] | None] = queue.SimpleQueue()

    def claim(self, data_centre: str, token: int) -> None:
        """Try to replace the tenure that has a token; 0 for none."""
        self._claims.put((data_centre, token))

    def stop(self) -> None:
        """Tell the thread to end."""
        super().stop()
        self._claims.put(None)

    def _step(self) -> float:
        claim = self._claims.get()
        if claim is None:
            return 0.0
        data_centre, token = claim
        try:
            tenure = self._try(data_centre, token)
        except type_errors.CarawaysailError:
            self._out.put(messages.ClaimAnswered(data_centre, None))
            raise
        self._out.put(messages.ClaimAnswered(data_centre, tenure))
        return 0.0

    def _try(self, data_centre: str, token: int) -> daemons.Holder | None:
        key = HOLDERS_PREFIX + data_centre
        me = self._me
        try:
            revision = self._store.compare_and_swap(key, token, _encode(me))
        except (errors.WriteConflictError, errors.WriteUncertainError):
            item = self._store.read(key)
            return decode_holder(item) if item is not None else None
        return daemons.Holder(data_centre, me.vm, me.incarnation, revision)
