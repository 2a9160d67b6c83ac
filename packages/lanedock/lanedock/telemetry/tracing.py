# SPDX-License-Identifier: BSD-3-Clause
"""Traces with one span for each hop, linked by the W3C ``traceparent`` header.

The sampled flag of a caller's header is respected. Of requests without the
header, a share is sampled. For a request that is not sampled, the header is
only forwarded.

References
----------
W3C Recommendation "Trace Context", section 3.2 (traceparent).
"""

import re
from abc import ABC, abstractmethod
from random import Random

__all__ = ["NullTracer", "OtelTracer", "Span", "Tracer"]

_TRACEPARENT = re.compile(r"^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$")
_SAMPLED_FLAG = 1


class Span(ABC):
    """One hop of one request."""

    @property
    @abstractmethod
    def traceparent(self) -> str:
        """Value of the header to forward; empty for none."""

    @abstractmethod
    def end(self, **attributes: object) -> None:
        """End the span and record its attributes."""


class Tracer(ABC):
    """Starts spans."""

    @abstractmethod
    def start(self, name: str, traceparent: str) -> Span:
        """Start a span.

        Parameters
        ----------
        name : str
        traceparent : str
            Value of the received header; empty for none.
        """

    def close(self) -> None:
        """Write out pending spans."""


class _ForwardedSpan(Span):
    """Span that forwards the caller's context and records nothing."""

    __slots__ = ("_traceparent",)

    def __init__(self, traceparent: str):
        self._traceparent = traceparent

    @property
    def traceparent(self) -> str:
        return self._traceparent

    def end(self, **attributes: object) -> None:
        pass


class NullTracer(Tracer):
    """Tracer that forwards contexts and records nothing."""

    def start(self, name: str, traceparent: str) -> Span:
        return _ForwardedSpan(traceparent)


class _OtelSpan(Span):
    __slots__ = ("_span",)

    def __init__(self, span):
        self._span = span

    @property
    def traceparent(self) -> str:
        context = self._span.get_span_context()
        return f"00-{context.trace_id:032x}-{context.span_id:016x}-01"

    def end(self, **attributes: object) -> None:
        for key, value in attributes.items():
            self._span.set_attribute(key, value)
        self._span.end()


class OtelTracer(Tracer):
    """Records sampled spans with OpenTelemetry, as JSON lines in a file.

    Parameters
    ----------
    path : str
        Path of the file, to which lines are appended.
    process : str
        Name of the process, recorded as ``service.name``.
    sample : float
        Share of the requests without a ``traceparent`` header that are sampled, 0 to 1.
    rng : random.Random
        Source of randomness for sampling.
    """

    def __init__(self, path: str, process: str, sample: float, rng: Random):
        # Imported only here, so that a daemon without traces saves the memory of the SDK.
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter

        self._file = open(path, "a", encoding="utf-8")  # noqa: SIM115
        exporter = ConsoleSpanExporter(out=self._file, formatter=lambda span: span.to_json(indent=None) + "\n")
        self._provider = TracerProvider(resource=Resource({"service.name": process}))
        self._provider.add_span_processor(BatchSpanProcessor(exporter, schedule_delay_millis=1000))
        self._tracer = self._provider.get_tracer("lanedock")
        self._sample = sample
        self._rng = rng

    def start(self, name: str, traceparent: str) -> Span:
        match = _TRACEPARENT.match(traceparent)
        if match is None:
            if self._rng.random() >= self._sample:
                return _ForwardedSpan("")
            return _OtelSpan(self._tracer.start_span(name))
        if not int(match.group(3), 16) & _SAMPLED_FLAG:
            return _ForwardedSpan(traceparent)
        return _OtelSpan(self._tracer.start_span(name, context=_make_context(match)))

    def close(self) -> None:
        self._provider.shutdown()
        self._file.close()


def _make_context(match: re.Match):
    from opentelemetry.trace import NonRecordingSpan, SpanContext, TraceFlags, set_span_in_context

    context = SpanContext(int(match.group(1), 16), int(match.group(2), 16), True, TraceFlags(_SAMPLED_FLAG))
    return set_span_in_context(NonRecordingSpan(context))
