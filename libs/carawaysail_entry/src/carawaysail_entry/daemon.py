"""The daemon: wires the tasks, starts them, and ends them gracefully."""

import asyncio
import functools
import secrets
import signal
import sys

from carawaysail_decisions import membership, ownership, versions
from carawaysail_entry import (
    configuring,
    dispatch_task,
    metrics,
    peers_task,
    traces,
    vm_list_watch,
)
from carawaysail_entry.front import server, task_bridge
from carawaysail_peers import messages
from carawaysail_platform import keyvalue, vmlist
from carawaysail_runtime import logs
from carawaysail_settings import daemon as daemon_settings
from carawaysail_types import clock

SWITCH_INTERVAL_S = 0.001
CHECK_S = 0.05
DEFAULT_WINDOW = clock.milliseconds(600_000)
SPARE_SHARE = 8
"""One thread in so many is kept for callers that need not wait."""


class Daemon:
    """One entry daemon.

    Parameters
    ----------
    cfg : daemon_settings.Daemon
        Its settings.
    """

    def __init__(self, cfg: daemon_settings.Daemon) -> None:
        self._cfg = cfg
        self._clock = clock.SystemClock()
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Run until told to end, then end gracefully."""
        self._wire()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        await self._peers.server.start(self._cfg["peer"])
        work = [self._dispatch.run(), self._settings.run(), self._peers.run()]
        tasks = [asyncio.create_task(x) for x in work]
        if self._watch is not None:
            self._watch.start()
        if self._vm_watch is not None:
            self._vm_watch.start()
        await asyncio.to_thread(self._http.start)
        logs.log_event("daemon", "Started.", owner=str(self._desk.owner()))
        waiter = asyncio.create_task(asyncio.to_thread(self._desk.drain_asked.wait))
        stop = asyncio.create_task(self._stopping.wait())
        await asyncio.wait([waiter, stop], return_when=asyncio.FIRST_COMPLETED)
        self._desk.drain_asked.set()
        await self._end(tasks)

    def _wire(self) -> None:
        cfg = self._cfg
        loop = asyncio.get_running_loop()
        now = self._clock.now()
        incarnation = secrets.token_hex(8)
        vm, place = cfg["vm"], cfg["data_centre"]
        register = ownership.OwnershipRegister(
            place, vm, incarnation, now, DEFAULT_WINDOW
        )
        tracer = traces.Tracer(vm, cfg["trace_file"], 0.0)
        self._settings = configuring.SettingsTask(loop, vm, place, self._clock)
        self._dispatch = dispatch_task.DispatchTask(
            loop, register, self._clock, tracer, cfg["target_threads"],
            secrets.randbits(32),
        )  # fmt: skip
        born_ms = int(now.timestamp() * 1000)
        me = membership.Record(
            vm, place, incarnation, born_ms, cfg["peer"], cfg["caller"]
        )
        members = membership.Members(me, tuple(cfg["seeds"]), secrets.randbits(32), now)
        self._peers = peers_task.PeersTask(
            members, self._dispatch, self._settings, self._clock, tracer
        )
        self._settings.on_change(self._settings_changed)
        self._watch = None
        if cfg["store_url"]:
            store = keyvalue.HttpKeyValue(cfg["store_url"])
            self._watch = configuring.StoreWatch(
                store, self._settings, self._peers.is_watcher
            )
        self._vm_watch = None
        if cfg["vm_list_url"]:
            self._vm_watch = vm_list_watch.VmWatch(
                vmlist.HttpVmList(cfg["vm_list_url"]),
                lambda vms: self._tell_vm_list(loop, vms),
                self._peers.is_watcher,
            )
        max_waiting = cfg["threads"] - max(2, cfg["threads"] // SPARE_SHARE)
        self._desk = task_bridge.Door(
            loop, register, self._dispatch, self._peers, self._settings, self._clock,
            tracer, metrics.Meters(vm, place), max_waiting,
        )  # fmt: skip
        application = server.Application(self._desk)
        self._http = server.Server(
            application, cfg["caller"], cfg["threads"], cfg["backlog"]
        )

    def _tell_vm_list(
        self, loop: asyncio.AbstractEventLoop, vms: tuple[vmlist.Vm, ...]
    ) -> None:
        loop.call_soon_threadsafe(functools.partial(self._peers.took_vm_list, vms))

    def _settings_changed(
        self, sections: tuple[versions.Section, ...], source: str
    ) -> None:
        self._peers.settings_changed()
        if source == "store":
            self._peers.spread(messages.Push(sections))

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        logs.log_event("daemon", "Leaving.")
        await self._peers.announce(membership.LEAVING)
        await asyncio.sleep(self._cfg["drain_ms"] / 1000.0)
        self._dispatch.inbox.put(dispatch_task.Drain())
        await self._until_idle()
        handed = await self._peers.hand_over()
        await self._peers.announce(membership.GONE)
        logs.log_event("daemon", "Ended.", memory_handed_over=handed)
        if self._watch is not None:
            self._watch.stop()
        await asyncio.to_thread(self._http.stop)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _until_idle(self) -> None:
        """Wait until every submission has its outcome and every caller its answer.

        Callers also wait here for what other daemons own; ending earlier would cut
        them off.
        """
        while True:
            described = await asyncio.to_thread(self._desk.describe)
            is_idle = described is not None and not described.unfinished
            if is_idle and not self._desk.waiting():
                return
            await asyncio.sleep(CHECK_S)


def run(cfg: daemon_settings.Daemon) -> None:
    """Run one entry daemon until it is told to end.

    Parameters
    ----------
    cfg : daemon_settings.Daemon
        Its settings.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    logs.open_log(cfg["log_file"])

    async def main() -> None:
        await Daemon(cfg).run()

    asyncio.run(main())
