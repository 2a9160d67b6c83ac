# SPDX-License-Identifier: BSD-3-Clause
"""Comparison of failures by upstream: does the version fail, or do some of its upstreams?

Notes
-----
The failure rates of a service's upstreams are drawn from one distribution over a grid of rates, which is estimated
from the stable upstreams by expectation maximization. A version without a fault draws its upstreams' rates from it,
too; a fault adds failures on each of its upstreams, on all routes or on one, from the start or from a later window on.

References
----------
Dempster, A. P., Laird, N. M. and Rubin, D. B., "Maximum Likelihood from Incomplete Data via the EM Algorithm", 1977.
"""

from collections.abc import Callable
from math import exp, log, sqrt

from lanedock.canary.comparison import Comparison, FaultGroup, add_pairwise, log_mean_exp
from lanedock.canary.windows import AnswerCounts, UpstreamWindows

__all__ = ["FailureComparison"]

# Failure rates of upstreams, and the share of upstreams that is expected to have each before any were seen.
RATES = (0.001, 0.004, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.65, 0.9)
EXPECTED_SHARES = (0.3, 0.3, 0.2, 0.06, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02, 0.02)
# Number of upstreams that this expectation counts for.
EXPECTATION_WEIGHT = 4.0
# Passes of the estimation of the distribution.
ESTIMATION_PASSES = 8
# Shares of its answers that a faulty version fails; faults that begin late or concern one route are larger.
FAULTS = (0.1, 0.2, 0.35, 0.5, 0.9)
PARTIAL_FAULTS = FAULTS[1:]
# Number of windows, the latest ones, in which a late fault may have begun.
ONSETS = 3
# Answers of the canary on a route from which a fault of that route alone is considered.
MIN_ROUTE_ANSWERS = 8

# Faults of few answers are suspected by chance more often, so more evidence for them has to be accepted.
FAILING = FaultGroup("failing", limit=-0.5)
FAILING_LATELY = FaultGroup("failing_lately", limit=2.0, alarm=log(1000))
FAILING_ON_ROUTE = FaultGroup("failing_on_route", limit=2.0, alarm=log(1000))


class FailureComparison(Comparison):
    """Bayes factors of faults that make answers fail."""

    GROUPS = (FAILING, FAILING_LATELY, FAILING_ON_ROUTE)

    def update(self, stable: UpstreamWindows, canary: UpstreamWindows) -> None:
        """Compute the ratios from all answers so far."""
        if not canary.upstreams:
            return
        likelihoods = _Likelihoods(_estimate_excess(stable))
        log_shares = [log(share) for share in _estimate_shares(stable, likelihoods)]
        upstreams = [_Upstream(windows, log_shares, likelihoods) for windows in canary.upstreams.values()]

        def compare(affects: Callable[[int, str], bool], faults: tuple[float, ...]) -> float:
            affected = [(upstream, upstream.select(affects)) for upstream in upstreams]
            return log_mean_exp(
                [sum(upstream.log_ratio(counts, fault) for upstream, counts in affected if counts) for fault in faults]
            )

        self.ratios[FAILING] = compare(lambda window, route: True, FAULTS)
        last = max(max(windows) for windows in canary.upstreams.values())
        onsets = range(max(1, last - ONSETS + 1), last + 1)
        late = [compare(lambda window, _, onset=onset: window >= onset, PARTIAL_FAULTS) for onset in onsets]
        self.ratios[FAILING_LATELY] = max(late, default=0.0)
        routes = _find_routes(canary)
        by_route = [compare(lambda _, route, only=only: route == only, PARTIAL_FAULTS) for only in routes]
        self.ratios[FAILING_ON_ROUTE] = max(by_route, default=0.0)


class _Likelihoods:
    """Log likelihoods of answers by the upstream's failure rate.

    Parameters
    ----------
    excess : dict of str to float
        Share of answers that fail on each route, whatever the upstream.
    """

    def __init__(self, excess: dict[str, float]):
        self._excess = excess
        # Logarithms of the shares of good and of failed answers, by route and fault, for each rate.
        self._logs: dict[tuple[str, float], list[tuple[float, float]]] = {}

    def measure(self, route: str, good: int, failed: int, fault: float) -> list[float]:
        """Return the log likelihoods of a route's answers under a fault."""
        logs = self._logs.get((route, fault))
        if logs is None:
            added = _combine(self._excess.get(route, 0.0), fault)
            rates = [_combine(rate, added) for rate in RATES]
            logs = self._logs[route, fault] = [(log(1 - rate), log(rate)) for rate in rates]
        return [good * log_good + failed * log_failed for log_good, log_failed in logs]

    def measure_all(self, windows: dict[int, dict[str, AnswerCounts]]) -> list[float]:
        """Return the log likelihoods of all answers of an upstream without a fault."""
        sums = [0.0] * len(RATES)
        for route, (good, failed) in _sum_counts(windows, lambda window, route: True).items():
            sums = add_pairwise(sums, self.measure(route, good, failed, 0.0))
        return sums


class _Upstream:
    """One canary upstream's answers and their likelihoods."""

    __slots__ = ("_likelihoods", "_logs", "_none", "_windows")

    def __init__(self, windows: dict[int, dict[str, AnswerCounts]], log_shares: list[float], likelihoods: _Likelihoods):
        self._windows = windows
        self._likelihoods = likelihoods
        self._logs = add_pairwise(log_shares, likelihoods.measure_all(windows))
        self._none = log_mean_exp(self._logs)

    def select(self, affects: Callable[[int, str], bool]) -> dict[str, tuple[int, int]]:
        """Return the numbers of good and failed answers by route, of those that a fault affects."""
        return _sum_counts(self._windows, affects)

    def log_ratio(self, affected: dict[str, tuple[int, int]], fault: float) -> float:
        """Return the log likelihood ratio of a fault of some of the answers."""
        logs = self._logs
        for route, (good, failed) in affected.items():
            with_fault = self._likelihoods.measure(route, good, failed, fault)
            without = self._likelihoods.measure(route, good, failed, 0.0)
            logs = [total + added - removed for total, added, removed in zip(logs, with_fault, without, strict=True)]
        return log_mean_exp(logs) - self._none


def _estimate_shares(stable: UpstreamWindows, likelihoods: _Likelihoods) -> list[float]:
    """Return the share of upstreams with each of the rates."""
    by_upstream = []
    for windows in stable.upstreams.values():
        logs = likelihoods.measure_all(windows)
        largest = max(logs)
        by_upstream.append([exp(value - largest) for value in logs])
    shares = list(EXPECTED_SHARES)
    for _ in range(ESTIMATION_PASSES):
        sums = [EXPECTATION_WEIGHT * share for share in EXPECTED_SHARES]
        for values in by_upstream:
            joint = [share * value for share, value in zip(shares, values, strict=True)]
            total = sum(joint)
            sums = [former + value / total for former, value in zip(sums, joint, strict=True)]
        shares = [value / sum(sums) for value in sums]
    return shares


def _sum_counts(
    windows: dict[int, dict[str, AnswerCounts]], affects: Callable[[int, str], bool]
) -> dict[str, tuple[int, int]]:
    """Return the numbers of good and failed answers by route, of the windows and routes that are affected."""
    sums: dict[str, tuple[int, int]] = {}
    for number, routes in windows.items():
        for route, counts in routes.items():
            if counts.answered and affects(number, route):
                good, failed = sums.get(route, (0, 0))
                sums[route] = good + counts.answered - counts.failed, failed + counts.failed
    return sums


def _combine(rate: float, other: float) -> float:
    """Return the share of answers that fail for either of two independent reasons."""
    return 1 - (1 - rate) * (1 - other)


def _find_routes(canary: UpstreamWindows) -> list[str]:
    """Return the routes for which a fault of their own is considered."""
    sums = canary.sum_all()
    if len(sums) == 1:
        return []
    return [route for route, counts in sums.items() if counts.answered >= MIN_ROUTE_ANSWERS]


def _estimate_excess(stable: UpstreamWindows) -> dict[str, float]:
    """Return by how much more of the stable version's answers fail on each route than on the best, beyond chance."""
    shares: dict[str, tuple[float, float]] = {}
    for route, counts in stable.sum_all().items():
        if counts.answered:
            share = (counts.failed + 0.5) / (counts.answered + 1)
            shares[route] = share, sqrt(share * (1 - share) / counts.answered)
    lowest = min((share + error for share, error in shares.values()), default=0.0)
    return {route: max(0.0, share - error - lowest) for route, (share, error) in shares.items()}
