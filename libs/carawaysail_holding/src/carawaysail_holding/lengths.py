"""Learned run times: what a task takes, and how fast a worker is.

Estimates of clients are rough. The expected length of a task is the geometric mean of
its own estimate and of what the tasks of its queue took; the speed of a worker is
learned from its own runs and, before it had any, from workers with its labels.
"""

import datetime
import math

from carawaysail_types import clock, jobs, runs

RATE = 0.1
"""Weight of a new observation in a moving average; about the last ten count."""

DEFAULT_LENGTH = clock.milliseconds(300)
"""Expected length before any run was seen; the order of a short task."""

SHORTEST_MS = 1.0
MAX_LOG_RATIO = math.log(4.0)
"""One run moves an average by at most this, so that stragglers count little."""


class Lengths:
    """Averages of run times by queue, and of speeds by worker and by label."""

    def __init__(self) -> None:
        self._queue_log_ms: dict[str, float] = {}
        self._speed_log: dict[str, float] = {}

    def expected(self, queue: str, step: jobs.Step) -> datetime.timedelta:
        """Return the expected length of a step's tasks on a worker of speed 1."""
        learned = self._queue_log_ms.get(queue)
        estimate_ms = clock.to_milliseconds(step.estimate)
        if estimate_ms < SHORTEST_MS:
            if learned is None:
                return DEFAULT_LENGTH
            return clock.milliseconds(math.exp(learned))
        if learned is None:
            return step.estimate
        return clock.milliseconds(math.exp((learned + math.log(estimate_ms)) / 2))

    def speed(self, report: runs.WorkerReport) -> float:
        """Return the speed of a worker; 1 is that of an average worker."""
        return math.exp(self._log_speed(report))

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
        log_speed = self._log_speed(report)
        surprise = _bounded(math.log(own_ms / took_ms) - log_speed)
        for key in _keys(report):
            known = self._speed_log.get(key, log_speed)
            self._speed_log[key] = known + RATE * surprise
        normal = math.log(took_ms) + log_speed
        known = self._queue_log_ms.get(queue, normal)
        self._queue_log_ms[queue] = known + RATE * _bounded(normal - known)

    def forget(self, worker_id: str, incarnation: str) -> None:
        """Drop what was learned of one life of a worker."""
        self._speed_log.pop(f"life {worker_id} {incarnation}", None)

    def _log_speed(self, report: runs.WorkerReport) -> float:
        for key in _keys(report):
            if key in self._speed_log:
                return self._speed_log[key]
        return 0.0


def _keys(report: runs.WorkerReport) -> tuple[str, ...]:
    kind = ",".join(label for label in report.labels if label != report.rack)
    return f"life {report.worker_id} {report.incarnation}", f"kind {kind}"


def _bounded(value: float) -> float:
    return max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, value))
