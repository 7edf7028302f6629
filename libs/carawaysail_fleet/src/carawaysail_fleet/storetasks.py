"""Tasks that speak to the platform's store, each a thread with its own connection.

One watches the configuration, one keeps this daemon's entry and reads who else is
there, one reads the workers' reports, and one takes tenures. Each logs when it loses
the store and when it has it again.
"""

import queue
import random
import threading

import msgspec

from carawaysail_fleet import messages, ports
from carawaysail_platform import errors
from carawaysail_runtime import inbox, logs
from carawaysail_types import clock, daemons
from carawaysail_types import errors as type_errors

WATCH_WAIT = clock.milliseconds(1500)
"""Longest wait of a watch: a watch whose connection went silent is left in time."""

MEMBERS_EVERY = clock.milliseconds(1000)
REPORTS_EVERY = clock.milliseconds(700)
"""A worker that drains may be used for two seconds: two reads fall into that."""

REPORTS_IDLE_EVERY = clock.milliseconds(2000)
"""Readers that hold no worker only look for data centres without daemons."""

LEASE_TTL = clock.milliseconds(3000)
RETRY_S = (0.15, 0.35)
"""Pause after a failed call: drawn between these, so that daemons spread."""

PREFIX = "carawaysail/"
DAEMONS = PREFIX + "daemon/"
TENURES = PREFIX + "holder/"

_encode = msgspec.json.encode


class _Task:
    """A thread that repeats a step until it is told to end."""

    name = "store"

    def __init__(
        self, store: ports.Store, out: "inbox.Inbox[messages.Message]", seed: int
    ) -> None:
        self._store = store
        self._out = out
        self._random = random.Random(seed)
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
            except type_errors.CarawaysailError as exc:
                self._lost(exc)
                pause_s = self._random.uniform(*RETRY_S)
            else:
                self._regained()
            self._ending.wait(pause_s)

    def _step(self) -> float:
        """Do one step; return the pause after it, in seconds."""
        raise NotImplementedError

    def _lost(self, exc: type_errors.CarawaysailError) -> None:
        if self._has_store:
            self._has_store = False
            logs.fault("store", "Store lost.", exc, task=self.name)

    def _regained(self) -> None:
        if not self._has_store:
            self._has_store = True
            logs.tell("store", "Store regained.", task=self.name)


class ConfigurationTask(_Task):
    """Watches the operators' configuration; every version comes from a fresh read."""

    name = "configuration"

    def __init__(
        self,
        store: ports.Store,
        directory: ports.Directory,
        out: "inbox.Inbox[messages.Message]",
        seed: int,
    ) -> None:
        super().__init__(store, out, seed)
        self._directory = directory
        self._revision = -1
        self._after = 0

    def _step(self) -> float:
        key = self._directory.configuration_key
        item = self._store.read(key)
        if item is None:
            return 0.2
        if item.revision != self._revision:
            self._take(item)
        self._watch(key, item.revision)
        return 0.0

    def _take(self, item: ports.Item) -> None:
        self._revision = item.revision
        try:
            found = self._directory.configuration(item.value)
        except type_errors.CarawaysailError as exc:
            logs.fault("store", "Configuration unreadable.", exc)
            return
        self._out.put(messages.Configured(found))

    def _watch(self, key: str, revision: int) -> None:
        """Wait until the key has changed, with a read now and then in between."""
        after = revision
        for _ in range(WATCHES_A_READ):
            if self._ending.is_set():
                return
            seen = self._store.wait(key, after, WATCH_WAIT)
            if seen.has_changed:
                return
            after = seen.revision


WATCHES_A_READ = 4
"""Watches that may bring nothing before the key is read anew."""


class MembersTask(_Task):
    """Keeps this daemon's entry under a lease and reads all daemons and tenures."""

    name = "members"

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
        self._read()
        return MEMBERS_EVERY.total_seconds()

    def _register(self) -> None:
        key = DAEMONS + self._me.vm
        known = self._store.read(key)
        revision = known.revision if known is not None else 0
        self._store.swap(key, revision, _encode(self._me), self._lease)
        logs.tell("store", "Registered.", lease=self._lease)

    def _read(self) -> None:
        found, tenures = [], []
        for item in self._store.list(PREFIX).items:
            try:
                if item.key.startswith(DAEMONS):
                    found.append(msgspec.json.decode(item.value, type=daemons.Daemon))
                elif item.key.startswith(TENURES):
                    tenures.append(decode_tenure(item))
            except msgspec.MsgspecError as exc:
                logs.fault("store", "Entry unreadable.", exc, key=item.key)
        self._out.put(messages.Members(tuple(found), tuple(tenures)))

    def deregister(self) -> None:
        """End the lease, so that the entry goes at once; best effort."""
        if self._lease:
            try:
                self._store.end(self._lease)
            except type_errors.CarawaysailError as exc:
                logs.fault("store", "Lease not ended.", exc)


def decode_tenure(item: ports.Item) -> daemons.Tenure:
    """Return the tenure that an entry of the store holds."""
    holder = msgspec.json.decode(item.value, type=daemons.Daemon)
    place = item.key.removeprefix(TENURES)
    return daemons.Tenure(place, holder.vm, holder.incarnation, item.revision)


class ReportsTask(_Task):
    """Reads the workers' reports, often while this daemon holds some."""

    name = "reports"

    def __init__(
        self,
        store: ports.Store,
        directory: ports.Directory,
        out: "inbox.Inbox[messages.Message]",
        seed: int,
    ) -> None:
        super().__init__(store, out, seed)
        self._directory = directory
        self._beats: dict[str, int] = {}
        self._is_holding = False
        self._wanted = threading.Event()

    def hold(self, is_holding: bool) -> None:
        """Say whether this daemon holds workers; read at once if it now does."""
        if is_holding and not self._is_holding:
            self._wanted.set()
        self._is_holding = is_holding

    def _step(self) -> float:
        snapshot = self._store.list(self._directory.reports_prefix)
        found, beating = [], set()
        for item in snapshot.items:
            decoded = self._directory.report(item)
            if decoded is None:
                continue
            report, beat = decoded
            found.append(report)
            if self._beats.get(report.worker_id) != beat:
                beating.add(report.data_centre)
            self._beats[report.worker_id] = beat
        self._out.put(messages.Reports(tuple(found), frozenset(beating)))
        pause = REPORTS_EVERY if self._is_holding else REPORTS_IDLE_EVERY
        self._wanted.wait(pause.total_seconds())
        self._wanted.clear()
        return 0.0


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
            self._out.put(messages.Claimed(data_centre, None))
            raise
        self._out.put(messages.Claimed(data_centre, tenure))
        return 0.0

    def _try(self, data_centre: str, token: int) -> daemons.Tenure | None:
        key = TENURES + data_centre
        me = self._me
        try:
            revision = self._store.swap(key, token, _encode(me))
        except (errors.WriteConflictError, errors.WriteUncertainError):
            item = self._store.read(key)
            return decode_tenure(item) if item is not None else None
        return daemons.Tenure(data_centre, me.vm, me.incarnation, revision)
