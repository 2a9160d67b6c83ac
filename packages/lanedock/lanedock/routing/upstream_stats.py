# SPDX-License-Identifier: BSD-3-Clause
"""Statistics that a caller keeps of one upstream."""

from lanedock.canary import Pool
from lanedock.membership import incarnation_of
from lanedock.routing.load_sample import LoadSample
from lanedock.routing.send_times import SendTimes
from lanedock.wire import messages

__all__ = ["UpstreamStats", "is_same_application", "was_restarted"]


class UpstreamStats:
    """Statistics that a caller keeps of one upstream. All times are in seconds.

    Parameters
    ----------
    endpoint : Endpoint
    cold_since : float or None
        Monotonic time at which its slow start began; None if it is warm.
    cold_duration : float
        Duration of its slow start.

    Attributes
    ----------
    endpoint : Endpoint
    pool : Pool
        Pool of its service's traffic that it serves.
    in_progress : int
        This caller's requests in progress at this upstream.
    other_requests : int
        Other callers' requests in progress, as its daemon last reported them.
    slowness : float
        Ratio of its answer times to those of all upstreams; 1 on average.
    is_on_trial : bool
        Whether it was ejected and no request has succeeded since.
    counted_since : float
        Monotonic time of its last ejection or of the probe that reached it again. The results of requests that
        were sent before concern its former state and count towards neither ejection nor trial.
    is_unreachable : bool
        Whether a connection to its daemon has failed and no probe has succeeded since.
    failed_probes : int
        Probes that have failed since it became unreachable.
    is_application_leaving : bool
        Whether its application has reported that it leaves. Later reports don't revoke this.
    send_times : SendTimes
        Times at which requests may be sent, if it limits their rate.
    sample : LoadSample or None
        Its newest load probe; None if it has never been probed.
    """

    __slots__ = (
        "answered_at",
        "busy_since",
        "cold_duration",
        "cold_since",
        "counted_since",
        "ejected_until",
        "ejections",
        "ended_at",
        "endpoint",
        "failed_probes",
        "failures",
        "in_progress",
        "is_application_leaving",
        "is_on_trial",
        "is_unreachable",
        "other_requests",
        "pool",
        "reported_at",
        "sample",
        "send_times",
        "slowness",
    )

    def __init__(self, endpoint: messages.Endpoint, cold_since: float | None, cold_duration: float):
        self.endpoint = endpoint
        self.pool = Pool.STABLE
        self.cold_duration = cold_duration
        self.in_progress = 0
        self.other_requests = 0
        self.reported_at: float | None = None
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.is_on_trial = False
        self.counted_since = float("-inf")
        self.is_unreachable = False
        self.failed_probes = 0
        self.cold_since = cold_since
        self.busy_since = 0.0
        self.answered_at = 0.0
        self.ended_at = 0.0
        self.slowness = 1.0
        self.is_application_leaving = False
        self.send_times = SendTimes()
        self.sample: LoadSample | None = None

    def __repr__(self) -> str:
        return f"<UpstreamStats {self.endpoint.instance} in_progress={self.in_progress} others={self.other_requests}>"

    def silence(self, now: float) -> float:
        """Return for how long it has requests in progress and has answered none, in seconds."""
        if not self.in_progress or not self.busy_since:
            return 0.0
        return now - max(self.busy_since, self.answered_at)

    def is_unmeasured(self, now: float, expiry: float) -> bool:
        """Return whether it has no request in progress, and none has ended for `expiry` seconds."""
        return not self.in_progress and now - self.ended_at > expiry

    @property
    def address(self) -> tuple[str, int]:
        """Host and port at which its daemon accepts requests."""
        return (self.endpoint.host, self.endpoint.port)


def was_restarted(former: messages.Endpoint, endpoint: messages.Endpoint) -> bool:
    """Return whether an upstream's daemon or application was restarted between two endpoints.

    The statistics of an application that crashed don't apply to its next run: if the new run
    stayed ejected for the failures of the former, it would get no request for up to the
    longest ejection.
    """
    if former.incarnation < endpoint.incarnation:
        return True
    return bool(former.upstream) and not is_same_application(former, endpoint)


def is_same_application(former: messages.Endpoint, endpoint: messages.Endpoint) -> bool:
    """Return whether both endpoints may belong to the same run of an application."""
    return bool(endpoint.upstream) and incarnation_of(former).may_equal(incarnation_of(endpoint))
