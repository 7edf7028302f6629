"""Metrics of a daemon: decisions, responses, outside calls and sizes of its state."""

import datetime
import re
import time

from carawaysail_runtime import metrics
from carawaysail_types import clock

BUCKETS_MS = [
    2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0,
]  # fmt: skip

CONFIGURATION_VERSION = "carawaysail_configuration_version"
STORE_ANSWER_AGE = "carawaysail_store_answer_age_ms"
"""Names of metrics that the operators' command line reads."""

_SAMPLE = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$", re.MULTILINE)
_LABEL = re.compile(r'(\w+)="([^"]*)"')


def find_sample(text: str, name: str, **labels: str) -> float | None:
    """Return the value of the first sample of a metric that has all of some labels.

    Parameters
    ----------
    text : str
        Metrics as ``DaemonMetrics.render`` returns them.
    name : str
        Name of the metric.
    **labels : str
        Labels that the sample has, perhaps among others.

    Returns
    -------
    float or None
        ``None`` if there is no such sample.
    """
    for found_name, found_labels, value in _SAMPLE.findall(text):
        if (
            found_name == name
            and labels.items() <= dict(_LABEL.findall(found_labels)).items()
        ):
            return float(value)
    return None


class DaemonMetrics:
    """The metrics of one daemon; thread-safe.

    Parameters
    ----------
    vm, data_centre : str
        Values of the labels ``vm`` and ``data_centre``, which every metric has.
    """

    def __init__(self, vm: str, data_centre: str) -> None:
        registry = self._registry = metrics.Registry(vm, data_centre)
        self._decisions = registry.counts(
            "carawaysail_decisions_total", "Decisions by name and outcome.",
            "name", "outcome",
        )  # fmt: skip
        self._jobs = registry.counts(
            "carawaysail_jobs_total",
            "Jobs that have ended by queue, size class and outcome.",
            "queue", "size", "outcome",
        )  # fmt: skip
        self._responses = registry.counts(
            "carawaysail_answers_total", "Answers to clients by status and reason.",
            "queue", "status",
        )  # fmt: skip
        self._response_ms = registry.observations(
            "carawaysail_response_ms", "Response time in milliseconds by queue.",
            BUCKETS_MS, "queue",
        )  # fmt: skip
        self._calls_ms = registry.observations(
            "carawaysail_call_ms", "Calls to outside services in milliseconds.",
            BUCKETS_MS, "service", "outcome",
        )  # fmt: skip
        self._sizes = registry.gauge(
            "carawaysail_size", "Sizes of the daemon's state by name."
        )
        self._configuration_version = registry.gauge(
            CONFIGURATION_VERSION, "Version of the configuration in force."
        )
        self._answer_age_ms = registry.gauge(
            STORE_ANSWER_AGE,
            "Time since the store's last answer in milliseconds by task.",
        )
        self._processor_s = registry.gauge(
            "carawaysail_processor_seconds",
            "Processor time of the process since its start in seconds.",
        )
        self._answered_at: dict[str, datetime.datetime] = {}
        self._newest_sizes: dict[str, int] = {}

    def count_decision(self, name: str, outcome: str) -> None:
        """Count a decision by its name and outcome; an outcome may be empty."""
        with self._registry.lock:
            self._decisions.add(name, outcome)

    def count_job(self, queue: str, size_class: str, outcome: str) -> None:
        """Count a job that has ended by its queue, size class and outcome."""
        with self._registry.lock:
            self._jobs.add(queue, size_class, outcome)

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
            self._responses.add(queue, str(status))
            self._response_ms.observe(clock.to_milliseconds(duration), queue)

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
            self._calls_ms.observe(clock.to_milliseconds(duration), service, outcome)

    def set_sizes(self, sizes: dict[str, int]) -> None:
        """Set the sizes of the daemon's state, by name."""
        self._newest_sizes = sizes

    def set_configuration_version(self, version: int) -> None:
        """Set the version of the configuration in force."""
        with self._registry.lock:
            self._configuration_version.set({}, version)

    def record_store_answer(self, task: str, at: datetime.datetime) -> None:
        """Record when the store last answered a task."""
        with self._registry.lock:
            self._answered_at[task] = at

    def render(self, now: datetime.datetime) -> tuple[bytes, str]:
        """Return all metrics as text, and the content type.

        Parameters
        ----------
        now : datetime.datetime
            Present instant, at which ages are given.
        """
        with self._registry.lock:
            for name, value in self._newest_sizes.items():
                self._sizes.set({"name": name}, value)
            self._processor_s.set({}, time.process_time())
            for task, at in self._answered_at.items():
                age_ms = round(clock.to_milliseconds(now - at))
                self._answer_age_ms.set({"task": task}, age_ms)
        return self._registry.render()
