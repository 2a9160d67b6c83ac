# SPDX-License-Identifier: BSD-3-Clause
"""What a caller knows of one upstream."""

from lanedock.canary import Pool
from lanedock.membership import incarnation_of
from lanedock.routing.turns import Turns
from lanedock.wire import messages

__all__ = ["UpstreamStats", "is_same_application", "is_started_anew"]


class UpstreamStats:
    """What a caller knows of one upstream.

    Attributes
    ----------
    endpoint : Endpoint
    pool : Pool
        The part that it has in its service's traffic.
    in_progress : int
        This caller's requests there.
    slowness : float
        Time to its answers against that of all upstreams, 1 on average.
    is_unreachable : bool
        Whether no connection to its daemon could be made, and none since.
    failed_probes : int
        Attempts to connect that have failed since then.
    has_left : bool
        Whether its application takes no new work any more, whatever else is heard of it.
    turns : Turns
        When it may be sent requests, where it limits their rate.
    """

    __slots__ = (
        "answered_at",
        "busy_since",
        "cold_for",
        "cold_since",
        "ejected_until",
        "ejections",
        "ended_at",
        "endpoint",
        "failed_probes",
        "failures",
        "has_left",
        "in_progress",
        "is_on_trial",
        "is_unreachable",
        "others",
        "pool",
        "reported_at",
        "slowness",
        "turns",
    )

    def __init__(self, endpoint: messages.Endpoint, cold_since: float | None, cold_for: float):
        self.endpoint = endpoint
        self.pool = Pool.STABLE
        self.cold_for = cold_for
        self.in_progress = 0
        self.others = 0
        self.reported_at: float | None = None
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.is_on_trial = False
        self.is_unreachable = False
        self.failed_probes = 0
        self.cold_since = cold_since
        self.busy_since = 0.0
        self.answered_at = 0.0
        self.ended_at = 0.0
        self.slowness = 1.0
        self.has_left = False
        self.turns = Turns()

    def __repr__(self) -> str:
        return f"<UpstreamStats {self.endpoint.instance} in_progress={self.in_progress} others={self.others}>"

    def silence(self, now: float) -> float:
        """Return for how long it has answered none of the requests it has, in seconds."""
        if not self.in_progress or not self.busy_since:
            return 0.0
        return now - max(self.busy_since, self.answered_at)

    def is_unknown(self, now: float, kept: float) -> bool:
        """Tell whether it has no request, and none has ended there for so many seconds."""
        return not self.in_progress and now - self.ended_at > kept

    @property
    def address(self) -> tuple[str, int]:
        """Where its daemon takes requests."""
        return (self.endpoint.host, self.endpoint.port)


def is_started_anew(former: messages.Endpoint, endpoint: messages.Endpoint) -> bool:
    """Tell whether an upstream's daemon or its application has been started since.

    What was learned of an application that crashed says nothing of its next start: ejected
    for the failures of the former, an application that was back had no request for up to
    the longest ejection.
    """
    if former.incarnation < endpoint.incarnation:
        return True
    return bool(former.upstream) and not is_same_application(former, endpoint)


def is_same_application(former: messages.Endpoint, endpoint: messages.Endpoint) -> bool:
    """Tell whether the same start of an application is behind both, as far as is known."""
    return bool(endpoint.upstream) and incarnation_of(former).may_be(incarnation_of(endpoint))
