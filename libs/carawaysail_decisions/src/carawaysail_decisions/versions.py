"""SettingsVersions of the settings: sections merge by revision and never go back.

The platform's store numbers every write with a revision that only grows. A daemon
keeps, for each section, the value of the greatest revision that it has seen, from
whatever source, in whatever order. So a lagging watch, a late answer, a restart that
asks a peer, or a doubled message cannot bring an older value back.
"""

import datetime
import hashlib
import typing

from carawaysail_types import errors


class Section(typing.NamedTuple):
    """One section at one revision.

    Parameters
    ----------
    name : str
        ``root``, ``teams/<name>`` or ``places/<name>``.
    revision : int
        The store's number of the write, from 1.
    text : str
        Canonical JSON; empty for a section that was deleted.
    """

    name: str
    revision: int
    text: str


class ActiveSection(typing.NamedTuple):
    """A section and when it came into force here.

    Parameters
    ----------
    section : Section
        The section.
    since : datetime.datetime
        When this daemon took it over.
    """

    section: Section
    since: datetime.datetime


class SettingsVersions:
    """The sections in force at one daemon."""

    def __init__(self) -> None:
        self._held: dict[str, ActiveSection] = {}
        self._digest: str | None = None

    def accept(self, section: Section, now: datetime.datetime) -> bool:
        """Take over a section if it is newer than the one held.

        Returns
        -------
        bool
            Whether it was newer.

        Raises
        ------
        errors.BadInputError
            If the revision is not positive.
        """
        if section.revision < 1:
            raise errors.BadInputError("revision", section.revision, "1 or more")
        held = self._held.get(section.name)
        if held is not None and held.section.revision >= section.revision:
            return False
        self._held[section.name] = ActiveSection(section, now)
        self._digest = None
        return True

    def sections(self) -> tuple[Section, ...]:
        """Return the sections in force, deleted ones included."""
        return tuple(held.section for held in self._held.values())

    def revisions(self) -> dict[str, int]:
        """Return the revision in force of each section."""
        return {name: held.section.revision for name, held in self._held.items()}

    def newest_revision(self) -> int:
        """Return the greatest revision in force; 0 for none."""
        return max(self.revisions().values(), default=0)

    def newer_than(self, revisions: dict[str, int]) -> tuple[Section, ...]:
        """Return the sections that a peer with these revisions lacks."""
        return tuple(
            held.section
            for name, held in self._held.items()
            if held.section.revision > revisions.get(name, 0)
        )

    def digest(self) -> str:
        """Return a hash of all revisions; equal hashes mean equal settings."""
        if self._digest is None:
            text = ",".join(f"{n}={r}" for n, r in sorted(self.revisions().items()))
            raw = hashlib.blake2b(text.encode(), digest_size=8)
            self._digest = raw.hexdigest()
        return self._digest
