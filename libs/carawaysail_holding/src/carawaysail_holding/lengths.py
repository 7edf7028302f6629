"""Learned run times: what a task takes, and how fast a worker is.

Estimates of clients are rough, each by itself, but not on average. The expected length
of a task on an average worker is the geometric mean of its own estimate and of those of
its queue. How fast a worker is follows from its own runs: the labels of workers say
nothing of it.
"""

import datetime
import math

from carawaysail_types import clock, jobs, runs

QUEUE_RATE = 0.05
"""Weight of a new estimate in a queue's average; about the last twenty count."""

SPEED_RATE = 0.15
"""Least weight of a new run in a worker's speed; the last seven or so count."""

DEFAULT_LENGTH = clock.milliseconds(300)
"""Expected length before any job was seen; the order of a short task."""

SHORTEST_MS = 1.0
MAX_LOG_RATIO = math.log(4.0)
"""One run moves an average by at most this, so that stragglers count little."""


class Lengths:
    """Averages of run times by queue, and of speeds by worker and by label."""

    def __init__(self) -> None:
        self._queue_log_ms: dict[str, float] = {}
        self._speeds: dict[str, tuple[float, int]] = {}

    def expected(self, queue: str, step: jobs.Step) -> datetime.timedelta:
        """Return the expected length of a step's tasks on an average worker."""
        learned = self._queue_log_ms.get(queue)
        estimate_ms = clock.to_milliseconds(step.estimate)
        if estimate_ms < SHORTEST_MS:
            if learned is None:
                return DEFAULT_LENGTH
            return clock.milliseconds(math.exp(learned))
        if learned is None:
            return step.estimate
        return clock.milliseconds(math.exp((learned + math.log(estimate_ms)) / 2))

    def estimated(self, queue: str, step: jobs.Step) -> None:
        """Learn from a client's estimate."""
        estimate_ms = clock.to_milliseconds(step.estimate)
        if estimate_ms >= SHORTEST_MS:
            value = math.log(estimate_ms)
            known = self._queue_log_ms.get(queue, value)
            self._queue_log_ms[queue] = known + QUEUE_RATE * (value - known)

    def speed(self, report: runs.WorkerReport) -> float:
        """Return the speed of a worker; 1 is that of an average worker."""
        return math.exp(self._speeds.get(report.worker_id, (0.0, 0))[0])

    def on(
        self, expected: datetime.timedelta, report: runs.WorkerReport
    ) -> datetime.timedelta:
        """Return what a task of some expected length takes on a worker."""
        return expected / self.speed(report)

    def observe(
        self,
        queue: str,
        step: jobs.Step,
        report: runs.WorkerReport,
        took: datetime.timedelta,
    ) -> None:
        """Learn from a run that has ended done."""
        took_ms = max(SHORTEST_MS, clock.to_milliseconds(took))
        own_ms = max(SHORTEST_MS, clock.to_milliseconds(self.expected(queue, step)))
        known, count = self._speeds.get(report.worker_id, (0.0, 0))
        surprise = _bounded(math.log(own_ms / took_ms) - known)
        rate = max(SPEED_RATE, 1.0 / (count + 2))
        self._speeds[report.worker_id] = (known + rate * surprise, count + 1)


def _bounded(value: float) -> float:
    return max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, value))
