"""A stand-in VM list that lags."""

import collections
import threading

from carawaysail_standins import web
from carawaysail_types import clock

THREADS = 4


class VmList:
    """The list.

    Parameters
    ----------
    port : int
        Port on loopback; 0 for any free one.
    lag_s : float
        How old what it tells is, in seconds.
    """

    def __init__(self, port: int, lag_s: float) -> None:
        self._lag_s = lag_s
        self._clock = clock.SystemClock()
        self._lock = threading.Lock()
        self._states: collections.deque[tuple[float, dict[str, str]]] = (
            collections.deque([(0.0, {})])
        )
        self.server = web.WebServer(self._handle, port, THREADS)

    def _handle(self, request: web.Request) -> web.Answer:
        if request.method == "POST":
            with self._lock:
                self._states.append((self._clock.seconds(), request.json()))
            return web.answer_json({})
        with self._lock:
            while len(self._states) > 1 and self._is_due(self._states[1][0]):
                self._states.popleft()
            vms = self._states[0][1].items()
        return web.answer_json({"vms": [{"name": n, "state": s} for n, s in vms]})

    def _is_due(self, at: float) -> bool:
        return self._clock.seconds() - at >= self._lag_s
