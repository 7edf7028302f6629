"""Metrics of a daemon: counters of decisions, histograms of times."""

import datetime

from carawaysail_runtime import metrics
from carawaysail_types import clock

BUCKETS_MS = [
    2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0,
]  # fmt: skip


class DaemonMetrics:
    """The metrics of one daemon.

    Parameters
    ----------
    vm, data_centre : str
        Labels of every metric.
    """

    def __init__(self, vm: str, data_centre: str) -> None:
        found = self._registry = metrics.Registry(vm, data_centre)
        self._decisions = found.counter(
            "carawaysail_decisions_total", "Decisions by name and outcome."
        )
        self._answers = found.counter(
            "carawaysail_answers_total", "Answers to clients by status and reason."
        )
        self._response_ms = found.histogram(
            "carawaysail_response_ms", "Response time in milliseconds by queue.",
            BUCKETS_MS,
        )  # fmt: skip
        self._calls_ms = found.histogram(
            "carawaysail_call_ms", "Calls to outside services in milliseconds.",
            BUCKETS_MS,
        )  # fmt: skip
        self._sizes = found.gauge(
            "carawaysail_size", "Sizes of the daemon's state by name."
        )

    def count_decision(self, name: str, outcome: str) -> None:
        """Count a decision."""
        with self._registry.lock:
            self._decisions.inc({"name": name, "outcome": outcome})

    def record_response(
        self, queue: str, status: int, took: datetime.timedelta
    ) -> None:
        """Count an answer to a client."""
        with self._registry.lock:
            self._answers.inc({"queue": queue, "status": str(status)})
            self._response_ms.observe({"queue": queue}, clock.to_milliseconds(took))

    def record_call(self, service: str, outcome: str, took: datetime.timedelta) -> None:
        """Count a call to an outside service."""
        with self._registry.lock:
            self._calls_ms.observe(
                {"service": service, "outcome": outcome}, clock.to_milliseconds(took)
            )

    def set_sizes(self, sizes: dict[str, int]) -> None:
        """Take over the sizes of the daemon's state."""
        with self._registry.lock:
            for name, value in sizes.items():
                self._sizes.set({"name": name}, value)

    def render(self) -> tuple[bytes, str]:
        """Return the text and its content type."""
        return self._registry.render()
