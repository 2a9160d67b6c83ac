# SPDX-License-Identifier: BSD-3-Clause
"""Control charts of a canary's failures: cumulative sums that detect a version that turns bad at any moment.

Notes
-----
Cumulative sums (CUSUM) of log-likelihood ratios are reset whenever they fall to 0, so that a version that turns
bad late is detected as quickly as one that is bad from its start.

References
----------
Page, E. S., "Continuous Inspection Schemes", Biometrika 41, 1954.
"""

from math import log, sqrt

__all__ = ["FailureBaseline", "FailureChart"]

# Log-likelihood ratio from which a version counts as bad: by chance a good version reaches it in one of a
# thousand cases.
FAILURE_ALARM = log(1000)
# Fraction of it that upstreams other than the worst one have to contribute, because one bad upstream does not make
# a bad version.
OTHER_UPSTREAMS_FRACTION = 0.3
# Share of failures above the stable version's that is still accepted, and the fraction of all other answers by
# which a bad version exceeds the accepted share.
TOLERANCE = 0.02
EXCESS = 0.15
# Time constant, in seconds, in which the stable version's counts decay to 1/e, and the number of answers of a route
# below which they don't decay: a comparison needs answers more than it needs new ones.
BASELINE_MEMORY = 1.0
KEPT_ANSWERS = 40.0
# Age, in seconds, of the stable version's last answer above which its counts don't show the effect of the current
# load and are no baseline; `EXCESS` is then replaced by the fraction below.
BASELINE_MAX_AGE = 1.0
EXCESS_WITHOUT_BASELINE = 0.35
# Answers of the stable version that are assumed in addition to the counted ones, and their share of failures.
PRIOR = 10.0
PRIOR_SHARE = 0.02


class FailureBaseline:
    """Decaying counts of the stable version's answers on one route."""

    __slots__ = ("_added_at", "_answered", "_failed")

    def __init__(self):
        self._added_at = 0.0
        self._answered = 0.0
        self._failed = 0.0

    def decay(self, elapsed: float, now: float) -> None:
        """Let the counts decay before new ones are added."""
        factor = max(0.0, 1 - elapsed / BASELINE_MEMORY)
        if self._answered:
            factor = max(factor, min(1.0, KEPT_ANSWERS / self._answered))
        self._answered *= factor
        self._failed *= factor
        self._added_at = now

    def add(self, answered: int, failed: int) -> None:
        """Add new counts."""
        self._answered += answered
        self._failed += failed

    def allowed(self) -> float:
        """Return the accepted share of failures."""
        total = self._answered + PRIOR
        share = (self._failed + PRIOR * PRIOR_SHARE) / total
        return min(0.9, share + TOLERANCE + sqrt(share * (1 - share) / total))

    def excess(self, now: float) -> float:
        """Return the fraction of other answers by which a bad version exceeds the accepted share."""
        return EXCESS if now - self._added_at <= BASELINE_MAX_AGE else EXCESS_WITHOUT_BASELINE


def _log_likelihood_ratio(good: int, bad: int, allowed: float, excess: float) -> float:
    """Return the evidence of a bad version in numbers of answers; positive if it speaks against the version."""
    bad_share = allowed + (1 - allowed) * excess
    return bad * log(bad_share / allowed) + good * log((1 - bad_share) / (1 - allowed))


class FailureChart:
    """A cumulative sum over the answers of all canary upstreams on one route, and each upstream's contribution.

    Attributes
    ----------
    seen, failed : int
        Answers since the sum was last 0, and the failures among them.
    """

    __slots__ = ("_contributions", "failed", "seen")

    def __init__(self):
        self._contributions: dict[str, float] = {}
        self.seen = 0
        self.failed = 0

    def add(self, upstream: str, good: int, failed: int, baseline: FailureBaseline, now: float) -> None:
        """Add an upstream's answers."""
        gain = _log_likelihood_ratio(good, failed, baseline.allowed(), baseline.excess(now))
        self._contributions[upstream] = self._contributions.get(upstream, 0.0) + gain
        self.seen += good + failed
        self.failed += failed
        if sum(self._contributions.values()) <= 0:
            self._contributions = {}
            self.seen = self.failed = 0

    def is_alarming(self, has_one_upstream: bool) -> bool:
        """Return whether the version fails too often; `has_one_upstream` if only one was ever used."""
        total = sum(self._contributions.values())
        if total < FAILURE_ALARM:
            return False
        others = total - max(self._contributions.values())
        return has_one_upstream or others >= OTHER_UPSTREAMS_FRACTION * FAILURE_ALARM
