"""Metrics of an entry daemon."""

import datetime
import typing

from carawaysail_decisions import submission_status
from carawaysail_entry import dispatch_task
from carawaysail_runtime import metrics
from carawaysail_types import clock, work

RESPONSE_BUCKETS_MS = [
    5.0,
    10.0,
    25.0,
    50.0,
    100.0,
    250.0,
    500.0,
    1000.0,
    2500.0,
    10_000.0,
]


class EntryMetrics:
    """Counters, gauges and the response-time histogram of one entry daemon.

    Answers are counted as they are sent; the gauges are set when the metrics are
    requested.

    Parameters
    ----------
    vm : str
        Name of the daemon's VM; a label of all metrics.
    data_centre : str
        Its data centre; a label of all metrics.
    """

    def __init__(self, vm: str, data_centre: str) -> None:
        registry = self._registry = metrics.Registry(vm, data_centre)
        self._answers = registry.counter(
            "carawaysail_answers_total", "Answers by outcome and reason."
        )
        self._response_ms = registry.histogram(
            "carawaysail_response_ms",
            "Response time in milliseconds.",
            RESPONSE_BUCKETS_MS,
        )
        self._state = registry.gauge(
            "carawaysail_state", "Tasks and submissions by state."
        )
        self._totals = registry.gauge(
            "carawaysail_totals", "Totals since the start by name."
        )
        self._targets = registry.gauge(
            "carawaysail_target_in_flight", "Tasks with each target."
        )

    def count_answer(
        self,
        submission: work.Submission,
        status: submission_status.SubmissionStatus,
        response_time: datetime.timedelta,
    ) -> None:
        """Count an answer to a caller and record its response time."""
        outcome = status.outcome
        tag = outcome.tag if outcome else status.state.value
        reason = outcome.reason.value if outcome else "none"
        labels = {"service": submission.service, "outcome": tag, "reason": reason}
        with self._registry.lock:
            self._answers.inc(labels)
            self._response_ms.observe(
                {"service": submission.service}, clock.to_milliseconds(response_time)
            )

    def update_gauges(
        self, described: dispatch_task.Description, traffic: dict[str, int]
    ) -> None:
        """Set the gauges.

        Parameters
        ----------
        described : dispatch_task.Description
            State of the dispatch task.
        traffic : dict of str to int
            Totals of the messages and bytes exchanged with peers, by name.
        """
        with self._registry.lock:
            for name in ("queued", "running", "unfinished", "remembered"):
                self._state.set({"state": name}, getattr(described, name))
            totals: dict[str, typing.Any] = {**described.counters, **traffic}
            for name, value in totals.items():
                self._totals.set({"name": name}, value)
            for name, target in described.targets.items():
                value = typing.cast(int, target["in_flight"])
                self._targets.set({"target": name}, value)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics in the Prometheus text format, and the content type."""
        return self._registry.render()
