"""A small fleet over loopback: a store, stand-in targets and entry daemons.

Processes are ended by the identifiers that were started here, never by name.
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

from carawaysail_cli import stored
from carawaysail_platform import keyvalue
from carawaysail_settings import tree
from carawaysail_standins import main as standins
from carawaysail_types import errors

READY_S = 30.0
END_S = 30.0
POLL_S = 0.05


class NotStartedError(errors.CarawaysailError):
    """A process of the fleet did not get ready in time."""


class EntrySpec(typing.NamedTuple):
    """One entry daemon to start.

    Parameters
    ----------
    vm, data_centre : str
        Its name and place.
    caller, peer : int
        Ports on loopback.
    """

    vm: str
    data_centre: str
    caller: int
    peer: int

    @property
    def url(self) -> str:
        """Where it answers callers."""
        return f"http://127.0.0.1:{self.caller}"


FIRST_PORT = 12_000
LAST_PORT = 32_000
"""Below the range from which the kernel takes ports of outgoing connections."""

_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that nobody listens on, each given out once."""
    found: list[int] = []
    while len(found) < count:
        port = FIRST_PORT + secrets.randbelow(LAST_PORT - FIRST_PORT)
        if port not in _given and _is_free(port):
            _given.add(port)
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def plan_entries(places: dict[str, int]) -> list[EntrySpec]:
    """Return daemons for the number that each data centre should have."""
    found = []
    for place, count in places.items():
        for number in range(1, count + 1):
            caller, peer = free_ports(2)
            found.append(EntrySpec(f"{place}-e{number}", place, caller, peer))
    return found


class Fleet:
    """The processes of one fleet; ends them all when left.

    Parameters
    ----------
    entries : list of EntrySpec
        The entry daemons.
    targets : dict of str to list of standins.Spec
        The targets of each data centre.
    teams : dict
        The ``teams`` of the tree.
    settings : dict
        The root's settings.
    daemon : dict, optional
        More settings for every daemon.
    """

    def __init__(
        self,
        entries: list[EntrySpec],
        targets: dict[str, list[standins.Spec]],
        teams: dict[str, tree.Team],
        settings: tree.Settings,
        daemon: dict[str, object] | None = None,
    ) -> None:
        self.entries = {spec.vm: spec for spec in entries}
        self.targets = targets
        self.tree = build_tree(entries, targets, teams, settings)
        self._daemon = daemon or {}
        self._folder = tempfile.TemporaryDirectory(prefix="carawaysail-")
        self.folder = pathlib.Path(self._folder.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        (self.store_port,) = free_ports(1)

    @property
    def store_url(self) -> str:
        """Where the store answers."""
        return f"http://127.0.0.1:{self.store_port}"

    def __enter__(self) -> "Fleet":
        """Start everything and wait until it is ready."""
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
        """End everything."""
        self.close()

    def _start_platform(self) -> None:
        port = str(self.store_port)
        self._start("store", "carawaysail_standins.main", "store", "--port", port)
        for place, specs in self.targets.items():
            if specs:
                path = self.folder / f"targets-{place}.json"
                path.write_text(json.dumps(specs), encoding="utf-8")
                self._start(
                    f"targets-{place}", "carawaysail_standins.main", "targets",
                    "--file", str(path),
                )  # fmt: skip
        self.write_settings(self.tree)

    def write_settings(self, cfg: tree.Tree) -> None:
        """Write every section of a tree into the empty store."""
        store = stored.SettingsStore(keyvalue.HttpKeyValue(self.store_url))
        store.write(stored.Read({}, {}, {}), cfg)

    def start_entry(self, vm: str) -> None:
        """Start one entry daemon; it may take a moment to get ready."""
        spec = self.entries[vm]
        seeds = [f"127.0.0.1:{x.peer}" for x in self.entries.values() if x.vm != vm]
        value = {
            "vm": vm,
            "data_centre": spec.data_centre,
            "caller": f"127.0.0.1:{spec.caller}",
            "peer": f"127.0.0.1:{spec.peer}",
            "seeds": seeds,
            "store_url": self.store_url,
            "drain_ms": 300,
            "log_file": str(self.folder / f"{vm}.log"),
            **self._daemon,
        }
        path = self.folder / f"{vm}.json"
        path.write_text(json.dumps(value), encoding="utf-8")
        self._start(vm, "carawaysail_entry.main", "--settings", str(path), wait=False)

    def wait_ready(self, vm: str) -> None:
        """Wait until an entry daemon is ready.

        Raises
        ------
        NotStartedError
            If it is not in time.
        """
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            try:
                url = self.entries[vm].url + "/readyz"
                if self.http.request("GET", url, timeout=1.0).status == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            if self.processes[vm].poll() is not None:
                break
            time.sleep(POLL_S)
        raise NotStartedError(vm, self.errors_of(vm))

    def errors_of(self, name: str) -> str:
        """Return what a process printed."""
        path = self.folder / f"{name}.out"
        return path.read_text(encoding="utf-8")[-2000:] if path.exists() else ""

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes[name].kill()
        self.processes[name].wait(END_S)

    def terminate(self, name: str) -> int:
        """Ask a process to end and return its exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(END_S)

    def target_urls(self) -> dict[str, str]:
        """Return where each target answers."""
        return {
            spec["name"]: f"http://127.0.0.1:{spec['port']}"
            for specs in self.targets.values()
            for spec in specs
        }

    def starts(self) -> dict[str, int]:
        """Return how many times each task was started, over all targets."""
        found: dict[str, int] = {}
        for url in self.target_urls().values():
            answer = json.loads(self.http.request("GET", url + "/starts").data)
            for task, count in answer.items():
                found[task] = found.get(task, 0) + count
        return found

    def messages(self) -> int:
        """Return how many messages with tasks the targets got."""
        urls = self.target_urls().values()
        answers = [self.http.request("GET", url + "/totals") for url in urls]
        return sum(int(json.loads(answer.data)["messages"]) for answer in answers)

    def set_faults(self, name: str, values: dict[str, float]) -> None:
        """Turn faults of a target, or of the ``store``, on and the others off."""
        url = self.store_url if name == "store" else self.target_urls()[name]
        body = json.dumps(values)
        self.http.request("POST", url + "/faults", body=body)

    def call(
        self, vm: str, method: str, path: str, body: object = None, **more: typing.Any
    ) -> tuple[int, typing.Any]:
        """Call an entry daemon; return the status and the JSON of its answer."""
        content = None if body is None else json.dumps(body)
        url = self.entries[vm].url + path
        answer = self.http.request(method, url, body=content, **more)
        return answer.status, json.loads(answer.data)

    def owner(self, vm: str) -> str:
        """Return an owner token of an entry daemon."""
        return str(self.call(vm, "GET", "/v1/owner")[1]["owner"])

    def close(self) -> None:
        """End every process that was started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(END_S)
        self._folder.cleanup()

    def _start(self, name: str, module: str, *args: str, wait: bool = True) -> None:
        out = open(self.folder / f"{name}.out", "wb")
        command = [sys.executable, "-c", f"import {module} as m; m.main()", *args]
        process = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)
        out.close()
        self.processes[name] = process
        until = time.monotonic() + READY_S
        while wait and "ready" not in self.errors_of(name):
            if time.monotonic() > until or process.poll() is not None:
                raise NotStartedError(name, self.errors_of(name))
            time.sleep(POLL_S)


def build_tree(
    entries: list[EntrySpec],
    targets: dict[str, list[standins.Spec]],
    teams: dict[str, tree.Team],
    settings: tree.Settings,
) -> tree.Tree:
    """Return the tree of settings of a fleet."""
    services = [name for team in teams.values() for name in team.get("services", {})]
    places: dict[str, tree.Place] = {}
    for entry in entries:
        place = places.setdefault(entry.data_centre, {"entries": {}, "racks": {}})
        place["entries"][entry.vm] = {
            "caller": f"127.0.0.1:{entry.caller}",
            "peer": f"127.0.0.1:{entry.peer}",
        }
    for name, specs in targets.items():
        place = places.setdefault(name, {"entries": {}, "racks": {}})
        found = {spec["name"]: _target(spec, services) for spec in specs}
        place["racks"]["r1"] = {"targets": found}
    return tree.check_tree({"settings": settings, "teams": teams, "places": places})


def _target(spec: standins.Spec, services: list[str]) -> tree.Target:
    own: tree.Settings = {"slots": spec["slots"]}
    if spec["kind"] == "worker":
        own = {"processors": float(spec["slots"])}
    return {
        "kind": spec["kind"],
        "url": f"http://127.0.0.1:{spec['port']}",
        "services": services,
        "settings": own,
    }
