"""Metrics in the format of Prometheus, for processes with several threads."""

import threading

import aioprometheus


class Registry:
    """The metrics of one process.

    Metrics are not thread-safe by themselves: hold ``lock`` around each change.

    Parameters
    ----------
    vm, data_centre : str
        Values of the labels ``vm`` and ``data_centre``, which every metric has.
    """

    def __init__(self, vm: str, data_centre: str) -> None:
        self.lock = threading.Lock()
        self._labels = {"vm": vm, "data_centre": data_centre}
        self._registry = aioprometheus.Registry()

    def counter(self, name: str, doc: str) -> aioprometheus.Counter:
        """Register and return a counter; ``doc`` is its help text."""
        return aioprometheus.Counter(name, doc, self._labels, registry=self._registry)

    def gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        """Register and return a gauge; ``doc`` is its help text."""
        return aioprometheus.Gauge(name, doc, self._labels, registry=self._registry)

    def histogram(
        self, name: str, doc: str, buckets: list[float]
    ) -> aioprometheus.Histogram:
        """Register and return a histogram; ``buckets`` are upper bounds, ascending."""
        return aioprometheus.Histogram(
            name, doc, self._labels, registry=self._registry, buckets=buckets
        )

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the text format, and its content type."""
        with self.lock:
            body, headers = aioprometheus.render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]
