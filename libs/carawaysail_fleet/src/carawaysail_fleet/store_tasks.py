"""Tasks that call the platform's store, each a thread with its own connection.

``ConfigurationTask`` watches the operators' configuration, ``LeaseTask`` keeps this
daemon registered under a lease, ``MembersTask`` watches the entries of all daemons and
holders, ``ReportsTask`` reads the workers' reports, and ``ClaimTask`` claims data
centres. Each logs when the store becomes unreachable and when it is reachable again.
"""

import datetime
import queue
import threading
import typing

import msgspec

from carawaysail_fleet import member_records, messages, ports, store_thread
from carawaysail_platform import errors
from carawaysail_runtime import logs
from carawaysail_types import clock, daemons
from carawaysail_types import errors as type_errors

LEASE_RENEWAL_INTERVAL = clock.milliseconds(1000)
LEASE_TTL = clock.milliseconds(3000)
WATCH_PAUSE_PER_MEMBER_S = 0.001
"""Pause between two watches of the daemons, for each daemon; while a large fleet
starts, one watch then returns the changes of many."""

CONFIGURATION_RETRY_S = 0.2
"""Pause before the next read if the store has no configuration."""

_encode = msgspec.json.encode


class ConfigurationTask(store_thread.WatchThread):
    """Watches the operators' configuration; reads it anew if its history is lost.

    Parameters
    ----------
    codec : ports.StoreCodec
        Key and format of the configuration.
    """

    name = "configuration"

    def __init__(
        self, store: ports.Store, codec: ports.StoreCodec, context: store_thread.Context
    ) -> None:
        super().__init__(store, context)
        self._codec = codec

    def _step(self) -> float:
        key = self._codec.configuration_key
        if not self._after:
            # A listing has the store's revision. The entry's own may be older than the
            # history, so that a watch from there would fail again and again.
            snapshot = self._store.list(key)
            found = [item for item in snapshot.items if item.key == key]
            if not found:
                return CONFIGURATION_RETRY_S
            self._publish(found[0])
            self._after = snapshot.revision
        result = self._watch(key)
        for item in result.changed:
            if item.key == key:
                self._publish(item)
        return 0.0

    def _publish(self, item: ports.Item) -> None:
        try:
            configuration = self._codec.configuration(item.value)
        except type_errors.CarawaysailError as exc:
            logs.log_error("store", "Configuration unreadable.", exc)
            return
        self._loop_inbox.put(
            messages.ConfigurationRead(configuration, self._clock.now())
        )


class EntryView(typing.NamedTuple):
    """What the store had under the key of this daemon's entry.

    Parameters
    ----------
    revision : int
        Revision of the store up to which the view is complete.
    daemon : daemons.Daemon or None
        Daemon that the entry names; ``None`` without a readable entry.
    """

    revision: int
    daemon: daemons.Daemon | None


class LeaseTask(store_thread.StoreThread):
    """Keeps this daemon's entry in the store under a lease that it renews.

    The entry counts as registered once a write was confirmed or a read has shown it
    with the present lease, and until ``record_view`` or an expired lease says that it
    is gone. Whatever removes or replaces it, it is written again.

    Parameters
    ----------
    me : daemons.Daemon
        This daemon; its record is the entry's value.

    Attributes
    ----------
    key : str
        Key of the entry.
    """

    name = "lease"

    def __init__(
        self, store: ports.Store, me: daemons.Daemon, context: store_thread.Context
    ) -> None:
        super().__init__(store, context)
        self.key = member_records.DAEMONS_PREFIX + me.vm
        self._me = me
        self._lease = 0
        # Revision of the entry; 0 while it is not known to be in the store.
        self._entry_revision = 0
        self._views: queue.SimpleQueue[EntryView | None] = queue.SimpleQueue()

    def record_view(self, view: EntryView) -> None:
        """Compare a view of the store with the entry; called by other threads."""
        self._views.put(view)

    def stop(self) -> None:
        """Let the thread end; ends its pause."""
        super().stop()
        self._views.put(None)

    def _step(self) -> float:
        if not self._lease or not self._store.renew(self._lease):
            self._entry_revision = 0
            self._lease = self._store.grant(LEASE_TTL)
        if not self._entry_revision:
            self._entry_revision = self._register()
            logs.log_event("store", "Registered.", lease=self._lease)
        return LEASE_RENEWAL_INTERVAL.total_seconds()

    def _register(self) -> int:
        """Write the entry unless it stands already; return its revision."""
        item = self._store.read(self.key)
        value = _encode(self._me)
        if item is not None and (item.value, item.lease) == (value, self._lease):
            return item.revision
        revision = item.revision if item is not None else 0
        return self._store.compare_and_swap(self.key, revision, value, self._lease)

    def _pause(self, pause_s: float) -> None:
        """Wait between two steps, less long if the entry turns out to be lost."""
        end = self._clock.now() + datetime.timedelta(seconds=pause_s)
        while not self._is_stopping.is_set():
            remaining_s = (end - self._clock.now()).total_seconds()
            try:
                view = self._views.get(timeout=max(0.0, remaining_s))
            except queue.Empty:
                return
            if view is not None and self._is_loss(view):
                self._entry_revision = 0
                logs.log_event(
                    "store", "Entry lost.", lease=self._lease, revision=view.revision
                )
                # With jitter, since all daemons may have lost theirs.
                self._is_stopping.wait(self._backoff.next_pause_s())
                return

    def _is_loss(self, view: EntryView) -> bool:
        """Return whether a view shows that the entry has been removed or replaced."""
        is_later = 0 < self._entry_revision <= view.revision
        return is_later and view.daemon != self._me

    def deregister(self) -> None:
        """Revoke the lease, which removes the entry at once; log a failure."""
        if self._lease:
            try:
                self._store.revoke(self._lease)
            except type_errors.CarawaysailError as exc:
                logs.log_error("store", "Lease not revoked.", exc)


class MembersTask(store_thread.WatchThread):
    """Watches the entries of all daemons and holders.

    Parameters
    ----------
    lease : LeaseTask, optional
        Is shown what the store has under the key of this daemon's own entry.
    """

    name = "members"

    def __init__(
        self,
        store: ports.Store,
        context: store_thread.Context,
        lease: LeaseTask | None = None,
    ) -> None:
        super().__init__(store, context)
        self._lease = lease
        self._registered: dict[str, daemons.Daemon] = {}
        self._entry_revisions: dict[str, int] = {}
        self._holders: dict[str, member_records.HolderRecord] = {}
        self._unreadable_keys: set[str] = set()

    def _step(self) -> float:
        if not self._after:
            snapshot = self._store.list(member_records.PREFIX)
            self._registered.clear()
            self._entry_revisions.clear()
            self._holders.clear()
            for item in snapshot.items:
                self._record(item)
            self._after = snapshot.revision
            self._publish()
        result = self._watch(member_records.PREFIX)
        for key in result.removed:
            self._remove(key)
        for item in result.changed:
            self._record(item)
        if result.changed or result.removed:
            self._publish()
        return WATCH_PAUSE_PER_MEMBER_S * len(self._registered)

    def _longest_wait(self) -> datetime.timedelta:
        """Return how long the store may hold a watch back.

        It is longer than that of the configuration, since holders also travel on
        heartbeats, and an entry outlives its daemon by the lease in any case.
        """
        return max(self._limits.watch_wait, LEASE_TTL)

    def _record(self, item: ports.Item) -> None:
        """Record an entry; one that cannot be read counts as removed, and is logged."""
        key = item.key
        try:
            if key.startswith(member_records.DAEMONS_PREFIX):
                self._registered[key] = member_records.decode_daemon(item)
                self._entry_revisions[key] = item.revision
            elif key.startswith(member_records.HOLDERS_PREFIX):
                self._holders[key] = member_records.decode_holder(item)
            self._unreadable_keys.discard(key)
        except type_errors.BadInputError as exc:
            is_known = key in self._unreadable_keys
            self._remove(key)
            self._unreadable_keys.add(key)
            if not is_known:
                logs.log_error("store", "Entry unreadable.", exc, key=key)

    def _remove(self, key: str) -> None:
        self._registered.pop(key, None)
        self._entry_revisions.pop(key, None)
        self._holders.pop(key, None)
        self._unreadable_keys.discard(key)

    def _publish(self) -> None:
        if self._lease is not None:
            own_entry = self._registered.get(self._lease.key)
            self._lease.record_view(EntryView(self._after, own_entry))
        self._loop_inbox.put(
            messages.MembersRead(
                tuple(self._registered.values()),
                tuple(x.holder for x in self._holders.values()),
                self._holding(),
            )
        )

    def _holding(self) -> tuple[daemons.Daemon, ...]:
        """Return the daemons that became a holder after the entry of their VM.

        One process runs on a VM at a time, so the later write is that of the later one.
        """
        newest: dict[str, daemons.Daemon] = {}
        for record in sorted(self._holders.values(), key=lambda x: x.holder.token):
            key = member_records.DAEMONS_PREFIX + record.daemon.vm
            is_later = record.holder.token > self._entry_revisions.get(key, 0)
            if is_later:
                newest[record.daemon.vm] = record.daemon
        return tuple(
            x
            for vm, x in newest.items()
            if self._registered.get(member_records.DAEMONS_PREFIX + vm) != x
        )


class ReportsTask(store_thread.StoreThread):
    """Reads the workers' reports at an interval while this daemon needs them.

    All reads are linearizable: nothing in a stale answer says how old it is.

    Parameters
    ----------
    codec : ports.StoreCodec
        Keys and format of the reports.
    interval : datetime.timedelta
        Time from the beginning of a read to that of the next.
    """

    name = "reports"

    def __init__(
        self,
        store: ports.Store,
        codec: ports.StoreCodec,
        interval: datetime.timedelta,
        context: store_thread.Context,
    ) -> None:
        super().__init__(store, context)
        self._codec = codec
        self._interval = interval
        self._heartbeats: dict[str, int] = {}
        self._is_needed = threading.Event()
        self._read_now = threading.Event()

    def set_needed(self, is_needed: bool) -> None:
        """Start or stop the reads; the first read comes at once."""
        if is_needed and not self._is_needed.is_set():
            self.refresh()
            self._is_needed.set()
        elif not is_needed:
            self._is_needed.clear()

    def set_interval(self, interval: datetime.timedelta) -> None:
        """Set the time from the beginning of a read to that of the next."""
        self._interval = interval

    def refresh(self) -> None:
        """Read at once; if a read is under way, once more after it."""
        self._read_now.set()

    def stop(self) -> None:
        """Let the thread end; ends a wait of its step."""
        super().stop()
        self._read_now.set()
        self._is_needed.set()

    def _step(self) -> float:
        self._is_needed.wait()
        if self._is_stopping.is_set():
            return 0.0
        self._read_now.clear()
        requested_at = self._call_began_at = self._clock.now()
        overdue_at = requested_at + self._limits.call_timeout
        self._loop_inbox.put(messages.ReportsRequested(overdue_at))
        try:
            self._read(requested_at, overdue_at)
        except Exception:
            self._loop_inbox.put(messages.ReportsFailed(self._clock.now()))
            raise
        remaining = requested_at + self._interval - self._clock.now()
        self._read_now.wait(max(0.0, remaining.total_seconds()))
        return 0.0

    def _read(
        self, requested_at: datetime.datetime, overdue_at: datetime.datetime
    ) -> None:
        """Read the reports and publish them."""
        snapshot = self._store.list(self._codec.reports_prefix)
        answered_at = self._clock.now()
        reports, live_data_centres = [], set()
        for item in snapshot.items:
            decoded = self._codec.report(item)
            if decoded is None:
                continue
            report, heartbeat = decoded
            reports.append(report)
            if self._heartbeats.get(report.worker_id) != heartbeat:
                live_data_centres.add(report.data_centre)
            self._heartbeats[report.worker_id] = heartbeat
        if answered_at > overdue_at:
            self._loop_inbox.put(messages.ReportsFailed(answered_at))
        self._loop_inbox.put(
            messages.ReportsRead(
                tuple(reports), frozenset(live_data_centres), requested_at
            )
        )


class ClaimTask(store_thread.StoreThread):
    """Claims data centres for this daemon by conditional writes.

    Parameters
    ----------
    me : daemons.Daemon
        This daemon; its record is the value that is written.
    """

    name = "claims"

    def __init__(
        self, store: ports.Store, me: daemons.Daemon, context: store_thread.Context
    ) -> None:
        super().__init__(store, context)
        self._me = me
        self._claims: queue.SimpleQueue[tuple[str, int] | None] = queue.SimpleQueue()

    def claim(self, data_centre: str, token: int) -> None:
        """Queue a claim of a data centre; the result comes as ``ClaimResultReceived``.

        Parameters
        ----------
        data_centre : str
            The data centre.
        token : int
            Fencing token of the holder to be replaced; 0 if there is none.
        """
        self._claims.put((data_centre, token))

    def stop(self) -> None:
        """Let the thread end; ends a wait of its step."""
        super().stop()
        self._claims.put(None)

    def _step(self) -> float:
        claim = self._claims.get()
        if claim is None:
            return 0.0
        data_centre, token = claim
        self._call_began_at = self._clock.now()
        try:
            holder = self._write_claim(data_centre, token)
        except Exception:
            self._loop_inbox.put(messages.ClaimResultReceived(data_centre, None))
            raise
        self._loop_inbox.put(messages.ClaimResultReceived(data_centre, holder))
        return 0.0

    def _write_claim(self, data_centre: str, token: int) -> daemons.Holder | None:
        """Write a claim; return the data centre's holder, ``None`` if there is none.

        After a conflict, or a write whose result is unknown, the entry is read.
        """
        key = member_records.HOLDERS_PREFIX + data_centre
        me = self._me
        try:
            revision = self._store.compare_and_swap(key, token, _encode(me))
        except (errors.WriteConflictError, errors.WriteUncertainError):
            item = self._store.read(key)
            return self._holder_of(item) if item is not None else None
        return daemons.Holder(data_centre, me.vm, me.incarnation, revision)

    def _holder_of(self, item: ports.Item) -> daemons.Holder:
        """Return the holder of an entry; one without a VM if it is unreadable.

        The revision of an unreadable entry is the fencing token that the next claim
        needs to replace it.
        """
        try:
            return member_records.decode_holder(item).holder
        except type_errors.BadInputError as exc:
            logs.log_error("store", "Entry unreadable.", exc, key=item.key)
            data_centre = item.key.removeprefix(member_records.HOLDERS_PREFIX)
            return daemons.Holder(data_centre, "", "", item.revision)
