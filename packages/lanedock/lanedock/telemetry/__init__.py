# SPDX-License-Identifier: BSD-3-Clause
"""Numbered log events, metrics and traces."""

from lanedock.telemetry.events import Event, EventLogger, configure_logging
from lanedock.telemetry.metrics import Metric, Metrics, NullMetrics, StatsdMetrics
from lanedock.telemetry.tracing import NullTracer, OtelTracer, Span, Tracer

__all__ = [
    "Event",
    "EventLogger",
    "Metric",
    "Metrics",
    "NullMetrics",
    "NullTracer",
    "OtelTracer",
    "Span",
    "StatsdMetrics",
    "Tracer",
    "configure_logging",
]
