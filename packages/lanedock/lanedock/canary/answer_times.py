# SPDX-License-Identifier: BSD-3-Clause
"""Comparison of answer times by upstream: is the version slower, or are some of its upstreams?

Notes
-----
Logarithms of times are measured in half buckets. On each upstream they are normally distributed around an unknown
location, with an offset and a spread by route that the stable upstreams give. Locations of a service's upstreams
are alike but for a spread and a few outliers, and may jump between two windows. A version that is slower in a part
of its answers widens the spread on each of its upstreams; one that is slower in all of them moves all locations.
Locations are marginalized on a grid.

References
----------
Kass, R. E. and Raftery, A. E., "Bayes Factors", Journal of the American Statistical Association 90, 1995.
"""

from math import exp, log
from statistics import NormalDist

from lanedock.canary.comparison import Comparison, FaultGroup, add_pairwise, log_mean_exp
from lanedock.canary.counts import BUCKET_RATIO, BUCKETS
from lanedock.canary.stable_times import RouteTimes, StableTimes
from lanedock.canary.windows import FIRST_BUCKET, AnswerCounts, UpstreamWindows

__all__ = ["SlowFault", "TimeComparison"]

# Number of locations, one for each half bucket, and the largest difference between a time and a location.
LOCATIONS = 2 * BUCKETS + 1
MAX_DIFFERENCE = 4 * BUCKETS
# Factor between the usual speeds of a service's upstreams (one standard deviation).
UPSTREAM_FACTOR = 1.5
# Share of upstreams that differ by more; the share of them that is slower, and how much they differ at most, in
# half buckets (a factor of 16).
OUTLIER_SHARE = 0.05
SLOW_OUTLIER_SHARE = 0.8
OUTLIER_REACH = 16
# Probability that an upstream's location changes between two windows.
JUMP_SHARE = 0.02
# Share of answers whose time may be any.
TAIL_SHARE = 0.02
# Candidates of the service's common location on each side of its estimate, and their distance in half buckets.
CENTRES = 4
CENTRE_STEP = 2
# Answers of the canary from which its times are compared.
MIN_ANSWERS = 15
# Log Bayes factor from which all answers count as slower once each upstream has so many that more add little.
SETTLED_ALARM = log(25)
SETTLED_ANSWERS = 20
# Likelihood that stands for 0 in logarithms.
MIN_LIKELIHOOD = 1e-300


class SlowFault:
    """A fault that makes a share of a version's answers slower.

    Parameters
    ----------
    share : float
        Share of the answers, 0 to 1.
    factor : float
        Factor of their times.

    Attributes
    ----------
    shift : int
        The factor in half buckets.
    """

    __slots__ = ("factor", "share", "shift")

    def __init__(self, share: float, factor: float):
        self.share = share
        self.factor = factor
        self.shift = round(2 * log(factor) / log(BUCKET_RATIO))

    def __repr__(self) -> str:
        return f"<SlowFault {self.share:.0%} {self.factor} times slower>"


NO_FAULT = SlowFault(0.0, 1.0)
# A slow part shows in the spread of few answers. That all are slower shows only between upstreams, so that some
# evidence for it has to be accepted where a version has few of them.
PART_SLOWER = FaultGroup("part_slower", limit=-1.8)
ALL_SLOWER = FaultGroup("all_slower", limit=2.0)
SLIGHTLY_SLOWER = FaultGroup("slightly_slower", limit=3.0)
FAULTS = {
    PART_SLOWER: (SlowFault(0.5, 3), SlowFault(0.5, 6)),
    ALL_SLOWER: (SlowFault(1, 3), SlowFault(1, 6)),
    SLIGHTLY_SLOWER: (SlowFault(0.5, 2), SlowFault(1, 2)),
}


class TimeComparison(Comparison):
    """Bayes factors of faults that make answers slower."""

    GROUPS = tuple(FAULTS)

    def __init__(self):
        super().__init__()
        self._is_settled = False

    def is_alarming(self) -> bool:
        return super().is_alarming() or (self._is_settled and self.ratios[ALL_SLOWER] >= SETTLED_ALARM)

    def update(self, stable: UpstreamWindows, canary: UpstreamWindows) -> None:
        """Compute the ratios from all answers so far."""
        fit = StableTimes(stable)
        compared = [canary.count_times(upstream) for upstream in canary.upstreams]
        if not fit.routes or sum(compared) < MIN_ANSWERS:
            return
        self._is_settled = min(compared) >= SETTLED_ANSWERS
        likelihoods = _Likelihoods(fit)
        base = likelihoods.sum_upstreams(stable, NO_FAULT)
        none = _marginalize(base, likelihoods.sum_upstreams(canary, NO_FAULT))
        for group, faults in FAULTS.items():
            ratios = [_marginalize(base, likelihoods.sum_upstreams(canary, fault)) - none for fault in faults]
            self.ratios[group] = log_mean_exp(ratios)


def _marginalize(stable: list[float], canary: list[float]) -> float:
    """Return the log likelihood of both versions' times over all candidates of the common location."""
    return log_mean_exp(add_pairwise(stable, canary))


class _Likelihoods:
    """Likelihoods of the times of upstreams for each candidate of the service's common location."""

    def __init__(self, fit: StableTimes):
        self._fit = fit
        centre = round(fit.centre)
        self._centres = [centre + CENTRE_STEP * step for step in range(-CENTRES, CENTRES + 1)]
        self._tables: dict[tuple[str, SlowFault, bool], list[float]] = {}

    def sum_upstreams(self, windows: UpstreamWindows, fault: SlowFault) -> list[float]:
        """Return the log likelihood of all upstreams' times by the candidates."""
        sums = [0.0] * len(self._centres)
        for upstream in windows.upstreams.values():
            sums = add_pairwise(sums, self._measure(upstream, fault))
        return sums

    def _measure(self, windows: dict[int, dict[str, AnswerCounts]], fault: SlowFault) -> list[float]:
        """Return the log likelihood of one upstream's times by the candidates.

        Goes from the last window to the first (the backward algorithm of hidden Markov models).
        """
        later: _ScaledVector | None = None
        for number in sorted(windows, reverse=True):
            logs = self._measure_window(windows[number], self._fit.effect(number), fault)
            if logs is None:
                continue
            if later is not None:
                logs = add_pairwise(logs, later.with_jumps())
            later = _ScaledVector(logs)
        if later is None:
            return [0.0] * len(self._centres)
        return [later.log_product(_prior_around(centre)) for centre in self._centres]

    def _measure_window(self, routes: dict[str, AnswerCounts], effect: int, fault: SlowFault) -> list[float] | None:
        """Return the log likelihood of the times of one window by location; None without any."""
        sums: list[float] | None = None
        for route, counts in routes.items():
            times = self._fit.routes.get(route)
            if times is None:
                continue
            for bucket, count in enumerate(counts.times):
                if not count:
                    continue
                is_bound = bucket == FIRST_BUCKET and not self._fit.is_short
                table = self._find_table(route, times, fault, is_bound)
                first = 2 * bucket + 1 - effect + MAX_DIFFERENCE
                column = table[first : first - LOCATIONS : -1]
                if sums is None:
                    sums = [0.0] * LOCATIONS
                sums = [total + count * value for total, value in zip(sums, column, strict=True)]
        return sums

    def _find_table(self, route: str, times: RouteTimes, fault: SlowFault, is_bound: bool) -> list[float]:
        """Return the log probabilities of a bucket by the difference of its time from the location.

        With `is_bound`, those of all buckets up to it: the answer took no longer.
        """
        key = (route, fault, is_bound)
        table = self._tables.get(key)
        if table is None:
            table = self._tables[key] = _make_table(times, fault, is_bound)
        return table


class _ScaledVector:
    """Likelihoods by location, with the logarithm of their common factor."""

    __slots__ = ("_log_scale", "_values")

    def __init__(self, logs: list[float]):
        self._log_scale = max(logs)
        self._values = [exp(value - self._log_scale) for value in logs]

    def with_jumps(self) -> list[float]:
        """Return the log likelihoods by the location one window earlier."""
        anywhere = JUMP_SHARE * sum(self._values) / LOCATIONS
        return [self._log_scale + log((1 - JUMP_SHARE) * value + anywhere) for value in self._values]

    def log_product(self, prior: list[float]) -> float:
        """Return the log likelihood with locations drawn from a distribution."""
        product = sum(share * value for share, value in zip(prior, self._values, strict=True))
        return self._log_scale + log(max(product, MIN_LIKELIHOOD))


def _make_table(times: RouteTimes, fault: SlowFault, is_bound: bool) -> list[float]:
    cumulative = NormalDist(times.offset, times.spread).cdf
    differences = range(-MAX_DIFFERENCE, MAX_DIFFERENCE + 1)
    if is_bound:
        usual = [cumulative(d + 1) for d in differences]
        tail = TAIL_SHARE * (FIRST_BUCKET + 1) / BUCKETS
    else:
        usual = [cumulative(d + 1) - cumulative(d - 1) for d in differences]
        tail = TAIL_SHARE / BUCKETS
    plain = [(1 - TAIL_SHARE) * probability + tail for probability in usual]
    slow = [plain[0]] * fault.shift + plain[: len(plain) - fault.shift]
    return [log((1 - fault.share) * a + fault.share * b) for a, b in zip(plain, slow, strict=True)]


def _make_prior() -> list[float]:
    """Return the density of an upstream's location minus the common one, for `-LOCATIONS` to `LOCATIONS`."""
    density = NormalDist(0, 2 * log(UPSTREAM_FACTOR) / log(BUCKET_RATIO)).pdf
    slow = OUTLIER_SHARE * SLOW_OUTLIER_SHARE / OUTLIER_REACH
    fast = OUTLIER_SHARE * (1 - SLOW_OUTLIER_SHARE) / OUTLIER_REACH
    prior = []
    for difference in range(-LOCATIONS, LOCATIONS + 1):
        usual = (1 - OUTLIER_SHARE) * density(difference)
        outlying = 0.0
        if difference and abs(difference) <= OUTLIER_REACH:
            outlying = slow if difference > 0 else fast
        prior.append(usual + outlying)
    return prior


_PRIOR = _make_prior()


def _prior_around(centre: int) -> list[float]:
    first = LOCATIONS - centre
    return _PRIOR[first : first + LOCATIONS]
