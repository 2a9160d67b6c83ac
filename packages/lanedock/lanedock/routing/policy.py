# SPDX-License-Identifier: BSD-3-Clause
"""Settings of the load balancer."""

__all__ = ["BalancerPolicy"]


class BalancerPolicy:
    """Settings of a `Balancer`. Durations are in seconds.

    Parameters
    ----------
    load_age : float
        Time constant of the decay of a reported number of requests.
    slow_start : float
        Time over which a new upstream's share of the requests rises to its full value,
        if its application does not report its own.
    cold_weight : float
        Weight of a new upstream at the beginning of its slow start, 0 to 1.
    eject_failures : int
        Consecutive failures after which an upstream is ejected.
    eject_min, eject_max : float
        Durations of the first and of the longest ejection. Each ejection lasts twice as
        long as the one before, up to the longest.
    max_ejected : float
        Fraction of a service's upstreams that may be ejected at the same time.
    spill : float
        Load score of the local upstream, as a multiple of its slots, from which upstreams
        in other zones are considered.
    zone_penalty : float
        Amount by which the score of an upstream in another zone has to be lower to be
        chosen, as a multiple of the local upstream's slots.
    long_spill, long_zone_penalty : float
        The same for requests with long bodies. Some waiting is accepted for them to save
        traffic between zones.
        With load probes, `long_spill` is the excess of the expected time over that of a free
        upstream, as a multiple of the latter, and penalties are multiples of the usual service time.
    probes, remote_probes : int
        Upstreams that are probed for a request: those of its zone, and further ones in other zones if
        no local one promises an answer in time.
    late_answer : float
        Expected time to an answer of the best local upstream, as a multiple of the time that a free one
        takes, from which upstreams of other zones are probed.
    """

    __slots__ = (
        "cold_weight",
        "eject_failures",
        "eject_max",
        "eject_min",
        "late_answer",
        "load_age",
        "long_spill",
        "long_zone_penalty",
        "max_ejected",
        "probes",
        "remote_probes",
        "slow_start",
        "spill",
        "zone_penalty",
    )

    def __init__(
        self,
        load_age=1.0,
        slow_start=10.0,
        cold_weight=0.1,
        eject_failures=3,
        eject_min=1.0,
        eject_max=30.0,
        max_ejected=0.5,
        spill=1.0,
        zone_penalty=0.25,
        long_spill=2.25,
        long_zone_penalty=0.75,
        probes=3,
        remote_probes=3,
        late_answer=2.0,
    ):
        self.load_age = load_age
        self.slow_start = slow_start
        self.cold_weight = cold_weight
        self.eject_failures = eject_failures
        self.eject_min = eject_min
        self.eject_max = eject_max
        self.max_ejected = max_ejected
        self.spill = spill
        self.zone_penalty = zone_penalty
        self.long_spill = long_spill
        self.long_zone_penalty = long_zone_penalty
        self.probes = probes
        self.remote_probes = remote_probes
        self.late_answer = late_answer

    def __repr__(self) -> str:
        return f"<BalancerPolicy spill={self.spill} eject_failures={self.eject_failures}>"
