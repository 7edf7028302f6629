"""A process of the proof: it lives, dies, and may be paused."""

import collections
import datetime

from carawaysail_bench.proof import simulation


class Process:
    """Something that runs calls while it lives.

    Parameters
    ----------
    earth : simulation.World
        The world.
    name, place : str
        Its name and data centre.
    """

    def __init__(self, earth: simulation.World, name: str, place: str) -> None:
        self.earth = earth
        self.name = name
        self.place = place
        self.life = 0
        self.is_alive = False
        self._kept: collections.deque[simulation.Call] | None = None

    def begin_life(self) -> None:
        """Live again, as a new incarnation."""
        self.life += 1
        self.is_alive = True
        self._kept = None

    @property
    def is_paused(self) -> bool:
        """Whether the process is stopped for now."""
        return self._kept is not None

    def post(self, call: simulation.Call) -> None:
        """Run a call, or keep it while the process is paused."""
        if self._kept is not None:
            self._kept.append(call)
        elif self.is_alive:
            call()

    def in_life(self, life: int, call: simulation.Call) -> None:
        """Run a call if the incarnation that asked for it still lives."""
        if self.is_alive and self.life == life:
            self.post(call)

    def kill(self) -> None:
        """End at once."""
        self.is_alive = False

    def pause(self, duration: datetime.timedelta) -> None:
        """Stop the process; what comes meanwhile waits until it goes on."""
        self._kept = collections.deque()
        life = self.life

        def go_on() -> None:
            if self.life != life or self._kept is None:
                return
            kept, self._kept = self._kept, None
            for call in kept:
                self.post(call)

        self.earth.later(duration, go_on)
