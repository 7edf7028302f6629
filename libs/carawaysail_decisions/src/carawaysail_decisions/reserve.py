"""The reserve: how many slots short work needs, so that long work leaves them free.

A fixed reserve is too small for a service with much short work and wasted on one with
none. The need follows the short tasks seen, queued and running: up at once, down
slowly, so that long work does not take the slots in a lull.
"""

import datetime
import math

DECAY_TIME = datetime.timedelta(seconds=10)
RESERVE_FACTOR = 1.5
MIN_LONG_SHARE = 0.4


class ShortTaskReserve:
    """The need of short work in one pool."""

    def __init__(self) -> None:
        self._need = 0.0
        self._at: datetime.datetime | None = None

    def record_tasks(self, tasks: int, now: datetime.datetime) -> None:
        """Take in how many short tasks are queued or running.

        Parameters
        ----------
        tasks : int
            The short tasks.
        now : datetime.datetime
            The present instant.
        """
        if self._at is not None:
            self._need *= math.exp(-((now - self._at) / DECAY_TIME))
        self._at = now
        self._need = max(self._need, float(tasks))

    def long_share(self, slots: float, most: float) -> float:
        """Return the share of the slots that long work may hold.

        Parameters
        ----------
        slots : float
            Slots of the pool.
        most : float
            The share that the settings allow.
        """
        if slots <= 0.0:
            return most
        left = 1.0 - RESERVE_FACTOR * self._need / slots
        return min(most, max(MIN_LONG_SHARE, left))
