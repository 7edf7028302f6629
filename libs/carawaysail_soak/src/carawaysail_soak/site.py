"""A site: stand-ins, daemons as processes, and the proxy between all of them."""

import asyncio
import collections.abc
import itertools
import pathlib

import msgspec

from carawaysail_platform_standins import orders, workers
from carawaysail_soak import addresses, history, plan, processes, proxy
from carawaysail_types import daemons, errors

SERVICE = "desk"
STORE = "store"
CLIENTS = "clients"
BASE_QUEUES = ("/quick/", "/order/", "/quote/")
"""Path prefixes of the queues that are never removed."""

STORE_THREADS_PER_DAEMON = 6
"""A daemon has five clients of the store; watches occupy a thread each."""

ANY_VM = "vms"
"""Source of the links to workers that all daemons share on a large site."""

MAX_WORKER_LINKS = 2_000
"""Largest number of links to workers with one for each daemon and worker."""

SLOW_CLOCK_RATE = 0.98
"""Rate of every other worker's clock."""

HOLDER_PREFIX = "carawaysail/holder/"


class Site:
    """Owner of the stand-ins, the proxy and the daemons' processes.

    Parameters
    ----------
    size : plan.Size
        Number of daemons, workers and data centres.
    folder : pathlib.Path
        Directory for settings files and logs.
    recorder : history.Recorder
        Records what happens.
    bounds : dict of str to float
        Section ``bounds`` of the daemons' settings.
    seed : int
        Seed of the workers.
    """

    host = "counter.example"

    def __init__(
        self, size: plan.Size, folder: pathlib.Path, recorder: history.Recorder,
        bounds: dict[str, float], seed: int,
    ) -> None:  # fmt: skip
        self.size = size
        self.recorder = recorder
        self.proxy = proxy.Proxy()
        self.store = addresses.LinkedStore(
            self._view, STORE_THREADS_PER_DAEMON * size.daemons, recorder.record
        )
        self.fleet = workers.WorkerFleet(
            self.store, self._profiles(size), recorder.record, seed
        )
        self.bounds = dict(bounds)
        self.extra_queues: list[str] = []
        self._all_queues = list(BASE_QUEUES)
        self._version = itertools.count(1, 3)
        self._folder = folder
        self._vm_names = plan.vm_names(size)
        self._worker_ids = plan.worker_ids(size)
        self.processes = {
            x: processes.Process(x, folder, recorder, self, self.reader(x))
            for x in self._vm_names
        }
        self._link_addresses: dict[proxy.Link, str] = {}
        self._target_by_address: dict[str, str] = {}
        self._readers = {self.reader(x): x for x in self._vm_names}

    def _numbered_vms(self) -> collections.abc.Iterable[tuple[int, str]]:
        return enumerate(self._vm_names)

    def _profiles(self, size: plan.Size) -> list[orders.Profile]:
        return [
            orders.Profile(
                x, SERVICE, plan.data_centre_of(x, size),
                clock_rate=SLOW_CLOCK_RATE if n % 2 else 1.0,
                labels=("a", f"r{x[-1]}-1"),
            )
            for n, x in enumerate(plan.worker_ids(size))
        ]  # fmt: skip

    # Start and stop

    async def start(self) -> None:
        """Start the stand-ins, the proxy and all daemons."""
        self.store.start()
        await asyncio.to_thread(self.fleet.start)
        await self._open_links()
        self.configure()
        for vm in self._vm_names:
            self.write_settings(vm)
        await asyncio.gather(*(x.start() for x in self.processes.values()))

    async def stop(self) -> None:
        """Terminate the daemons and stop the stand-ins."""
        await asyncio.gather(*(x.close() for x in self.processes.values()))
        await self.proxy.stop()
        await asyncio.to_thread(self.fleet.stop)
        await asyncio.to_thread(self.store.stop)

    async def wait_until_ready(self, timeout_s: float) -> None:
        """Wait until every daemon is ready and each data centre has a holder.

        Raises
        ------
        errors.BadInputError
            If that takes longer than ``timeout_s``.
        """
        names = plan.data_centre_names(self.size)
        try:
            async with asyncio.timeout(timeout_s):
                for process in self.processes.values():
                    while not await process.is_ready():
                        await asyncio.sleep(processes.READY_STEP_S)
                while not all(self.store.has(HOLDER_PREFIX + x) for x in names):
                    await asyncio.sleep(processes.READY_STEP_S)
        except TimeoutError as exc:
            raise errors.BadInputError(
                "site", timeout_s, "daemons that are ready in time"
            ) from exc

    def measure(self) -> None:
        """Record what each daemon uses."""
        for process in self.processes.values():
            process.measure()

    def holder(self, data_centre: str) -> str | None:
        """Return the VM whose daemon holds a data centre's workers, if any does."""
        entry = self.store.value(HOLDER_PREFIX + data_centre)
        return msgspec.json.decode(entry, type=daemons.Daemon).vm if entry else None

    def worker_ids(self) -> list[str]:
        """Return the identifiers of all workers."""
        return self._worker_ids

    def write_settings(self, vm: str) -> None:
        """Write the settings file of a daemon."""
        process = self.processes[vm]
        process.settings.write_text(
            processes.settings_text(
                vm, plan.data_centre_of(vm, self.size),
                plan.data_centre_names(self.size), process.addresses,
                self._link_addresses[proxy.Link(vm, STORE)], self.bounds,
            )
        )  # fmt: skip

    async def move(self, vm: str) -> None:
        """Give a daemon that does not run other addresses."""
        process = self.processes[vm]
        self._target_by_address.pop(process.addresses.peer, None)
        process.addresses = processes.draw_addresses()
        await self._open_links_to(vm)
        self.proxy.suspend(vm)
        self.write_settings(vm)

    def configure(self) -> None:
        """Write a new version of the config, with the present queues."""
        prefixes = (*BASE_QUEUES, *self.extra_queues)
        version = next(self._version)
        routes = [
            {
                "name": f"q{x}", "host": self.host, "prefix": x, "service": SERVICE,
                "priority": 0, "max_attempts": 2, "stretch": 1.6,
                "target_duration_ms": 60, "timeout_ms": 1500,
            }
            for x in prefixes
        ]  # fmt: skip
        value = {"version": version, "routes": routes, "services": [{"name": SERVICE}]}
        self.store.put("op/config", msgspec.json.encode(value))
        self.recorder.record(
            history.ConfigWritten(self.recorder.now(), version, prefixes)
        )
        self._all_queues += [x for x in prefixes if x not in self._all_queues]

    # What clients know

    def front(self, vm: str) -> str:
        """Return the ``host:port`` where clients reach a daemon."""
        return self._link_addresses[proxy.Link(CLIENTS, vm)]

    def vms(self) -> list[str]:
        """Return the names of all VMs."""
        return self._vm_names

    def queues(self) -> tuple[str, ...]:
        """Return the path prefixes of the queues that are never removed."""
        return BASE_QUEUES

    def all_queues(self) -> list[str]:
        """Return the path prefixes of all queues that were ever configured."""
        return self._all_queues

    def reader(self, vm: str) -> str:
        """Return the IP address that a daemon's calls come from behind the proxy."""
        return f"127.105.{100 + self._vm_names.index(vm)}.100"

    # Links

    async def on_listening(self, vm: str) -> None:
        """Let connections to a daemon through."""
        await self.proxy.resume(vm)

    def on_ended(self, vm: str) -> None:
        """Refuse connections to a daemon."""
        self.proxy.suspend(vm)

    async def _open_links(self) -> None:
        for number, vm in self._numbered_vms():
            endpoint = proxy.Endpoint(
                f"127.103.{100 + number}.100", self.store.address, self.reader(vm)
            )
            await self._open(proxy.Link(vm, STORE), endpoint)
        for worker_id in self._worker_ids:
            self._target_by_address[self.fleet.address(worker_id)] = worker_id
            is_small = self.size.daemons * self.size.workers <= MAX_WORKER_LINKS
            for vm in self._vm_names if is_small else [ANY_VM]:
                await self._open_worker_link(vm, worker_id)
        for vm in self._vm_names:
            await self._open_links_to(vm)
        for vm in self._vm_names:
            self.proxy.suspend(vm)

    async def _open_worker_link(self, source: str, worker_id: str) -> None:
        number = self._vm_names.index(source) if source != ANY_VM else 99
        host = f"127.102.{100 + number}.{1 + self._worker_ids.index(worker_id)}"
        local_host = self.reader(source) if source != ANY_VM else ""
        endpoint = proxy.Endpoint(host, self.fleet.address(worker_id), local_host)
        await self._open(proxy.Link(source, worker_id), endpoint)

    async def _open_links_to(self, vm: str) -> None:
        real = self.processes[vm].addresses
        number = self._vm_names.index(vm)
        await self._open(
            proxy.Link(CLIENTS, vm),
            proxy.Endpoint(f"127.104.100.{100 + number}", real.front),
        )
        for source_number, source in self._numbered_vms():
            if source != vm:
                host = f"127.101.{100 + source_number}.{100 + number}"
                await self._open(
                    proxy.Link(source, vm), proxy.Endpoint(host, real.peer)
                )
        self._target_by_address[real.peer] = vm
        self._replace_own_addresses()

    def _replace_own_addresses(self) -> None:
        """Let each daemon tell others the address of the link back to it.

        Messages between daemons name the sender's address.
        """
        for link in self._link_addresses:
            back = self._link_addresses.get(proxy.Link(link.target, link.source))
            if back is not None:
                own = self.processes[link.source].addresses.peer
                self.proxy.replace_bytes(link, own.encode(), back.encode())

    async def _open(self, link: proxy.Link, endpoint: proxy.Endpoint) -> None:
        self._link_addresses[link] = await self.proxy.open(link, endpoint)

    def _view(self, reader: str, address: str) -> str | None:
        vm, target = self._readers.get(reader), self._target_by_address.get(address)
        if vm is None or target is None:
            return None
        shared = self._link_addresses.get(proxy.Link(ANY_VM, target))
        return self._link_addresses.get(proxy.Link(vm, target), shared)
