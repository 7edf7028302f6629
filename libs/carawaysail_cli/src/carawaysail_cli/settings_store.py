"""Read and write the settings tree in the platform's key-value service, by section."""

import secrets
import typing

from carawaysail_platform import errors, keyvalue
from carawaysail_settings import sections, tree

MAX_WRITERS = 8
"""Number of last writes whose identifiers a section keeps.

By its identifier a writer whose response was lost finds out whether it has written.
"""


class StoredTree(typing.NamedTuple):
    """The settings tree as read from the key-value service.

    Parameters
    ----------
    cfg : tree.Tree
        The tree, joined from its sections.
    revisions : dict of str to int
        Revision of each section, by name.
    writers : dict of str to list of str
        Identifiers of the last writes of each section, newest first.
    """

    cfg: tree.Tree
    revisions: dict[str, int]
    writers: dict[str, list[str]]


class WrittenSection(typing.NamedTuple):
    """A section that was written.

    Parameters
    ----------
    section : str
        Name of the section.
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

    def read(self) -> StoredTree:
        """Read all sections, and return the tree with their revisions.

        Raises
        ------
        errors.StoreUnavailableError
            If the service does not answer.
        carawaysail_settings.errors.BadTextError
            If a value is not a section.
        """
        by_name, revisions, writers = {}, {}, {}
        for item in self._store.read(sections.STORE_PREFIX).items:
            name = item.key[len(sections.STORE_PREFIX) :]
            found = sections.unpack(name, item.value)
            by_name[name] = found.section
            revisions[name] = item.revision
            writers[name] = found.writers
        return StoredTree(sections.join(by_name), revisions, writers)

    def write(self, before: StoredTree, after: tree.Tree) -> list[WrittenSection]:
        """Write the sections that differ, each by compare-and-swap.

        The sections are written one after the other: after an error, those before it
        are written.

        Parameters
        ----------
        before : StoredTree
            The tree that the change is based on, as read.
        after : tree.Tree
            The checked tree to write.

        Returns
        -------
        list of WrittenSection
            The sections that were written; empty if nothing differs.

        Raises
        ------
        errors.WriteConflictError
            If another writer changed one of them since ``before`` was read.
        errors.WriteUncertainError
            If the response to a write was lost, and it is unknown whether the write
            took effect.
        errors.StoreUnavailableError
            If the service does not answer.
        """
        old = sections.split(before.cfg)
        new = sections.split(after)
        written = []
        for name in sorted(set(old) | set(new)):
            is_stored = name in before.revisions
            if old.get(name) != new.get(name) or (name in new and not is_stored):
                written.append(self._write_section(before, name, new.get(name)))
        return written

    def _write_section(
        self, before: StoredTree, name: str, section: dict[str, typing.Any] | None
    ) -> WrittenSection:
        writer = secrets.token_hex(8)
        writers = [writer, *before.writers.get(name, [])][:MAX_WRITERS]
        value = ""
        if section is not None:
            value = sections.pack(sections.StoredSection(section, writers))
        expected = before.revisions.get(name, 0)
        try:
            revision = self._store.compare_and_swap(
                sections.STORE_PREFIX + name, expected, value
            )
        except errors.WriteUncertainError as exc:
            revision = self._find_own_write(exc, name, writer, expected)
        return WrittenSection(name, revision)

    def _find_own_write(
        self, exc: errors.WriteUncertainError, name: str, writer: str, expected: int
    ) -> int:
        """Return the revision of a write whose response was lost, if it took effect.

        Raises ``exc`` where that stays unknown, and ``errors.WriteConflictError`` where
        another writer changed the section.
        """
        for item in self._store.read(sections.STORE_PREFIX + name).items:
            if item.key != sections.STORE_PREFIX + name:
                continue
            if writer in sections.unpack(name, item.value).writers:
                return item.revision
            if item.revision != expected:
                raise errors.WriteConflictError(name, expected, item.revision)
            raise exc
        raise exc
