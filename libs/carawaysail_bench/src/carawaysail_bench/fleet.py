"""A fleet of real processes on loopback: a store, stand-in targets, entry daemons.

Only processes that were started here are ended, by process identifier and not by name.
"""

import json
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import urllib3

from carawaysail_cli import settings_store
from carawaysail_platform import keyvalue
from carawaysail_settings import tree
from carawaysail_standins import main as standins
from carawaysail_types import errors

READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class NotStartedError(errors.CarawaysailError):
    """A process of the fleet exited or was not ready in time."""


class EntrySpec(typing.NamedTuple):
    """One entry daemon to start.

    Parameters
    ----------
    vm, data_centre : str
        Its VM and data centre.
    caller_port, peer_port : int
        Its ports on loopback for callers and for other daemons.
    """

    vm: str
    data_centre: str
    caller_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.caller_port}"


FIRST_PORT = 12_000
LAST_PORT = 32_000
"""Below the range from which the kernel assigns ports of outgoing connections."""

_issued_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ``count`` unused ports on loopback; none is returned twice."""
    found: list[int] = []
    while len(found) < count:
        port = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT)
        if port not in _issued_ports and _is_free(port):
            _issued_ports.add(port)
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def make_entry_specs(data_centres: dict[str, int]) -> list[EntrySpec]:
    """Return specs of entry daemons, given the number in each data centre."""
    found = []
    for data_centre, count in data_centres.items():
        for number in range(1, count + 1):
            caller_port, peer_port = free_ports(2)
            found.append(
                EntrySpec(
                    f"{data_centre}-e{number}", data_centre, caller_port, peer_port
                )
            )
    return found


class Fleet:
    """The processes of one fleet; a context manager that starts and ends them.

    Parameters
    ----------
    entries : list of EntrySpec
        The entry daemons.
    targets : dict of str to list of standins.StandinSpec
        The targets of each data centre, by its name.
    teams : dict
        The ``teams`` of the settings tree.
    settings : dict
        The settings at the root of the tree.
    daemon_settings : dict, optional
        Further entries of every daemon's configuration file.
    """

    def __init__(
        self,
        entries: list[EntrySpec],
        targets: dict[str, list[standins.StandinSpec]],
        teams: dict[str, tree.Team],
        settings: tree.Settings,
        daemon_settings: dict[str, object] | None = None,
    ) -> None:
        self.entries = {spec.vm: spec for spec in entries}
        self.targets = targets
        self.tree = build_tree(entries, targets, teams, settings)
        self._daemon_settings = daemon_settings or {}
        self._folder = tempfile.TemporaryDirectory(prefix="carawaysail-")
        self.folder = pathlib.Path(self._folder.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        (self.store_port,) = free_ports(1)

    @property
    def store_url(self) -> str:
        """Base URL of the store."""
        return f"http://127.0.0.1:{self.store_port}"

    def __enter__(self) -> "Fleet":
        """Start all processes and wait until they are ready."""
        try:
            self._start_platform()
            for vm in self.entries:
                self.start_entry(vm)
            for vm in self.entries:
                self.wait_ready(vm)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        """End all processes."""
        self.close()

    def _start_platform(self) -> None:
        port = str(self.store_port)
        self._start("store", "carawaysail_standins.main", "store", "--port", port)
        for data_centre, specs in self.targets.items():
            if specs:
                path = self.folder / f"targets-{data_centre}.json"
                path.write_text(json.dumps(specs), encoding="utf-8")
                self._start(
                    f"targets-{data_centre}", "carawaysail_standins.main", "targets",
                    "--file", str(path),
                )  # fmt: skip
        self.write_settings(self.tree)

    def write_settings(self, cfg: tree.Tree) -> None:
        """Write every section of a settings tree to the store, which must be empty."""
        store = settings_store.SettingsStore(keyvalue.HttpKeyValue(self.store_url))
        store.write(settings_store.StoredTree({}, {}, {}), cfg)

    def start_entry(self, vm: str) -> None:
        """Start one entry daemon without waiting until it is ready."""
        spec = self.entries[vm]
        seeds = [
            f"127.0.0.1:{x.peer_port}" for x in self.entries.values() if x.vm != vm
        ]
        value = {
            "vm": vm,
            "data_centre": spec.data_centre,
            "caller": f"127.0.0.1:{spec.caller_port}",
            "peer": f"127.0.0.1:{spec.peer_port}",
            "seeds": seeds,
            "store_url": self.store_url,
            "drain_ms": 300,
            "log_file": str(self.folder / f"{vm}.log"),
            **self._daemon_settings,
        }
        path = self.folder / f"{vm}.json"
        path.write_text(json.dumps(value), encoding="utf-8")
        self._start(
            vm,
            "carawaysail_entry.main",
            "--settings",
            str(path),
            wait_until_ready=False,
        )

    def wait_ready(self, vm: str) -> None:
        """Wait until an entry daemon is ready.

        Raises
        ------
        NotStartedError
            If it exits or is not ready in time.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                url = self.entries[vm].url + "/readyz"
                if self.http.request("GET", url, timeout=1.0).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            if self.processes[vm].poll() is not None:
                break
            time.sleep(POLL_INTERVAL_S)
        raise NotStartedError(vm, self.output_of(vm))

    def output_of(self, name: str) -> str:
        """Return the last 2000 characters of the output of a process."""
        path = self.folder / f"{name}.out"
        return path.read_text(encoding="utf-8")[-2000:] if path.exists() else ""

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        self.processes[name].kill()
        self.processes[name].wait(EXIT_TIMEOUT_S)

    def terminate(self, name: str) -> int:
        """Send SIGTERM to a process, wait until it exits, and return its exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(EXIT_TIMEOUT_S)

    def target_urls(self) -> dict[str, str]:
        """Return the base URL of each target, by its name."""
        return {
            spec["name"]: f"http://127.0.0.1:{spec['port']}"
            for specs in self.targets.values()
            for spec in specs
        }

    def start_counts(self) -> dict[str, int]:
        """Return how many times all targets together started each task."""
        found: dict[str, int] = {}
        for url in self.target_urls().values():
            answer = json.loads(self.http.request("GET", url + "/starts").data)
            for task, count in answer.items():
                found[task] = found.get(task, 0) + count
        return found

    def message_count(self) -> int:
        """Return how many messages that carry tasks the targets received."""
        urls = self.target_urls().values()
        answers = [self.http.request("GET", url + "/totals") for url in urls]
        return sum(int(json.loads(answer.data)["messages"]) for answer in answers)

    def set_faults(self, name: str, values: dict[str, float]) -> None:
        """Set the active faults of a stand-in; all others are cleared.

        Parameters
        ----------
        name : str
            Name of a target, or ``store``.
        values : dict of str to float
            Value of each fault, by its name in ``carawaysail_standins.faults``.
        """
        url = self.store_url if name == "store" else self.target_urls()[name]
        body = json.dumps(values)
        self.http.request("POST", url + "/faults", body=body)

    def call(
        self,
        vm: str,
        method: str,
        path: str,
        body: object = None,
        **options: typing.Any,
    ) -> tuple[int, typing.Any]:
        """Call an entry daemon; return status and decoded JSON body of the answer."""
        content = None if body is None else json.dumps(body)
        url = self.entries[vm].url + path
        answer = self.http.request(method, url, body=content, **options)
        return answer.status, json.loads(answer.data)

    def owner_token(self, vm: str) -> str:
        """Return a current owner token of an entry daemon."""
        return str(self.call(vm, "GET", "/v1/owner")[1]["owner"])

    def close(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(EXIT_TIMEOUT_S)
        self._folder.cleanup()

    def _start(
        self, name: str, module: str, *args: str, wait_until_ready: bool = True
    ) -> None:
        out = open(self.folder / f"{name}.out", "wb")
        command = [sys.executable, "-c", f"import {module} as m; m.main()", *args]
        process = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)
        out.close()
        self.processes[name] = process
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while wait_until_ready and "ready" not in self.output_of(name):
            if time.monotonic() > deadline_s or process.poll() is not None:
                raise NotStartedError(name, self.output_of(name))
            time.sleep(POLL_INTERVAL_S)


def build_tree(
    entries: list[EntrySpec],
    targets: dict[str, list[standins.StandinSpec]],
    teams: dict[str, tree.Team],
    settings: tree.Settings,
) -> tree.Tree:
    """Return the settings tree of a fleet."""
    services = [name for team in teams.values() for name in team.get("services", {})]
    data_centres: dict[str, tree.DataCentre] = {}
    for entry in entries:
        data_centre = data_centres.setdefault(
            entry.data_centre, {"entries": {}, "racks": {}}
        )
        data_centre["entries"][entry.vm] = {
            "caller": f"127.0.0.1:{entry.caller_port}",
            "peer": f"127.0.0.1:{entry.peer_port}",
        }
    for name, specs in targets.items():
        data_centre = data_centres.setdefault(name, {"entries": {}, "racks": {}})
        found = {spec["name"]: _make_target(spec, services) for spec in specs}
        data_centre["racks"]["r1"] = {"targets": found}
    return tree.check_tree(
        {"settings": settings, "teams": teams, "places": data_centres}
    )


def _make_target(spec: standins.StandinSpec, services: list[str]) -> tree.Target:
    target_settings: tree.Settings = {"slots": spec["slots"]}
    if spec["kind"] == "worker":
        target_settings = {"processors": float(spec["slots"])}
    return {
        "kind": spec["kind"],
        "url": f"http://127.0.0.1:{spec['port']}",
        "services": services,
        "settings": target_settings,
    }
