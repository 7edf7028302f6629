"""The entry daemon: creates its tasks, runs them and shuts them down gracefully."""

import asyncio
import functools
import secrets
import signal
import sys

from carawaysail_decisions import membership, ownership, versions
from carawaysail_entry import (
    dispatch_task,
    metrics,
    peers_task,
    settings_task,
    traces,
    vm_list_watch,
)
from carawaysail_entry.front import server, task_bridge
from carawaysail_peers import messages
from carawaysail_platform import keyvalue, vmlist
from carawaysail_runtime import logs
from carawaysail_settings import daemon_settings
from carawaysail_types import clock

THREAD_SWITCH_INTERVAL_S = 0.001
"""Thread switch interval of the interpreter, whose default is 5 ms."""

IDLE_CHECK_PERIOD_S = 0.05

DEFAULT_DEDUPLICATION_WINDOW = clock.milliseconds(600_000)
"""How long resubmissions are recognised, until the settings are known."""

THREADS_PER_RESERVED_THREAD = 8
"""One in this many HTTP threads, but at least 2 in all, serves no callers that wait.

So requests that need not wait, such as those for the status, are still answered.
"""


class Daemon:
    """One entry daemon.

    Parameters
    ----------
    cfg : daemon_settings.DaemonSettings
        Settings of the daemon.
    """

    def __init__(self, cfg: daemon_settings.DaemonSettings) -> None:
        self._cfg = cfg
        self._clock = clock.SystemClock()
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Run until SIGTERM, SIGINT or a drain request, then shut down gracefully."""
        self._create_components()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        await self._peers.server.start(self._cfg["peer"])
        coroutines = [self._dispatch.run(), self._settings.run(), self._peers.run()]
        tasks = [asyncio.create_task(x) for x in coroutines]
        if self._store_watch is not None:
            self._store_watch.start()
        if self._vm_list_watch is not None:
            self._vm_list_watch.start()
        await asyncio.to_thread(self._http.start)
        logs.log_event("daemon", "Started.", owner=str(self._bridge.owner()))
        drain = asyncio.create_task(
            asyncio.to_thread(self._bridge.drain_requested.wait)
        )
        stop = asyncio.create_task(self._stopping.wait())
        await asyncio.wait([drain, stop], return_when=asyncio.FIRST_COMPLETED)
        self._bridge.drain_requested.set()
        await self._shut_down(tasks)

    def _create_components(self) -> None:
        cfg = self._cfg
        loop = asyncio.get_running_loop()
        now = self._clock.now()
        incarnation = secrets.token_hex(8)
        vm, data_centre = cfg["vm"], cfg["data_centre"]
        register = ownership.OwnershipRegister(
            data_centre, vm, incarnation, now, DEFAULT_DEDUPLICATION_WINDOW
        )
        tracer = traces.Tracer(vm, cfg["trace_file"], 0.0)
        self._settings = settings_task.SettingsTask(loop, vm, data_centre, self._clock)
        self._dispatch = dispatch_task.DispatchTask(
            loop, register, self._clock, tracer, cfg["target_threads"],
            secrets.randbits(32),
        )  # fmt: skip
        born_ms = int(now.timestamp() * 1000)
        own_record = membership.Record(
            vm, data_centre, incarnation, born_ms, cfg["peer"], cfg["caller"]
        )
        members = membership.Members(
            own_record, tuple(cfg["seeds"]), secrets.randbits(32), now
        )
        self._peers = peers_task.PeersTask(
            members, self._dispatch, self._settings, self._clock, tracer
        )
        self._settings.on_change(self._on_settings_changed)
        self._store_watch = None
        if cfg["store_url"]:
            store = keyvalue.HttpKeyValue(cfg["store_url"])
            self._store_watch = settings_task.StoreWatch(
                store, self._settings, self._peers.is_watcher
            )
        self._vm_list_watch = None
        if cfg["vm_list_url"]:
            self._vm_list_watch = vm_list_watch.VmListWatch(
                vmlist.HttpVmList(cfg["vm_list_url"]),
                lambda vms: self._post_vm_list(loop, vms),
                self._peers.is_watcher,
            )
        max_waiting = cfg["threads"] - max(
            2, cfg["threads"] // THREADS_PER_RESERVED_THREAD
        )
        self._bridge = task_bridge.TaskBridge(
            loop, register, self._dispatch, self._peers, self._settings, self._clock,
            tracer, metrics.EntryMetrics(vm, data_centre), max_waiting,
        )  # fmt: skip
        application = server.Application(self._bridge)
        self._http = server.Server(
            application, cfg["caller"], cfg["threads"], cfg["backlog"]
        )

    def _post_vm_list(
        self, loop: asyncio.AbstractEventLoop, vms: tuple[vmlist.Vm, ...]
    ) -> None:
        loop.call_soon_threadsafe(functools.partial(self._peers.set_vm_list, vms))

    def _on_settings_changed(
        self, sections: tuple[versions.Section, ...], source: str
    ) -> None:
        self._peers.on_settings_changed()
        if source == "store":
            self._peers.push_to_peers(messages.Push(sections))

    async def _shut_down(self, tasks: list[asyncio.Task[None]]) -> None:
        logs.log_event("daemon", "Leaving.")
        await self._peers.announce(membership.LEAVING)
        await asyncio.sleep(self._cfg["drain_ms"] / 1000.0)
        self._dispatch.inbox.put(dispatch_task.Drain())
        await self._wait_until_idle()
        is_handed_over = await self._peers.hand_over()
        await self._peers.announce(membership.GONE)
        logs.log_event("daemon", "Ended.", memory_handed_over=is_handed_over)
        if self._store_watch is not None:
            self._store_watch.stop()
        await asyncio.to_thread(self._http.stop)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_until_idle(self) -> None:
        """Wait until every submission has an outcome and every caller an answer.

        Callers also wait here for submissions that other daemons own; their
        connections would be cut by ending earlier.
        """
        while True:
            described = await asyncio.to_thread(self._bridge.describe)
            is_idle = described is not None and not described.unfinished
            if is_idle and not self._bridge.waiting_count():
                return
            await asyncio.sleep(IDLE_CHECK_PERIOD_S)


def run(cfg: daemon_settings.DaemonSettings) -> None:
    """Run one entry daemon until it is asked to stop.

    Parameters
    ----------
    cfg : daemon_settings.DaemonSettings
        Settings of the daemon.
    """
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    logs.open_log(cfg["log_file"])

    async def main() -> None:
        await Daemon(cfg).run()

    asyncio.run(main())
