"""OpenTelemetry traces: one span per hop, W3C trace context, a JSON Lines file."""

import collections.abc
import contextlib
import typing

import opentelemetry.sdk.resources
import opentelemetry.sdk.trace
import opentelemetry.sdk.trace.export
import opentelemetry.sdk.trace.sampling
import opentelemetry.trace
import opentelemetry.trace.propagation.tracecontext

_PROPAGATOR = (
    opentelemetry.trace.propagation.tracecontext.TraceContextTextMapPropagator()
)


class Span:
    """An open span.

    Parameters
    ----------
    span : opentelemetry.trace.Span
        The span of the OpenTelemetry library.
    traceparent : str
        W3C ``traceparent`` to send to the next hop.
    """

    __slots__ = ("_span", "traceparent")

    def __init__(self, span: opentelemetry.trace.Span, traceparent: str) -> None:
        self._span = span
        self.traceparent = traceparent

    def set(self, name: str, value: str | int | float | bool) -> None:
        """Set an attribute of the span."""
        self._span.set_attribute(name, value)


class _FileExporter(opentelemetry.sdk.trace.export.SpanExporter):
    """Appends each span to a file as one JSON line; no collector is needed."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "a", encoding="utf-8", buffering=1)

    def export(
        self,
        spans: collections.abc.Sequence[opentelemetry.sdk.trace.ReadableSpan],
    ) -> opentelemetry.sdk.trace.export.SpanExportResult:
        for span in spans:
            self._file.write(span.to_json(indent=None) + "\n")
        return opentelemetry.sdk.trace.export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self._file.close()


class Tracer:
    """Creates spans and exports them to a file.

    Parameters
    ----------
    vm : str
        Name of the daemon's VM.
    path : str
        JSON Lines file to append to; empty to record nothing.
    ratio : float
        Share of traces that are recorded, 0 to 1, when the caller sends no context.
    """

    def __init__(self, vm: str, path: str, ratio: float) -> None:
        self._path = path
        self._ratio = ratio
        resource = opentelemetry.sdk.resources.Resource(
            {"service.name": "carawaysail-entry", "service.instance.id": vm}
        )
        self._sampler = _Sampler(ratio)
        self._provider = opentelemetry.sdk.trace.TracerProvider(
            sampler=self._sampler, resource=resource
        )
        if path:
            processor = opentelemetry.sdk.trace.export.SimpleSpanProcessor(
                _FileExporter(path)
            )
            self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("carawaysail")

    def set_ratio(self, ratio: float) -> None:
        """Change the share of traces that are recorded; no effect without a file.

        Parameters
        ----------
        ratio : float
            Share of the traces without a caller's context, 0 to 1.
        """
        self._sampler.set_ratio(ratio if self._path else 0.0)

    @contextlib.contextmanager
    def span(self, name: str, traceparent: str) -> collections.abc.Iterator[Span]:
        """Open a span as a child of a W3C context.

        Without a file no span is recorded, and the context is passed on unchanged.

        Parameters
        ----------
        name : str
            Name of the hop.
        traceparent : str
            The received context; empty to start a new trace.
        """
        if not self._path:
            yield Span(opentelemetry.trace.INVALID_SPAN, traceparent)
            return
        parent = _PROPAGATOR.extract({"traceparent": traceparent})
        with self._tracer.start_as_current_span(name, context=parent) as span:
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier)
            yield Span(span, carrier.get("traceparent", traceparent))


class _Sampler(opentelemetry.sdk.trace.sampling.Sampler):
    """Follows the caller's sampling decision; samples a variable share of the rest."""

    def __init__(self, ratio: float) -> None:
        self.set_ratio(ratio)

    def set_ratio(self, ratio: float) -> None:
        root = opentelemetry.sdk.trace.sampling.TraceIdRatioBased(ratio)
        self._inner = opentelemetry.sdk.trace.sampling.ParentBased(root)

    def should_sample(self, *args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        return self._inner.should_sample(*args, **kwargs)

    def get_description(self) -> str:
        return self._inner.get_description()
