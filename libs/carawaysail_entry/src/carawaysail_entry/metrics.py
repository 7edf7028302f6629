"""Metrics by aioprometheus, gathered when they are asked for."""

import datetime
import threading
import typing

import aioprometheus

from carawaysail_decisions import standing
from carawaysail_entry import dispatch
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
        labels = {"vm": vm, "data_centre": data_centre}
        self._registry = aioprometheus.Registry()
        self._lock = threading.Lock()
        self._answers = aioprometheus.Counter(
            "carawaysail_answers_total", "Answers by outcome and reason.", labels,
            registry=self._registry,
        )  # fmt: skip
        self._response_ms = aioprometheus.Histogram(
            "carawaysail_response_ms", "Response time in milliseconds.", labels,
            registry=self._registry, buckets=BUCKETS_MS,
        )  # fmt: skip
        self._state = aioprometheus.Gauge(
            "carawaysail_state", "Tasks and submissions by state.", labels,
            registry=self._registry,
        )  # fmt: skip
        self._totals = aioprometheus.Gauge(
            "carawaysail_totals", "Totals since the start by name.", labels,
            registry=self._registry,
        )  # fmt: skip
        self._targets = aioprometheus.Gauge(
            "carawaysail_target_in_flight", "Tasks with each target.", labels,
            registry=self._registry,
        )  # fmt: skip

    def answered(
        self,
        submission: work.Submission,
        standing: standing.Standing,
        took: datetime.timedelta,
    ) -> None:
        """Count an answer to a caller."""
        outcome = standing.outcome
        tag = outcome.tag if outcome else standing.state.value
        reason = outcome.reason.value if outcome else "none"
        labels = {"service": submission.service, "outcome": tag, "reason": reason}
        with self._lock:
            self._answers.inc(labels)
            self._response_ms.observe(
                {"service": submission.service}, clock.to_milliseconds(took)
            )

    def observe(self, described: dispatch.Description, traffic: dict[str, int]) -> None:
        """Take over what the tasks say of themselves."""
        with self._lock:
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
        with self._lock:
            body, headers = aioprometheus.render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]
