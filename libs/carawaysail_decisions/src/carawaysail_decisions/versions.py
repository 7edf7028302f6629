"""Versions of the settings: sections are merged by revision and never go back.

The platform's store gives each write a revision, and revisions only increase. For each
section a daemon keeps the value with the greatest revision that it has received, from
any source and in any order. So an older value cannot be restored by a lagging watch, a
late answer, a duplicate message, or a peer that is asked after a restart.
"""

import datetime
import hashlib
import typing

from carawaysail_types import errors


class Section(typing.NamedTuple):
    """One section of the settings at one revision.

    Parameters
    ----------
    name : str
        ``root``, ``teams/<name>`` or ``places/<name>``.
    revision : int
        Number that the store gave to the write, from 1.
    text : str
        Canonical JSON; empty if the section has been deleted.
    """

    name: str
    revision: int
    text: str


class ActiveSection(typing.NamedTuple):
    """A section and when it came into force at this daemon.

    Parameters
    ----------
    section : Section
        The section.
    since : datetime.datetime
        When this daemon accepted it.
    """

    section: Section
    since: datetime.datetime


class SettingsVersions:
    """The sections in force at one daemon."""

    def __init__(self) -> None:
        self._held: dict[str, ActiveSection] = {}
        self._digest: str | None = None

    def accept(self, section: Section, now: datetime.datetime) -> bool:
        """Replace a section if the given revision is newer than the one in force.

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
        active = self._held.get(section.name)
        if active is not None and active.section.revision >= section.revision:
            return False
        self._held[section.name] = ActiveSection(section, now)
        self._digest = None
        return True

    def sections(self) -> tuple[Section, ...]:
        """Return the sections in force, including deleted ones."""
        return tuple(active.section for active in self._held.values())

    def revisions(self) -> dict[str, int]:
        """Return the revision in force of each section, by section name."""
        return {name: active.section.revision for name, active in self._held.items()}

    def newest_revision(self) -> int:
        """Return the greatest revision in force; 0 if there is none."""
        return max(self.revisions().values(), default=0)

    def newer_than(self, revisions: dict[str, int]) -> tuple[Section, ...]:
        """Return the sections of which a peer has an older revision or none."""
        return tuple(
            active.section
            for name, active in self._held.items()
            if active.section.revision > revisions.get(name, 0)
        )

    def digest(self) -> str:
        """Return a hash of all revisions; equal hashes mean equal settings."""
        if self._digest is None:
            text = ",".join(f"{n}={r}" for n, r in sorted(self.revisions().items()))
            raw = hashlib.blake2b(text.encode(), digest_size=8)
            self._digest = raw.hexdigest()
        return self._digest
