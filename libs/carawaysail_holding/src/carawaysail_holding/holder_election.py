"""Holder election: when a daemon claims the workers of a data centre.

A claim is a conditional write to the store, which decides who becomes the holder. The
revision of the write is the fencing token, so workers refuse a daemon that has been
replaced without noticing. This module only decides when a daemon makes a claim: a
leaving, restarted or silent holder is replaced at once by the first-ranked daemon of
its data centre; the others claim one after the other in case that one cannot reach the
store. A holder that the store does not list may be alive: it is contacted first.
"""

import datetime
import hashlib
import typing

from carawaysail_holding import contacts
from carawaysail_types import clock, daemons

FIRST_HEARTBEAT_TIMEOUT = clock.milliseconds(1000)
"""Time for the first message of a daemon that is registered in the store."""

CLAIM_INTERVAL = clock.milliseconds(400)
"""Time that each daemon waits for the one ranked before it to claim, and before it
repeats its own claim."""

MIN_HOLDING_TIME = clock.milliseconds(3200)
"""Least age of a holder that may be alive before it is replaced; above the store's
lease."""

SETTLING_TIME = clock.milliseconds(2000)
"""Time for a restarted daemon to settle before it takes its data centre back from a
remote holder, or claims another data centre."""

UNKNOWN_HOLDER_TIMEOUT = MIN_HOLDING_TIME
"""Time to learn who a holder is before it is replaced; a daemon that runs registers
again within it."""

REFUSED_HOLDER_TIMEOUT = clock.milliseconds(1000)
"""Time in which a holder that a worker has refused hears of the newer one; without one
it claims its data centre again."""

WORKER_REPORT_MAX_AGE = clock.milliseconds(2500)
"""Workers whose report has changed within this time can reach the store."""

SMALL_HOLDER_FACTOR = 2
"""A holder with less than one in so many of another daemon's processors is replaced."""

REREGISTRATION_TIME = clock.milliseconds(2000)
"""Time for the daemons of a data centre that was cut off to register again, once its
workers report to the store again."""


class Claim(typing.NamedTuple):
    """A claim to become the holder of a data centre.

    Parameters
    ----------
    data_centre : str
        The data centre.
    token : int
        Fencing token of the holder record to replace; 0 if there is none.
    cause : str
        Why the holder is to be replaced, for the log.
    """

    data_centre: str
    token: int
    cause: str


class _Peer:
    """An incarnation of another daemon.

    ``is_refusing`` is true while connections to it are refused, ``is_registered`` while
    its entry is in the store. ``contacted_at`` is when this daemon began to connect
    to it, ``None`` without such a connection.
    """

    def __init__(self, daemon: daemons.Daemon, is_registered: bool = True) -> None:
        self.daemon = daemon
        self.contacted_at: datetime.datetime | None = None
        self.last_received_at: datetime.datetime | None = None
        self.is_leaving = False
        self.is_refusing = False
        self.is_registered = is_registered


class HolderElection:
    """One daemon's view of all daemons and holders, and its decision when to claim.

    Parameters
    ----------
    me : daemons.Daemon
        This daemon.
    data_centres : tuple of str
        Names of all data centres.
    now : datetime.datetime
        Present instant.
    """

    def __init__(
        self, me: daemons.Daemon, data_centres: tuple[str, ...], now: datetime.datetime
    ) -> None:
        self.me = me
        self._data_centres = data_centres
        self.is_leaving = False
        self._started_at = now
        self._peers: dict[str, _Peer] = {}
        # What ``peers`` returns; ``None`` after a change.
        self._known_peers: tuple[daemons.Daemon, ...] | None = None
        self._contacted_vms: set[str] = set()
        self._suspect_after = contacts.pace(0).suspect_after()
        self._holders: dict[str, daemons.Holder] = {}
        self._holder_changed_at: dict[str, datetime.datetime] = {}
        self._claimable_since: dict[str, datetime.datetime] = {}
        self._workers_reported_at: dict[str, datetime.datetime] = {}
        self._workers_reporting_since: dict[str, datetime.datetime] = {}
        self._claimed_at: dict[str, datetime.datetime] = {}
        # When a worker refused this daemon as the holder of its data centre.
        self._refused_at: dict[str, datetime.datetime] = {}
        # Registered incarnation of each VM, as of the last read.
        self._listed: dict[str, str] = {}
        # Token of the holder record that was read with the registered daemons, by data
        # centre; other daemons may tell of newer ones.
        self._stored_tokens: dict[str, int] = {}
        # When another daemon became the holder of a data centre held by this one.
        self._lost_at: dict[str, datetime.datetime] = {}

    # Observations

    def record_registrations(
        self,
        registered: tuple[daemons.Daemon, ...],
        holders: tuple[daemons.Holder, ...],
        now: datetime.datetime,
        holding: tuple[daemons.Daemon, ...] = (),
    ) -> None:
        """Record a read of the store.

        Parameters
        ----------
        registered : tuple of daemons.Daemon
            All daemons with an entry in the store.
        holders : tuple of daemons.Holder
            The holder records that were read with them; ``record_holder`` takes each.
        now : datetime.datetime
            Present instant.
        holding : tuple of daemons.Daemon, optional
            Daemons that wrote a holder record after the entry of their VM, if it has
            one. They may be alive without being registered.
        """
        unregistered = {daemon.vm for daemon in holding}
        for daemon in registered:
            is_news = self._listed.get(daemon.vm) not in (None, daemon.incarnation)
            if daemon.vm not in unregistered:
                self._record_stored(daemon, True, is_news, now)
        for daemon in holding:
            self._record_stored(daemon, False, False, now)
        self._listed = {daemon.vm: daemon.incarnation for daemon in registered}
        self._known_peers = None
        incarnations = {(daemon.vm, daemon.incarnation) for daemon in registered}
        for peer in self._peers.values():
            peer.is_registered = (
                peer.daemon.vm,
                peer.daemon.incarnation,
            ) in incarnations
        self._stored_tokens = {x.data_centre: x.token for x in holders}

    def _record_stored(
        self,
        daemon: daemons.Daemon,
        is_registered: bool,
        is_news: bool,
        now: datetime.datetime,
    ) -> None:
        """Record a daemon that the store names.

        What it has had for long may be older than an incarnation that sends messages.
        """
        if daemon.vm == self.me.vm:
            return
        known = self._peers.get(daemon.vm)
        if (
            known is None
            or is_news
            or not self.is_responsive(daemon.vm, known.daemon.incarnation, now)
        ):
            self._record_peer(daemon, is_registered)

    def _record_peer(self, daemon: daemons.Daemon, is_registered: bool = True) -> _Peer:
        peer = self._peers.get(daemon.vm)
        if peer is None or peer.daemon.incarnation != daemon.incarnation:
            peer = self._peers[daemon.vm] = _Peer(daemon, is_registered)
            self._known_peers = None
            self._contacted_vms.discard(daemon.vm)
            self._suspect_after = contacts.pace(len(self._peers)).suspect_after()
        return peer

    def record_message(
        self, daemon: daemons.Daemon, is_leaving: bool | None, now: datetime.datetime
    ) -> None:
        """Record a message of another daemon.

        Parameters
        ----------
        daemon : daemons.Daemon
            The daemon.
        is_leaving : bool or None
            Whether it is shutting down; ``None`` if the message does not say that.
        now : datetime.datetime
            Present instant.
        """
        peer = self._record_peer(daemon)
        if peer.last_received_at is None:
            self._known_peers = None
        peer.last_received_at = now
        if is_leaving is not None:
            peer.is_leaving = is_leaving
        peer.is_refusing = False

    def record_refusal(self, daemon: daemons.Daemon) -> None:
        """Record that connections to a daemon are refused: its process has ended."""
        peer = self._peers.get(daemon.vm)
        if peer is not None and peer.daemon == daemon:
            peer.is_refusing = True

    def record_refused_holder(self, data_centre: str, now: datetime.datetime) -> None:
        """Record that a worker refuses this daemon because of a higher token.

        The refusal may be of an order with an earlier token, so there may be none.
        """
        self._refused_at[data_centre] = now

    def record_worker_report(self, data_centre: str, now: datetime.datetime) -> None:
        """Record that workers of a data centre report to the store."""
        reported_at = self._workers_reported_at.get(data_centre)
        if reported_at is None or now - reported_at > WORKER_REPORT_MAX_AGE:
            self._workers_reporting_since[data_centre] = now
        self._workers_reported_at[data_centre] = now

    def record_holder(self, holder: daemons.Holder, now: datetime.datetime) -> bool:
        """Record a holder; return whether it is newer than the one known before."""
        known = self._holders.get(holder.data_centre)
        if known is not None and known.token >= holder.token:
            return False
        self._holders[holder.data_centre] = holder
        self._holder_changed_at[holder.data_centre] = now
        self._claimable_since.pop(holder.data_centre, None)
        self._claimed_at.pop(holder.data_centre, None)
        self._refused_at.pop(holder.data_centre, None)
        self._known_peers = None
        if known is not None and self.is_own(known) and not self.is_own(holder):
            self._lost_at[holder.data_centre] = now
        return True

    # Current view

    def peers(self) -> tuple[daemons.Daemon, ...]:
        """Return the other daemons that are registered, hold, or have sent messages."""
        if self._known_peers is None:
            holders = self._other_holders()
            self._known_peers = tuple(
                peer.daemon
                for peer in self._peers.values()
                if peer.is_registered
                or self._has_sent_message(peer)
                or peer.daemon in holders
            )
        return self._known_peers

    def live_peers(self, now: datetime.datetime) -> tuple[daemons.Daemon, ...]:
        """Return the other daemons that are neither suspected nor have ended."""
        return tuple(
            peer.daemon
            for peer in self._peers.values()
            if self._is_presumed_alive(peer, now)
        )

    def _has_sent_message(self, peer: _Peer) -> bool:
        return peer.last_received_at is not None

    def update_contacts(self, now: datetime.datetime) -> tuple[daemons.Daemon, ...]:
        """Return the daemons to keep a connection to, and record them as contacted."""
        view = contacts.View(
            self.peers(), self._other_holders(), self._candidates_before(now)
        )
        wanted = contacts.wanted(view)
        wanted_vms = {daemon.vm for daemon in wanted}
        for vm in self._contacted_vms - wanted_vms:
            self._peers[vm].contacted_at = None
        for vm in wanted_vms - self._contacted_vms:
            self._peers[vm].contacted_at = now
        self._contacted_vms = wanted_vms
        return wanted

    def _other_holders(self) -> tuple[daemons.Daemon, ...]:
        found = (self.daemon(x.vm, x.incarnation) for x in self._holders.values())
        return tuple(x for x in found if x is not None and x != self.me)

    def _candidates_before(self, now: datetime.datetime) -> tuple[daemons.Daemon, ...]:
        """Return those that may claim this data centre before, if it needs a holder."""
        home = self.me.data_centre
        if self.is_leaving or not self._claim_cause(home, now):
            return ()
        own_key = _rank_key(home, self.me)
        return tuple(
            x
            for x in self.peers()
            if x.data_centre == home and _rank_key(home, x) < own_key
        )

    def fleet_size(self) -> int:
        """Return the number of known daemons, this one included."""
        return len(self._peers) + 1

    def least_processor_milli(self) -> int:
        """Return what the smallest other daemon has of a core; 0 if not known.

        In thousandths.
        """
        return min((x.processor_milli for x in self.peers()), default=0)

    def pace(self) -> contacts.Pace:
        """Return how often daemons of a fleet of this size show that they are alive."""
        return contacts.pace(len(self._peers))

    def suspect_after(self) -> datetime.timedelta:
        """Return the time without a message after which a daemon is suspected."""
        return self._suspect_after

    def holder(self, data_centre: str) -> daemons.Holder | None:
        """Return the newest known holder of a data centre; ``None`` if unknown."""
        return self._holders.get(data_centre)

    def holders(self) -> tuple[daemons.Holder, ...]:
        """Return the newest known holder of each data centre that has one."""
        return tuple(self._holders.values())

    def is_own(self, holder: daemons.Holder) -> bool:
        """Return whether a holder is this incarnation of this daemon."""
        return holder.vm == self.me.vm and holder.incarnation == self.me.incarnation

    def is_responsive(self, vm: str, incarnation: str, now: datetime.datetime) -> bool:
        """Return whether a daemon has sent a message within ``suspect_after()``."""
        if vm == self.me.vm:
            return incarnation == self.me.incarnation
        peer = self._peers.get(vm)
        return (
            peer is not None
            and peer.daemon.incarnation == incarnation
            and peer.last_received_at is not None
            and now - peer.last_received_at < self._suspect_after
            and not peer.is_refusing
        )

    def daemon(self, vm: str, incarnation: str) -> daemons.Daemon | None:
        """Return a daemon; ``None`` if its last known incarnation is another one."""
        if vm == self.me.vm:
            return self.me if incarnation == self.me.incarnation else None
        peer = self._peers.get(vm)
        if peer is None or peer.daemon.incarnation != incarnation:
            return None
        return peer.daemon

    # Decisions

    def next_claims(self, now: datetime.datetime) -> list[Claim]:
        """Return the claims that this daemon should make now."""
        if self.is_leaving:
            return []
        data_centres = {self.me.data_centre, *self._holders, *self._workers_reported_at}
        claims = []
        for data_centre in sorted(data_centres):
            cause = self._claim_cause(data_centre, now)
            if not cause:
                self._claimable_since.pop(data_centre, None)
                continue
            since = self._claimable_since.setdefault(data_centre, now)
            claimed_at = self._claimed_at.get(data_centre)
            if claimed_at is not None and now - claimed_at < CLAIM_INTERVAL:
                continue
            if now - since >= CLAIM_INTERVAL * self._rank(data_centre, now):
                self._claimed_at[data_centre] = now
                known = self._holders.get(data_centre)
                claims.append(Claim(data_centre, known.token if known else 0, cause))
        return claims

    def _claim_cause(self, data_centre: str, now: datetime.datetime) -> str:
        """Return why some daemon should claim a data centre; empty if none should."""
        is_home = data_centre == self.me.data_centre
        if not is_home and not self._needs_remote_holder(data_centre, now):
            return ""
        known = self._holders.get(data_centre)
        if known is None:
            return "vacant"
        if self.is_own(known):
            refused_at = self._refused_at.get(data_centre, now)
            is_overdue = now - refused_at >= REFUSED_HOLDER_TIMEOUT
            return "holder was refused" if is_overdue else ""
        age = now - self._holder_changed_at.get(data_centre, now)
        holder = self._peers.get(known.vm)
        if holder is None or holder.daemon.incarnation != known.incarnation:
            if self._has_ended(known, now):
                return "" if self._has_just_started(now) else "holder has restarted"
            return "holder is unknown" if age >= UNKNOWN_HOLDER_TIMEOUT else ""
        if holder.is_leaving:
            return "holder leaves"
        has_just_lost = self._has_just_lost(data_centre, now)
        if holder.is_refusing:
            return "" if has_just_lost else "holder refuses connections"
        if not self._is_presumed_alive(holder, now):
            if self._has_never_answered(holder) and not has_just_lost:
                return "holder is gone"
            is_local = holder.daemon.data_centre == self.me.data_centre
            if (is_local or not holder.is_registered) and age >= MIN_HOLDING_TIME:
                return "holder is silent"
            return ""
        has_settled = now - self._started_at >= SETTLING_TIME
        if not is_home or not has_settled or age < MIN_HOLDING_TIME:
            return ""
        if holder.daemon.data_centre != data_centre:
            return "holder is in another data centre"
        processor_milli = holder.daemon.processor_milli
        if 0 < processor_milli * SMALL_HOLDER_FACTOR < self.me.processor_milli:
            return "holder is small"
        return ""

    def _has_ended(self, holder: daemons.Holder, now: datetime.datetime) -> bool:
        """Return whether a holder's VM is known to run another incarnation by now.

        Either that has sent a message, or the store names it, as of a time at which it
        had the record of the holder.
        """
        if holder.vm == self.me.vm:
            return True
        peer = self._peers.get(holder.vm)
        if peer is None:
            return False
        if self.is_responsive(holder.vm, peer.daemon.incarnation, now):
            return True
        stored = self._stored_tokens.get(holder.data_centre, 0)
        return peer.is_registered and stored >= holder.token

    def _has_just_lost(self, data_centre: str, now: datetime.datetime) -> bool:
        """Return whether this daemon was replaced less than a least tenure ago.

        Two that cannot reach each other, but the store, would take turns otherwise.
        """
        lost_at = self._lost_at.get(data_centre)
        return lost_at is not None and now - lost_at < MIN_HOLDING_TIME

    def _has_never_answered(self, peer: _Peer) -> bool:
        """Return whether a daemon without an entry has not answered a connection."""
        return (
            not peer.is_registered
            and peer.contacted_at is not None
            and not self._has_sent_message(peer)
        )

    def _has_just_started(self, now: datetime.datetime) -> bool:
        """Return whether this daemon has run for less than 300 ms, two heartbeats."""
        return now - self._started_at < clock.milliseconds(300)

    def _is_presumed_alive(self, peer: _Peer, now: datetime.datetime) -> bool:
        """Return whether a daemon is neither suspected nor refusing connections.

        Without a connection to it, its lease in the store says whether it is alive.
        """
        if peer.is_refusing:
            return False
        since = peer.last_received_at
        if peer.contacted_at is None:
            is_heard = since is not None and now - since < self._suspect_after
            return peer.is_registered or is_heard
        if since is None or since < peer.contacted_at:
            return now - peer.contacted_at < FIRST_HEARTBEAT_TIMEOUT
        return now - since < self._suspect_after

    def has_data_centre_without_daemons(self, now: datetime.datetime) -> bool:
        """Return whether this daemon may have to hold a data centre without daemons."""
        if now - self._started_at < SETTLING_TIME or not self._may_hold_remotely():
            return False
        return any(
            self._lacks_daemons(data_centre, now) for data_centre in self._data_centres
        )

    def _may_hold_remotely(self) -> bool:
        """Return whether this daemon may become the holder of another data centre.

        In a large fleet only holders may: only they are connected to all others.
        """
        if contacts.is_full_mesh(len(self._peers)):
            return True
        return any(self.is_own(x) for x in self._holders.values())

    def _needs_remote_holder(self, data_centre: str, now: datetime.datetime) -> bool:
        """Return whether a data centre has workers but no daemon of its own."""
        reported_at = self._workers_reported_at.get(data_centre)
        if reported_at is None or now - reported_at > WORKER_REPORT_MAX_AGE:
            return False
        if now - self._started_at < SETTLING_TIME or not self._may_hold_remotely():
            return False
        if not self._lacks_daemons(data_centre, now):
            return False
        had_time_to_register = (
            now - self._workers_reporting_since[data_centre] >= REREGISTRATION_TIME
        )
        return had_time_to_register or self._has_only_stopped_daemons(data_centre)

    def _has_only_stopped_daemons(self, data_centre: str) -> bool:
        """Return whether all known daemons of a data centre have stopped or leave."""
        local_peers = [
            x for x in self._peers.values() if x.daemon.data_centre == data_centre
        ]
        return bool(local_peers) and all(
            x.is_refusing or x.is_leaving for x in local_peers
        )

    def _lacks_daemons(self, data_centre: str, now: datetime.datetime) -> bool:
        if data_centre == self.me.data_centre and not self.is_leaving:
            return False
        return not any(
            peer.daemon.data_centre == data_centre and self._may_be_alive(peer, now)
            for peer in self._peers.values()
        )

    def _may_be_alive(self, peer: _Peer, now: datetime.datetime) -> bool:
        """Return whether a daemon may be alive and is not leaving.

        A registered daemon may be alive even if it is suspected.
        """
        if peer.is_leaving or peer.is_refusing:
            return False
        return peer.is_registered or self._is_presumed_alive(peer, now)

    def _rank(self, data_centre: str, now: datetime.datetime) -> int:
        """Return the number of daemons that should claim before this one.

        The order is the same for all daemons: the largest first, then by a hash.
        """
        others = [
            peer.daemon
            for peer in self._peers.values()
            if self._is_presumed_alive(peer, now) and not peer.is_leaving
        ]
        if data_centre == self.me.data_centre:
            others = [x for x in others if x.data_centre == data_centre]
        elif not contacts.is_full_mesh(len(self._peers)):
            holders = self._other_holders()
            others = [x for x in others if x in holders]
        own_key = _rank_key(data_centre, self.me)
        return sum(_rank_key(data_centre, x) < own_key for x in others)


def _rank_key(data_centre: str, daemon: daemons.Daemon) -> tuple[int, bytes]:
    text = f"{data_centre}|{daemon.vm}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return -daemon.processor_milli, digest
