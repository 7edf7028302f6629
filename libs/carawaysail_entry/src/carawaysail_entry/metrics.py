"""Metrics of an entry daemon, gathered when they are asked for."""

import datetime
import typing

from carawaysail_decisions import submission_status
from carawaysail_entry import dispatch_task
from carawaysail_runtime import metrics
from carawaysail_types import clock, work

BUCKETS_MS = [5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0, 10_000.0]


class Meters:
    """The metrics of one entry daemon.

    Parameters
    ----------
    vm, data_centre : str
        Labels of every metric.
    """

    def __init__(self, vm: str, data_centre: str) -> None:
        found = self._registry = metrics.Registry(vm, data_centre)
        self._answers = found.counter(
            "carawaysail_answers_total", "Answers by outcome and reason."
        )
        self._response_ms = found.histogram(
            "carawaysail_response_ms", "Response time in milliseconds.", BUCKETS_MS
        )
        self._state = found.gauge(
            "carawaysail_state", "Tasks and submissions by state."
        )
        self._totals = found.gauge(
            "carawaysail_totals", "Totals since the start by name."
        )
        self._targets = found.gauge(
            "carawaysail_target_in_flight", "Tasks with each target."
        )

    def answered(
        self,
        submission: work.Submission,
        submission_status: submission_status.SubmissionStatus,
        took: datetime.timedelta,
    ) -> None:
        """Count an answer to a caller."""
        outcome = submission_status.outcome
        tag = outcome.tag if outcome else submission_status.state.value
        reason = outcome.reason.value if outcome else "none"
        labels = {"service": submission.service, "outcome": tag, "reason": reason}
        with self._registry.lock:
            self._answers.inc(labels)
            self._response_ms.observe(
                {"service": submission.service}, clock.to_milliseconds(took)
            )

    def observe(
        self, described: dispatch_task.Description, traffic: dict[str, int]
    ) -> None:
        """Take over what the tasks say of themselves."""
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
        """Return the text and its content type."""
        return self._registry.render()
