"""Metrics by aioprometheus, for processes whose threads count at the same time."""

import threading

import aioprometheus


class Registry:
    """The metrics of one process; take ``lock`` around each change.

    Parameters
    ----------
    vm, data_centre : str
        Labels of every metric.
    """

    def __init__(self, vm: str, data_centre: str) -> None:
        self.lock = threading.Lock()
        self._labels = {"vm": vm, "data_centre": data_centre}
        self._registry = aioprometheus.Registry()

    def counter(self, name: str, doc: str) -> aioprometheus.Counter:
        """Return a new counter."""
        return aioprometheus.Counter(name, doc, self._labels, registry=self._registry)

    def gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        """Return a new gauge."""
        return aioprometheus.Gauge(name, doc, self._labels, registry=self._registry)

    def histogram(
        self, name: str, doc: str, buckets: list[float]
    ) -> aioprometheus.Histogram:
        """Return a new histogram with the upper bounds of its buckets."""
        return aioprometheus.Histogram(
            name, doc, self._labels, registry=self._registry, buckets=buckets
        )

    def render(self) -> tuple[bytes, str]:
        """Return the text of all metrics and its content type."""
        with self.lock:
            body, headers = aioprometheus.render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]
