# SPDX-License-Identifier: BSD-3-Clause
"""Measures how late the event loop of a process runs."""

from collections import deque
from time import process_time

import gevent

from lanedock.clock import monotonic
from lanedock.telemetry import Event, EventLogger, Metric, Metrics

__all__ = ["LoopWatch"]

# Seconds between two samples.
INTERVAL = 0.2
# Seconds by which a sample is late that is logged. A stop of the loop of half a second makes one 0.3 s late or more.
LATE = 0.25
# Number of samples for which the gauge shows the latest one: it is read once a second or less often.
GAUGE_SAMPLES = 10


class LoopWatch:
    """Samples at intervals how late the event loop runs.

    It can be late because the process is suspended, because it gets too little processor time, or because a call
    blocks it; the process's own processor time tells these apart.

    Parameters
    ----------
    events : EventLogger
    metrics : Metrics
    """

    __slots__ = ("_delays", "_events", "_metrics")

    def __init__(self, events: EventLogger, metrics: Metrics):
        self._events = events
        self._metrics = metrics
        self._delays: deque[float] = deque(maxlen=GAUGE_SAMPLES)

    def __repr__(self) -> str:
        return f"<LoopWatch {max(self._delays, default=0.0):.3f} s>"

    def run(self) -> None:
        """Sample until the greenlet is killed."""
        while True:
            self._sample()

    def _sample(self) -> None:
        began_at, used = monotonic(), process_time()
        gevent.sleep(INTERVAL)
        delay = max(0.0, monotonic() - began_at - INTERVAL)
        self._delays.append(delay)
        self._metrics.gauge(Metric.LOOP_DELAY, max(self._delays))
        if delay >= LATE:
            cpu_time = process_time() - used
            self._events.emit(Event.LOOP_LATE, late_ms=round(1000 * delay), cpu_ms=round(1000 * cpu_time))
