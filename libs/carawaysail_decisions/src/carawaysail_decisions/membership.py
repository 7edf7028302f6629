"""Membership: which entry daemons there are, learned by gossip.

Each period a daemon sends all records that it holds of its data centre to one peer
there, and every few periods to one peer of another data centre; the answer carries
the peer's records back. Each record is written by its own daemon alone and ordered by
birth and beat, so merging is a maximum and needs no agreement. The period grows with
the number of daemons, which bounds the bytes that a daemon spends.
"""

import datetime
import random
import typing

from carawaysail_types import errors, identifiers

MIN_GOSSIP_PERIOD = datetime.timedelta(milliseconds=250)
GOSSIP_PERIOD_PER_MEMBER = datetime.timedelta(milliseconds=40)
SUSPECT_AFTER_PERIODS = 6
FORGET_AFTER = datetime.timedelta(minutes=15)
REMOTE_GOSSIP_EVERY = 4
WATCHER_COUNT = 2

ALIVE = "alive"
LEAVING = "leaving"
GONE = "gone"


class Record(typing.NamedTuple):
    """What a daemon tells of itself.

    Parameters
    ----------
    vm : str
        Its name.
    data_centre : str
        Where it is.
    incarnation : str
        Sixteen hexadecimal digits, drawn at its start.
    born_ms : int
        Wall clock at its start, in milliseconds since 1970.
    peer : str
        Address for messages between daemons, ``host:port``.
    caller : str
        Address for callers, ``host:port``.
    beat : int
        Grows with each record that it writes.
    state : str
        ``alive``, ``leaving`` or ``gone``.
    heir : str
        Incarnation that took over its memory; empty for none.
    inherited : tuple of str
        Incarnations whose memory it holds.
    demand : float
        Tasks queued and running, rounded to a power of two.
    settings : str
        Hash of the revisions of all sections that it holds.
    ejected : tuple of str
        Targets that it sends nothing for their failures.
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
    """Where the owner of an identifier answers now.

    Parameters
    ----------
    peer : str
        Address of the daemon that holds its memory; empty if nobody is known to.
    lost : bool
        Whether that incarnation is known to have ended without an heir.
    """

    peer: str
    lost: bool = False


class _Held:
    __slots__ = ("heard", "record")

    def __init__(self, record: Record, heard: datetime.datetime) -> None:
        self.record = record
        self.heard = heard


class Members:
    """What one daemon knows of all.

    Parameters
    ----------
    me : Record
        This daemon's own record.
    seeds : tuple of str
        Peer addresses to ask while nobody is known.
    random_state : int
        Seed of the choice of peers.
    now : datetime.datetime
        The present instant.
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
        self._held: dict[str, _Held] = {}
        self._turns: list[str] = []
        self._far_turns: list[str] = []
        self._count = 0
        self._last_tick = now

    def gossip_period(self) -> datetime.timedelta:
        """Return the time between two messages of this daemon."""
        near = sum(1 for x in self._held.values() if self._is_near(x.record)) + 1
        return max(MIN_GOSSIP_PERIOD, GOSSIP_PERIOD_PER_MEMBER * near)

    def update_own_record(self, **changes: typing.Any) -> None:
        """Change fields of this daemon's own record."""
        self.own_record = self.own_record._replace(
            beat=self.own_record.beat + 1, **changes
        )

    def tick(self, now: datetime.datetime) -> tuple[str, ...]:
        """Return the peer addresses to gossip with now.

        A daemon that was paused discounts the pause: silence that it could not hear
        makes it suspect nobody.
        """
        pause = now - self._last_tick - 2 * self.gossip_period()
        if pause > datetime.timedelta():
            for held in self._held.values():
                held.heard += pause
        self._last_tick = now
        self._forget(now)
        self.update_own_record()
        self._count += 1
        chosen = [self._near_turn(now)]
        if self._count % REMOTE_GOSSIP_EVERY == 0:
            chosen.append(self._far_turn(now))
        return tuple(dict.fromkeys(address for address in chosen if address))

    def gossip(self, data_centre: str) -> Gossip:
        """Return the records for a peer: all of this data centre, or all known.

        Parameters
        ----------
        data_centre : str
            Data centre of the peer; empty if not known.
        """
        records = [held.record for held in self._held.values()]
        if data_centre == self.own_record.data_centre:
            return Gossip((self.own_record, *records))
        near = [record for record in records if self._is_near(record)]
        return Gossip((self.own_record, *near))

    def merge_gossip(self, gossip: Gossip, now: datetime.datetime) -> bool:
        """Merge records.

        Returns
        -------
        bool
            Whether any daemon is new, ended, or changed its state or demand.
        """
        changed = False
        for record in gossip.records:
            changed = self._merge(record, now) or changed
        return changed

    def record_dead(self, vm: str, incarnation: str) -> None:
        """Record that an incarnation is known to have ended.

        Its address refused a connection or answered as another incarnation.
        """
        held = self._held.get(vm)
        if held is not None and held.record.incarnation == incarnation:
            held.record = held.record._replace(state=GONE)

    def alive(self, now: datetime.datetime) -> tuple[Record, ...]:
        """Return the daemons of this data centre that can take work, sorted by name.

        This daemon itself is among them unless it is leaving.
        """
        found = [held.record for held in self._held.values() if self._lives(held, now)]
        if self.own_record.state == ALIVE:
            found.append(self.own_record)
        near = [x for x in found if x.data_centre == self.own_record.data_centre]
        return tuple(sorted(near, key=lambda x: x.vm))

    def is_watcher(self, now: datetime.datetime) -> bool:
        """Tell whether this daemon asks the platform for its data centre.

        The first ``WATCHER_COUNT`` daemons by name do; the rest hear from them, so the
        calls to the platform do not grow with the number of daemons.
        """
        names = [record.vm for record in self.alive(now)]
        return not names or self.own_record.vm in names[:WATCHER_COUNT]

    def all_records(self, now: datetime.datetime) -> tuple[tuple[Record, bool], ...]:
        """Return every record with whether its daemon is thought to live."""
        found = [(held.record, self._lives(held, now)) for held in self._held.values()]
        found.append((self.own_record, self.own_record.state == ALIVE))
        return tuple(sorted(found, key=lambda x: (x[0].data_centre, x[0].vm)))

    def record_at(self, peer: str) -> Record | None:
        """Return the record of the daemon at a peer address."""
        for held in self._held.values():
            if held.record.peer == peer:
                return held.record
        return None

    def locate(self, owner: identifiers.Owner) -> OwnerLocation:
        """Return where the owner of an identifier answers.

        Parameters
        ----------
        owner : identifiers.Owner
            The owner that the identifier names.
        """
        for held in self._held.values():
            if owner.incarnation in held.record.inherited:
                return OwnerLocation(held.record.peer)
        held_owner = self._held.get(owner.vm)
        if held_owner is None:
            return OwnerLocation("", lost=False)
        record = held_owner.record
        if record.incarnation != owner.incarnation:
            return OwnerLocation("", lost=True)
        if record.state == GONE:
            return OwnerLocation("", lost=True)
        return OwnerLocation(record.peer)

    def choose_successor(self, now: datetime.datetime) -> Record | None:
        """Return the daemon to hand this one's memory to, or ``None``."""
        near = [x for x in self.alive(now) if x.vm != self.own_record.vm]
        return self._rng.choice(near) if near else None

    def _merge(self, record: Record, now: datetime.datetime) -> bool:
        _check(record)
        if record.vm == self.own_record.vm:
            return False
        held = self._held.get(record.vm)
        if held is None:
            self._held[record.vm] = _Held(record, now)
            return True
        known = held.record
        if (record.born_ms, record.beat) <= (known.born_ms, known.beat):
            return False
        held.record = record
        held.heard = now
        before = known._replace(beat=0, settings="")
        return before != record._replace(beat=0, settings="")

    def _lives(self, held: _Held, now: datetime.datetime) -> bool:
        if held.record.state != ALIVE:
            return False
        near = self._is_near(held.record)
        patience = (
            self.gossip_period()
            * SUSPECT_AFTER_PERIODS
            * (1 if near else REMOTE_GOSSIP_EVERY)
        )
        return now - held.heard <= max(patience, MIN_SUSPECT_AFTER)

    def _is_near(self, record: Record) -> bool:
        return record.data_centre == self.own_record.data_centre

    def _near_turn(self, now: datetime.datetime) -> str:
        return self._turn(self._turns, near=True)

    def _far_turn(self, now: datetime.datetime) -> str:
        return self._turn(self._far_turns, near=False)

    def _turn(self, turns: list[str], near: bool) -> str:
        """Return the next address of a round in random order over all peers."""
        if not turns:
            known = [
                held.record.peer
                for held in self._held.values()
                if held.record.state != GONE and self._is_near(held.record) == near
            ]
            addresses = [held.record.peer for held in self._held.values()]
            unknown = [x for x in self.seeds if x not in addresses]
            turns.extend(dict.fromkeys(known + unknown))
            self._rng.shuffle(turns)
        while turns:
            address = turns.pop()
            if address != self.own_record.peer:
                return address
        return ""

    def _forget(self, now: datetime.datetime) -> None:
        old = [vm for vm, x in self._held.items() if now - x.heard > FORGET_AFTER]
        for vm in old:
            del self._held[vm]


MIN_SUSPECT_AFTER = datetime.timedelta(milliseconds=1500)


def _check(record: Record) -> None:
    if identifiers.NAME_PATTERN.fullmatch(record.vm) is None:
        raise errors.BadInputError("vm", record.vm, "a name of a-z, 0-9 and -")
    if record.state not in (ALIVE, LEAVING, GONE):
        raise errors.BadInputError(
            "state", record.state, f"{ALIVE}, {LEAVING} or {GONE}"
        )
