"""Clients of a soak: tasks that send jobs over connections of their own.

A client keeps its connections until they break. After no answer, a broken connection,
or status 502 or 504 it sends the job again, with the same identifier, to any daemon.
What it does each time is in ``habits``.
"""

import asyncio
import collections.abc
import random
import typing

import msgspec

from carawaysail_soak import connections, history

DEADLINE_S = 1.54
RETRANSMIT_S = 1.3
MAX_SENDS = 3
ANSWER_MARGIN_S = 0.3
"""Wait of a client beyond its deadline, in seconds."""

CONNECT_TIMEOUT_S = 0.5
MAX_LAG_S = 1.0
"""How far behind its rate a client may be and still catch up, in seconds."""

FAILING_SHARE = 0.02
"""Share of jobs whose runs fail."""

RESEND_STATUSES = (502, 504)


class JobKind(typing.NamedTuple):
    """A kind of job, of one step.

    Parameters
    ----------
    task_count : int
        Number of tasks.
    run_s : float
        Run time of each task, in seconds.
    cpu, mem_mb : int
        Demand of each task: thousandths of a core, and megabytes.
    weight : float
        Share of the kind among all jobs.
    """

    task_count: int
    run_s: float
    cpu: int
    mem_mb: int
    weight: float


class Job(typing.NamedTuple):
    """One job of a client; ``result`` is how its runs end on a sound worker."""

    job_id: str
    queue: str
    kind: JobKind
    result: str = "done"


class Directory(typing.Protocol):
    """What clients know of the site."""

    host: str

    def front(self, vm: str) -> str:
        """Return the ``host:port`` where clients reach a daemon."""

    def vms(self) -> collections.abc.Sequence[str]:
        """Return the names of all VMs."""

    def queues(self) -> collections.abc.Sequence[str]:
        """Return the path prefixes of the queues that are never removed."""

    def all_queues(self) -> collections.abc.Sequence[str]:
        """Return the path prefixes of all queues that were ever configured."""


class Client:
    """A client; ``run`` is its task.

    Parameters
    ----------
    number : int
        Number of the client.
    seed : int
        Seed of the plan.
    directory : Directory
        What the client knows of the site.
    kinds : sequence of JobKind
        Kinds of jobs.
    rate : float
        Jobs a second.
    recorder : history.Recorder
        Records what is sent and answered.
    """

    def __init__(
        self, number: int, seed: int, directory: Directory,
        kinds: collections.abc.Sequence[JobKind], rate: float,
        recorder: history.Recorder,
    ) -> None:  # fmt: skip
        self.rng = random.Random(f"{seed}:client:{number}")
        self.directory = directory
        self.recorder = recorder
        self._number, self._kinds, self._rate = number, kinds, rate
        self._job_count = 0
        self._send_count = 0
        self._home = self.rng.choice(directory.vms())
        self._due = self.recorder.now()
        self._connections: dict[str, connections.Connection] = {}

    async def wait_until_due(self) -> None:
        """Wait until the next job is due; a client that is late sends at once."""
        now = self.recorder.now()
        self._due = max(self._due, now - MAX_LAG_S) + self.rng.expovariate(self._rate)
        await asyncio.sleep(max(0.0, self._due - now))

    def close(self) -> None:
        """Close all connections."""
        for vm in list(self._connections):
            self.drop(vm)

    def new_job(self) -> Job:
        """Return a new job of a random kind and queue."""
        self._job_count += 1
        kind = self.rng.choices(self._kinds, [x.weight for x in self._kinds])[0]
        queue = self.rng.choice(self.directory.queues())
        result = "failed" if self.rng.random() < FAILING_SHARE else "done"
        return Job(f"{self._number:08x}{self._job_count:08x}", queue, kind, result)

    def encode(self, job: Job) -> bytes:
        """Return the request that submits a job."""
        step = {
            "count": job.kind.task_count, "cpu": job.kind.cpu,
            "mem_mb": job.kind.mem_mb, "estimate_ms": int(job.kind.run_s * 1000),
        }  # fmt: skip
        # Read by the stand-ins of the workers.
        spec = {
            "run_ms": job.kind.run_s * 1000, "cpu": job.kind.cpu,
            "mem_mb": job.kind.mem_mb, "result": job.result,
        }  # fmt: skip
        body = msgspec.json.encode(
            {
                "spec": msgspec.json.encode(spec).decode(),
                "best_effort": True,
                "steps": [step],
            }
        )
        head = (
            f"POST {job.queue}{job.job_id} HTTP/1.1\r\nHost: {self.directory.host}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            f"Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\n"
        )
        return head.encode() + body

    def pick_vm(self) -> str:
        """Return the VM of the next request: mostly the same, at times another."""
        if self.rng.random() < 0.1:
            self._home = self.rng.choice(self.directory.vms())
        return self._home

    async def connect(self, vm: str) -> connections.Connection | None:
        """Return the open connection to a daemon, or a new one; ``None`` if refused."""
        if vm not in self._connections:
            host, _, port = self.directory.front(vm).rpartition(":")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    streams = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                return None
            self._connections[vm] = connections.Connection(*streams)
        return self._connections[vm]

    def drop(self, vm: str, with_reset: bool = False) -> None:
        """Close the connection to a daemon."""
        connection = self._connections.pop(vm, None)
        if connection is not None:
            connection.close(with_reset)

    def record_sent(self, job: Job, vm: str, is_whole: bool = True) -> str:
        """Record that a request was sent; return its identifier."""
        self._send_count += 1
        request_id = f"{self._number}-{self._send_count}"
        self.recorder.record(
            history.RequestSent(
                self.recorder.now(), request_id, job.job_id, vm, job.queue,
                job.kind.task_count, DEADLINE_S, job.kind.cpu, job.kind.mem_mb,
                is_whole,
            )
        )  # fmt: skip
        return request_id

    def record_left(self, request_id: str) -> None:
        """Record that the client closes the connection before the answer."""
        self.recorder.record(history.ClientLeft(self.recorder.now(), request_id))

    async def send(
        self, job: Job, vm: str, pieces: int = 1
    ) -> connections.Answer | None:
        """Send a job and wait for the answer; ``None`` if there is none."""
        connection = await self.connect(vm)
        if connection is None:
            return None
        data = self.encode(job)
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            if start:
                await asyncio.sleep(self.rng.uniform(0.0, 0.1))
            connection.write(data[start : start + size])
        return await self.read(connection, self.record_sent(job, vm), vm)

    async def read(
        self, connection: connections.Connection, request_id: str, vm: str
    ) -> connections.Answer | None:
        """Wait for the answer to a request, and record what comes."""
        try:
            async with asyncio.timeout(DEADLINE_S + ANSWER_MARGIN_S):
                answer = await connection.read_answer()
        except TimeoutError:
            self.record_left(request_id)
            self.drop(vm)
            return None
        except (OSError, EOFError, ValueError, IndexError) as exc:
            cause = _cause(exc)
            self.recorder.record(
                history.RequestBroken(self.recorder.now(), request_id, cause)
            )
            self.drop(vm)
            return None
        self.recorder.record(
            history.RequestAnswered(self.recorder.now(), request_id, *answer)
        )
        return answer

    async def submit(self, job: Job, pieces: int = 1) -> None:
        """Send a job until it is answered, at most ``MAX_SENDS`` times."""
        vm = self.pick_vm()
        for _ in range(MAX_SENDS):
            answer = await self.send(job, vm, pieces)
            if answer is not None and answer.status not in RESEND_STATUSES:
                return
            await asyncio.sleep(RETRANSMIT_S)
            vm = self.rng.choice(self.directory.vms())

    async def ask_pending(self) -> None:
        """Ask for the pending jobs of any queue, on a connection of its own."""
        vm = self.rng.choice(self.directory.vms())
        queue = self.rng.choice(self.directory.all_queues())
        self.drop(vm)
        connection = await self.connect(vm)
        if connection is None:
            return
        connection.write(
            f"GET {queue} HTTP/1.1\r\nHost: {self.directory.host}\r\n\r\n".encode()
        )
        sent_at = self.recorder.now()
        try:
            async with asyncio.timeout(DEADLINE_S):
                answer = await connection.read_answer()
        except (OSError, EOFError, ValueError, IndexError, TimeoutError):
            self.drop(vm)
            return
        self.recorder.record(
            history.JobsPending(self.recorder.now(), sent_at, vm, queue, answer.status)
        )


def _cause(exc: Exception) -> str:
    if isinstance(exc, asyncio.IncompleteReadError):
        return "cut" if exc.partial else "closed"
    return "reset" if isinstance(exc, OSError) else "unreadable"
