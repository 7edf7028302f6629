"""Stand-ins for one small site on loopback: store, runners, clients, and daemons.

Standard library only. All stand-ins run in one event loop; the daemons are separate
processes, started with the command of the deploy file. Times in the record are seconds
since the site was created.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST, PREFIX, SERVICE = "counter.example", "/jobs/", "desk"
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250,
    "max_stretch_ms": 5000, "recovery_s": 12, "max_hold_ms": 1000, "stop_ms": 50,
    "gang_wait_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "cross_rack_factor": 1.5, "lease_ttl_ms": 3000,
    "retransmit_ms": 1300,
}  # fmt: skip
PHRASE = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Failed",
          421: "Misdirected", 429: "Too Many", 503: "Unavailable"}  # fmt: skip


def free_port(address="127.0.0.1"):
    """Return a TCP port that is free at present."""
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


class DropError(Exception):
    """Break the connection without an answer."""


async def read_message(reader):
    """Return first line, headers and body of an HTTP message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rows = head.decode("latin-1").split("\r\n")
    pairs = (row.split(":", 1) for row in rows if ":" in row)
    headers = {name.lower(): value.strip() for name, value in pairs}
    size = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


async def serve(handler, port):
    """Serve HTTP; ``handler(method, path, query, headers, body)`` returns an answer."""

    async def connected(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await handler(
                    method, url.path, query, message[1], message[2]
                )
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} {PHRASE.get(status, 'Other')}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (DropError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    return await asyncio.start_server(connected, "127.0.0.1", port, backlog=512)


class Store:
    """The platform's store, with one port for each machine, to tell them apart."""

    def __init__(self, site):
        self.site = site
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 1001
        self.changed = asyncio.Event()
        # ``fault(machine, method, path)`` may return a status or raise ``DropError``.
        self.fault = None
        self.stale_s = lambda: 0.0
        self.versions = []  # (instant, revision, items under servers/)

    def put(self, key, value, lease=0):
        """Write a key."""
        self.revision += 1
        created = self.items[key]["created_rev"] if key in self.items else self.revision
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(),
            "revision": self.revision, "created_rev": created, "lease_id": lease,
        }  # fmt: skip
        self._note(self.items[key])

    def remove(self, key):
        """Remove a key, if it is there."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "removed": True})

    def _note(self, event):
        self.history.append(event)
        servers = {k: v for k, v in self.items.items() if k.startswith("servers/")}
        self.versions.append((time.monotonic(), self.revision, servers))
        del self.versions[:-2000]
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [k for k, (end, _) in self.leases.items() if end < now]:
            self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease_id"] == lease]:
            self.remove(key)

    def server_for(self, machine):
        """Return the handler of one machine's calls."""

        async def handle(method, path, query, headers, body):
            await asyncio.sleep(0.002)
            if self.fault is not None:
                status = self.fault(machine, method, path)
                if status:
                    self.site.note("store-rejects", machine, method, path, status)
                    return status, {}
            self._expire()
            name, _, suffix = path.removeprefix("/-/").partition("/")
            body = json.loads(body or b"{}")
            answer = await getattr(self, name.replace("-", "_"))(query, body, suffix)
            if name in ("kv-lease", "kv-txn"):
                keys = [w["key"] for w in body.get("writes", [])]
                revision = answer[1].get("revision", 0)
                self.site.note("store", machine, name, answer[0], *keys, revision)
            return answer

        return handle

    async def kv_key(self, query, body, suffix):
        """Answer a read of one key."""
        item = self.items.get(query["key"])
        return (200, {**item, "at_rev": self.revision}) if item else (404, {})

    async def kv_range(self, query, body, suffix):
        """Answer a listing; a stale one may be some seconds old."""
        items, revision, prefix = self.items, self.revision, query["prefix"]
        lag = self.stale_s()
        if query.get("stale_ok") == "1" and lag > 0 and prefix == "servers/":
            until = time.monotonic() - lag
            old = [x for x in self.versions if x[0] <= until]
            if old:
                _, revision, items = old[-1]
        rows = [v for k, v in sorted(items.items()) if k.startswith(prefix)]
        return 200, {"items": rows, "has_more": False, "at_rev": revision}

    async def kv_watch(self, query, body, suffix):
        """Answer a watch, as soon as there is a change."""
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._expire()
            changed = self.changed
            events = [x for x in self.history if x["revision"] > int(query["after"])
                      and x["key"].startswith(query["prefix"])]  # fmt: skip
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at_rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.2))
            except TimeoutError:
                pass

    async def kv_txn(self, query, body, suffix):
        """Carry out a conditional write."""
        for row in body.get("if_rev", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        writes = body.get("writes", [])
        if any(w.get("lease_id") and w["lease_id"] not in self.leases for w in writes):
            return 404, {}
        for w in writes:
            self.put(w["key"], base64.b64decode(w["value"]), w.get("lease_id", 0))
        for key in body.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    async def kv_lease(self, query, body, suffix):
        """Grant a lease."""
        ttl = max(1000, int(body["ttl_ms"]))
        self.next_lease += 1
        self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"lease_id": self.next_lease, "ttl_ms": ttl}

    async def kv_keep(self, query, body, suffix):
        """Renew a lease."""
        if int(suffix) not in self.leases:
            return 404, {}
        ttl = self.leases[int(suffix)][1]
        self.leases[int(suffix)] = (time.monotonic() + ttl / 1000, ttl)
        return 200, {"ttl_ms": ttl}

    async def kv_lease_end(self, query, body, suffix):
        """End a lease."""
        self._end(int(suffix))
        return 200, {}


class Runner:
    """A runner: carries out orders under leases, and reports to the store."""

    def __init__(self, site, name, zone, rack="r1-1"):
        self.site, self.name, self.zone, self.rack = site, name, zone, rack
        self.state, self.seq = "ready", 0
        self.begin()

    def begin(self):
        """Begin a boot: nothing runs, and nothing is known."""
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = self.lease_ms = self.count = 0
        self.running, self.closed, self.ends = {}, {}, {}
        self.ended = asyncio.Event()

    def clock_ms(self):
        """Return the reading of the runner's clock."""
        return int((time.monotonic() - self.started) * 1000)

    def report(self):
        """Write a report about itself to the store."""
        self.seq += 1
        value = {
            "service": SERVICE, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
            "capacity": {"cpu": 32000, "mem_mb": 131072, "gpu": 0},
            "labels": ["a", self.rack], "seq_no": self.seq, "born": self.born,
        }  # fmt: skip
        if self.state == "draining":
            value["remaining_ms"] = 2000
        self.site.store.put(f"servers/{self.name}", json.dumps(value).encode())

    async def start(self, phase_s=0.0):
        """Serve orders, and report each 1.5 s."""
        self.port = free_port()
        self.server = await serve(self.handle, self.port)
        self.tasks = [asyncio.create_task(self._reports(phase_s)),
                      asyncio.create_task(self._leases())]  # fmt: skip

    async def _reports(self, phase_s):
        self.report()
        await asyncio.sleep(phase_s)
        while True:
            self.report()
            await asyncio.sleep(1.5)

    async def _leases(self):
        while True:
            await asyncio.sleep(0.005)
            if self.running and self.clock_ms() >= self.lease_ms:
                for run in list(self.running):
                    self._end(run, "lapsed")

    def _end(self, run, how):
        entry = self.running.pop(run, None)
        if entry is None:
            return
        entry[0].cancel()
        self.closed[run[0]] = max(run[1], self.closed.get(run[0], 0))
        self.count += 1
        self.ends[self.count] = [self.count, *run, how, ""]
        self.site.note("run-ends", self.name, *run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def _extend(self, body):
        ends = body.get("expires_ms", 0)
        if ends > self.clock_ms():
            self.lease_ms = max(self.lease_ms, min(ends, self.clock_ms() + 1000))

    async def handle(self, method, path, query, headers, body):
        """Answer a call."""
        if headers.get("target-instance", self.name) != self.name:
            return 421, {}
        status, answer = await self._carry_out(path, json.loads(body or b"{}"))
        return status, {"clock_ms": self.clock_ms(), "born": self.born, **answer}

    async def _carry_out(self, path, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        if body.get("fencing_token", 0) > self.token:
            self.token = body["fencing_token"]
            self.site.note("token", self.name, self.token)
        if path == "/-/hold":
            return await self._hold(body)
        run = (body["task"], body["run_id"])
        if path == "/-/run-stop":
            self.closed[run[0]] = max(run[1], self.closed.get(run[0], 0))
            if run in self.running:
                asyncio.get_running_loop().call_later(0.02, self._end, run, "stopped")
            return 200, {}
        return self._start(run, body)

    async def _hold(self, body):
        self._extend(body)
        for number in [x for x in self.ends if x <= body.get("ack_seq", 0)]:
            del self.ends[number]
        if not self.ends and body.get("wait_ms"):
            try:
                await asyncio.wait_for(self.ended.wait(), body["wait_ms"] / 1000)
            except TimeoutError:
                pass
        return 200, {
            "running": [
                [*run, "", self._percent(entry), 1000]
                for run, entry in self.running.items()
            ],
            "ended_runs": list(self.ends.values())[:500],
        }

    def _percent(self, entry):
        _, began, work_s = entry
        return min(99, int(100 * (time.monotonic() - began) / max(work_s, 0.001)))

    def _start(self, run, body):
        if run in self.running:
            self._extend(body)
            return 200, {}
        if run[1] <= self.closed.get(run[0], 0):
            self._extend(body)
            return 409, {"reason": "old"}
        if body["expires_ms"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(body)
        work_s = json.loads(body["spec"])["ms"] / 1000
        loop = asyncio.get_running_loop()
        timer = loop.call_later(work_s, self._end, run, "done")
        self.running[run] = (timer, time.monotonic(), work_s)
        self.site.note("run-starts", self.name, *run, self.token)
        return 200, {}


class Site:
    """All stand-ins and daemons of one case."""

    def __init__(self, folder, zones, machines, runners):
        self.began = time.monotonic()
        self.folder = pathlib.Path(folder)
        self.record = open(self.folder / "record.txt", "w")
        self.temp = pathlib.Path(tempfile.mkdtemp())
        self.zones, self.machines = zones, machines
        self.events = []
        self.store = Store(self)
        self.runners = {
            f"i-{z}{n}": Runner(self, f"i-{z}{n}", z, "r1-1")
            for z in zones for n in range(runners)
        }  # fmt: skip
        self.daemons, self.addresses = {}, {}

    def now(self):
        """Return the seconds since the site was created."""
        return time.monotonic() - self.began

    def note(self, *what):
        """Write an event to the record."""
        if self.record.closed:
            return
        at = self.now()
        self.events.append((at, *what))
        print(f"{at:9.3f}", *what, file=self.record, flush=True)

    def configure(self, version, timeout_ms=1500, target_ms=60):
        """Write the operator's config."""
        routes = [{
            "name": "q1", "host": HOST, "prefix": PREFIX, "service": SERVICE,
            "priority": 0, "max_attempts": 4, "stretch": 1.6,
            "target_duration_ms": target_ms, "timeout_ms": timeout_ms,
        }]  # fmt: skip
        value = {"version": version, "routes": routes, "services": [{"name": SERVICE}],
                 "limits": {}}  # fmt: skip
        self.store.put("op/config", json.dumps(value).encode())

    async def start(self, timeout_ms=1500, target_ms=60):
        """Start everything; return when the daemons are ready."""
        self.configure(1, timeout_ms, target_ms)
        for number, runner in enumerate(self.runners.values()):
            await runner.start(1.5 * number / len(self.runners))
        for name, zone in self.machines.items():
            port = free_port()
            await serve(self.store.server_for(name), port)
            self.addresses[name] = {
                "store": port, "zone": zone,
                **{x: free_port() for x in ("front", "readiness", "peer", "metrics")},
            }  # fmt: skip
        for name in self.machines:
            self.start_daemon(name)
        await self.until(lambda: all(r.token for r in self.runners.values()), 20)
        for name in self.machines:
            while not await self.is_ready(name):
                if self.now() > 20:
                    raise RuntimeError(f"{name} does not get ready")
                await asyncio.sleep(0.05)

    def start_daemon(self, name):
        """Start a machine's daemon with the command of the deploy file."""
        at = self.addresses[name]
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        zones = "\n".join(f'{z} = "region"' for z in self.zones)
        bounds = "\n".join(f"{k} = {v}" for k, v in BOUNDS.items())
        path = self.temp / f"{name}.toml"
        path.write_text(
            f'node_name = "{name}"\nrole = "entry"\nmachine_class = "edge"\n'
            f'serves = ["edge"]\nip = "127.0.0.1"\nzone = "{at["zone"]}"\n'
            f'region = "region"\nport_range = [{at["peer"]},{at["peer"]}]\nseeds = []\n'
            f'bootstrap = true\ndiscovery = "platform"\norders = "rpc"\n'
            f"[zones]\n{zones}\n"
            f'[listen]\nfront = "127.0.0.1:{at["front"]}"\n'
            f'readiness = "127.0.0.1:{at["readiness"]}"\n'
            f'metrics = "127.0.0.1:{at["metrics"]}"\n'
            f"[limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = 300\nmax_fds = 4100\n"
            f"link_mbps = 1000.0\n[bounds]\n{bounds}\n"
            f'[platform]\naddress = "127.0.0.1:{at["store"]}"\nform = "kv"\n'
            f"writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
        )
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CARAWAYSAIL_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        log = open(self.temp / f"{name}.log", "ab")
        self.daemons[name] = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.note("daemon-starts", name, self.daemons[name].pid)

    def kill(self, name, number=signal.SIGKILL):
        """Send a signal to a daemon."""
        self.note("signal", name, number.name)
        self.daemons[name].send_signal(number)

    def log(self, name):
        """Return what a daemon has logged."""
        return (self.temp / f"{name}.log").read_text(errors="replace")

    async def is_ready(self, name):
        """Return whether a daemon's readiness check succeeds."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.addresses[name]["readiness"]
                )
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                message = await read_message(reader)
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return message is not None and message[0].split(" ")[1] == "200"

    async def until(self, condition, limit_s):
        """Wait until a condition is true."""
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError("a condition does not come true in time")
            await asyncio.sleep(0.05)

    async def call(self, name, method, job, body=None, limit_ms=1500):
        """Send one request on a connection of its own; return status and answer."""
        data = json.dumps(body).encode() if body is not None else b""
        port, writer = self.addresses[name]["front"], None
        self.note("request", name, method, job)
        try:
            async with asyncio.timeout(limit_ms / 1000):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(
                    f"{method} {PREFIX}{job} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Content-Type: application/json\r\nDeadline-Ms: {limit_ms}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                message = await read_message(reader)
        except (OSError, TimeoutError) as exc:
            self.note("no-answer", name, method, job, type(exc).__name__)
            return 0, b""
        finally:
            if writer is not None:
                writer.transport.abort()
        if message is None:
            self.note("no-answer", name, method, job, "closed")
            return 0, b""
        status = int(message[0].split(" ")[1])
        self.note("answer", name, method, job, status, message[2].decode())
        return status, message[2]

    def stop(self):
        """End all daemons."""
        for process in self.daemons.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.temp, ignore_errors=True)


def job(count, ms, estimate_ms=None, cpu=14000):
    """Return the body of a best-effort job of one step."""
    step = {"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate_ms or ms}
    return {"spec": json.dumps({"ms": ms}), "best_effort": True, "steps": [step]}


def run(folder, case, trouble, *site):
    """Play a case; exit with 1 if it returns a violation, 0 if none, 2 if it fails."""

    async def main():
        stage = Site(folder, *site)
        try:
            async with asyncio.timeout(110):
                found = await case(stage, trouble)
            stage.note("verdict", "broken" if found else "held", *found[:20])
            return 1 if found else 0
        except Exception as exc:
            stage.note("could-not-run", repr(exc))
            return 2
        finally:
            stage.stop()

    # Without the end of the event loop, which would report each open connection.
    os._exit(asyncio.new_event_loop().run_until_complete(main()))
