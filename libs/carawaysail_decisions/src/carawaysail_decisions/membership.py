"""Membership: which entry daemons there are, known by gossip.

Each period a daemon sends all records of its data centre to one peer there, and every
few periods to one peer of another data centre; the answer returns the peer's records.
Each record is written by its own daemon alone and ordered by start time and heartbeat,
so merging takes the greater of two records and needs no agreement. The period grows
with the number of daemons, which bounds the bytes that a daemon sends per second.
"""

import datetime
import random
import typing

from carawaysail_types import errors, identifiers

MIN_GOSSIP_PERIOD = datetime.timedelta(milliseconds=250)
GOSSIP_PERIOD_PER_MEMBER = datetime.timedelta(milliseconds=40)
"""Part of the gossip period for each daemon of the data centre."""
SUSPECT_AFTER_PERIODS = 6
"""Gossip periods without a new record after which a local daemon counts as dead.

For daemons of other data centres it is ``REMOTE_GOSSIP_EVERY_TICKS`` times as many.
"""
FORGET_AFTER = datetime.timedelta(minutes=15)
"""Time without a new record after which a daemon's record is dropped."""
REMOTE_GOSSIP_EVERY_TICKS = 4
"""Every so many ticks a daemon also gossips with another data centre."""
WATCHER_COUNT = 2
"""Daemons of a data centre that call the platform for it."""

ALIVE = "alive"
LEAVING = "leaving"
GONE = "gone"


class Record(typing.NamedTuple):
    """What a daemon reports about itself.

    Parameters
    ----------
    vm : str
        Name of the daemon's VM.
    data_centre : str
        Its data centre.
    incarnation : str
        Sixteen hexadecimal digits, drawn when the daemon started.
    born_ms : int
        Wall clock at its start, in milliseconds since 1970.
    peer : str
        Address for messages between daemons, ``host:port``.
    caller : str
        Address for callers, ``host:port``.
    beat : int
        Heartbeat number, which grows with each record that the daemon writes.
    state : str
        ``alive``, ``leaving`` or ``gone``.
    heir : str
        Incarnation of the successor to which its submission tables were handed over;
        empty if there is none.
    inherited : tuple of str
        Incarnations whose submission tables it has inherited.
    demand : float
        Its reported demand, in tasks queued and running.
    settings : str
        Hash of the revisions of all its sections of the settings; empty if unknown.
    ejected : tuple of str
        Targets that it has ejected because of failures.
    leaving : tuple of str
        Targets that it knows to be leaving, by the VM list or their own notice.
    """

    vm: str
    data_centre: str
    incarnation: identifiers.Incarnation
    born_ms: int
    peer: str
    caller: str
    beat: int = 0
    state: str = ALIVE
    heir: str = ""
    inherited: tuple[str, ...] = ()
    demand: float = 1.0
    settings: str = ""
    ejected: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


class Gossip(typing.NamedTuple):
    """Records sent from one daemon to another.

    Parameters
    ----------
    records : tuple of Record
        The records.
    """

    records: tuple[Record, ...]


class OwnerLocation(typing.NamedTuple):
    """Location of the daemon that is responsible for an identifier.

    Parameters
    ----------
    peer : str
        Address of the owner's VM, or of its successor; empty if none is known.
    lost : bool
        Whether this incarnation is known to have ended, and no successor is known.
    """

    peer: str
    lost: bool = False


class _ReceivedRecord:
    """A record and when it was received."""

    __slots__ = ("received_at", "record")

    def __init__(self, record: Record, received_at: datetime.datetime) -> None:
        self.record = record
        self.received_at = received_at


class Members:
    """The entry daemons that one daemon knows.

    Parameters
    ----------
    own_record : Record
        This daemon's first record.
    seeds : tuple of str
        Peer addresses to gossip with as long as no record has them.
    random_state : int
        Seed of the choice of peers.
    now : datetime.datetime
        The present instant.

    Attributes
    ----------
    own_record : Record
        This daemon's present record; replaced with each tick.
    """

    def __init__(
        self,
        own_record: Record,
        seeds: tuple[str, ...],
        random_state: int,
        now: datetime.datetime,
    ) -> None:
        self.own_record = own_record
        self.seeds = seeds
        self._rng = random.Random(random_state)
        self._records: dict[str, _ReceivedRecord] = {}
        self._local_round: list[str] = []
        self._remote_round: list[str] = []
        self._ticks = 0
        self._last_tick = now

    def gossip_period(self) -> datetime.timedelta:
        """Return the time between two ticks of this daemon."""
        members = sum(1 for x in self._records.values() if self._is_local(x.record)) + 1
        return max(MIN_GOSSIP_PERIOD, GOSSIP_PERIOD_PER_MEMBER * members)

    def update_own_record(self, **changes: typing.Any) -> None:
        """Change fields of this daemon's own record and increase its heartbeat."""
        self.own_record = self.own_record._replace(
            beat=self.own_record.beat + 1, **changes
        )

    def tick(self, now: datetime.datetime) -> tuple[str, ...]:
        """Start a gossip period and return the peer addresses to gossip with now.

        If this daemon itself was paused, the pause is not counted as silence of the
        others, so that it suspects none of them after the pause.
        """
        pause = now - self._last_tick - 2 * self.gossip_period()
        if pause > datetime.timedelta():
            for entry in self._records.values():
                entry.received_at += pause
        self._last_tick = now
        self._drop_expired(now)
        self.update_own_record()
        self._ticks += 1
        chosen = [self._next_local(now)]
        if self._ticks % REMOTE_GOSSIP_EVERY_TICKS == 0:
            chosen.append(self._next_remote(now))
        return tuple(dict.fromkeys(address for address in chosen if address))

    def gossip(self, data_centre: str) -> Gossip:
        """Return the records to send to a peer.

        Parameters
        ----------
        data_centre : str
            Data centre of the peer; empty if not known.

        Returns
        -------
        Gossip
            All known records for a peer of this data centre; for another peer the
            records of this data centre only.
        """
        records = [entry.record for entry in self._records.values()]
        if data_centre == self.own_record.data_centre:
            return Gossip((self.own_record, *records))
        local = [record for record in records if self._is_local(record)]
        return Gossip((self.own_record, *local))

    def merge_gossip(self, gossip: Gossip, now: datetime.datetime) -> bool:
        """Merge records received from a peer; those of this daemon itself are ignored.

        Returns
        -------
        bool
            Whether a daemon is new or a field other than ``beat`` and ``settings``
            changed.

        Raises
        ------
        errors.BadInputError
            If a record has an invalid name or state; those before it are merged.
        """
        changed = False
        for record in gossip.records:
            changed = self._merge(record, now) or changed
        return changed

    def record_dead(self, vm: str, incarnation: str) -> None:
        """Record that an incarnation is known to have ended.

        The evidence is that its address refused a connection or answered as another
        incarnation.
        """
        entry = self._records.get(vm)
        if entry is not None and entry.record.incarnation == incarnation:
            entry.record = entry.record._replace(state=GONE)

    def alive(self, now: datetime.datetime) -> tuple[Record, ...]:
        """Return the live daemons of this data centre, sorted by name.

        This daemon itself is included unless it is leaving.
        """
        found = [
            entry.record
            for entry in self._records.values()
            if self._is_alive(entry, now)
        ]
        if self.own_record.state == ALIVE:
            found.append(self.own_record)
        local = [x for x in found if x.data_centre == self.own_record.data_centre]
        return tuple(sorted(local, key=lambda x: x.vm))

    def is_watcher(self, now: datetime.datetime) -> bool:
        """Return whether this daemon calls the platform for its data centre.

        The first ``WATCHER_COUNT`` live daemons by name do, and send the results to the
        others, so the calls to the platform do not grow with the number of daemons. A
        daemon that knows of no live one does as well.
        """
        names = [record.vm for record in self.alive(now)]
        return not names or self.own_record.vm in names[:WATCHER_COUNT]

    def all_records(self, now: datetime.datetime) -> tuple[tuple[Record, bool], ...]:
        """Return every known record and whether its daemon counts as alive."""
        found = [
            (entry.record, self._is_alive(entry, now))
            for entry in self._records.values()
        ]
        found.append((self.own_record, self.own_record.state == ALIVE))
        return tuple(sorted(found, key=lambda x: (x[0].data_centre, x[0].vm)))

    def record_at(self, peer: str) -> Record | None:
        """Return the record of the daemon at a peer address, or ``None``."""
        for entry in self._records.values():
            if entry.record.peer == peer:
                return entry.record
        return None

    def locate(self, owner: identifiers.Owner) -> OwnerLocation:
        """Return the location of an identifier's owner or of its successor.

        Only records of other daemons are searched. The record of another incarnation
        of the owner's VM tells only where to ask: it may be older than the owner, and
        start times of a VM do not order its incarnations if its clock is set back.

        Parameters
        ----------
        owner : identifiers.Owner
            The owner that the identifier names.
        """
        for entry in self._records.values():
            if owner.incarnation in entry.record.inherited:
                return OwnerLocation(entry.record.peer)
        found = self._records.get(owner.vm)
        if found is None:
            return OwnerLocation("", lost=False)
        record = found.record
        is_lost = record.state == GONE and record.incarnation == owner.incarnation
        return OwnerLocation("", lost=True) if is_lost else OwnerLocation(record.peer)

    def choose_successor(self, now: datetime.datetime) -> Record | None:
        """Return a random live daemon of this data centre to hand over to.

        Returns
        -------
        Record or None
            ``None`` if no other daemon of this data centre is alive.
        """
        local = [x for x in self.alive(now) if x.vm != self.own_record.vm]
        return self._rng.choice(local) if local else None

    def _merge(self, record: Record, now: datetime.datetime) -> bool:
        _check(record)
        if record.vm == self.own_record.vm:
            return False
        entry = self._records.get(record.vm)
        if entry is None:
            self._records[record.vm] = _ReceivedRecord(record, now)
            return True
        previous = entry.record
        if (record.born_ms, record.beat) <= (previous.born_ms, previous.beat):
            return False
        entry.record = record
        entry.received_at = now
        before = previous._replace(beat=0, settings="")
        return before != record._replace(beat=0, settings="")

    def _is_alive(self, entry: _ReceivedRecord, now: datetime.datetime) -> bool:
        if entry.record.state != ALIVE:
            return False
        is_local = self._is_local(entry.record)
        suspect_after = (
            self.gossip_period()
            * SUSPECT_AFTER_PERIODS
            * (1 if is_local else REMOTE_GOSSIP_EVERY_TICKS)
        )
        return now - entry.received_at <= max(suspect_after, MIN_SUSPECT_AFTER)

    def _is_local(self, record: Record) -> bool:
        return record.data_centre == self.own_record.data_centre

    def _next_local(self, now: datetime.datetime) -> str:
        return self._next_address(self._local_round, is_local=True)

    def _next_remote(self, now: datetime.datetime) -> str:
        return self._next_address(self._remote_round, is_local=False)

    def _next_address(self, addresses_left: list[str], is_local: bool) -> str:
        """Return the next address of a round over the local or the remote peers.

        A round visits its peers in random order. The result is empty if only the own
        address is left in the round, or none is known.
        A new round starts when all addresses have been returned. Seeds of which no
        record is known belong to both the local and the remote round.

        Parameters
        ----------
        addresses_left : list of str
            Rest of the round; changed in place.
        is_local : bool
            Whether the round is over peers of this data centre or of the others.
        """
        if not addresses_left:
            known = [
                entry.record.peer
                for entry in self._records.values()
                if entry.record.state != GONE
                and self._is_local(entry.record) == is_local
            ]
            addresses = [entry.record.peer for entry in self._records.values()]
            unknown = [x for x in self.seeds if x not in addresses]
            addresses_left.extend(dict.fromkeys(known + unknown))
            self._rng.shuffle(addresses_left)
        while addresses_left:
            address = addresses_left.pop()
            if address != self.own_record.peer:
                return address
        return ""

    def _drop_expired(self, now: datetime.datetime) -> None:
        expired = [
            vm for vm, x in self._records.items() if now - x.received_at > FORGET_AFTER
        ]
        for vm in expired:
            del self._records[vm]


MIN_SUSPECT_AFTER = datetime.timedelta(milliseconds=1500)
"""Least silence after which a daemon counts as dead, however short the period."""


def _check(record: Record) -> None:
    if identifiers.NAME_PATTERN.fullmatch(record.vm) is None:
        raise errors.BadInputError("vm", record.vm, "a name of a-z, 0-9 and -")
    if record.state not in (ALIVE, LEAVING, GONE):
        raise errors.BadInputError(
            "state", record.state, f"{ALIVE}, {LEAVING} or {GONE}"
        )
