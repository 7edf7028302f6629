"""The tree of settings in the platform's store, read and written by section."""

import secrets
import typing

from carawaysail_platform import errors, keyvalue
from carawaysail_settings import sections, tree

KEPT_WRITERS = 8


class Read(typing.NamedTuple):
    """The tree as it stood in the store.

    Parameters
    ----------
    cfg : tree.Tree
        The tree.
    revisions : dict of str to int
        Revision of each section.
    writers : dict of str to list of str
        Identifiers of the last writes of each section.
    """

    cfg: tree.Tree
    revisions: dict[str, int]
    writers: dict[str, list[str]]


class Written(typing.NamedTuple):
    """One section that was written.

    Parameters
    ----------
    section : str
        Its name.
    revision : int
        Revision of the write.
    """

    section: str
    revision: int


class SettingsStore:
    """The settings in the platform's key-value service.

    Parameters
    ----------
    store : keyvalue.KeyValue
        The service.
    """

    def __init__(self, store: keyvalue.KeyValue) -> None:
        self._store = store

    def read(self) -> Read:
        """Return the tree with the revisions of its sections.

        Raises
        ------
        errors.StoreUnavailableError
            If the service does not answer.
        """
        parts, revisions, writers = {}, {}, {}
        for item in self._store.read(sections.STORE_PREFIX).items:
            name = item.key[len(sections.STORE_PREFIX) :]
            found = sections.unpack(name, item.value)
            parts[name] = found.section
            revisions[name] = item.revision
            writers[name] = found.writers
        return Read(sections.join(parts), revisions, writers)

    def write(self, before: Read, after: tree.Tree) -> list[Written]:
        """Write the sections that differ, each by compare-and-swap.

        Parameters
        ----------
        before : Read
            What the change started from.
        after : tree.Tree
            The checked tree to write.

        Returns
        -------
        list of Written
            The sections that were written; empty if nothing differs.

        Raises
        ------
        errors.WriteConflictError
            If somebody else wrote one of them first.
        errors.WriteUncertainError
            If an answer was lost and it cannot be told whether it took effect.
        """
        old = sections.split(before.cfg)
        new = sections.split(after)
        done = []
        for name in sorted(set(old) | set(new)):
            is_stored = name in before.revisions
            if old.get(name) != new.get(name) or (name in new and not is_stored):
                done.append(self._write_section(before, name, new.get(name)))
        return done

    def _write_section(
        self, before: Read, name: str, section: dict[str, typing.Any] | None
    ) -> Written:
        writer = secrets.token_hex(8)
        writers = [writer, *before.writers.get(name, [])][:KEPT_WRITERS]
        value = ""
        if section is not None:
            value = sections.pack(sections.StoredSection(section, writers))
        expected = before.revisions.get(name, 0)
        try:
            revision = self._store.compare_and_swap(
                sections.STORE_PREFIX + name, expected, value
            )
        except errors.WriteUncertainError as exc:
            revision = self._recognise(exc, name, writer, expected)
        return Written(name, revision)

    def _recognise(
        self, exc: errors.WriteUncertainError, name: str, writer: str, expected: int
    ) -> int:
        """Return the revision of a write whose answer was lost, if it took effect."""
        for item in self._store.read(sections.STORE_PREFIX + name).items:
            if item.key != sections.STORE_PREFIX + name:
                continue
            if writer in sections.unpack(name, item.value).writers:
                return item.revision
            if item.revision != expected:
                raise errors.WriteConflictError(name, expected, item.revision)
            raise exc
        raise exc
