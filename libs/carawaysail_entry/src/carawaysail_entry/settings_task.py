"""The settings task, which owns the sections in force, and the watch of the store.

A section is a part of the settings tree that is stored, versioned and sent on its own.
"""

import asyncio
import collections.abc
import threading
import typing

from carawaysail_decisions import versions
from carawaysail_entry import effective_settings
from carawaysail_platform import errors, keyvalue
from carawaysail_runtime import inbox, logs
from carawaysail_settings import json_text, sections, tree
from carawaysail_types import clock
from carawaysail_types import errors as type_errors

MAX_INBOX_MESSAGES = 1_000
MIN_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 2.0
"""A change has to be in force within 6 s, also if the store was down before."""

WATCHES_PER_READ = 30
"""Quiet watches after which the store is read once more, in case its revisions have
gone back, as after a restore."""

ROLE_CHECK_PERIOD_S = 0.5
"""Time between two checks whether this daemon has become a watcher."""


class SectionsReceived(typing.NamedTuple):
    """Sections received from the store or a peer.

    Parameters
    ----------
    sections : tuple of versions.Section
        The sections, each with its revision.
    source : str
        ``store`` or ``peer``.
    snapshot_revision : int
        Revision of the store at which these are all its sections; 0 if there may be
        others.
    """

    sections: tuple[versions.Section, ...]
    source: str
    snapshot_revision: int = 0


OnChange = collections.abc.Callable[[tuple[versions.Section, ...], str], None]


class SettingsTask:
    """Merges received sections and derives the settings in force at this daemon.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop that the task runs in.
    vm : str
        Name of the daemon's VM.
    data_centre : str
        Its data centre.
    time_source : clock.Clock
        The clock.

    Attributes
    ----------
    versions : versions.SettingsVersions
        The newest accepted revision of each section.
    effective : effective_settings.EffectiveSettings or None
        The settings in force; ``None`` until a valid tree has been received.
    rejected : dict of str to str
        Error text of each section that was rejected, by its name; under ``tree`` that
        of the whole tree.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        vm: str,
        data_centre: str,
        time_source: clock.Clock,
    ) -> None:
        self.inbox: inbox.Inbox[SectionsReceived] = inbox.Inbox(
            loop, MAX_INBOX_MESSAGES
        )
        self.versions = versions.SettingsVersions()
        self.effective: effective_settings.EffectiveSettings | None = None
        self.rejected: dict[str, str] = {}
        self._vm = vm
        self._data_centre = data_centre
        self._clock = time_source
        self._on_change: OnChange | None = None

    def on_change(self, callback: OnChange) -> None:
        """Set the function that is called after the settings in force have changed.

        Parameters
        ----------
        callback : callable
            Receives the accepted sections and their source, ``store`` or ``peer``.
        """
        self._on_change = callback

    async def run(self) -> None:
        """Handle received sections until cancelled."""
        while True:
            for message in await self.inbox.drain():
                self._accept(message)

    def _accept(self, message: SectionsReceived) -> None:
        now = self._clock.now()
        accepted = []
        for section in (*message.sections, *self._deletions(message)):
            if self._is_valid(section) and self.versions.accept(section, now):
                accepted.append(section)
        if not accepted:
            return
        try:
            self._derive()
        except type_errors.CarawaysailError as exc:
            self.rejected["tree"] = str(exc)
            logs.log_error("settings", "Settings tree rejected.", exc)
            return
        self.rejected.pop("tree", None)
        logs.log_event(
            "settings", "Sections in force.", source=message.source,
            sections={x.name: x.revision for x in accepted},
        )  # fmt: skip
        if self._on_change is not None:
            self._on_change(tuple(accepted), message.source)

    def _deletions(self, message: SectionsReceived) -> list[versions.Section]:
        """Return the sections missing from a complete snapshot, as deleted sections."""
        present = {section.name for section in message.sections}
        return [
            versions.Section(section.name, message.snapshot_revision, "")
            for section in self.versions.sections()
            if section.name not in present
            and section.text
            and section.revision < message.snapshot_revision
        ]

    def _is_valid(self, section: versions.Section) -> bool:
        """Return whether a section passes its checks; log and record a new failure."""
        try:
            if section.text:
                tree.check_section(
                    section.name, json_text.parse(section.name, section.text)
                )
        except (type_errors.CarawaysailError, KeyError) as exc:
            if self.rejected.get(section.name) != str(exc):
                self.rejected[section.name] = str(exc)
                logs.log_error(
                    "settings", "Section rejected.", exc, section=section.name
                )
            return False
        self.rejected.pop(section.name, None)
        return True

    def _derive(self) -> None:
        parsed = {
            section.name: json_text.parse(section.name, section.text)
            for section in self.versions.sections()
            if section.text
        }
        cfg = tree.check_tree(sections.join(parsed))
        self.effective = effective_settings.derive(cfg, self._vm, self._data_centre)


class StoreWatch:
    """Thread that reads the store, and watches it while this daemon is a watcher.

    A daemon that is not a watcher reads the store once, at its start, and receives
    later sections from its peers.

    Parameters
    ----------
    store : keyvalue.KeyValue
        Client of the platform's key-value service.
    task : SettingsTask
        Receives the sections.
    is_watcher : callable
        Returns whether this daemon watches the store for its data centre.
    """

    def __init__(
        self,
        store: keyvalue.KeyValue,
        task: SettingsTask,
        is_watcher: collections.abc.Callable[[], bool],
    ) -> None:
        self._store = store
        self._task = task
        self._is_watcher = is_watcher
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Make the thread end after the present call; does not wait for it."""
        self._stop.set()

    def _run(self) -> None:
        retry_delay_s = MIN_RETRY_DELAY_S
        is_first = True
        while not self._stop.is_set():
            if not is_first and not self._is_watcher():
                self._stop.wait(ROLE_CHECK_PERIOD_S)
                continue
            try:
                self._read_and_watch(watch=self._is_watcher())
                retry_delay_s = MIN_RETRY_DELAY_S
                is_first = False
            except errors.StoreUnavailableError as exc:
                logs.log_error("settings", "Store unavailable.", exc)
                self._stop.wait(retry_delay_s)
                retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)
            except Exception as exc:
                logs.log_error(
                    "settings", "Unexpected error while reading the store.", exc
                )
                self._stop.wait(MAX_RETRY_DELAY_S)

    def _read_and_watch(self, watch: bool) -> None:
        snapshot = self._store.read(sections.STORE_PREFIX)
        self._post(snapshot.items, snapshot.revision)
        if not watch:
            return
        revision = snapshot.revision
        for _ in range(WATCHES_PER_READ):
            for items in self._store.watch(sections.STORE_PREFIX, revision):
                self._post(items)
                revision = max(revision, *(item.revision for item in items))
                if self._must_end():
                    return
            if self._must_end():
                return

    def _must_end(self) -> bool:
        return self._stop.is_set() or not self._is_watcher()

    def _post(
        self, items: tuple[keyvalue.Item, ...], snapshot_revision: int = 0
    ) -> None:
        found = []
        for item in items:
            name = item.key[len(sections.STORE_PREFIX) :]
            try:
                content = section_text(item)
            except type_errors.CarawaysailError as exc:
                logs.log_error(
                    "settings", "Stored section unreadable.", exc, section=name
                )
                # The section is missing here, but it has not been deleted.
                snapshot_revision = 0
                continue
            found.append(versions.Section(name, item.revision, content))
        if found:
            self._task.inbox.put(
                SectionsReceived(tuple(found), "store", snapshot_revision)
            )


def section_text(item: keyvalue.Item) -> str:
    """Return the canonical JSON text of a stored section; empty if it was deleted.

    Raises
    ------
    carawaysail_settings.errors.BadTextError
        If the value is not an encoded section.
    """
    if not item.value:
        return ""
    return json_text.compact(sections.unpack(item.key, item.value).section)
