"""A stand-in worker: runs batches of tasks under leases, side by side.

One thread owns the tasks: it starts them in order as processors become free, ends
them when their time is over, and stops those whose lease has lapsed.
"""

import collections
import heapq
import itertools
import json
import queue
import threading
import typing

from carawaysail_platform import runners
from carawaysail_standins import control, faults, records, web
from carawaysail_types import clock

THREADS = 32
IDLE_S = 3600.0


class Task:
    """One task at the worker.

    Parameters
    ----------
    spec : dict
        As the message has it.
    run_s : float
        Time that it takes, in seconds.
    lease_until : float
        Clock's seconds at which its lease lapses.
    results : queue.SimpleQueue
        Takes its line.
    """

    def __init__(
        self,
        spec: dict[str, typing.Any],
        run_s: float,
        lease_until: float,
        results: "queue.SimpleQueue[bytes]",
    ) -> None:
        self.name = str(spec["task"])
        self.processors = float(spec.get("processors", 1))
        self.payload = json.loads(spec.get("payload", "null"))
        self.run_s = run_s
        self.lease_until = lease_until
        self.results = results
        self.started_at = 0.0
        self.is_ended = False

    def line(self, state: str, target: str, now: float) -> bytes:
        """Return the line that tells its end, at a clock's seconds."""
        payload = self.payload
        echo = payload.get("echo") if isinstance(payload, dict) else payload
        answer = json.dumps({"target": target, "echo": echo})
        value: dict[str, object] = {"task": self.name, "state": state, "answer": answer}
        value["ran_ms"] = (now - self.started_at) * 1000.0
        return json.dumps(value).encode() + b"\n"


class Engine:
    """Owns the tasks of one worker, in a thread of its own.

    Parameters
    ----------
    name : str
        Name of the worker.
    processors : float
        Its processors.
    switches : faults.Switchboard
        The faults that are on.
    log : records.Records
        Counts starts.
    source : clock.SystemClock
        The clock.
    """

    def __init__(
        self,
        name: str,
        processors: float,
        switches: faults.Switchboard,
        log: records.Records,
        source: clock.SystemClock,
    ) -> None:
        self._clock = source
        self._name = name
        self._free = processors
        self._switches = switches
        self._log = log
        self._changed = threading.Condition()
        self._waiting: collections.deque[Task] = collections.deque()
        self._ending: list[tuple[float, int, Task]] = []
        self._count = itertools.count()
        self._tasks: dict[str, Task] = {}
        self._is_closed = False
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def add(self, tasks: list[Task]) -> None:
        """Let tasks wait for processors."""
        with self._changed:
            for task in tasks:
                self._tasks[task.name] = task
                self._waiting.append(task)
                if self._is_closed:
                    self._end(task, "stopped")
            self._changed.notify()

    def renew(self, names: list[str], lease_s: float) -> None:
        """Move the end of leases."""
        with self._changed:
            for name in names:
                if name in self._tasks:
                    self._tasks[name].lease_until = self._clock.seconds() + lease_s

    def stop(self, names: list[str]) -> None:
        """Stop tasks, waiting or running."""
        with self._changed:
            for name in names:
                task = self._tasks.get(name)
                if task is not None:
                    if task.started_at:
                        self._free += task.processors
                    self._end(task, "stopped")
            self._changed.notify()

    def close(self) -> None:
        """Stop all tasks and end the thread."""
        with self._changed:
            self._is_closed = True
            for task in list(self._tasks.values()):
                self._end(task, "stopped")
            self._changed.notify()

    def used(self) -> int:
        """Return how many tasks run."""
        with self._changed:
            return len(self._ending)

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._is_closed:
                    return
                now = self._clock.seconds()
                self._start_waiting(now)
                pause = self._ending[0][0] - now if self._ending else IDLE_S
                if pause > 0:
                    self._changed.wait(pause)
                self._end_due(self._clock.seconds())

    def _start_waiting(self, now: float) -> None:
        while self._waiting and self._free >= self._waiting[0].processors:
            task = self._waiting.popleft()
            if task.is_ended:
                continue
            self._free -= task.processors
            task.started_at = now
            self._log.started(task.name)
            at = min(now + task.run_s, task.lease_until)
            heapq.heappush(self._ending, (at, next(self._count), task))

    def _end_due(self, now: float) -> None:
        while self._ending and self._ending[0][0] <= now:
            task = heapq.heappop(self._ending)[2]
            if task.is_ended:
                continue
            self._free += task.processors
            done_at = task.started_at + task.run_s
            if done_at > now and task.lease_until > now:
                at = min(done_at, task.lease_until)
                self._free -= task.processors
                heapq.heappush(self._ending, (at, next(self._count), task))
            elif self._switches.value("fail_all"):
                self._end(task, "failed")
            else:
                self._end(task, "done" if done_at <= now else "stopped")

    def _end(self, task: Task, state: str) -> None:
        if not task.is_ended:
            task.is_ended = True
            self._tasks.pop(task.name, None)
            task.results.put(task.line(state, self._name, self._clock.seconds()))


class Worker:
    """One worker.

    Parameters
    ----------
    name : str
        Its name.
    port : int
        Port on loopback; 0 for any free one.
    processors : float
        Its processors.
    slowness : float
        Factor on every run time.
    """

    def __init__(
        self, name: str, port: int, processors: float, slowness: float
    ) -> None:
        self.name = name
        self.faults = faults.Switchboard("target")
        self.records = records.Records()
        self._clock = clock.SystemClock()
        self._slowness = slowness
        self._engine = Engine(name, processors, self.faults, self.records, self._clock)
        self.server = web.WebServer(self._handle, port, THREADS, self._engine.close)

    def _handle(self, request: web.Request) -> web.Answer:
        if request.path == "/batches":
            return self._batch(request)
        if request.path == "/leases":
            value = request.json()
            self._engine.renew(value["tasks"], value["lease_ms"] / 1000.0)
            return web.answer_json({})
        if request.path == "/stop":
            self._engine.stop(request.json()["tasks"])
            return web.answer_json({})
        if request.path == "/usage":
            usage = {"processors": self._engine.used()}
            return web.answer_json({**usage, "memory_mb": 0.0, "accelerators": 0})
        return control.answer(request, self.faults, self.records)

    def _batch(self, request: web.Request) -> web.Answer:
        self.records.message()
        if self.faults.value("refuse"):
            return web.Answer(503, b"{}", ((runners.NOT_STARTED_HEADER, "1"),))
        message = request.json()
        lease_until = self._clock.seconds() + message["lease_ms"] / 1000.0
        results: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        tasks = [
            Task(spec, self._run_s(spec), lease_until, results)
            for spec in message["tasks"]
        ]
        self._engine.add(tasks)
        return web.Answer(200, _lines(results, len(tasks)))

    def _run_s(self, spec: dict[str, typing.Any]) -> float:
        if self.faults.value("never_end"):
            return IDLE_S
        if self.faults.value("fail_all"):
            return 0.0
        payload = json.loads(spec.get("payload", "null"))
        run_ms = payload.get("run_ms", 0) if isinstance(payload, dict) else 0
        factor = self._slowness * (self.faults.value("slow") or 1.0)
        return float(run_ms) * factor / 1000.0


def _lines(results: "queue.SimpleQueue[bytes]", count: int) -> typing.Iterator[bytes]:
    while count > 0:
        chunk = results.get()
        count -= 1
        while count > 0:
            try:
                chunk += results.get_nowait()
            except queue.Empty:
                break
            count -= 1
        yield chunk
