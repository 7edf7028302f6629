"""The daemons of a site, as processes that the soak starts, signals and waits for."""

import asyncio
import itertools
import os
import pathlib
import signal
import sys
import typing

import psutil

from carawaysail_runtime import logs
from carawaysail_soak import history

HOST = f"127.{110 + os.getpid() % 90}.{100 + os.getpid() // 90 % 100}.100"
"""Address of the daemons; as long as the proxy's address of each link between them.

Two soaks on one machine have different ones, so that their ports do not collide.
"""

_ports = itertools.count(20_000)
"""Ports of the daemons; not those that the kernel chooses from."""

GRACE_S = 6.0
"""Time from SIGTERM until the process is killed, in seconds."""

RESTART_DELAY_S = 1.0
"""Time until a process that ended by itself is started again, in seconds."""

READY_STEP_S = 0.2
LISTENING_STEP_S = 0.05


class Addresses(typing.NamedTuple):
    """Addresses of a daemon, each ``host:port``.

    Parameters
    ----------
    front, readiness, metrics, peer : str
        Where it listens for clients, readiness checks, metrics and other daemons.
    """

    front: str
    readiness: str
    metrics: str
    peer: str


def draw_addresses() -> Addresses:
    """Return addresses that no daemon has had."""
    return Addresses(*(f"{HOST}:{next(_ports)}" for _ in Addresses._fields))


def settings_text(
    vm: str, data_centre: str, data_centres: list[str], addresses: Addresses,
    store: str, bounds: dict[str, float],
) -> str:  # fmt: skip
    """Return a daemon's settings file.

    Parameters
    ----------
    vm, data_centre : str
        Names of the VM and of its data centre.
    data_centres : list of str
        Names of all data centres.
    addresses : Addresses
        Where the daemon listens.
    store : str
        ``host:port`` of the store, as this daemon reaches it.
    bounds : dict of str to float
        The section ``bounds``.
    """
    port = addresses.peer.rpartition(":")[2]
    lines = [
        f'node_name = "{vm}"',
        f'ip = "{HOST}"',
        f'zone = "{data_centre}"',
        f"port_range = [{port},{port}]",
        "[zones]",
        *(f'{x} = "area"' for x in data_centres),
        "[listen]",
        f'front = "{addresses.front}"',
        f'readiness = "{addresses.readiness}"',
        f'metrics = "{addresses.metrics}"',
        "[bounds]",
        *(f"{x} = {y:g}" for x, y in bounds.items()),
        "[platform]",
        f'address = "{store}"',
    ]
    return "\n".join(lines) + "\n"


class Observer(typing.Protocol):
    """Is told when a daemon begins and ends to listen."""

    async def on_listening(self, vm: str) -> None:
        """Take note that a daemon accepts connections of other daemons."""

    def on_ended(self, vm: str) -> None:
        """Take note that a daemon's process has ended."""


class Process:
    """The process of one VM; its task starts it, and again after it ended by itself.

    Parameters
    ----------
    vm : str
        Name of the VM.
    folder : pathlib.Path
        Directory of its settings file ``VM.toml`` and its log ``VM.log``.
    recorder : history.Recorder
        Records start, signals and end.
    observer : Observer
        Is told of its begin and end.
    source : str
        IP address that its connections to workers come from.
    """

    def __init__(
        self, vm: str, folder: pathlib.Path, recorder: history.Recorder,
        observer: Observer, source: str,
    ) -> None:  # fmt: skip
        self.vm = vm
        self.addresses = draw_addresses()
        self._observer = observer
        self._source = source
        self.settings = folder / f"{vm}.toml"
        self._log = folder / f"{vm}.log"
        self._recorder = recorder
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._starting = asyncio.Lock()
        self._is_expected_to_end = False
        self._is_closed = False

    @property
    def pid(self) -> int | None:
        """Identifier of the running process; ``None`` if there is none."""
        process = self._process
        return process.pid if process and process.returncode is None else None

    async def start(self) -> None:
        """Start the process unless it runs or the soak ends."""
        async with self._starting:
            if self.pid is not None or self._is_closed:
                return
            with open(self._log, "ab") as out:
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "carawaysail_adapter.main",
                    env={**os.environ, "CARAWAYSAIL_CONFIG": str(self.settings)},
                    stdout=out, stderr=out,
                )  # fmt: skip
            self._process, self._is_expected_to_end = process, False
            self._recorder.record(
                history.ProcessStarted(
                    self._recorder.now(), self.vm, process.pid, self._source
                )
            )
            self._watch = asyncio.create_task(self._watch_process(process))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        process, pid = self._process, self.pid
        if process is None or pid is None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self._is_expected_to_end = True
        self._recorder.record(
            history.Signalled(self._recorder.now(), self.vm, pid, number.name)
        )
        process.send_signal(number)

    def measure(self) -> None:
        """Record what the process uses, if it runs."""
        if self.pid is None:
            return
        process = psutil.Process(self.pid)
        with process.oneshot():
            self._recorder.record(
                history.ProcessMeasured(
                    self._recorder.now(), self.vm, process.pid,
                    round(process.memory_info().rss / 2**20, 1), process.num_fds(),
                    process.num_threads(),
                )
            )  # fmt: skip

    async def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period; wait for the end."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait(), GRACE_S)
        except TimeoutError:
            await self.kill()

    async def wait(self) -> None:
        """Wait until the process has ended."""
        process = self._process
        if process is not None:
            await process.wait()

    async def close(self) -> None:
        """Terminate the process for good."""
        self._is_closed = True
        self.signal(signal.SIGCONT)
        await self.terminate()
        if self._watch is not None:
            await self._watch

    async def is_ready(self) -> bool:
        """Return whether the daemon's readiness check succeeds."""
        host, _, port = self.addresses.readiness.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def _watch_process(self, process: asyncio.subprocess.Process) -> None:
        ready = asyncio.create_task(self._watch_readiness(process.pid))
        exit_code = await process.wait()
        ready.cancel()
        self._observer.on_ended(self.vm)
        self._recorder.record(
            history.ProcessEnded(self._recorder.now(), self.vm, process.pid, exit_code)
        )
        if not self._is_expected_to_end and not self._is_closed:
            logs.log_event("soak", "Process ended by itself.", vm=self.vm)
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start()

    async def _watch_readiness(self, pid: int) -> None:
        while not await _accepts(self.addresses.peer):
            await asyncio.sleep(LISTENING_STEP_S)
        await self._observer.on_listening(self.vm)
        while not await self.is_ready():
            await asyncio.sleep(READY_STEP_S)
        self._recorder.record(history.ProcessReady(self._recorder.now(), self.vm, pid))


async def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(1.0):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
