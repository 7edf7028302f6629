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

PIECE_BYTES = 4_000_000
"""Size of a piece; a message may have 16 MB and its codec adds up to a half."""

ENTRY_BYTES = 128
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

    def size(self) -> int:
        """Return about how many bytes it takes in a message."""
        texts = 4 * (len(self.own) + len(self.outcome.detail))
        return ENTRY_BYTES + texts + sum(len(x) for x in self.outcome.answers)


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


class Piece(typing.NamedTuple):
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
    pieces: int
    memory: TableSnapshot


def check(piece: Piece) -> None:
    """Check a piece that came in a message.

    Raises
    ------
    errors.BadInputError
        If its number is not one of the pieces', or a hash is cut.
    """
    if not 0 <= piece.number < piece.pieces:
        accepted = "a number below the count of pieces"
        raise errors.BadInputError("number", f"{piece.number}", accepted)
    for data in piece.memory.evicted.values():
        if len(data) % HASH_BYTES:
            accepted = f"whole hashes of {HASH_BYTES} bytes"
            raise errors.BadInputError("evicted", f"{len(data)} bytes", accepted)


def hash_of(own: str) -> int:
    """Return the eight-byte hash by which a submission without an answer is known."""
    raw = hashlib.blake2b(own.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(raw, "big")


def cut(memory: TableSnapshot, piece_bytes: int = PIECE_BYTES) -> tuple[Piece, ...]:
    """Return the pieces of a memory, at least one.

    An entry too large for any piece goes on without its answer, as a hash: it is still
    recognised, and answered as one whose answer is gone.
    """
    fitting = [x for x in memory.entries if x.size() <= piece_bytes]
    large = [x for x in memory.entries if x.size() > piece_bytes]
    evicted = _with_hashes(memory, large)
    parts = [
        memory._replace(entries=entries, evicted={})
        for entries in _filled(fitting, piece_bytes)
    ]
    for epoch, data in sorted(evicted.items()):
        step = max(1, piece_bytes // HASH_BYTES) * HASH_BYTES
        for start in range(0, len(data), step):
            piece = {epoch: data[start : start + step]}
            parts.append(memory._replace(entries=(), evicted=piece))
    parts = parts or [memory._replace(entries=(), evicted={})]
    return tuple(Piece(n, len(parts), part) for n, part in enumerate(parts))


def _filled(
    entries: list[Entry], piece_bytes: int
) -> collections.abc.Iterator[tuple[Entry, ...]]:
    held: list[Entry] = []
    size = 0
    for entry in entries:
        more = entry.size()
        if held and size + more > piece_bytes:
            yield tuple(held)
            held, size = [], 0
        held.append(entry)
        size += more
    if held:
        yield tuple(held)


def _with_hashes(memory: TableSnapshot, large: list[Entry]) -> dict[int, bytes]:
    found = dict(memory.evicted)
    for epoch in {entry.epoch for entry in large}:
        hashes = array.array("Q", found.get(epoch, b""))
        hashes.extend(hash_of(x.own) for x in large if x.epoch == epoch)
        found[epoch] = array.array("Q", sorted(hashes)).tobytes()
    return found


class _Parts(typing.NamedTuple):
    since: datetime.datetime
    found: dict[int, TableSnapshot]


class Gathering:
    """Pieces that an heir has, until they are whole.

    Parameters
    ----------
    kept_for : datetime.timedelta
        How long pieces are kept while others are missing.
    """

    def __init__(self, kept_for: datetime.timedelta) -> None:
        self._kept_for = kept_for
        self._parts: dict[identifiers.Incarnation, _Parts] = {}

    def add(self, piece: Piece, now: datetime.datetime) -> TableSnapshot | None:
        """Take a piece, in any order and any number of times.

        Returns
        -------
        TableSnapshot or None
            The whole memory, once every piece is there.
        """
        self._forget(now)
        name = piece.memory.incarnation
        parts = self._parts.setdefault(name, _Parts(now, {}))
        parts.found[piece.number] = piece.memory
        if any(number not in parts.found for number in range(piece.pieces)):
            return None
        del self._parts[name]
        return _join([parts.found[number] for number in range(piece.pieces)])

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
