"""A stand-in for the platform's VM list, which returns old states."""

import collections
import threading

from carawaysail_standins import web
from carawaysail_types import clock

THREAD_COUNT = 4


class VmList:
    """The VM list; a POST replaces it, a GET returns an earlier state.

    Parameters
    ----------
    port : int
        Port on loopback; 0 for any unused one.
    lag_s : float
        Age of the state that is returned, in seconds.
    """

    def __init__(self, port: int, lag_s: float) -> None:
        self._lag_s = lag_s
        self._clock = clock.SystemClock()
        self._lock = threading.Lock()
        self._snapshots: collections.deque[tuple[float, dict[str, str]]] = (
            collections.deque([(0.0, {})])
        )
        self.server = web.WebServer(self._handle, port, THREAD_COUNT)

    def _handle(self, request: web.Request) -> web.Response:
        if request.method == "POST":
            with self._lock:
                self._snapshots.append((self._clock.seconds(), request.json()))
            return web.json_response({})
        with self._lock:
            while len(self._snapshots) > 1 and self._is_visible(self._snapshots[1][0]):
                self._snapshots.popleft()
            vms = self._snapshots[0][1].items()
        return web.json_response({"vms": [{"name": n, "state": s} for n, s in vms]})

    def _is_visible(self, posted_s: float) -> bool:
        return self._clock.seconds() - posted_s >= self._lag_s
