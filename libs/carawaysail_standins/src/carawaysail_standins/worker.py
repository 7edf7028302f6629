"""A stand-in worker: runs batches of tasks concurrently, each under a lease.

One thread owns the tasks. It starts them in order of arrival as processors become
free, ends them after their run time, and stops those whose lease has expired.
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

THREAD_COUNT = 32
IDLE_WAIT_S = 3600.0


class Task:
    """One task at the worker.

    Parameters
    ----------
    spec : dict
        The task as received in a batch.
    run_s : float
        Run time, in seconds.
    lease_end_s : float
        Monotonic time at which its lease expires, in seconds.
    results : queue.SimpleQueue
        Queue for the result of the task, one line of JSON.
    """

    def __init__(
        self,
        spec: dict[str, typing.Any],
        run_s: float,
        lease_end_s: float,
        results: "queue.SimpleQueue[bytes]",
    ) -> None:
        self.name = str(spec["task"])
        self.processors = float(spec.get("processors", 1))
        self.payload = json.loads(spec.get("payload", "null"))
        self.run_s = run_s
        self.lease_end_s = lease_end_s
        self.results = results
        self.started_s = 0.0
        self.has_ended = False

    def result_line(self, state: str, target: str, now_s: float) -> bytes:
        """Return the result as a line of JSON, given the monotonic time of the end."""
        payload = self.payload
        echo = payload.get("echo") if isinstance(payload, dict) else payload
        answer = json.dumps({"target": target, "echo": echo})
        value: dict[str, object] = {"task": self.name, "state": state, "answer": answer}
        value["ran_ms"] = (now_s - self.started_s) * 1000.0
        return json.dumps(value).encode() + b"\n"


class TaskExecutor:
    """Starts, ends and stops the tasks of one worker, in a thread of its own.

    Parameters
    ----------
    name : str
        Name of the worker.
    processors : float
        Number of processors that tasks share.
    active_faults : faults.ActiveFaults
        The active faults of the worker.
    start_records : records.Records
        Counts of started tasks.
    system_clock : clock.SystemClock
        Source of monotonic time.
    """

    def __init__(
        self,
        name: str,
        processors: float,
        active_faults: faults.ActiveFaults,
        start_records: records.Records,
        system_clock: clock.SystemClock,
    ) -> None:
        self._clock = system_clock
        self._name = name
        self._free_processors = processors
        self._active_faults = active_faults
        self._start_records = start_records
        self._changed = threading.Condition()
        self._waiting: collections.deque[Task] = collections.deque()
        self._running: list[tuple[float, int, Task]] = []
        self._sequence = itertools.count()
        self._tasks: dict[str, Task] = {}
        self._is_closed = False
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def add(self, tasks: list[Task]) -> None:
        """Queue tasks until processors are free for them."""
        with self._changed:
            for task in tasks:
                self._tasks[task.name] = task
                self._waiting.append(task)
                if self._is_closed:
                    self._end(task, "stopped")
            self._changed.notify()

    def renew(self, names: list[str], lease_s: float) -> None:
        """Let the leases of tasks expire ``lease_s`` seconds from now."""
        with self._changed:
            for name in names:
                if name in self._tasks:
                    self._tasks[name].lease_end_s = self._clock.seconds() + lease_s

    def stop(self, names: list[str]) -> None:
        """Stop waiting or running tasks; unknown names are ignored."""
        with self._changed:
            for name in names:
                task = self._tasks.get(name)
                if task is not None:
                    if task.started_s:
                        self._free_processors += task.processors
                    self._end(task, "stopped")
            self._changed.notify()

    def close(self) -> None:
        """Stop all tasks and end the thread."""
        with self._changed:
            self._is_closed = True
            for task in list(self._tasks.values()):
                self._end(task, "stopped")
            self._changed.notify()

    def running_count(self) -> int:
        """Return the number of tasks that have started and are not yet removed."""
        with self._changed:
            return len(self._running)

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._is_closed:
                    return
                now_s = self._clock.seconds()
                self._start_waiting(now_s)
                wait_s = self._running[0][0] - now_s if self._running else IDLE_WAIT_S
                if wait_s > 0:
                    self._changed.wait(wait_s)
                self._end_expired(self._clock.seconds())

    def _start_waiting(self, now_s: float) -> None:
        while self._waiting and self._free_processors >= self._waiting[0].processors:
            task = self._waiting.popleft()
            if task.has_ended:
                continue
            self._free_processors -= task.processors
            task.started_s = now_s
            self._start_records.count_start(task.name)
            end_s = min(now_s + task.run_s, task.lease_end_s)
            heapq.heappush(self._running, (end_s, next(self._sequence), task))

    def _end_expired(self, now_s: float) -> None:
        while self._running and self._running[0][0] <= now_s:
            task = heapq.heappop(self._running)[2]
            if task.has_ended:
                continue
            self._free_processors += task.processors
            done_s = task.started_s + task.run_s
            if done_s > now_s and task.lease_end_s > now_s:
                end_s = min(done_s, task.lease_end_s)
                self._free_processors -= task.processors
                heapq.heappush(self._running, (end_s, next(self._sequence), task))
            elif self._active_faults.value("fail_all"):
                self._end(task, "failed")
            else:
                self._end(task, "done" if done_s <= now_s else "stopped")

    def _end(self, task: Task, state: str) -> None:
        if not task.has_ended:
            task.has_ended = True
            self._tasks.pop(task.name, None)
            task.results.put(task.result_line(state, self._name, self._clock.seconds()))


class Worker:
    """One worker.

    Parameters
    ----------
    name : str
        Its name.
    port : int
        Port on loopback; 0 for any unused one.
    processors : float
        Number of processors that its tasks share.
    slowness : float
        Factor by which every run time is multiplied.
    """

    def __init__(
        self, name: str, port: int, processors: float, slowness: float
    ) -> None:
        self.name = name
        self.faults = faults.ActiveFaults("target")
        self.records = records.Records()
        self._clock = clock.SystemClock()
        self._slowness = slowness
        self._executor = TaskExecutor(
            name, processors, self.faults, self.records, self._clock
        )
        self.server = web.WebServer(
            self._handle, port, THREAD_COUNT, self._executor.close
        )

    def _handle(self, request: web.Request) -> web.Response:
        if request.path == "/batches":
            return self._batch(request)
        if request.path == "/leases":
            value = request.json()
            self._executor.renew(value["tasks"], value["lease_ms"] / 1000.0)
            return web.json_response({})
        if request.path == "/stop":
            self._executor.stop(request.json()["tasks"])
            return web.json_response({})
        if request.path == "/usage":
            usage = {"processors": self._executor.running_count()}
            return web.json_response({**usage, "memory_mb": 0.0, "accelerators": 0})
        return control.answer(request, self.faults, self.records)

    def _batch(self, request: web.Request) -> web.Response:
        self.records.count_message()
        if self.faults.value("refuse"):
            return web.Response(503, b"{}", ((runners.NOT_STARTED_HEADER, "1"),))
        count_message = request.json()
        lease_end_s = self._clock.seconds() + count_message["lease_ms"] / 1000.0
        results: queue.SimpleQueue[bytes] = queue.SimpleQueue()
        tasks = [
            Task(spec, self._run_s(spec), lease_end_s, results)
            for spec in count_message["tasks"]
        ]
        self._executor.add(tasks)
        return web.Response(200, _lines(results, len(tasks)))

    def _run_s(self, spec: dict[str, typing.Any]) -> float:
        if self.faults.value("never_end"):
            return IDLE_WAIT_S
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
