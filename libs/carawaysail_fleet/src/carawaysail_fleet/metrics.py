"""Metrics of a daemon: decisions, responses, outside calls and sizes of its state."""

import datetime

from carawaysail_runtime import metrics
from carawaysail_types import clock

BUCKETS_MS = [
    2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0,
]  # fmt: skip


class DaemonMetrics:
    """The metrics of one daemon; thread-safe.

    Parameters
    ----------
    vm, data_centre : str
        Values of the labels ``vm`` and ``data_centre``, which every metric has.
    """

    def __init__(self, vm: str, data_centre: str) -> None:
        registry = self._registry = metrics.Registry(vm, data_centre)
        self._decisions = registry.counter(
            "carawaysail_decisions_total", "Decisions by name and outcome."
        )
        self._responses = registry.counter(
            "carawaysail_answers_total", "Answers to clients by status and reason."
        )
        self._response_ms = registry.histogram(
            "carawaysail_response_ms", "Response time in milliseconds by queue.",
            BUCKETS_MS,
        )  # fmt: skip
        self._calls_ms = registry.histogram(
            "carawaysail_call_ms", "Calls to outside services in milliseconds.",
            BUCKETS_MS,
        )  # fmt: skip
        self._sizes = registry.gauge(
            "carawaysail_size", "Sizes of the daemon's state by name."
        )

    def count_decision(self, name: str, outcome: str) -> None:
        """Count a decision by its name and outcome; an outcome may be empty."""
        with self._registry.lock:
            self._decisions.inc({"name": name, "outcome": outcome})

    def record_response(
        self, queue: str, status: int, duration: datetime.timedelta
    ) -> None:
        """Count a response to a client and record its response time.

        Parameters
        ----------
        queue : str
            Name of the queue; empty if the request matched none.
        status : int
            HTTP status code.
        duration : datetime.timedelta
            Time from the request to the response.
        """
        with self._registry.lock:
            self._responses.inc({"queue": queue, "status": str(status)})
            self._response_ms.observe({"queue": queue}, clock.to_milliseconds(duration))

    def record_call(
        self, service: str, outcome: str, duration: datetime.timedelta
    ) -> None:
        """Record the duration of a call to another service.

        Parameters
        ----------
        service : str
            The called service, such as the store.
        outcome : str
            Status code of the response, or how the call failed.
        duration : datetime.timedelta
            Time until the response or the failure.
        """
        with self._registry.lock:
            self._calls_ms.observe(
                {"service": service, "outcome": outcome},
                clock.to_milliseconds(duration),
            )

    def set_sizes(self, sizes: dict[str, int]) -> None:
        """Set the sizes of the daemon's state, by name."""
        with self._registry.lock:
            for name, value in sizes.items():
                self._sizes.set({"name": name}, value)

    def render(self) -> tuple[bytes, str]:
        """Return all metrics as text, and the content type."""
        return self._registry.render()
