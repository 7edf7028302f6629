"""Ownership of submissions: which incarnation of a daemon may start a submission.

A submission identifier carries the token of its owner, the only incarnation that may
ever start it. So entry daemons need no agreement, and an owner that is paused, cut off
or restarted can only cause the outcome ``unknown``, never a second start. A token also
carries an epoch, a count of whole minutes on the owner's own clock. Once an epoch is
older than the window the owner refuses its identifiers for ever, so that their records
can be dropped safely.
"""

import array
import bisect
import collections
import datetime
import hashlib
import itertools
import typing

from carawaysail_decisions import handover
from carawaysail_types import errors, identifiers, outcomes, work

EPOCH_DURATION = datetime.timedelta(minutes=1)
MAX_ANSWER_BYTES = 16_000_000
"""Memory for the records with an outcome in one submission table."""
RECORD_OVERHEAD_BYTES = 400
"""Memory of a record besides its identifier and answers."""


class New(typing.NamedTuple):
    """The submission is new and has been bound here: start it."""


class InProgress(typing.NamedTuple):
    """The same submission is in progress: wait for its outcome."""


class Finished(typing.NamedTuple):
    """The submission has an outcome.

    Parameters
    ----------
    outcome : outcomes.Outcome
        The outcome.
    """

    outcome: outcomes.Outcome


class Conflict(typing.NamedTuple):
    """The identifier was used before with another body: run nothing."""


class Expired(typing.NamedTuple):
    """The identifier is too old or its answer has been evicted: never start it."""


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
    """Digest, outcome and approximate size of a submission that was bound."""

    __slots__ = ("digest", "outcome", "size_bytes")

    def __init__(self, digest: bytes) -> None:
        self.digest = digest
        self.outcome: outcomes.Outcome | None = None
        self.size_bytes = 0


class _Evicted:
    """Eight-byte hashes of the submissions of one epoch whose records were evicted."""

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
        index = bisect.bisect_left(self._sealed, key)
        return index < len(self._sealed) and self._sealed[index] == key

    def __len__(self) -> int:
        return len(self._recent) + len(self._sealed)

    def export(self) -> bytes:
        self.seal()
        return self._sealed.tobytes()

    def load(self, data: bytes) -> None:
        self._sealed.frombytes(data)


class SubmissionTable:
    """The submissions owned by one incarnation, and their outcomes.

    When the records with an outcome exceed ``max_answer_bytes``, the oldest are
    evicted. A hash of the identifier remains, so that the submission is not started
    again.

    Parameters
    ----------
    epoch : int
        Epoch at ``since``.
    since : datetime.datetime
        When this daemon created the table.
    window : datetime.timedelta
        Least time for which an identifier is recognised after its token was issued.
    max_answer_bytes : int
        Limit on the memory of the records that have an outcome.
    """

    def __init__(
        self,
        epoch: int,
        since: datetime.datetime,
        window: datetime.timedelta,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._first_epoch = epoch
        self._since = since
        self.window = window
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
        self._records: dict[tuple[int, str], _Record] = {}
        self._ended: collections.OrderedDict[tuple[int, str], None] = (
            collections.OrderedDict()
        )
        self._evicted: dict[int, _Evicted] = {}
        self._last_cleanup_epoch = epoch

    def epoch(self, now: datetime.datetime) -> int:
        """Return the epoch of an instant."""
        return self._first_epoch + int((now - self._since) / EPOCH_DURATION)

    def bind(
        self, sid: identifiers.SubmissionId, digest: bytes, now: datetime.datetime
    ) -> BindResult:
        """Decide what to do with a copy of a submission, and bind it if it is new.

        Parameters
        ----------
        sid : identifiers.SubmissionId
            Identifier of the submission.
        digest : bytes
            Hash of its body.
        now : datetime.datetime
            The present instant.

        Returns
        -------
        New, InProgress, Finished, Conflict or Expired
            The decision.

        Raises
        ------
        errors.BadInputError
            If the token's epoch is in the future, so that it was never issued.
        """
        self._drop_expired(now)
        current = self.epoch(now)
        if sid.owner.epoch > current:
            raise errors.BadInputError("id", str(sid), f"an epoch of at most {current}")
        if sid.owner.epoch < self._oldest_epoch(current):
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
        """Return the status of a submission.

        Returns
        -------
        InProgress, Finished, Expired or None
            ``None`` if it was never received.
        """
        self._drop_expired(now)
        record = self._records.get((sid.owner.epoch, sid.local_id))
        if record is not None:
            return InProgress() if record.outcome is None else Finished(record.outcome)
        if sid.owner.epoch < self._oldest_epoch(self.epoch(now)):
            return Expired()
        evicted = self._evicted.get(sid.owner.epoch, ())
        return Expired() if handover.hash_id(sid.local_id) in evicted else None

    def record_outcome(
        self, sid: identifiers.SubmissionId, outcome: outcomes.Outcome
    ) -> None:
        """Store the outcome of a submission; a later one replaces it.

        Records with an outcome are evicted, oldest first, while they exceed the limit
        on memory. The outcome of an unknown submission is ignored.
        """
        key = (sid.owner.epoch, sid.local_id)
        record = self._records.get(key)
        if record is None:
            return
        self._answer_bytes -= record.size_bytes
        record.outcome = outcome
        record.size_bytes = _size_bytes(sid.local_id, outcome)
        self._answer_bytes += record.size_bytes
        self._ended[key] = None
        while self._answer_bytes > self._max_answer_bytes and self._ended:
            self._evict(next(iter(self._ended)))

    def unfinished_count(self) -> int:
        """Return how many submissions have no outcome."""
        return len(self._records) - len(self._ended)

    def known_count(self) -> int:
        """Return how many submissions are recorded, those kept as a hash included."""
        return len(self._records) + sum(len(x) for x in self._evicted.values())

    def export(
        self, incarnation: identifiers.Incarnation, now: datetime.datetime
    ) -> handover.TableSnapshot:
        """Return a snapshot of the table for the successor.

        Submissions without an outcome are exported as ``unknown``.
        """
        entries = tuple(
            handover.Entry(
                epoch, local_id, x.digest, outcomes.to_flat(x.outcome or _LOST)
            )
            for (epoch, local_id), x in self._records.items()
        )
        evicted = {epoch: hashes.export() for epoch, hashes in self._evicted.items()}
        return handover.TableSnapshot(incarnation, self.epoch(now), entries, evicted)

    def load(self, snapshot: handover.TableSnapshot) -> None:
        """Add the snapshot of an incarnation that has ended."""
        for entry in snapshot.entries:
            sid = identifiers.SubmissionId(
                identifiers.Owner("", "", snapshot.incarnation, entry.epoch),
                entry.local_id,
            )
            self._records[(entry.epoch, entry.local_id)] = _Record(entry.digest)
            self.record_outcome(sid, outcomes.from_flat(entry.outcome))
        for epoch, data in snapshot.evicted.items():
            self._evicted.setdefault(epoch, _Evicted()).load(data)

    def _oldest_epoch(self, current: int) -> int:
        return current - max(1, int(self.window / EPOCH_DURATION))

    def _evict(self, key: tuple[int, str]) -> None:
        del self._ended[key]
        record = self._records.pop(key)
        self._answer_bytes -= record.size_bytes
        self._evicted.setdefault(key[0], _Evicted()).add(handover.hash_id(key[1]))

    def _drop_expired(self, now: datetime.datetime) -> None:
        """Drop hashes and records of expired epochs, at most once in each epoch.

        Submissions without an outcome stay.
        """
        current = self.epoch(now)
        if current <= self._last_cleanup_epoch:
            return
        self._last_cleanup_epoch = current
        oldest = self._oldest_epoch(current)
        for epoch in [epoch for epoch in self._evicted if epoch < oldest]:
            del self._evicted[epoch]
        for evicted in self._evicted.values():
            evicted.seal()
        for key in [key for key in self._ended if key[0] < oldest]:
            del self._ended[key]
            self._answer_bytes -= self._records.pop(key).size_bytes
        # A dict does not shrink when entries are deleted; a copy has the size it needs.
        self._records = dict(self._records)
        self._ended = collections.OrderedDict(self._ended)


class OwnershipRegister:
    """Submission tables of this incarnation and of those whose successor it is.

    It also holds orphans: submissions whose owner is lost and that were bound here.

    Parameters
    ----------
    data_centre, vm : str
        Data centre and name of this daemon.
    incarnation : str
        Sixteen hexadecimal digits, drawn when the daemon started.
    now : datetime.datetime
        When it started.
    window : datetime.timedelta
        Least time for which an identifier is recognised.
    """

    def __init__(
        self,
        data_centre: str,
        vm: str,
        incarnation: identifiers.Incarnation,
        now: datetime.datetime,
        window: datetime.timedelta,
    ) -> None:
        self._location = (data_centre, vm)
        self.incarnation = incarnation
        self.tables = {incarnation: SubmissionTable(0, now, window)}
        self.is_handed_over = False
        self._chunks = handover.ChunkAssembler(window)
        self._orphans: dict[str, tuple[_Record, datetime.datetime]] = {}

    def owner(self, now: datetime.datetime) -> identifiers.Owner:
        """Return the owner token to issue to callers now."""
        epoch = self.tables[self.incarnation].epoch(now)
        return identifiers.Owner(*self._location, self.incarnation, epoch)

    def set_window(self, window: datetime.timedelta) -> None:
        """Change the window; a table's window never gets shorter."""
        for table in self.tables.values():
            table.window = max(window, table.window)

    def bind(
        self,
        sid: identifiers.SubmissionId,
        digest: bytes,
        now: datetime.datetime,
        attempt: int = 0,
    ) -> BindResult:
        """Decide what to do with a copy of a submission; see ``SubmissionTable.bind``.

        A resubmission that an inherited table does not have is never started: another
        daemon may have bound the first copy as an orphan after the owner had ended.

        Parameters
        ----------
        sid : identifiers.SubmissionId
            Identifier of the submission.
        digest : bytes
            Hash of its body.
        now : datetime.datetime
            The present instant.
        attempt : int
            Copies that the caller has sent, this one included; 0 if not stated.

        Returns
        -------
        BindResult
            ``OtherOwner`` if no table here is responsible, or all were handed over;
            ``Finished`` as ``unknown`` if another daemon may have started it.
        """
        table = self.tables.get(sid.owner.incarnation)
        if table is None or self.is_handed_over:
            return OtherOwner(sid.owner)
        result = table.bind(sid, digest, now)
        is_resubmitted = attempt > work.FIRST_ATTEMPT
        if isinstance(result, New) and is_resubmitted and self._is_inherited(sid):
            table.record_outcome(sid, _LOST)
            return Finished(_LOST)
        return result

    def bind_orphan(
        self, sid: identifiers.SubmissionId, digest: bytes, now: datetime.datetime
    ) -> BindResult:
        """Bind the only copy of a submission whose owner is known to be lost.

        The caller states that it sent no other copy, and this daemon has not forwarded
        it, so no other daemon can start it. Only this identifier is bound, never others
        of the same owner.
        """
        if self.is_handed_over:
            return OtherOwner(sid.owner)
        self._drop_expired_orphans(now)
        name = str(sid)
        if name not in self._orphans:
            self._orphans[name] = (_Record(digest), now)
            return New()
        record = self._orphans[name][0]
        if record.digest != digest:
            return Conflict()
        if record.outcome is None:
            return InProgress()
        return Finished(record.outcome)

    def has_orphan(self, sid: identifiers.SubmissionId) -> bool:
        """Return whether a submission of a lost owner is bound here."""
        return str(sid) in self._orphans

    def _drop_expired_orphans(self, now: datetime.datetime) -> None:
        window = self.tables[self.incarnation].window
        for name in list(itertools.takewhile(
            lambda x: now - self._orphans[x][1] > window, self._orphans
        )):  # fmt: skip
            del self._orphans[name]

    def status_of(
        self, sid: identifiers.SubmissionId, now: datetime.datetime
    ) -> InProgress | Finished | Expired | OtherOwner | None:
        """Return the status of a submission; see ``SubmissionTable.status_of``.

        Returns
        -------
        InProgress, Finished, Expired, OtherOwner or None
            ``OtherOwner`` if no table here is responsible, or all were handed over;
            ``None`` if the submission was never received. One that an inherited table
            does not have is ``unknown``, as it may be bound elsewhere as an orphan.
        """
        orphan = self._orphans.get(str(sid))
        if orphan is not None:
            outcome = orphan[0].outcome
            return InProgress() if outcome is None else Finished(outcome)
        table = self.tables.get(sid.owner.incarnation)
        if table is None or self.is_handed_over:
            return OtherOwner(sid.owner)
        status = table.status_of(sid, now)
        if status is None and self._is_inherited(sid):
            return Finished(_LOST)
        return status

    def _is_inherited(self, sid: identifiers.SubmissionId) -> bool:
        return sid.owner.incarnation != self.incarnation

    def record_outcome(
        self, sid: identifiers.SubmissionId, outcome: outcomes.Outcome
    ) -> None:
        """Store the outcome of a submission that is bound here."""
        if str(sid) in self._orphans:
            self._orphans[str(sid)][0].outcome = outcome
            return
        table = self.tables.get(sid.owner.incarnation)
        if table is not None:
            table.record_outcome(sid, outcome)

    def hand_over(self, now: datetime.datetime) -> tuple[handover.TableSnapshot, ...]:
        """Return all tables for the successor.

        From now on ``bind`` and ``bind_orphan`` return ``OtherOwner``.
        """
        self.is_handed_over = True
        return tuple(table.export(name, now) for name, table in self.tables.items())

    def inherit_chunk(self, chunk: handover.Chunk, now: datetime.datetime) -> None:
        """Add one chunk of a table, and inherit the table once it is complete."""
        if chunk.snapshot.incarnation in self.tables:
            return
        snapshot = self._chunks.add(chunk, now)
        if snapshot is not None:
            self.inherit((snapshot,), now)

    def inherit(
        self, snapshots: tuple[handover.TableSnapshot, ...], now: datetime.datetime
    ) -> None:
        """Become the successor of incarnations that have ended.

        A repeated handover, after an answer that was lost, changes nothing.
        """
        window = self.tables[self.incarnation].window
        for snapshot in snapshots:
            if snapshot.incarnation in self.tables:
                continue
            table = SubmissionTable(snapshot.epoch, now, window)
            table.load(snapshot)
            self.tables[snapshot.incarnation] = table


def digest_of(body: bytes) -> bytes:
    """Return a sixteen-byte hash that identifies the body of a submission."""
    return hashlib.blake2b(body, digest_size=16).digest()


_LOST = outcomes.Unknown(outcomes.Reason.OWNER_LOST)
"""Outcome of submissions that cannot be told after their owner has ended."""


def _size_bytes(local_id: str, outcome: outcomes.Outcome) -> int:
    """Return the approximate memory of a record, in bytes."""
    size = RECORD_OVERHEAD_BYTES + len(local_id)
    if isinstance(outcome, outcomes.Completed):
        size += sum(len(answer) for answer in outcome.answers)
    return size
