# SPDX-License-Identifier: BSD-3-Clause
"""Metrics, aggregated in memory and either pushed to statsd at intervals or scraped as text."""

from abc import ABC, abstractmethod
from bisect import bisect_left
from enum import Enum

__all__ = ["Metric", "Metrics", "MetricsGroup", "NullMetrics", "StatsdMetrics", "TextMetrics"]

# Maximum number of durations kept for one timer between two flushes; further ones are dropped.
MAX_TIMINGS = 512
# Maximum number of label sets kept for one metric; further ones are counted as `other`.
MAX_LABELS = 200
# Upper bounds of the histogram buckets, in seconds: from a hop between two daemons to the
# longest wait of a caller, each one about 1.5 to 2.5 times the previous one.
BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0)


class Metric(Enum):
    """A metric with its name, kind (c counter, ms timer, g gauge), meaning and labels."""

    REQUESTS = ("requests", "c", "Requests taken.")
    OUTCOMES = ("requests.outcomes", "c", "Requests by how they ended.", ("route", "outcome"))
    TRIES = ("requests.tries", "c", "Tries by how they ended.", ("service", "outcome"))
    REFUSALS = ("requests.refusals", "c", "Requests that an upstream's daemon refused, by code.", ("code",))
    RETRY_BUDGET = ("requests.retry_budget", "g", "Retries that may still be made towards a service.", ("service",))
    NOT_RUN = ("requests.not_run", "c", "Requests answered `not-run`.")
    UNKNOWN = ("requests.unknown", "c", "Requests answered `unknown`.")
    RETRIES = ("requests.retries", "c", "Tries after the first.")
    LATENCY = ("requests.latency", "ms", "Time from request to answer's head.")
    IN_PROGRESS = ("requests.in_progress", "g", "Requests in progress.")
    QUEUED = ("requests.queued", "g", "Requests waiting for a slot.")
    BODY_BYTES = ("requests.body_bytes", "g", "Bytes of bodies that were let in and have not come yet.")
    VERSION = ("config.version", "g", "Number of the version in force.")
    CONTROL_BYTES = ("config.bytes", "c", "Bytes of versions and endpoints sent to daemons.")
    TRAFFIC = (
        "control.bytes",
        "c",
        "Bytes sent by a control instance: what they carry, and near or far (to another zone).",
        ("purpose", "reach"),
    )
    CHILDREN = ("config.children", "g", "Daemons that take versions from here.")
    CONVERGENCE = (
        "config.convergence",
        "ms",
        "From acceptance to in force everywhere.",
    )
    DROPPED = ("config.dropped", "c", "Outdated version messages that changed nothing.")
    TERM = ("log.term", "g", "The replicated log's term.")
    COMMIT = ("log.commit", "g", "Index of the newest committed entry.")
    SYNC = ("log.sync", "ms", "Time to sync the log to disk.")
    DISK_OUTAGE = ("log.disk_outage", "g", "Seconds since the disk refused a write; 0 while it can be written.")
    SOURCE_AGE = ("config.source_age", "g", "Seconds since the daemon's source was last heard.")
    STALENESS = ("config.staleness", "g", "Seconds since the source has heard from the leader, as it says.")
    BEHIND = (
        "config.behind",
        "g",
        "Seconds for which a version is known to be in force elsewhere and isn't here.",
    )
    ENDPOINTS = ("config.endpoints", "g", "Upstreams known, by zone.", ("zone",))
    CRASHES = ("upstream.crashes", "c", "Times that the application beside the daemon has ended without notice.")
    QUARANTINED = ("requests.quarantined", "g", "Requests that are not passed on since they end upstreams.")
    RATE_LIMIT = (
        "upstream.rate_limit",
        "g",
        "Requests a second that the application advertises as its limit, if it does.",
    )
    IS_RATE_LIMITED = ("upstream.is_rate_limited", "g", "1 where the application advertises a rate limit, else 0.")
    PROBES_SENT = ("probe.sent", "c", "Load probes sent.")
    PROBES_LOST = ("probe.lost", "c", "Load probes that were not answered in time.")
    PACE = (
        "upstream.pace",
        "g",
        "Time that work takes at the application, as a multiple of the usual time; 1 if it does not state it.",
    )
    LINK_QUEUE = (
        "upstream.link_queue",
        "g",
        "Bytes of long answers that wait for a narrow link or are being sent over it.",
    )
    LINK_WAIT = ("upstream.link_wait", "g", "Seconds for which admitted long answers occupy a narrow link.")
    PASSED_ON = ("upstream.passed_on", "c", "Requests that were passed on to the application.")
    CANARY_SHARE = ("canary.share", "g", "Share of a service's requests that its canary gets, 0 to 1.", ("service",))
    CANARY_SENT = (
        "canary.sent",
        "c",
        "Requests sent while a canary runs, by part.",
        ("service", "part"),
    )
    CANARY_FAILED = (
        "canary.failed",
        "c",
        "Answers that failed while a canary runs, by part.",
        ("service", "part"),
    )
    QUOTA_GRANTED = ("quota.granted", "c", "Requests admitted with a credit, by customer.", ("customer",))
    QUOTA_REFUSED = ("quota.refused", "c", "Requests refused for their customer's quota.", ("customer",))
    QUOTA_WAIT = ("quota.wait", "ms", "Time for which a request waited for a credit.")
    EJECTED = ("config.ejected", "c", "Ejections of upstreams.")
    HELD_BYTES = ("process.held_bytes", "g", "Memory that callers' connections are taken to hold, in bytes.")
    HELD_DESCRIPTORS = ("process.held_descriptors", "g", "Descriptors that callers' connections are taken to hold.")
    RESOURCE_REFUSALS = ("requests.resource_refusals", "c", "Requests refused for lack of memory or descriptors.")
    RESOURCE_EVICTIONS = ("connections.evicted", "c", "Connections ended for lack of memory or descriptors.")
    LOOP_DELAY = ("process.loop_delay", "g", "Longest time, in seconds, for which the event loop was late recently.")

    def __init__(self, path: str, kind: str, meaning: str, labels: tuple = ()):
        self.path = path
        self.kind = kind
        self.meaning = meaning
        self.labels = labels


class Metrics(ABC):
    """Interface for recording measurements. The recording methods are cheap and never block.

    `labels` are the values of the metric's labels, in the metric's order.
    """

    @abstractmethod
    def count(self, metric: Metric, amount: int = 1, labels: tuple = ()) -> None:
        """Add to a counter."""

    @abstractmethod
    def time(self, metric: Metric, seconds: float, labels: tuple = ()) -> None:
        """Add a duration, in seconds."""

    @abstractmethod
    def gauge(self, metric: Metric, value: float, labels: tuple = ()) -> None:
        """Set a gauge."""

    def flush(self) -> None:
        """Send the recorded measurements, if the backend sends any."""


class NullMetrics(Metrics):
    """Discards all measurements."""

    def count(self, metric: Metric, amount: int = 1, labels: tuple = ()) -> None:
        pass

    def time(self, metric: Metric, seconds: float, labels: tuple = ()) -> None:
        pass

    def gauge(self, metric: Metric, value: float, labels: tuple = ()) -> None:
        pass


class StatsdMetrics(Metrics):
    """Sends measurements to a statsd server over UDP.

    Parameters
    ----------
    host : str
        IP address.
    port : int
    prefix : str
        Prefix of every name, such as ``lanedock.nbo-a.entry-1``.
    """

    def __init__(self, host: str, port: int, prefix: str):
        from statsd import StatsClient

        self._client = StatsClient(host, port, prefix=prefix)
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = {}

    def count(self, metric: Metric, amount: int = 1, labels: tuple = ()) -> None:
        key = _statsd_name(metric, labels)
        self._counters[key] = self._counters.get(key, 0) + amount

    def time(self, metric: Metric, seconds: float, labels: tuple = ()) -> None:
        timings = self._timings.setdefault(_statsd_name(metric, labels), [])
        if len(timings) < MAX_TIMINGS:
            timings.append(seconds)

    def gauge(self, metric: Metric, value: float, labels: tuple = ()) -> None:
        self._gauges[_statsd_name(metric, labels)] = value

    def flush(self) -> None:
        counters, self._counters = self._counters, {}
        timings, self._timings = self._timings, {}
        with self._client.pipeline() as pipe:
            for path, amount in counters.items():
                pipe.incr(path, amount)
            for path, value in self._gauges.items():
                pipe.gauge(path, value)
            for path, durations in timings.items():
                for duration in durations:
                    pipe.timing(path, duration * 1000)


def _statsd_name(metric: Metric, labels: tuple) -> str:
    """Return the statsd name of a metric, with the values of its labels appended."""
    return ".".join([metric.path, *(str(label).replace(".", "_") for label in labels)])


class MetricsGroup(Metrics):
    """Records measurements in several backends.

    Parameters
    ----------
    members : list of Metrics
    """

    def __init__(self, members: list[Metrics]):
        self._members = members

    def count(self, metric: Metric, amount: int = 1, labels: tuple = ()) -> None:
        for member in self._members:
            member.count(metric, amount, labels)

    def time(self, metric: Metric, seconds: float, labels: tuple = ()) -> None:
        for member in self._members:
            member.time(metric, seconds, labels)

    def gauge(self, metric: Metric, value: float, labels: tuple = ()) -> None:
        for member in self._members:
            member.gauge(metric, value, labels)

    def flush(self) -> None:
        for member in self._members:
            member.flush()


class _Histogram:
    """Counts of durations by bucket, and their sum in seconds."""

    __slots__ = ("counts", "total")

    def __init__(self):
        self.counts = [0] * (len(BUCKETS) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Add one duration, in seconds."""
        self.counts[bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class TextMetrics(Metrics):
    """Keeps measurements to be scraped in the Prometheus text format.

    The client library is not used: it would take as much memory as the control
    link of a daemon, and the format needs only a few lines of code.

    References
    ----------
    Prometheus, "Exposition formats", text format 0.0.4.
    """

    def __init__(self):
        self._values: dict[Metric, dict[tuple, float]] = {}
        self._histograms: dict[Metric, dict[tuple, _Histogram]] = {}

    def count(self, metric: Metric, amount: int = 1, labels: tuple = ()) -> None:
        values = self._values.setdefault(metric, {})
        key = _limit_labels(values, metric, labels)
        values[key] = values.get(key, 0) + amount

    def time(self, metric: Metric, seconds: float, labels: tuple = ()) -> None:
        histograms = self._histograms.setdefault(metric, {})
        key = _limit_labels(histograms, metric, labels)
        histogram = histograms.get(key)
        if histogram is None:
            histogram = histograms[key] = _Histogram()
        histogram.add(seconds)

    def gauge(self, metric: Metric, value: float, labels: tuple = ()) -> None:
        values = self._values.setdefault(metric, {})
        values[_limit_labels(values, metric, labels)] = value

    def render(self) -> str:
        """Return all measurements in the text format."""
        lines = []
        for metric, values in self._values.items():
            name = _prometheus_name(metric)
            lines += _render_header(metric, name, "counter" if metric.kind == "c" else "gauge")
            lines += [f"{name}{_render_labels(metric, key)} {value:g}" for key, value in values.items()]
        for metric, histograms in self._histograms.items():
            name = _prometheus_name(metric)
            lines += _render_header(metric, name, "histogram")
            for key, histogram in histograms.items():
                lines += _render_histogram(metric, name, key, histogram)
        return "\n".join(lines) + "\n"


def _limit_labels(values: dict, metric: Metric, labels: tuple) -> tuple:
    """Return the labels, or `other` for each of them if `MAX_LABELS` sets exist already."""
    if not labels or labels in values or len(values) < MAX_LABELS:
        return labels
    return ("other",) * len(metric.labels)


def _prometheus_name(metric: Metric) -> str:
    suffix = {"c": "_total", "ms": "_seconds"}.get(metric.kind, "")
    return "lanedock_" + metric.path.replace(".", "_") + suffix


def _render_header(metric: Metric, name: str, kind: str) -> list[str]:
    return [f"# HELP {name} {metric.meaning}", f"# TYPE {name} {kind}"]


def _render_labels(metric: Metric, values: tuple, *extra_pairs: str) -> str:
    pairs = [f'{label}="{value}"' for label, value in zip(metric.labels, values, strict=False)]
    pairs += extra_pairs
    return "{" + ",".join(pairs) + "}" if pairs else ""


def _render_histogram(metric: Metric, name: str, key: tuple, histogram: _Histogram) -> list[str]:
    lines, cumulative = [], 0
    for bound, count in zip((*BUCKETS, "+Inf"), histogram.counts, strict=True):
        cumulative += count
        bucket = f'le="{bound}"'
        lines.append(f"{name}_bucket{_render_labels(metric, key, bucket)} {cumulative}")
    lines.append(f"{name}_sum{_render_labels(metric, key)} {histogram.total:g}")
    lines.append(f"{name}_count{_render_labels(metric, key)} {cumulative}")
    return lines
