"""Handover: sends the submission tables of an incarnation that ends to its successor.

A table is sent in chunks that fit a message, and the successor uses it only once all
chunks have arrived. With an incomplete table it could mistake a submission that was
started before for a new one, and start it a second time.
"""

import array
import collections
import collections.abc
import datetime
import hashlib
import typing

from carawaysail_types import errors, identifiers, outcomes

MAX_CHUNK_BYTES = 4_000_000
"""Largest size of a chunk: a message may have 16 MB, and encoding adds up to a half."""

ENTRY_OVERHEAD_BYTES = 128
"""Greatest size of an entry in a message, besides its texts and answers."""

HASH_BYTES = 8


class Entry(typing.NamedTuple):
    """A submission as handed over to a successor.

    Parameters
    ----------
    epoch : int
        Epoch of the identifier's token.
    local_id : str
        The caller's part of the identifier.
    digest : bytes
        Hash of the body.
    outcome : outcomes.FlatOutcome
        The outcome.
    """

    epoch: int
    local_id: str
    digest: bytes
    outcome: outcomes.FlatOutcome

    def size_bytes(self) -> int:
        """Return the approximate size of the entry in a message, in bytes.

        Each character of a text counts as four bytes, the most that UTF-8 needs.
        """
        texts = 4 * (len(self.local_id) + len(self.outcome.detail))
        return ENTRY_OVERHEAD_BYTES + texts + sum(len(x) for x in self.outcome.answers)


class TableSnapshot(typing.NamedTuple):
    """The submission table of one incarnation, or a part of it.

    Parameters
    ----------
    incarnation : str
        The incarnation that ends.
    epoch : int
        Its epoch at the time of the handover, counted on its own clock.
    entries : tuple of Entry
        Submissions with their outcomes.
    evicted : dict of int to bytes
        Sorted eight-byte hashes of the submissions without their answer, by epoch.
    """

    incarnation: identifiers.Incarnation
    epoch: int
    entries: tuple[Entry, ...]
    evicted: dict[int, bytes]


class Chunk(typing.NamedTuple):
    """One part of a table snapshot.

    Parameters
    ----------
    number : int
        Number of the chunk, from 0.
    chunk_count : int
        Number of chunks of the table.
    snapshot : TableSnapshot
        The entries and hashes of this chunk.
    """

    number: int
    chunk_count: int
    snapshot: TableSnapshot


def check_chunk(chunk: Chunk) -> None:
    """Check a chunk that was received in a message.

    Raises
    ------
    errors.BadInputError
        If its number is out of range or a hash is truncated.
    """
    if not 0 <= chunk.number < chunk.chunk_count:
        accepted = "a number below the chunk count"
        raise errors.BadInputError("number", f"{chunk.number}", accepted)
    for data in chunk.snapshot.evicted.values():
        if len(data) % HASH_BYTES:
            accepted = f"a multiple of {HASH_BYTES} bytes"
            raise errors.BadInputError("evicted", f"{len(data)} bytes", accepted)


def hash_id(local_id: str) -> int:
    """Return the eight-byte hash that represents a submission without its answer."""
    raw = hashlib.blake2b(local_id.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(raw, "big")


def split_into_chunks(
    snapshot: TableSnapshot, chunk_bytes: int = MAX_CHUNK_BYTES
) -> tuple[Chunk, ...]:
    """Return the chunks of a table, at least one.

    An entry too large for a chunk is replaced by a hash, without its answer: the
    submission is still recognised, and copies of it get the result ``Expired``.

    Parameters
    ----------
    snapshot : TableSnapshot
        The whole table.
    chunk_bytes : int
        Greatest size of a chunk, in bytes.
    """
    small = [x for x in snapshot.entries if x.size_bytes() <= chunk_bytes]
    large = [x for x in snapshot.entries if x.size_bytes() > chunk_bytes]
    evicted = _add_hashes(snapshot, large)
    contents = [
        snapshot._replace(entries=entries, evicted={})
        for entries in _group_by_size(small, chunk_bytes)
    ]
    for epoch, data in sorted(evicted.items()):
        step = max(1, chunk_bytes // HASH_BYTES) * HASH_BYTES
        for start in range(0, len(data), step):
            chunk = {epoch: data[start : start + step]}
            contents.append(snapshot._replace(entries=(), evicted=chunk))
    contents = contents or [snapshot._replace(entries=(), evicted={})]
    return tuple(Chunk(n, len(contents), content) for n, content in enumerate(contents))


def _group_by_size(
    entries: list[Entry], chunk_bytes: int
) -> collections.abc.Iterator[tuple[Entry, ...]]:
    """Yield groups of successive entries that fit into one chunk each."""
    group: list[Entry] = []
    size_bytes = 0
    for entry in entries:
        entry_bytes = entry.size_bytes()
        if group and size_bytes + entry_bytes > chunk_bytes:
            yield tuple(group)
            group, size_bytes = [], 0
        group.append(entry)
        size_bytes += entry_bytes
    if group:
        yield tuple(group)


def _add_hashes(snapshot: TableSnapshot, large: list[Entry]) -> dict[int, bytes]:
    """Return the hashes of a snapshot, by epoch, with those of the large entries."""
    found = dict(snapshot.evicted)
    for epoch in {entry.epoch for entry in large}:
        hashes = array.array("Q", found.get(epoch, b""))
        hashes.extend(hash_id(x.local_id) for x in large if x.epoch == epoch)
        found[epoch] = array.array("Q", sorted(hashes)).tobytes()
    return found


class _Partial(typing.NamedTuple):
    """Chunks of one table received so far, by number, and when the first one came."""

    since: datetime.datetime
    found: dict[int, TableSnapshot]


class ChunkAssembler:
    """Assembles tables from the chunks that a successor receives.

    Parameters
    ----------
    retention : datetime.timedelta
        How long the chunks of an incomplete table are kept.
    """

    def __init__(self, retention: datetime.timedelta) -> None:
        self._retention = retention
        self._partial: dict[identifiers.Incarnation, _Partial] = {}

    def add(self, chunk: Chunk, now: datetime.datetime) -> TableSnapshot | None:
        """Add a chunk, in any order; duplicates are allowed.

        Returns
        -------
        TableSnapshot or None
            The whole table once all chunks have arrived, otherwise ``None``.
        """
        self._drop_expired(now)
        incarnation = chunk.snapshot.incarnation
        partial = self._partial.setdefault(incarnation, _Partial(now, {}))
        partial.found[chunk.number] = chunk.snapshot
        if any(number not in partial.found for number in range(chunk.chunk_count)):
            return None
        del self._partial[incarnation]
        return _join([partial.found[number] for number in range(chunk.chunk_count)])

    def _drop_expired(self, now: datetime.datetime) -> None:
        for incarnation, partial in list(self._partial.items()):
            if now - partial.since > self._retention:
                del self._partial[incarnation]


def _join(snapshots: list[TableSnapshot]) -> TableSnapshot:
    entries = tuple(entry for snapshot in snapshots for entry in snapshot.entries)
    evicted: dict[int, bytes] = collections.defaultdict(bytes)
    for snapshot in snapshots:
        for epoch, data in snapshot.evicted.items():
            evicted[epoch] += data
    return snapshots[0]._replace(entries=entries, evicted=dict(evicted))
