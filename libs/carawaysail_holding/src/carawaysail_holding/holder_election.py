"""Which daemon holds the workers of a data centre, and when it changes.

The store's conditional write decides; its revision is the fencing token, so a daemon
that wrongly believes to hold is refused by the workers. What is decided here is only
when a daemon tries: a leaving, restarted or silent holder is replaced at once by the
first daemon of its data centre, the others follow one after the other in case that one
cannot reach the store.
"""

import datetime
import hashlib
import typing

from carawaysail_types import clock, daemons

SUSPECT_AFTER = clock.milliseconds(600)
"""Silence after which a daemon is taken as away: four heartbeats."""

FIRST_HEARTBEAT_TIMEOUT = clock.milliseconds(1000)
"""Time for a daemon that the store lists to be heard for the first time."""

CLAIM_INTERVAL = clock.milliseconds(400)
"""How long each daemon waits for the one before it to take a vacant tenure."""

MIN_HOLDING_TIME = clock.milliseconds(3200)
"""Shortest time between two holders while both are alive; above the store's lease."""

RETURN_HOME_AFTER = clock.milliseconds(2000)
"""Time for a restarted daemon to settle before it takes its data centre back."""

WORKER_REPORT_MAX_AGE = clock.milliseconds(2500)
"""Workers whose report changed within this reach the store."""

DESERTED_AFTER = clock.milliseconds(2000)
"""Time for the daemons of a data centre that was cut off to be back in the store,
once its workers are."""


class Claim(typing.NamedTuple):
    """Try to take a tenure by a conditional write.

    Parameters
    ----------
    data_centre : str
        Whose workers to hold.
    token : int
        Token of the tenure to replace; 0 if there was none.
    cause : str
        Why.
    """

    data_centre: str
    token: int
    cause: str


class _Peer:
    def __init__(self, daemon: daemons.Daemon, now: datetime.datetime) -> None:
        self.daemon = daemon
        self.first_seen = now
        self.last_received: datetime.datetime | None = None
        self.is_leaving = False
        self.is_refusing = False
        self.is_registered = True


class HolderElection:
    """What one daemon believes of all daemons and tenures.

    Parameters
    ----------
    me : daemons.Daemon
        This daemon.
    places : tuple of str
        All data centres.
    now : datetime.datetime
        Present instant.
    """

    def __init__(
        self, me: daemons.Daemon, places: tuple[str, ...], now: datetime.datetime
    ) -> None:
        self.me = me
        self._places = places
        self.is_leaving = False
        self._born = now
        self._peers: dict[str, _Peer] = {}
        self._tenures: dict[str, daemons.Holder] = {}
        self._changed: dict[str, datetime.datetime] = {}
        self._vacant_since: dict[str, datetime.datetime] = {}
        self._workers_seen: dict[str, datetime.datetime] = {}
        self._workers_since: dict[str, datetime.datetime] = {}
        self._asked: dict[str, datetime.datetime] = {}

    # What is learned

    def record_registrations(
        self,
        found: tuple[daemons.Daemon, ...],
        holders: tuple[daemons.Holder, ...],
        now: datetime.datetime,
    ) -> None:
        """Take what the store lists: all daemons with a lease, and all tenures."""
        for daemon in found:
            if daemon.vm != self.me.vm:
                self._see(daemon, now)
        record_registrations = {(daemon.vm, daemon.incarnation) for daemon in found}
        for peer in self._peers.values():
            peer.is_registered = (
                peer.daemon.vm,
                peer.daemon.incarnation,
            ) in record_registrations
        for holder in holders:
            self.record_holder(holder, now)

    def _see(self, daemon: daemons.Daemon, now: datetime.datetime) -> _Peer:
        peer = self._peers.get(daemon.vm)
        if peer is None or peer.daemon.incarnation != daemon.incarnation:
            peer = self._peers[daemon.vm] = _Peer(daemon, now)
        return peer

    def record_message(
        self, daemon: daemons.Daemon, is_leaving: bool, now: datetime.datetime
    ) -> None:
        """Take note of a message of another daemon."""
        peer = self._see(daemon, now)
        peer.last_received = now
        peer.is_leaving = is_leaving
        peer.is_refusing = False

    def record_refusal(self, daemon: daemons.Daemon) -> None:
        """Take note that nothing listens at a daemon's address."""
        peer = self._peers.get(daemon.vm)
        if peer is not None and peer.daemon == daemon:
            peer.is_refusing = True

    def record_worker_report(self, data_centre: str, now: datetime.datetime) -> None:
        """Take note that workers of a data centre report to the store."""
        seen = self._workers_seen.get(data_centre)
        if seen is None or now - seen > WORKER_REPORT_MAX_AGE:
            self._workers_since[data_centre] = now
        self._workers_seen[data_centre] = now

    def record_holder(self, holder: daemons.Holder, now: datetime.datetime) -> bool:
        """Take note of a tenure; tell whether it is newer than what was known."""
        known = self._tenures.get(holder.data_centre)
        if known is not None and known.token >= holder.token:
            return False
        self._tenures[holder.data_centre] = holder
        self._changed[holder.data_centre] = now
        self._vacant_since.pop(holder.data_centre, None)
        self._asked.pop(holder.data_centre, None)
        return True

    # What is known

    def peers(self) -> tuple[daemons.Daemon, ...]:
        """Return the other daemons that may live."""
        return tuple(
            peer.daemon
            for peer in self._peers.values()
            if peer.is_registered or self._is_heard(peer)
        )

    def _is_heard(self, peer: _Peer) -> bool:
        return peer.last_received is not None

    def holder(self, data_centre: str) -> daemons.Holder | None:
        """Return the newest known tenure of a data centre."""
        return self._tenures.get(data_centre)

    def holders(self) -> tuple[daemons.Holder, ...]:
        """Return the newest known tenure of each data centre."""
        return tuple(self._tenures.values())

    def is_own(self, holder: daemons.Holder) -> bool:
        """Tell whether a tenure is this daemon's."""
        return holder.vm == self.me.vm and holder.incarnation == self.me.incarnation

    def is_responsive(self, vm: str, incarnation: str, now: datetime.datetime) -> bool:
        """Tell whether a daemon was heard within ``SUSPECT_AFTER``."""
        if vm == self.me.vm:
            return incarnation == self.me.incarnation
        peer = self._peers.get(vm)
        return (
            peer is not None
            and peer.daemon.incarnation == incarnation
            and peer.last_received is not None
            and now - peer.last_received < SUSPECT_AFTER
            and not peer.is_refusing
        )

    def daemon(self, vm: str, incarnation: str) -> daemons.Daemon | None:
        """Return a daemon by name, if that life of it is the last known."""
        if vm == self.me.vm:
            return self.me if incarnation == self.me.incarnation else None
        peer = self._peers.get(vm)
        if peer is None or peer.daemon.incarnation != incarnation:
            return None
        return peer.daemon

    # What to do

    def next_claims(self, now: datetime.datetime) -> list[Claim]:
        """Return the tenures that this daemon should try to take now."""
        if self.is_leaving:
            return []
        places = {self.me.data_centre, *self._tenures, *self._workers_seen}
        claims = []
        for place in sorted(places):
            cause = self._vacancy(place, now)
            if not cause:
                self._vacant_since.pop(place, None)
                continue
            since = self._vacant_since.setdefault(place, now)
            asked = self._asked.get(place)
            if asked is not None and now - asked < CLAIM_INTERVAL:
                continue
            if now - since >= CLAIM_INTERVAL * self._rank(place, now):
                self._asked[place] = now
                known = self._tenures.get(place)
                claims.append(Claim(place, known.token if known else 0, cause))
        return claims

    def _vacancy(self, place: str, now: datetime.datetime) -> str:
        """Return why a tenure should be taken by somebody; empty if it should not."""
        is_home = place == self.me.data_centre
        if not is_home and not self._is_orphaned(place, now):
            return ""
        known = self._tenures.get(place)
        if known is None:
            return "vacant"
        if self.is_own(known):
            return ""
        age = now - self._changed.get(place, now)
        holder = self._peers.get(known.vm)
        if holder is None or holder.daemon.incarnation != known.incarnation:
            return "" if self._is_settling(now) else "holder is gone"
        if holder.is_leaving:
            return "holder leaves"
        if holder.is_refusing:
            return "holder refuses connections"
        if not self._seems_alive(holder, now):
            is_near = holder.daemon.data_centre == self.me.data_centre
            if (is_near or not holder.is_registered) and age >= MIN_HOLDING_TIME:
                return "holder is silent"
            return ""
        is_foreign = holder.daemon.data_centre != place
        has_settled = now - self._born >= RETURN_HOME_AFTER
        if is_home and is_foreign and has_settled and age >= MIN_HOLDING_TIME:
            return "holder is in another data centre"
        return ""

    def _is_settling(self, now: datetime.datetime) -> bool:
        return now - self._born < clock.milliseconds(300)

    def _seems_alive(self, peer: _Peer, now: datetime.datetime) -> bool:
        if peer.is_refusing:
            return False
        since = peer.last_received or peer.first_seen + (
            FIRST_HEARTBEAT_TIMEOUT - SUSPECT_AFTER
        )
        return now - since < SUSPECT_AFTER

    def has_deserted_data_centre(self, now: datetime.datetime) -> bool:
        """Tell whether some data centre may have no daemon of its own."""
        if now - self._born < RETURN_HOME_AFTER:
            return False
        return any(self._is_deserted(place, now) for place in self._places)

    def _is_orphaned(self, place: str, now: datetime.datetime) -> bool:
        """Tell whether a data centre has workers and no daemon of its own."""
        seen = self._workers_seen.get(place)
        if seen is None or now - seen > WORKER_REPORT_MAX_AGE:
            return False
        if now - self._born < RETURN_HOME_AFTER:
            return False
        if not self._is_deserted(place, now):
            return False
        has_seen_all = now - self._workers_since[place] >= DESERTED_AFTER
        return has_seen_all or self._has_ended(place)

    def _has_ended(self, place: str) -> bool:
        """Tell whether the daemons of a data centre certainly do not run."""
        there = [x for x in self._peers.values() if x.daemon.data_centre == place]
        return bool(there) and all(x.is_refusing or x.is_leaving for x in there)

    def _is_deserted(self, place: str, now: datetime.datetime) -> bool:
        if place == self.me.data_centre and not self.is_leaving:
            return False
        return not any(
            peer.daemon.data_centre == place and self._may_live(peer, now)
            for peer in self._peers.values()
        )

    def _may_live(self, peer: _Peer, now: datetime.datetime) -> bool:
        if peer.is_leaving or peer.is_refusing:
            return False
        return peer.is_registered or self._seems_alive(peer, now)

    def _rank(self, place: str, now: datetime.datetime) -> int:
        """Return how many daemons should try before this one."""
        rivals = [
            peer.daemon
            for peer in self._peers.values()
            if self._seems_alive(peer, now) and not peer.is_leaving
        ]
        if place == self.me.data_centre:
            rivals = [x for x in rivals if x.data_centre == place]
        own = _weight(place, self.me.vm)
        return sum(_weight(place, x.vm) < own for x in rivals)


def _weight(place: str, vm: str) -> bytes:
    return hashlib.blake2b(f"{place}|{vm}".encode(), digest_size=8).digest()
