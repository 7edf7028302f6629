"""A stand-in runner: each slot runs one request at a time.

The payload is ``{"run_ms": ..., "echo": ...}``. The runner occupies one of its slots
for ``run_ms`` times its slowness and answers ``{"target": ..., "echo": ...}``.
"""

import json
import threading
import typing

from carawaysail_platform import runners
from carawaysail_standins import control, faults, records, web
from carawaysail_types import clock

NEVER_ENDING_RUN_S = 60.0
SPARE_THREADS = 24


class Runner:
    """One runner.

    Parameters
    ----------
    name : str
        Its name.
    port : int
        Port on loopback; 0 for any unused one.
    slots : int
        Number of requests that it runs concurrently; further ones wait for a slot.
    slowness : float
        Factor by which every run time is multiplied.
    """

    def __init__(self, name: str, port: int, slots: int, slowness: float) -> None:
        self.name = name
        self.faults = faults.ActiveFaults("target")
        self.records = records.Records()
        self._clock = clock.SystemClock()
        self._slowness = slowness
        self._slots = threading.BoundedSemaphore(slots)
        self.server = web.WebServer(self._handle, port, slots + SPARE_THREADS)

    def _handle(self, request: web.Request) -> web.Response:
        if request.path.startswith("/run/"):
            return self._run(request)
        return control.answer(request, self.faults, self.records)

    def _run(self, request: web.Request) -> web.Response:
        task = request.header(runners.TASK_HEADER)
        self.records.count_message()
        if self.faults.value("refuse"):
            headers = ((runners.NOT_STARTED_HEADER, "1"), (runners.TASK_HEADER, task))
            return web.Response(503, b"{}", headers)
        with self._slots:
            self.records.count_start(task)
            started_s = self._clock.seconds()
            if self.faults.value("fail_all"):
                return web.Response(500, b"{}", ((runners.TASK_HEADER, task),))
            payload = request.json()
            self.server.ending.wait(self._run_s(payload))
            ran_ms = (self._clock.seconds() - started_s) * 1000.0
        return self._answer(task, payload, ran_ms)

    def _run_s(self, payload: typing.Any) -> float:
        if self.faults.value("never_end"):
            return NEVER_ENDING_RUN_S
        factor = self._slowness * (self.faults.value("slow") or 1.0)
        run_ms = payload.get("run_ms", 0) if isinstance(payload, dict) else 0
        return float(run_ms) * factor / 1000.0

    def _answer(self, task: str, payload: typing.Any, ran_ms: float) -> web.Response:
        echo = payload.get("echo") if isinstance(payload, dict) else payload
        body = json.dumps({"target": self.name, "echo": echo}).encode()
        headers = [
            (runners.TASK_HEADER, task),
            (runners.RUN_TIME_HEADER, f"{ran_ms:.2f}"),
        ]
        if self.faults.value("leaving"):
            headers.append((runners.LEAVING_HEADER, "1"))
        if self.faults.value("crossed"):
            headers[0] = (runners.TASK_HEADER, "another~task#0")
        if self.faults.value("nonsense"):
            body = b"{nonsense"
        if self.faults.value("cut_short"):
            headers.append(("Content-Length", str(len(body) + 100)))
            return web.Response(200, iter([body]), tuple(headers))
        return web.Response(200, body, tuple(headers))
