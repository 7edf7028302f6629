"""Figures of what a daemon of a large fleet spends on control, and on placing."""

import asyncio
import collections.abc
import multiprocessing
import multiprocessing.connection
import time
import typing

from carawaysail_bench.measure import figures
from carawaysail_fleet import (
    decision_loop,
    handlers,
    messages,
    metrics,
    peer_links,
    ports,
)
from carawaysail_holding import broker, broker_messages, contacts, loads
from carawaysail_runtime import inbox, turns
from carawaysail_streams import messages as stream_messages
from carawaysail_streams import transport
from carawaysail_types import clock, daemons, jobs, runs

HANDLER_MODULES = (handlers,)
"""Modules whose import fills the registries of the decision loop."""

DATA_CENTRES = tuple(f"dc-{n}" for n in range(6))
HOST = "127.0.0.1"
SETTLING_S = 1.0
MEASURED_S = 5.0
LOADS_INTERVAL_S = 0.15

WORKERS = 45
"""Number of workers of a data centre in the figures of placing."""

ENDS = 400
"""Number of ends of runs that are measured."""


class _Unused:
    """Stands for components that an idle decision loop calls without effect."""

    def __getattr__(self, name: str) -> collections.abc.Callable[..., int]:
        return lambda *args: 0


class _Discard:
    """A receiver that only counts the frames."""

    def __init__(self) -> None:
        self.frames = 0

    def on_introduction(self, connection: transport.Connection, data: bytes) -> None:
        """Ignore who is at the other end."""

    def on_frame(self, connection: transport.Connection, data: bytes) -> None:
        """Count the frame."""
        self.frames += 1

    def on_closed(self, connection: transport.Connection) -> None:
        """Ignore the end of the connection."""


def _make_daemon(number: int) -> daemons.Daemon:
    data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
    return daemons.Daemon(f"vm-{number}", data_centre, "1", f"{HOST}:1", 400)


def _make_load(data_centre: str, now_ms: float) -> stream_messages.Loads:
    """Return the report of a data centre in which all workers are busy."""
    rows = range(loads.MAX_ROWS)
    load = loads.ServiceLoad(
        "search",
        tuple(loads.FreeCapacity(12_000 + x, 1.0 + x / 100) for x in rows),
        tuple(1.5 - x / 100 for x in rows),
        tuple(loads.ExpectedRelease(float(x), 1.0) for x in rows),
        20, 4_000.0, 30,
    )  # fmt: skip
    return stream_messages.Loads(((data_centre, (load,)),), 1, now_ms)


async def _send_as_gateway(port: int, number: int) -> None:
    """Open a connection and repeat the statement that nothing is waited for."""
    link = transport.Link(
        stream_messages.encode_introduction(_make_daemon(number)),
        stream_messages.encode,
        _Discard(),
    )
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: transport.Connection(link), HOST, port
    )
    interval_s = contacts.LARGE_FLEET_PACE.heartbeat_interval.total_seconds()
    await asyncio.sleep(interval_s * (number % 17) / 17)
    for sequence in range(1, 10**6):
        statement = broker_messages.Statement(sequence, frozenset())
        connection.send(stream_messages.WaitingShards(statement))
        await asyncio.sleep(interval_s)


async def _send_as_holder(
    port: int, number: int, holders: tuple[daemons.Holder, ...], sends_loads: bool
) -> None:
    """Open a connection and send heartbeats on it, and load reports if asked for."""
    link = transport.Link(
        stream_messages.encode_introduction(_make_daemon(number)),
        stream_messages.encode,
        _Discard(),
    )
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: transport.Connection(link), HOST, port
    )
    started_s = time.monotonic()
    interval_s = contacts.LARGE_FLEET_PACE.heartbeat_interval.total_seconds()
    await asyncio.sleep(interval_s * (number % 6) / 6)
    connection.send(stream_messages.Heartbeat(False, holders))
    while True:
        now_ms = (time.monotonic() - started_s) * 1000.0
        if sends_loads:
            connection.send(_make_load(_make_daemon(number).data_centre, now_ms))
        else:
            connection.send(stream_messages.Heartbeat(False, (), now_ms))
        await asyncio.sleep(LOADS_INTERVAL_S if sends_loads else interval_s)


def _play_others(
    port: int, holders: tuple[daemons.Holder, ...], gateways: int, sends_loads: bool
) -> None:
    """Play the other daemons of a fleet until the process is ended."""

    async def run() -> None:
        await asyncio.gather(
            *(_send_as_gateway(port, 100 + n) for n in range(gateways)),
            *(
                _send_as_holder(port, n, holders, sends_loads)
                for n in range(len(holders))
            ),
        )

    asyncio.run(run())


class _MeasuredDaemon:
    """A decision loop with its connections, in this process."""

    def __init__(self, me: daemons.Daemon, observer: turns.Observer) -> None:
        cfg = ports.Settings(
            me.vm, me.data_centre, "", "", "", "", DATA_CENTRES,
            broker_messages.Terms(), clock.milliseconds(6000),
        )  # fmt: skip
        loop = asyncio.get_running_loop()
        own_inbox: inbox.Inbox[messages.Message] = inbox.Inbox(loop, 20_000)
        self._receiver = _CountingReceiver(own_inbox, observer)
        self.link = transport.Link(
            stream_messages.encode_introduction(me),
            stream_messages.encode,
            self._receiver,
        )
        self.loop = decision_loop.DecisionLoop(
            cfg, me, own_inbox, observer.clock, self._open_stream, observer=observer
        )
        unused: typing.Any = _Unused()
        self.loop.set_dependencies(
            decision_loop.Dependencies(
                unused, unused, unused, unused,
                metrics.DaemonMetrics(me.vm, me.data_centre), unused,
            )
        )  # fmt: skip

    def _open_stream(self, peer: daemons.Daemon) -> typing.Any:
        """Return a stream that sends nothing: the other side connects here."""
        stream: typing.Any = _Unused()
        stream.peer = peer
        return stream

    @property
    def frames(self) -> int:
        """Number of frames received."""
        return self._receiver.frames


class _CountingReceiver(peer_links.PeerReceiver):
    """The receiver of a daemon, which counts the frames."""

    frames = 0

    def on_frame(self, connection: transport.Connection, data: bytes) -> None:
        """Count a frame and handle it."""
        self.frames += 1
        super().on_frame(connection, data)


def _measure(
    holders: int, gateways: int, sends_loads: bool, is_holder: bool
) -> tuple[float, float]:
    """Return the share of a core that a daemon takes, and frames received a second."""
    loop_turns = turns.Turns(clock.SystemClock())

    async def run() -> tuple[float, float]:
        me = _make_daemon(0 if is_holder else 99)
        measured = _MeasuredDaemon(me, loop_turns)
        server = await asyncio.get_running_loop().create_server(
            lambda: transport.Connection(measured.link), HOST, 0
        )
        port = server.sockets[0].getsockname()[1]
        known = tuple(
            daemons.Holder(x, f"vm-{n}", "1", n + 1)
            for n, x in enumerate(DATA_CENTRES[:holders])
        )
        now = loop_turns.clock.now()
        others = tuple(_make_daemon(100 + n) for n in range(97))
        measured.loop.election.record_registrations(others, (), now)
        if is_holder:
            own = daemons.Holder(me.data_centre, me.vm, me.incarnation, 1)
            measured.loop.record_holder(own, now)
            known = ()
        task = asyncio.create_task(measured.loop.run())
        context = multiprocessing.get_context("spawn")
        process = context.Process(
            target=_play_others, args=(port, known, gateways, sends_loads), daemon=True
        )
        process.start()
        try:
            while measured.frames < 4 * (gateways + len(known)):
                await asyncio.sleep(0.05)
            await asyncio.sleep(SETTLING_S)
            frames, cpu_s = measured.frames, time.process_time()
            await asyncio.sleep(MEASURED_S)
            cpu_s = time.process_time() - cpu_s
            frames = measured.frames - frames
        finally:
            process.kill()
            process.join()
        task.cancel()
        server.close()
        return cpu_s / MEASURED_S, frames / MEASURED_S

    with asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(turns.Selector(loop_turns))
    ) as runner:
        return runner.run(run())


@figures.figures.register("control")
def control_cost() -> list[figures.Row]:
    """Measure what heartbeats, statements and load reports take, by role."""
    rows = []
    cases = (
        ("holder, 8 idle gateways", 0, 8, False, True),
        ("holder, 32 idle gateways", 0, 32, False, True),
        ("holder, 97 idle gateways", 0, 97, False, True),
        ("gateway, 6 idle holders", 6, 0, False, False),
        ("gateway, 6 holders at a crest", 6, 0, True, False),
    )
    for name, holders, gateways, sends_loads, is_holder in cases:
        share, frames = _measure(holders, gateways, sends_loads, is_holder)
        rows.append(figures.Row(f"{name}: processor", 100.0 * share, "% of a core"))
        rows.append(figures.Row(f"{name}: frames", frames, "a second"))
    return rows


@figures.figures.register("placing")
def placing_cost() -> list[figures.Row]:
    """Measure the processor time of an end of a run, by number of waiting shards."""
    rows = []
    for waiting in (0, 20, 80):
        name = f"end of a run, {waiting} waiting shards"
        rows.append(figures.Row(name, _end_cost_us(waiting), "us"))
    return rows


def _end_cost_us(waiting: int) -> float:
    """Return the processor time of an end of a run at a full data centre, in us."""
    manual_clock = clock.ManualClock()
    measured = broker.Broker(broker_messages.Terms())
    gateway = broker_messages.GatewayId("vm-0", "1")
    measured.start_holding("dc-0", 1, manual_clock.now())
    reports = [
        runs.WorkerReport(
            f"w-{n}", "1", "search", f"w-{n}:1", "dc-0",
            jobs.Resources(32_000, 65_536, 0),
        )
        for n in range(WORKERS)
    ]  # fmt: skip
    measured.handle_reports(reports, manual_clock.now())
    ended: dict[str, list[runs.FinishedRun]] = {x.worker_id: [] for x in reports}

    def poll(report: runs.WorkerReport) -> list[broker_messages.Action]:
        now = manual_clock.now()
        status = runs.WorkerStatus(
            "1", clock.milliseconds(1), (), tuple(ended[report.worker_id]), ()
        )
        return measured.handle_status(report.worker_id, status, now, now)

    started: list[broker_messages.StartRun] = []

    def record(actions: list[broker_messages.Action]) -> None:
        started.extend(x for x in actions if isinstance(x, broker_messages.StartRun))

    def submit(number: int) -> None:
        now = manual_clock.now()
        step = jobs.Step(
            2, jobs.Resources(14_000 + number % 7 * 300, 64, 0),
            clock.milliseconds(100 + number % 11 * 10),
        )  # fmt: skip
        queue = jobs.Queue(
            "q", "", "", "search", 0, 2, 1.6, clock.milliseconds(60),
            clock.milliseconds(1500),
        )  # fmt: skip
        submission = broker_messages.Submission(
            jobs.Job(f"{number:016x}", "spec", (step,)), queue, "dc-0", now,
            now + clock.milliseconds(1500), token=1,
        )  # fmt: skip
        record(measured.submit(submission, gateway, now))

    for report in reports:
        record(poll(report))
    numbers = iter(range(10**6))
    while len(started) < 2 * WORKERS:
        submit(next(numbers))
    for _ in range(waiting):
        submit(next(numbers))
    cpu_s, sequences = 0.0, dict.fromkeys(ended, 0)
    for _ in range(ENDS):
        start = started.pop(0)
        worker_id = start.worker.worker_id
        sequences[worker_id] += 1
        accepted = runs.OrderResult.ACCEPTED
        now = manual_clock.now()
        measured.handle_start_result(worker_id, "1", start.run, accepted, now)
        ended[worker_id] = [
            runs.FinishedRun(sequences[worker_id], start.run, runs.RunResult.DONE)
        ]
        manual_clock.advance(clock.milliseconds(1))
        began_s = time.process_time()
        actions = poll(start.worker)
        cpu_s += time.process_time() - began_s
        record(actions)
        if measured.open_shards() < waiting + WORKERS:
            submit(next(numbers))
    return 1e6 * cpu_s / ENDS
