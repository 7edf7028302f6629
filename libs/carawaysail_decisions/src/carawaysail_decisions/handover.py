"""Handover: the memory of an incarnation that ends, in pieces that fit a message.

The heir opens the book only once it has every piece: a book with a part missing would
take a submission that was started for a new one, and start it again.
"""

import array
import collections
import collections.abc
import datetime
import hashlib
import typing

from carawaysail_types import errors, identifiers, outcomes

MAX_CHUNK_BYTES = 4_000_000
"""Size of a piece; a message may have 16 MB and its codec adds up to a half."""

ENTRY_OVERHEAD_BYTES = 128
"""What an entry takes in a message beside its texts and answers, at most."""

HASH_BYTES = 8


class Entry(typing.NamedTuple):
    """One remembered submission, as handed to an heir.

    Parameters
    ----------
    epoch : int
        Epoch of its token.
    own : str
        The caller's part of the identifier.
    digest : bytes
        Hash of its body.
    outcome : outcomes.FlatOutcome
        Its outcome.
    """

    epoch: int
    own: str
    digest: bytes
    outcome: outcomes.FlatOutcome

    def size_bytes(self) -> int:
        """Return about how many bytes it takes in a message."""
        texts = 4 * (len(self.own) + len(self.outcome.detail))
        return ENTRY_OVERHEAD_BYTES + texts + sum(len(x) for x in self.outcome.answers)


class TableSnapshot(typing.NamedTuple):
    """All that one incarnation remembers, or a piece of it.

    Parameters
    ----------
    incarnation : str
        The incarnation that ends.
    epoch : int
        Its epoch at the time of the handover.
    entries : tuple of Entry
        Submissions with their outcomes.
    evicted : dict of int to bytes
        For each epoch the sorted eight-byte hashes of submissions without an answer.
    """

    incarnation: identifiers.Incarnation
    epoch: int
    entries: tuple[Entry, ...]
    evicted: dict[int, bytes]


class Chunk(typing.NamedTuple):
    """One piece of a memory.

    Parameters
    ----------
    number : int
        Its place, from 0.
    pieces : int
        How many pieces the memory has.
    memory : TableSnapshot
        What the piece holds.
    """

    number: int
    chunk_count: int
    snapshot: TableSnapshot


def check_chunk(chunk: Chunk) -> None:
    """Check a piece that came in a message.

    Raises
    ------
    errors.BadInputError
        If its number is not one of the pieces', or a hash is cut.
    """
    if not 0 <= chunk.number < chunk.chunk_count:
        accepted = "a number below the count of pieces"
        raise errors.BadInputError("number", f"{chunk.number}", accepted)
    for data in chunk.snapshot.evicted.values():
        if len(data) % HASH_BYTES:
            accepted = f"whole hashes of {HASH_BYTES} bytes"
            raise errors.BadInputError("evicted", f"{len(data)} bytes", accepted)


def hash_id(own: str) -> int:
    """Return the eight-byte hash by which a submission without an answer is known."""
    raw = hashlib.blake2b(own.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(raw, "big")


def split_into_chunks(
    snapshot: TableSnapshot, chunk_bytes: int = MAX_CHUNK_BYTES
) -> tuple[Chunk, ...]:
    """Return the pieces of a memory, at least one.

    An entry too large for any piece goes on without its answer, as a hash: it is still
    recognised, and answered as one whose answer is gone.
    """
    fitting = [x for x in snapshot.entries if x.size_bytes() <= chunk_bytes]
    large = [x for x in snapshot.entries if x.size_bytes() > chunk_bytes]
    evicted = _with_hashes(snapshot, large)
    parts = [
        snapshot._replace(entries=entries, evicted={})
        for entries in _filled(fitting, chunk_bytes)
    ]
    for epoch, data in sorted(evicted.items()):
        step = max(1, chunk_bytes // HASH_BYTES) * HASH_BYTES
        for start in range(0, len(data), step):
            chunk = {epoch: data[start : start + step]}
            parts.append(snapshot._replace(entries=(), evicted=chunk))
    parts = parts or [snapshot._replace(entries=(), evicted={})]
    return tuple(Chunk(n, len(parts), part) for n, part in enumerate(parts))


def _filled(
    entries: list[Entry], chunk_bytes: int
) -> collections.abc.Iterator[tuple[Entry, ...]]:
    held: list[Entry] = []
    size_bytes = 0
    for entry in entries:
        more = entry.size_bytes()
        if held and size_bytes + more > chunk_bytes:
            yield tuple(held)
            held, size_bytes = [], 0
        held.append(entry)
        size_bytes += more
    if held:
        yield tuple(held)


def _with_hashes(snapshot: TableSnapshot, large: list[Entry]) -> dict[int, bytes]:
    found = dict(snapshot.evicted)
    for epoch in {entry.epoch for entry in large}:
        hashes = array.array("Q", found.get(epoch, b""))
        hashes.extend(hash_id(x.own) for x in large if x.epoch == epoch)
        found[epoch] = array.array("Q", sorted(hashes)).tobytes()
    return found


class _Parts(typing.NamedTuple):
    since: datetime.datetime
    found: dict[int, TableSnapshot]


class ChunkAssembler:
    """Pieces that an heir has, until they are whole.

    Parameters
    ----------
    retention : datetime.timedelta
        How long pieces are kept while others are missing.
    """

    def __init__(self, retention: datetime.timedelta) -> None:
        self._kept_for = retention
        self._parts: dict[identifiers.Incarnation, _Parts] = {}

    def add(self, chunk: Chunk, now: datetime.datetime) -> TableSnapshot | None:
        """Take a piece, in any order and any number of times.

        Returns
        -------
        TableSnapshot or None
            The whole memory, once every piece is there.
        """
        self._forget(now)
        name = chunk.snapshot.incarnation
        parts = self._parts.setdefault(name, _Parts(now, {}))
        parts.found[chunk.number] = chunk.snapshot
        if any(number not in parts.found for number in range(chunk.chunk_count)):
            return None
        del self._parts[name]
        return _join([parts.found[number] for number in range(chunk.chunk_count)])

    def _forget(self, now: datetime.datetime) -> None:
        for name, parts in list(self._parts.items()):
            if now - parts.since > self._kept_for:
                del self._parts[name]


def _join(parts: list[TableSnapshot]) -> TableSnapshot:
    entries = tuple(entry for part in parts for entry in part.entries)
    evicted: dict[int, bytes] = collections.defaultdict(bytes)
    for part in parts:
        for epoch, data in part.evicted.items():
            evicted[epoch] += data
    return parts[0]._replace(entries=entries, evicted=dict(evicted))
