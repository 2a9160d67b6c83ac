# SPDX-License-Identifier: BSD-3-Clause
"""Metrics, gathered in memory and sent by statsd at intervals."""

from abc import ABC, abstractmethod
from enum import Enum

__all__ = ["Metric", "Metrics", "NullMetrics", "StatsdMetrics"]

# Longest list of timings kept between two flushes; later ones replace earlier.
MAX_TIMINGS = 512


class Metric(Enum):
    """A metric: its name, kind (c counter, ms timer, g gauge) and meaning."""

    REQUESTS = ("requests", "c", "Requests taken.")
    NOT_RUN = ("requests.not_run", "c", "Requests answered `not-run`.")
    UNKNOWN = ("requests.unknown", "c", "Requests answered `unknown`.")
    RETRIES = ("requests.retries", "c", "Tries after the first.")
    LATENCY = ("requests.latency", "ms", "Time from request to answer's head.")
    IN_PROGRESS = ("requests.in_progress", "g", "Requests in progress.")
    QUEUED = ("requests.queued", "g", "Requests waiting for a slot.")
    VERSION = ("config.version", "g", "Number of the version in force.")
    CONTROL_BYTES = ("config.bytes", "c", "Bytes of versions and endpoints sent to daemons.")
    CHILDREN = ("config.children", "g", "Daemons that take versions from here.")
    CONVERGENCE = ("config.convergence", "ms", "From acceptance to in force everywhere.")
    DROPPED = ("config.dropped", "c", "Outdated version messages that changed nothing.")
    TERM = ("log.term", "g", "The replicated log's term.")
    COMMIT = ("log.commit", "g", "Index of the newest committed entry.")
    SYNC = ("log.sync", "ms", "Time to sync the log to disk.")

    def __init__(self, path: str, kind: str, meaning: str):
        self.path = path
        self.kind = kind
        self.meaning = meaning


class Metrics(ABC):
    """Where measurements go. Calls are cheap and never wait."""

    @abstractmethod
    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""

    @abstractmethod
    def time(self, metric: Metric, seconds: float) -> None:
        """Add a duration, in seconds."""

    @abstractmethod
    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""

    def flush(self) -> None:
        """Send what was gathered."""


class NullMetrics(Metrics):
    """Forgets everything."""

    def count(self, metric: Metric, amount: int = 1) -> None:
        pass

    def time(self, metric: Metric, seconds: float) -> None:
        pass

    def gauge(self, metric: Metric, value: float) -> None:
        pass


class StatsdMetrics(Metrics):
    """Sends to a statsd server over UDP.

    Parameters
    ----------
    host : str
        IP number.
    port : int
    prefix : str
        In front of every name, such as ``lanedock.nbo-a.entry-1``.
    """

    def __init__(self, host: str, port: int, prefix: str):
        from statsd import StatsClient

        self._client = StatsClient(host, port, prefix=prefix)
        self._counters: dict[Metric, int] = {}
        self._gauges: dict[Metric, float] = {}
        self._timings: dict[Metric, list[float]] = {}

    def count(self, metric: Metric, amount: int = 1) -> None:
        self._counters[metric] = self._counters.get(metric, 0) + amount

    def time(self, metric: Metric, seconds: float) -> None:
        timings = self._timings.setdefault(metric, [])
        if len(timings) < MAX_TIMINGS:
            timings.append(seconds)

    def gauge(self, metric: Metric, value: float) -> None:
        self._gauges[metric] = value

    def flush(self) -> None:
        counters, self._counters = self._counters, {}
        timings, self._timings = self._timings, {}
        with self._client.pipeline() as pipe:
            for metric, amount in counters.items():
                pipe.incr(metric.path, amount)
            for metric, value in self._gauges.items():
                pipe.gauge(metric.path, value)
            for metric, seconds in timings.items():
                for one in seconds:
                    pipe.timing(metric.path, one * 1000)
