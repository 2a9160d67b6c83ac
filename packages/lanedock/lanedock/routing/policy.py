# SPDX-License-Identifier: BSD-3-Clause
"""The tuning of the choice of an upstream."""

__all__ = ["BalancerPolicy"]


class BalancerPolicy:
    """Tuning of the choice. Durations are in seconds.

    Parameters
    ----------
    load_age : float
        Time constant by which a reported count fades.
    slow_start : float
        Time over which a new upstream is brought to its full share that does
        not report for how long it is slow.
    cold_weight : float
        Its weight at the beginning, 0 to 1.
    eject_failures : int
        Failures in a row that eject an upstream.
    eject_min, eject_max : float
        First and longest ejection; doubled each time in between.
    max_ejected : float
        Part of a service's upstreams that may be ejected at once.
    spill : float
        Part of the slots, as loads are scored, at which other zones are weighed.
    zone_penalty : float
        How much emptier, in parts of the slots, another zone's upstream has to be.
    long_spill, long_zone_penalty : float
        The same for requests with long bodies, whose bytes between zones are
        worth some waiting.
    """

    __slots__ = (
        "cold_weight",
        "eject_failures",
        "eject_max",
        "eject_min",
        "load_age",
        "long_spill",
        "long_zone_penalty",
        "max_ejected",
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

    def __repr__(self) -> str:
        return f"<BalancerPolicy spill={self.spill} eject_failures={self.eject_failures}>"
