# SPDX-License-Identifier: BSD-3-Clause
"""Log events, request logs, metrics and traces."""

from lanedock.telemetry.events import Event
from lanedock.telemetry.log import EventLogger, configure_logging
from lanedock.telemetry.metrics import Metric, Metrics, MetricsGroup, NullMetrics, StatsdMetrics, TextMetrics
from lanedock.telemetry.requests import RequestLog, RequestLogger
from lanedock.telemetry.totals import RequestTotals
from lanedock.telemetry.tracing import NullTracer, OtelTracer, Span, Tracer

__all__ = [
    "Event",
    "EventLogger",
    "Metric",
    "Metrics",
    "MetricsGroup",
    "NullMetrics",
    "NullTracer",
    "OtelTracer",
    "RequestLog",
    "RequestLogger",
    "RequestTotals",
    "Span",
    "StatsdMetrics",
    "TextMetrics",
    "Tracer",
    "configure_logging",
]
