"""Metrics in the format of Prometheus, for processes with several threads."""

import collections
import threading
import typing

import aioprometheus


class Counts:
    """A counter whose changes are added up, and encoded only when they are rendered.

    Encoding the labels of a sample costs many times what counting does.

    Parameters
    ----------
    counter : aioprometheus.Counter
        The counter.
    label_names : tuple of str
        Names of its labels.
    """

    def __init__(
        self, counter: aioprometheus.Counter, label_names: tuple[str, ...]
    ) -> None:
        self._counter = counter
        self._label_names = label_names
        self._pending: collections.Counter[tuple[str, ...]] = collections.Counter()

    def add(self, *label_values: str) -> None:
        """Add 1 to the sample with these values of the labels, in order."""
        self._pending[label_values] += 1

    def transfer(self) -> None:
        """Add what was counted to the counter."""
        for label_values, count in self._pending.items():
            labels = dict(zip(self._label_names, label_values, strict=True))
            self._counter.add(labels, count)
        self._pending.clear()


class Observations:
    """A histogram that finds the samples of known labels without encoding them.

    Parameters
    ----------
    histogram : aioprometheus.Histogram
        The histogram.
    label_names : tuple of str
        Names of its labels.
    """

    def __init__(
        self, histogram: aioprometheus.Histogram, label_names: tuple[str, ...]
    ) -> None:
        self._histogram = histogram
        self._label_names = label_names
        self._samples: dict[tuple[str, ...], typing.Any] = {}

    def observe(self, value: float, *label_values: str) -> None:
        """Add a value to the sample with these values of the labels, in order."""
        sample = self._samples.get(label_values)
        if sample is not None:
            sample.observe(value)
            return
        labels = dict(zip(self._label_names, label_values, strict=True))
        self._histogram.observe(labels, value)
        self._samples[label_values] = self._histogram.get_value(labels)


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
        self._counts: list[Counts] = []

    def counter(self, name: str, doc: str) -> aioprometheus.Counter:
        """Register and return a counter; ``doc`` is its help text."""
        return aioprometheus.Counter(name, doc, self._labels, registry=self._registry)

    def counts(self, name: str, doc: str, *label_names: str) -> Counts:
        """Register and return a counter for frequent events, with its labels."""
        counts = Counts(self.counter(name, doc), label_names)
        self._counts.append(counts)
        return counts

    def observations(
        self, name: str, doc: str, buckets: list[float], *label_names: str
    ) -> Observations:
        """Register and return a histogram for frequent events, with its labels."""
        return Observations(self.histogram(name, doc, buckets), label_names)

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
            for counts in self._counts:
                counts.transfer()
            body, headers = aioprometheus.render(self._registry, ["text/plain"])
        return body, headers["Content-Type"]
