"""The settings task: owns the sections in force and the watch of the store."""

import asyncio
import collections.abc
import threading
import typing

from carawaysail_decisions import versions
from carawaysail_entry import effective
from carawaysail_platform import errors, keyvalue
from carawaysail_runtime import inbox, logs
from carawaysail_settings import sections, text, tree
from carawaysail_types import clock
from carawaysail_types import errors as type_errors

INBOX_BOUND = 1_000
WATCH_PAUSE_S = 0.5
LONGEST_PAUSE_S = 10.0
ROLE_CHECK_S = 0.5


class Took(typing.NamedTuple):
    """Sections came from the store or a peer.

    Parameters
    ----------
    sections : tuple of versions.Section
        The sections.
    source : str
        ``store`` or ``peer``.
    complete_at : int
        Revision at which these are all sections there are; 0 if they are only some.
    """

    sections: tuple[versions.Section, ...]
    source: str
    complete_at: int = 0


Changed = collections.abc.Callable[[tuple[versions.Section, ...], str], None]


class SettingsTask:
    """Holds the settings in force at this daemon.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop it runs in.
    vm, data_centre : str
        The daemon and where it is.
    source : clock.Clock
        The clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        vm: str,
        data_centre: str,
        source: clock.Clock,
    ) -> None:
        self.inbox: inbox.Inbox[Took] = inbox.Inbox(loop, INBOX_BOUND)
        self.versions = versions.SettingsVersions()
        self.effective: effective.Effective | None = None
        self.rejected: dict[str, str] = {}
        self._vm = vm
        self._data_centre = data_centre
        self._clock = source
        self._on_change: Changed | None = None

    def on_change(self, call: Changed) -> None:
        """Call back with the sections taken over, each time there are any."""
        self._on_change = call

    async def run(self) -> None:
        """Take over sections until cancelled."""
        while True:
            for message in await self.inbox.drain():
                self._take(message)

    def _take(self, message: Took) -> None:
        now = self._clock.now()
        taken = []
        for section in (*message.sections, *self._deleted(message)):
            if self._is_sound(section) and self.versions.accept(section, now):
                taken.append(section)
        if not taken:
            return
        try:
            self._derive()
        except type_errors.CarawaysailError as exc:
            self.rejected["tree"] = str(exc)
            logs.log_error("settings", "Tree refused.", exc)
            return
        self.rejected.pop("tree", None)
        logs.log_event(
            "settings", "Sections in force.", source=message.source,
            sections={x.name: x.revision for x in taken},
        )  # fmt: skip
        if self._on_change is not None:
            self._on_change(tuple(taken), message.source)

    def _deleted(self, message: Took) -> list[versions.Section]:
        """Return what a complete reading no longer holds, as deleted sections."""
        there = {section.name for section in message.sections}
        return [
            versions.Section(section.name, message.complete_at, "")
            for section in self.versions.sections()
            if section.name not in there
            and section.text
            and section.revision < message.complete_at
        ]

    def _is_sound(self, section: versions.Section) -> bool:
        """Tell whether a section passes its checks; one that fails stays out."""
        try:
            if section.text:
                tree.check_section(section.name, text.parse(section.name, section.text))
        except (type_errors.CarawaysailError, KeyError) as exc:
            if self.rejected.get(section.name) != str(exc):
                self.rejected[section.name] = str(exc)
                logs.log_error(
                    "settings", "Section refused.", exc, section=section.name
                )
            return False
        self.rejected.pop(section.name, None)
        return True

    def _derive(self) -> None:
        parts = {
            section.name: text.parse(section.name, section.text)
            for section in self.versions.sections()
            if section.text
        }
        cfg = tree.check_tree(sections.join(parts))
        self.effective = effective.derive(cfg, self._vm, self._data_centre)


class StoreWatch:
    """A thread that reads and watches the store while this daemon should.

    Parameters
    ----------
    store : keyvalue.KeyValue
        The store.
    task : SettingsTask
        Takes the sections.
    is_watcher : callable
        Tells whether this daemon watches for its data centre.
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
        """Let the thread end at its next step."""
        self._stop.set()

    def _run(self) -> None:
        pause = WATCH_PAUSE_S
        first = True
        while not self._stop.is_set():
            if not first and not self._is_watcher():
                self._stop.wait(ROLE_CHECK_S)
                continue
            try:
                self._read_and_watch(watch=self._is_watcher())
                pause = WATCH_PAUSE_S
                first = False
            except errors.StoreUnavailableError as exc:
                logs.log_error("settings", "Store unavailable.", exc)
                self._stop.wait(pause)
                pause = min(pause * 2, LONGEST_PAUSE_S)
            except Exception as exc:
                logs.log_error("settings", "Store answered nonsense.", exc)
                self._stop.wait(LONGEST_PAUSE_S)

    def _read_and_watch(self, watch: bool) -> None:
        snapshot = self._store.read(sections.STORE_PREFIX)
        self._post(snapshot.items, snapshot.revision)
        if not watch:
            return
        for items in self._store.watch(sections.STORE_PREFIX, snapshot.revision):
            self._post(items)
            if self._stop.is_set() or not self._is_watcher():
                return

    def _post(self, items: tuple[keyvalue.Item, ...], complete_at: int = 0) -> None:
        found = []
        for item in items:
            name = item.key[len(sections.STORE_PREFIX) :]
            try:
                content = section_text(item)
            except type_errors.CarawaysailError as exc:
                logs.log_error("settings", "Value refused.", exc, section=name)
                complete_at = 0
                continue
            found.append(versions.Section(name, item.revision, content))
        if found:
            self._task.inbox.put(Took(tuple(found), "store", complete_at))


def section_text(item: keyvalue.Item) -> str:
    """Return the canonical text of a stored section; empty if it was deleted.

    Raises
    ------
    carawaysail_settings.errors.BadTextError
        If the value holds no section.
    """
    if not item.value:
        return ""
    return text.compact(sections.unpack(item.key, item.value).section)
