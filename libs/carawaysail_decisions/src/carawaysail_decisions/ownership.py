"""Who may start a submission: identifiers bound to one incarnation for life.

An identifier carries the owner token of the incarnation that may start it. Nobody
else ever does, so no agreement is needed between entry daemons, and a paused, cut off
or forgotten owner can only cause ``unknown``, never a second start. A token also
carries an epoch, a count of whole minutes of the owner's own clock: once the epoch is
out of the window the owner refuses the identifier for ever, so forgetting is safe.
"""

import array
import bisect
import collections
import datetime
import hashlib
import itertools
import typing

from carawaysail_decisions import handover
from carawaysail_types import errors, identifiers, outcomes

EPOCH_DURATION = datetime.timedelta(minutes=1)
MAX_ANSWER_BYTES = 16_000_000
RECORD_OVERHEAD_BYTES = 400


class New(typing.NamedTuple):
    """The submission is new and now bound here: start it."""


class InProgress(typing.NamedTuple):
    """An equal submission is under way: wait for its outcome."""


class Finished(typing.NamedTuple):
    """The submission has ended.

    Parameters
    ----------
    outcome : outcomes.Outcome
        Its outcome.
    """

    outcome: outcomes.Outcome


class Conflict(typing.NamedTuple):
    """The identifier came before with another body: run nothing."""


class Expired(typing.NamedTuple):
    """The identifier is too old, or its answer was evicted: never start it."""


class OtherOwner(typing.NamedTuple):
    """Another incarnation owns the identifier.

    Parameters
    ----------
    owner : identifiers.Owner
        The owner that the identifier names.
    """

    owner: identifiers.Owner


BindResult = New | InProgress | Finished | Conflict | Expired | OtherOwner


class _Record:
    __slots__ = ("digest", "outcome", "size")

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.outcome: outcomes.Outcome | None = None
        self.size = 0


class _Evicted:
    """Eight-byte hashes of submissions whose answers are gone."""

    def __init__(self) -> None:
        self._recent: set[int] = set()
        self._sealed = array.array("Q")

    def add(self, key: int) -> None:
        self._recent.add(key)

    def seal(self) -> None:
        """Move the hashes from a set to a sorted array of eight bytes each."""
        if self._recent:
            self._sealed = array.array("Q", sorted([*self._sealed, *self._recent]))
            self._recent = set()

    def __contains__(self, key: int) -> bool:
        if key in self._recent:
            return True
        at = bisect.bisect_left(self._sealed, key)
        return at < len(self._sealed) and self._sealed[at] == key

    def __len__(self) -> int:
        return len(self._recent) + len(self._sealed)

    def export(self) -> bytes:
        self.seal()
        return self._sealed.tobytes()

    def load(self, data: bytes) -> None:
        self._sealed.frombytes(data)


class SubmissionTable:
    """What is remembered of the submissions of one incarnation.

    Parameters
    ----------
    epoch : int
        Epoch at ``since``.
    since : datetime.datetime
        When the book was opened here.
    window : datetime.timedelta
        How long an identifier is recognised at least after its token was given.
    max_answer_bytes : int
        Bound on the memory that kept answers take.
    """

    def __init__(
        self,
        epoch: int,
        since: datetime.datetime,
        window: datetime.timedelta,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._first = epoch
        self._since = since
        self.window = window
        self._answers_bytes = max_answer_bytes
        self._kept_bytes = 0
        self._records: dict[tuple[int, str], _Record] = {}
        self._ended: collections.OrderedDict[tuple[int, str], None] = (
            collections.OrderedDict()
        )
        self._evicted: dict[int, _Evicted] = {}
        self._sealed_to = epoch

    def epoch(self, now: datetime.datetime) -> int:
        """Return the epoch of an instant."""
        return self._first + int((now - self._since) / EPOCH_DURATION)

    def bind(
        self, sid: identifiers.SubmissionId, digest: bytes, now: datetime.datetime
    ) -> BindResult:
        """Decide what to do with a copy of a submission, and bind it if it is new.

        Parameters
        ----------
        sid : identifiers.SubmissionId
            Its identifier.
        digest : bytes
            Hash of its body.
        now : datetime.datetime
            The present instant.

        Raises
        ------
        errors.BadInputError
            If the token's epoch has not come yet: nobody was given it.
        """
        self._forget(now)
        present = self.epoch(now)
        if sid.owner.epoch > present:
            raise errors.BadInputError("id", str(sid), f"an epoch of at most {present}")
        if sid.owner.epoch < self._oldest(present):
            return Expired()
        key = (sid.owner.epoch, sid.local_id)
        record = self._records.get(key)
        if record is None:
            if handover.hash_id(sid.local_id) in self._evicted.get(sid.owner.epoch, ()):
                return Expired()
            self._records[key] = _Record(digest)
            return New()
        if record.digest != digest:
            return Conflict()
        if record.outcome is None:
            return InProgress()
        return Finished(record.outcome)

    def status_of(
        self, sid: identifiers.SubmissionId, now: datetime.datetime
    ) -> InProgress | Finished | Expired | None:
        """Return what is known of a submission; ``None`` if it never came."""
        self._forget(now)
        record = self._records.get((sid.owner.epoch, sid.local_id))
        if record is not None:
            return InProgress() if record.outcome is None else Finished(record.outcome)
        if sid.owner.epoch < self._oldest(self.epoch(now)):
            return Expired()
        evicted = self._evicted.get(sid.owner.epoch, ())
        return Expired() if handover.hash_id(sid.local_id) in evicted else None

    def record_outcome(
        self, sid: identifiers.SubmissionId, outcome: outcomes.Outcome
    ) -> None:
        """Remember an outcome, or replace an ``unknown`` one by what was learned."""
        key = (sid.owner.epoch, sid.local_id)
        record = self._records.get(key)
        if record is None:
            return
        self._kept_bytes -= record.size
        record.outcome = outcome
        record.size = _size(sid.local_id, outcome)
        self._kept_bytes += record.size
        self._ended[key] = None
        while self._kept_bytes > self._answers_bytes and self._ended:
            self._evict(next(iter(self._ended)))

    def unfinished_count(self) -> int:
        """Return how many submissions have no outcome yet."""
        return len(self._records) - len(self._ended)

    def known_count(self) -> int:
        """Return how many submissions are recognised, answers kept or not."""
        return len(self._records) + sum(len(x) for x in self._evicted.values())

    def export(
        self, incarnation: identifiers.Incarnation, now: datetime.datetime
    ) -> handover.TableSnapshot:
        """Return all that is remembered, for the heir; unfinished ones as unknown."""
        entries = tuple(
            handover.Entry(epoch, own, x.digest, outcomes.to_flat(x.outcome or _LOST))
            for (epoch, own), x in self._records.items()
        )
        evicted = {epoch: kept.export() for epoch, kept in self._evicted.items()}
        return handover.TableSnapshot(incarnation, self.epoch(now), entries, evicted)

    def load(self, snapshot: handover.TableSnapshot) -> None:
        """Take over the memory of an incarnation that has ended."""
        for entry in snapshot.entries:
            sid = identifiers.SubmissionId(
                identifiers.Owner("", "", snapshot.incarnation, entry.epoch), entry.own
            )
            self._records[(entry.epoch, entry.own)] = _Record(entry.digest)
            self.record_outcome(sid, outcomes.from_flat(entry.outcome))
        for epoch, data in snapshot.evicted.items():
            self._evicted.setdefault(epoch, _Evicted()).load(data)

    def _oldest(self, present: int) -> int:
        return present - max(1, int(self.window / EPOCH_DURATION))

    def _evict(self, key: tuple[int, str]) -> None:
        del self._ended[key]
        record = self._records.pop(key)
        self._kept_bytes -= record.size
        self._evicted.setdefault(key[0], _Evicted()).add(handover.hash_id(key[1]))

    def _forget(self, now: datetime.datetime) -> None:
        present = self.epoch(now)
        if present <= self._sealed_to:
            return
        self._sealed_to = present
        oldest = self._oldest(present)
        for epoch in [epoch for epoch in self._evicted if epoch < oldest]:
            del self._evicted[epoch]
        for kept in self._evicted.values():
            kept.seal()
        for key in [key for key in self._ended if key[0] < oldest]:
            del self._ended[key]
            self._kept_bytes -= self._records.pop(key).size
        # A dict keeps the room of what it once held; a copy takes only what it needs.
        self._records = dict(self._records)
        self._ended = collections.OrderedDict(self._ended)


class OwnershipRegister:
    """The books of this incarnation and of those that it is the heir of.

    Parameters
    ----------
    data_centre, vm : str
        Where this daemon is.
    incarnation : str
        Sixteen hexadecimal digits, drawn at its start.
    now : datetime.datetime
        When it started.
    window : datetime.timedelta
        How long an identifier is recognised at least.
    """

    def __init__(
        self,
        data_centre: str,
        vm: str,
        incarnation: identifiers.Incarnation,
        now: datetime.datetime,
        window: datetime.timedelta,
    ) -> None:
        self._place = (data_centre, vm)
        self.incarnation = incarnation
        self.tables = {incarnation: SubmissionTable(0, now, window)}
        self.is_handed_over = False
        self._gathering = handover.ChunkAssembler(window)
        self._strays: dict[str, tuple[_Record, datetime.datetime]] = {}

    def owner(self, now: datetime.datetime) -> identifiers.Owner:
        """Return the token to give to callers now."""
        epoch = self.tables[self.incarnation].epoch(now)
        return identifiers.Owner(*self._place, self.incarnation, epoch)

    def set_window(self, window: datetime.timedelta) -> None:
        """Change how long identifiers are recognised."""
        for table in self.tables.values():
            table.window = max(window, table.window)

    def bind(
        self, sid: identifiers.SubmissionId, digest: bytes, now: datetime.datetime
    ) -> BindResult:
        """Decide what to do with a copy; see ``SubmissionTable.bind``."""
        table = self.tables.get(sid.owner.incarnation)
        if table is None or self.is_handed_over:
            return OtherOwner(sid.owner)
        return table.bind(sid, digest, now)

    def bind_orphan(
        self, sid: identifiers.SubmissionId, digest: bytes, now: datetime.datetime
    ) -> BindResult:
        """Bind the only copy of a submission whose owner is known to be lost.

        The caller states that it sent no other copy, and this daemon passed it to
        nobody, so nobody else can start it. Only this identifier is bound, never
        others of the same owner.
        """
        if self.is_handed_over:
            return OtherOwner(sid.owner)
        self._forget_strays(now)
        name = str(sid)
        if name not in self._strays:
            self._strays[name] = (_Record(digest), now)
            return New()
        record = self._strays[name][0]
        if record.digest != digest:
            return Conflict()
        if record.outcome is None:
            return InProgress()
        return Finished(record.outcome)

    def has_orphan(self, sid: identifiers.SubmissionId) -> bool:
        """Tell whether a submission of a lost owner is bound here."""
        return str(sid) in self._strays

    def _forget_strays(self, now: datetime.datetime) -> None:
        window = self.tables[self.incarnation].window
        for name in list(itertools.takewhile(
            lambda x: now - self._strays[x][1] > window, self._strays
        )):  # fmt: skip
            del self._strays[name]

    def status_of(
        self, sid: identifiers.SubmissionId, now: datetime.datetime
    ) -> InProgress | Finished | Expired | OtherOwner | None:
        """Return what is known of a submission; ``None`` if it never came here."""
        stray = self._strays.get(str(sid))
        if stray is not None:
            outcome = stray[0].outcome
            return InProgress() if outcome is None else Finished(outcome)
        table = self.tables.get(sid.owner.incarnation)
        if table is None or self.is_handed_over:
            return OtherOwner(sid.owner)
        return table.status_of(sid, now)

    def record_outcome(
        self, sid: identifiers.SubmissionId, outcome: outcomes.Outcome
    ) -> None:
        """Remember the outcome of a submission bound here."""
        if str(sid) in self._strays:
            self._strays[str(sid)][0].outcome = outcome
            return
        table = self.tables.get(sid.owner.incarnation)
        if table is not None:
            table.record_outcome(sid, outcome)

    def hand_over(self, now: datetime.datetime) -> tuple[handover.TableSnapshot, ...]:
        """Return every book for the heir; nothing is started here afterwards."""
        self.is_handed_over = True
        return tuple(table.export(name, now) for name, table in self.tables.items())

    def inherit_chunk(self, chunk: handover.Chunk, now: datetime.datetime) -> None:
        """Take one piece of a book, and adopt the book once it is whole."""
        if chunk.snapshot.incarnation in self.tables:
            return
        snapshot = self._gathering.add(chunk, now)
        if snapshot is not None:
            self.inherit((snapshot,), now)

    def inherit(
        self, snapshots: tuple[handover.TableSnapshot, ...], now: datetime.datetime
    ) -> None:
        """Become the heir of incarnations that have ended.

        A repeated handover, whose first answer was lost, changes nothing.
        """
        window = self.tables[self.incarnation].window
        for snapshot in snapshots:
            if snapshot.incarnation in self.tables:
                continue
            table = SubmissionTable(snapshot.epoch, now, window)
            table.load(snapshot)
            self.tables[snapshot.incarnation] = table


def digest_of(body: bytes) -> bytes:
    """Return the hash that tells one body from another, sixteen bytes."""
    return hashlib.blake2b(body, digest_size=16).digest()


_LOST = outcomes.Unknown(outcomes.Reason.OWNER_LOST)


def _size(own: str, outcome: outcomes.Outcome) -> int:
    size = RECORD_OVERHEAD_BYTES + len(own)
    if isinstance(outcome, outcomes.Completed):
        size += sum(len(answer) for answer in outcome.answers)
    return size
