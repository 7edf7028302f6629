"""The daemon that holds workers: wires its tasks, starts them and ends them."""

import asyncio
import collections.abc
import secrets
import signal
import socket
import sys
import typing

from carawaysail_fleet import (
    decision_loop,
    front_end,
    handlers,
    http_server,
    messages,
    metrics,
    ports,
    replies,
    store_tasks,
    worker_links,
)
from carawaysail_runtime import inbox, logs
from carawaysail_streams import messages as stream_messages
from carawaysail_streams import transport
from carawaysail_types import clock, daemons, errors

HANDLER_MODULES = (handlers,)
"""Modules whose import fills the registries of the desk."""

SWITCH_INTERVAL_S = 0.001
FRONT_THREADS = 96
"""Clients that can wait at once: those of the heaviest crest at one of two VMs."""

SPARE_THREADS = 8
"""Threads kept for requests that need not wait."""

READINESS_THREADS = 2
METRICS_THREADS = 1
ROTATION = clock.milliseconds(2600)
"""Time for the balancer to stop sending: two misses of a check each second."""

SETTINGS_EVERY = clock.milliseconds(1000)
"""How often the settings file is looked at."""

EXIT_MARGIN = clock.milliseconds(700)
"""Time left for stopping when the grace is nearly over."""


class Adapter(typing.NamedTuple):
    """What translates between the daemon and its platform.

    Parameters
    ----------
    store : callable
        Returns a client of the store; each task has its own.
    workers : ports.WorkerClient
        Makes calls to workers.
    directory : ports.StoreCodec
        Formats in the store.
    codec : ports.ClientCodec
        Formats of clients' requests.
    reload : callable
        Reads the settings file again.
    settings_version : callable
        Returns what changes whenever the settings file does.
    """

    store: collections.abc.Callable[[], ports.Store]
    workers: ports.WorkerClient
    directory: ports.StoreCodec
    codec: ports.ClientCodec
    reload: collections.abc.Callable[[], ports.Settings]
    settings_version: collections.abc.Callable[[], object]


class Daemon:
    """One daemon.

    Parameters
    ----------
    cfg : ports.Settings
        Its settings.
    adapter : Adapter
        What translates to the platform.
    counters : meters.Meters
        Its metrics.
    """

    def __init__(
        self, cfg: ports.Settings, adapter: Adapter, counters: metrics.DaemonMetrics
    ) -> None:
        self._cfg = cfg
        self._adapter = adapter
        self._meters = counters
        self._clock = clock.SystemClock()
        self._leaving = asyncio.Event()

    async def run(self) -> None:
        """Run until told to end, then end gracefully."""
        cfg = self._cfg
        self._wire(asyncio.get_running_loop())
        self._watch_signals(asyncio.get_running_loop())
        await self._peers.start(cfg.peer)
        tasks = [
            asyncio.create_task(self._desk.run()),
            asyncio.create_task(self._follow_settings()),
        ]
        for store_task in self._store_tasks:
            store_task.start()
        for server in self._servers:
            server.start()
        logs.log_event(
            "daemon", "Started.", vm=cfg.vm, data_centre=cfg.data_centre,
            incarnation=self._me.incarnation, front=cfg.front, peer=cfg.peer,
        )  # fmt: skip
        await self._leaving.wait()
        await self._end()
        for task in tasks:
            task.cancel()

    def _wire(self, loop: asyncio.AbstractEventLoop) -> None:
        cfg, adapter = self._cfg, self._adapter
        self._me = daemons.Daemon(
            cfg.vm, cfg.data_centre, secrets.token_hex(8), cfg.peer
        )
        self._inbox: inbox.Inbox[messages.Message] = inbox.Inbox(
            loop, decision_loop.MAX_INBOX_MESSAGES
        )
        self._replies = replies.Replies()
        self._desk = decision_loop.DecisionLoop(
            cfg, self._me, self._inbox, self._clock, self._open_feed
        )
        out, seed = self._inbox, secrets.randbits(32)
        claims = store_tasks.ClaimTask(adapter.store(), self._me, out, seed)
        reports = store_tasks.ReportsTask(
            adapter.store(), adapter.directory, out, seed, self._clock
        )
        members = store_tasks.MembersTask(adapter.store(), out, seed)
        self._lease = store_tasks.LeaseTask(adapter.store(), self._me, out, seed)
        configuration = store_tasks.ConfigurationTask(
            adapter.store(), adapter.directory, out, seed
        )
        self._store_tasks = (configuration, members, self._lease, reports, claims)
        links = worker_links.WorkerLinks(adapter.workers, out, self._clock)
        self._front_end = front_end.FrontEnd(
            adapter.codec, out, self._replies, self._meters, self._clock,
            FRONT_THREADS - SPARE_THREADS,
        )  # fmt: skip
        self._desk.connect(
            decision_loop.Links(
                links, claims, reports, self._replies, self._meters, self._front_end
            )
        )
        self._peers = transport.Server(decision_loop.PeerReceiver(out))
        self._servers = self._make_servers()

    def _open_feed(self, peer: daemons.Daemon) -> transport.PeerStream:
        def encode(taken: list[typing.Any]) -> bytes:
            return stream_messages.encode(self._me, taken)

        def opened(peer: daemons.Daemon) -> None:
            self._inbox.put(messages.StreamOpened(peer))

        def refused(peer: daemons.Daemon) -> None:
            self._inbox.put(messages.ConnectionRefused(peer))

        return transport.PeerStream(peer, encode, opened, refused)

    def _make_servers(self) -> list[http_server.Server]:
        cfg = self._cfg
        self._http = http_server.Server(
            cfg.front, self._front_end.handle, FRONT_THREADS
        )
        self._desk.apply_limits = self._http.limit
        servers = [self._http]
        if cfg.readiness:
            servers.append(
                http_server.Server(cfg.readiness, self._ready, READINESS_THREADS)
            )
        if cfg.metrics:
            servers.append(
                http_server.Server(cfg.metrics, self._show_metrics, METRICS_THREADS)
            )
        return servers

    def _ready(self, request: ports.Request, client: socket.socket) -> ports.Response:
        is_ready = self._front_end.is_configured() and not self._leaving.is_set()
        return ports.Response(200 if is_ready else 503)

    def _show_metrics(
        self, request: ports.Request, client: socket.socket
    ) -> ports.Response:
        body, content_type = self._meters.render()
        return ports.Response(200, body, content_type=content_type)

    def _watch_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._leaving.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    async def _follow_settings(self) -> None:
        """Read the settings again when the file changes without a signal."""
        known = self._adapter.settings_version()
        while True:
            await asyncio.sleep(SETTINGS_EVERY.total_seconds())
            found = self._adapter.settings_version()
            if found != known:
                known = found
                self._reload()

    def _reload(self) -> None:
        """Read the settings again; addresses stay as they were at the start."""
        try:
            found = self._adapter.reload()
        except errors.CarawaysailError as exc:
            logs.log_error("daemon", "Settings not reloaded.", exc)
            return
        changed = [
            name for name in found._fields
            if getattr(found, name) != getattr(self._cfg, name)
        ]  # fmt: skip
        self._cfg = self._cfg._replace(terms=found.terms, grace=found.grace)
        self._inbox.put(messages.SettingsReloaded(found.terms))
        logs.log_event("daemon", "Settings reloaded.", changed=changed)

    async def _end(self) -> None:
        began = self._clock.now()
        self._inbox.put(messages.LeaveRequested())
        self._http.close_connections()
        last = began + self._cfg.grace - EXIT_MARGIN
        try:
            async with asyncio.timeout((last - began).total_seconds()):
                await asyncio.sleep(ROTATION.total_seconds())
                await self._desk.has_ended.wait()
        except TimeoutError:
            logs.log_event(
                "daemon", "Grace is over.", open_calls=self._replies.waiting_count(),
                holds=list(self._desk.broker.tokens()),
            )  # fmt: skip
        for task in self._store_tasks:
            task.stop()
        await asyncio.to_thread(self._lease.deregister)
        stops = [asyncio.to_thread(server.stop) for server in self._servers]
        await asyncio.gather(*stops)
        self._desk.close()
        logs.log_event("daemon", "Ended.")


def run(cfg: ports.Settings, adapter: Adapter, counters: metrics.DaemonMetrics) -> None:
    """Run one daemon until it is told to end.

    Parameters
    ----------
    cfg : ports.Settings
        Its settings.
    adapter : Adapter
        What translates to the platform.
    counters : meters.Meters
        Its metrics.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    log = logs.open_bounded_log(sys.stdout)

    async def main() -> None:
        await Daemon(cfg, adapter, counters).run()

    asyncio.run(main())
    log.close()
