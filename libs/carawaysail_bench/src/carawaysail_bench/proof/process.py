"""A simulated process that can be killed, restarted and paused."""

import collections
import datetime

from carawaysail_bench.proof import simulation


class Process:
    """A process that runs callbacks while it is alive and not paused.

    Parameters
    ----------
    sim : simulation.Simulation
        Clock, event queue and network.
    name, data_centre : str
        Its name and data centre.
    """

    def __init__(self, sim: simulation.Simulation, name: str, data_centre: str) -> None:
        self.sim = sim
        self.name = name
        self.data_centre = data_centre
        self.incarnation = 0
        self.is_alive = False
        self._deferred: collections.deque[simulation.Callback] | None = None

    def start_incarnation(self) -> None:
        """Start the process, as a new incarnation."""
        self.incarnation += 1
        self.is_alive = True
        self._deferred = None

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return self._deferred is not None

    def post(self, callback: simulation.Callback) -> None:
        """Run a callback, or defer it while the process is paused.

        A callback for a process that is not alive is dropped.
        """
        if self._deferred is not None:
            self._deferred.append(callback)
        elif self.is_alive:
            callback()

    def post_to(self, incarnation: int, callback: simulation.Callback) -> None:
        """Post a callback if the given incarnation is still running."""
        if self.is_alive and self.incarnation == incarnation:
            self.post(callback)

    def kill(self) -> None:
        """Stop the process without any clean-up."""
        self.is_alive = False

    def pause(self, duration: datetime.timedelta) -> None:
        """Pause the process for ``duration`` and defer the callbacks meanwhile."""
        self._deferred = collections.deque()
        incarnation = self.incarnation

        def resume() -> None:
            if self.incarnation != incarnation or self._deferred is None:
                return
            deferred, self._deferred = self._deferred, None
            for callback in deferred:
                self.post(callback)

        self.sim.schedule(duration, resume)
