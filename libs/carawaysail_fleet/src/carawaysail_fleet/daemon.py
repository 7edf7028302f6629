"""The daemon that holds workers: creates, starts and stops its tasks and servers."""

import asyncio
import collections.abc
import datetime
import secrets
import signal
import sys
import types
import typing

from carawaysail_fleet import (
    decision_loop,
    front_end,
    handlers,
    http_server,
    messages,
    metrics,
    peer_links,
    ports,
    replies,
    store_limits,
    store_tasks,
    store_thread,
    worker_links,
)
from carawaysail_holding import report_age
from carawaysail_runtime import inbox, logs, turns
from carawaysail_streams import messages as stream_messages
from carawaysail_streams import transport
from carawaysail_types import clock, daemons, errors

HANDLER_MODULES = (handlers,)
"""Modules whose import fills the registries of the decision loop."""

MAX_WAITING_CLIENTS = 400
"""Clients that may wait at one daemon; far above what its share of a peak load is."""

LOAD_BALANCER_DELAY = clock.milliseconds(2600)
"""Time until the load balancer sends no more requests to a leaving daemon: it checks
readiness each second and needs two failed checks."""

SETTINGS_CHECK_INTERVAL = clock.milliseconds(1000)
"""Interval of checks whether the settings file has changed."""

STOP_MARGIN = clock.milliseconds(700)
"""Part of the grace period that is left for stopping tasks and servers."""


class Adapter(typing.NamedTuple):
    """The platform-specific parts of a daemon.

    Parameters
    ----------
    open_store : callable
        Returns a new client of the store; each task has its own.
    worker_codec : ports.WorkerCodec
        Formats of calls to workers.
    store_codec : ports.StoreCodec
        Keys and formats in the store.
    client_codec : ports.ClientCodec
        Formats of clients' requests and responses.
    reload : callable
        Reads the settings file again and returns the settings.
    settings_version : callable
        Returns a value that differs after each change of the settings file.
    loaded_version : object
        That value before the settings were loaded.
    """

    open_store: collections.abc.Callable[[], ports.Store]
    worker_codec: ports.WorkerCodec
    store_codec: ports.StoreCodec
    client_codec: ports.ClientCodec
    reload: collections.abc.Callable[[], ports.Settings]
    settings_version: collections.abc.Callable[[], object]
    loaded_version: object


class Daemon:
    """One daemon: owner of the decision loop, the store tasks and the servers.

    Parameters
    ----------
    cfg : ports.Settings
        Settings of the daemon.
    adapter : Adapter
        Platform-specific parts.
    daemon_metrics : metrics.DaemonMetrics
        Metrics of the daemon.
    observer : turns.Observer
        Observer of the event loop that the daemon runs in; has its clock.
    """

    def __init__(
        self,
        cfg: ports.Settings,
        adapter: Adapter,
        daemon_metrics: metrics.DaemonMetrics,
        observer: turns.Observer,
    ) -> None:
        self._cfg = cfg
        self._adapter = adapter
        self._metrics = daemon_metrics
        self._observer = observer
        self._clock = observer.clock
        self._is_leaving = asyncio.Event()
        self._end: datetime.datetime | None = None

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        cfg = self._cfg
        self._create_components(asyncio.get_running_loop())
        self._watch_signals(asyncio.get_running_loop())
        await self._peer_server.start(cfg.peer)
        tasks = [
            asyncio.create_task(self._decision_loop.run()),
            asyncio.create_task(self._watch_settings()),
        ]
        for store_task in self._store_tasks:
            store_task.start()
        for server in self._servers:
            await server.start()
        logs.log_event(
            "daemon", "Started.", vm=cfg.vm, data_centre=cfg.data_centre,
            incarnation=self._me.incarnation, front=cfg.front, peer=cfg.peer,
        )  # fmt: skip
        await self._is_leaving.wait()
        await self._shut_down()
        for task in tasks:
            task.cancel()

    def _create_components(self, loop: asyncio.AbstractEventLoop) -> None:
        cfg, adapter = self._cfg, self._adapter
        self._me = daemons.Daemon(
            cfg.vm, cfg.data_centre, secrets.token_hex(8), cfg.peer,
            cfg.limits.processor_milli,
        )  # fmt: skip
        self._inbox: inbox.Inbox[messages.Message] = inbox.Inbox(
            loop, decision_loop.MAX_INBOX_MESSAGES
        )
        self._replies = replies.Replies()
        self._decision_loop = decision_loop.DecisionLoop(
            cfg,
            self._me,
            self._inbox,
            self._clock,
            self._open_stream,
            observer=self._observer,
        )
        loop_inbox, seed = self._inbox, secrets.randbits(32)
        context = store_thread.Context(
            loop_inbox, self._clock, self._metrics, seed,
            store_limits.for_contact(cfg.terms.contact),
        )  # fmt: skip
        claims = store_tasks.ClaimTask(adapter.open_store(), self._me, context)
        reports = store_tasks.ReportsTask(
            adapter.open_store(), adapter.store_codec,
            report_age.read_interval(cfg.terms), context,
        )  # fmt: skip
        self._lease = store_tasks.LeaseTask(adapter.open_store(), self._me, context)
        members = store_tasks.MembersTask(adapter.open_store(), context, self._lease)
        configuration = store_tasks.ConfigurationTask(
            adapter.open_store(), adapter.store_codec, context
        )
        self._store_tasks = (configuration, members, self._lease, reports, claims)
        links = worker_links.WorkerLinks(
            adapter.worker_codec, loop_inbox, self._clock, self._metrics,
            loop.call_later,
        )  # fmt: skip
        self._front_end = front_end.FrontEnd(
            adapter.client_codec, loop_inbox, self._replies, self._metrics, self._clock,
            MAX_WAITING_CLIENTS, loop.call_later,
        )  # fmt: skip
        self._decision_loop.set_dependencies(
            decision_loop.Dependencies(
                links, claims, reports, self._replies, self._metrics, self._front_end
            )
        )
        self._link = transport.Link(
            stream_messages.encode_introduction(self._me),
            stream_messages.encode,
            peer_links.PeerReceiver(loop_inbox, self._observer),
        )
        self._peer_server = transport.Server(self._link)
        self._servers = self._make_servers()

    def _open_stream(self, peer: daemons.Daemon) -> transport.PeerStream:
        def on_refused(peer: daemons.Daemon) -> None:
            self._inbox.put(messages.ConnectionRefused(peer))

        def on_failure(peer: daemons.Daemon, exc: Exception) -> None:
            logs.log_error("peers", "Stream failed.", exc, vm=peer.vm)

        return transport.PeerStream(peer, self._link, on_refused, on_failure)

    def _make_servers(self) -> list[http_server.Server]:
        cfg = self._cfg
        self._http_server = http_server.Server(
            cfg.front, self._front_end.handle, self._observer
        )
        self._decision_loop.apply_limits = self._http_server.apply_limits
        servers = [self._http_server]
        if cfg.readiness:
            servers.append(
                http_server.Server(
                    cfg.readiness, self._respond_readiness, self._observer
                )
            )
        if cfg.metrics:
            servers.append(
                http_server.Server(cfg.metrics, self._respond_metrics, self._observer)
            )
        return servers

    def _respond_readiness(
        self, request: ports.Request, exchange: http_server.Exchange
    ) -> None:
        is_ready = self._front_end.is_configured() and not self._is_leaving.is_set()
        exchange.respond(ports.Response(200 if is_ready else 503))

    def _respond_metrics(
        self, request: ports.Request, exchange: http_server.Exchange
    ) -> None:
        body, content_type = self._metrics.render(self._clock.now())
        exchange.respond(ports.Response(200, body, content_type=content_type))

    def _watch_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        # Not a callback of the loop, which may run it late under load: the grace period
        # begins with the signal.
        def start_leaving(number: int, frame: types.FrameType | None) -> None:
            if self._end is None:
                self._end = self._clock.now() + self._cfg.grace - STOP_MARGIN
                self._front_end.set_end(self._end)
                self._http_server.close_connections()
                loop.call_soon_threadsafe(self._is_leaving.set)

        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, start_leaving)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    async def _watch_settings(self) -> None:
        """Reload the settings when the file changes, also without a SIGHUP."""
        version = self._adapter.loaded_version
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL.total_seconds())
            newest = self._adapter.settings_version()
            if newest != version:
                version = newest
                self._reload()

    def _reload(self) -> None:
        """Reload the settings; only the terms and the grace period take effect.

        All others, such as addresses, keep their values until the next start.
        """
        try:
            reloaded = self._adapter.reload()
        except errors.CarawaysailError as exc:
            logs.log_error("daemon", "Settings not reloaded.", exc)
            return
        changed = [
            name for name in reloaded._fields
            if getattr(reloaded, name) != getattr(self._cfg, name)
        ]  # fmt: skip
        self._cfg = self._cfg._replace(terms=reloaded.terms, grace=reloaded.grace)
        self._inbox.put(messages.SettingsReloaded(reloaded.terms))
        logs.log_event("daemon", "Settings reloaded.", changed=changed)

    async def _shut_down(self) -> None:
        """Leave the fleet, then stop all tasks and servers.

        In between it waits until the load balancer sends no more requests, other
        daemons hold the workers and no client waits, but at most until ``STOP_MARGIN``
        before the end of the grace period.
        """
        assert self._end is not None
        self._inbox.put(messages.LeaveRequested())
        remaining = self._end - self._clock.now()
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                await asyncio.sleep(LOAD_BALANCER_DELAY.total_seconds())
                await self._decision_loop.has_ended.wait()
                await self._http_server.drain()
        except TimeoutError:
            logs.log_event(
                "daemon", "Grace expired.", open_calls=self._replies.waiting_count(),
                holds=list(self._decision_loop.broker.tokens()),
            )  # fmt: skip
        for task in self._store_tasks:
            task.stop()
        await asyncio.to_thread(self._lease.deregister)
        for server in self._servers:
            server.stop()
        self._decision_loop.close()
        logs.log_event("daemon", "Ended.")


def run(
    cfg: ports.Settings, adapter: Adapter, daemon_metrics: metrics.DaemonMetrics
) -> None:
    """Run one daemon until SIGTERM or SIGINT; the log goes to standard output.

    Parameters
    ----------
    cfg : ports.Settings
        Settings of the daemon.
    adapter : Adapter
        Platform-specific parts.
    daemon_metrics : metrics.DaemonMetrics
        Metrics of the daemon.
    """
    log = logs.open_bounded_log(sys.stdout)

    loop_turns = turns.Turns(clock.SystemClock())

    async def main() -> None:
        await Daemon(cfg, adapter, daemon_metrics, loop_turns).run()

    def make_loop() -> asyncio.AbstractEventLoop:
        return asyncio.SelectorEventLoop(turns.Selector(loop_turns))

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(main())
    # The interpreter resets handlers while it ends; a further signal would end it.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    log.close()
