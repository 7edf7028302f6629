"""The reserve: slots that long tasks leave free for short ones.

A fixed reserve is too small for a service with many short tasks and wasted on one with
none. The reserve follows the number of queued and running short tasks: it rises at once
and decays slowly, so that long tasks do not occupy the slots in a short lull.
"""

import datetime
import math

DECAY_TIME = datetime.timedelta(seconds=10)
"""Time constant of the decay."""
RESERVE_FACTOR = 1.5
"""Slots reserved for each short task."""
MIN_LONG_SHARE = 0.4
"""Share of the slots that long tasks may occupy whatever the reserve."""


class ShortTaskReserve:
    """Slots of one pool that are reserved for short tasks."""

    def __init__(self) -> None:
        self._peak_tasks = 0.0
        self._updated_at: datetime.datetime | None = None

    def record_tasks(self, tasks: int, now: datetime.datetime) -> None:
        """Update the reserve with the present number of short tasks.

        Parameters
        ----------
        tasks : int
            Short tasks that are queued or running.
        now : datetime.datetime
            The present instant.
        """
        if self._updated_at is not None:
            self._peak_tasks *= math.exp(-((now - self._updated_at) / DECAY_TIME))
        self._updated_at = now
        self._peak_tasks = max(self._peak_tasks, float(tasks))

    def long_share(self, slots: float, max_share: float) -> float:
        """Return the share of the slots that long tasks may occupy, 0 to 1.

        Parameters
        ----------
        slots : float
            Slots of the pool.
        max_share : float
            The share that the settings allow.
        """
        if slots <= 0.0:
            return max_share
        remaining = 1.0 - RESERVE_FACTOR * self._peak_tasks / slots
        return min(max_share, max(MIN_LONG_SHARE, remaining))
