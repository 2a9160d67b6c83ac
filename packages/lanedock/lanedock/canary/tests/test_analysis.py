# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the analysis that compares a canary with the stable version."""

import random

import pytest

from lanedock.canary import CusumAnalysis
from lanedock.canary.counts import time_bucket
from lanedock.canary.evidence import Increment

EVALUATION_INTERVAL = 0.1


class _Stream:
    """Simulated answers of both versions with given rates and outcomes."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.analysis = CusumAnalysis()
        self.now = 0.0

    def play(self, seconds: float, failing: dict[str, float], stable=0.004, slow=1.0, rate=3) -> str:
        """Simulate answers until there is a finding; `failing` is the share of failures by canary upstream."""
        until = self.now + seconds
        while self.now < until:
            self.now += EVALUATION_INTERVAL
            increments = [self._make("", 40, stable, 1.0)]
            increments += [self._make(name, rate, share, slow) for name, share in failing.items()]
            self.analysis.note(increments, self.now)
            if self.analysis.finding():
                return self.analysis.finding()
        return ""

    def make_stable(self, source: str, rate: float, slow: float) -> Increment:
        """Make the increment of one stable upstream; `rate` is in requests per evaluation."""
        increment = self.make_at("", rate, slow)
        increment.source = source
        return increment

    def make_at(self, upstream: str, rate: float, slow: float) -> Increment:
        """Make the increment of an upstream; `rate` is in requests per evaluation and may be fractional."""
        count = int(rate) + (self.rng.random() < rate % 1)
        return self._make(upstream, count, 0.004, slow)

    def _make(self, upstream: str, count: int, failing: float, slow: float) -> Increment:
        increment = Increment("read", upstream)
        increment.answered = increment.sent = count
        for _ in range(count):
            if self.rng.random() < failing:
                increment.failed += 1
            else:
                increment.times[time_bucket(slow * 0.15 * self.rng.lognormvariate(0, 0.6))] += 1
        return increment


@pytest.mark.parametrize("seed", range(5))
def test_a_good_version_has_no_finding(seed):
    assert _Stream(seed).play(60, {"a": 0.004, "b": 0.004, "c": 0.004}) == ""


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("share", [0.1, 0.2, 0.35, 0.5])
def test_a_failing_version_is_detected(seed, share):
    assert "failed" in _Stream(seed).play(20, dict.fromkeys("abc", share))


@pytest.mark.parametrize("seed", range(5))
def test_a_version_that_turns_bad_late_is_detected_within_two_seconds(seed):
    stream = _Stream(seed)
    assert stream.play(60, dict.fromkeys("abc", 0.004)) == ""
    begun = stream.now
    assert stream.play(20, dict.fromkeys("abc", 0.35))
    assert stream.now - begun < 2


@pytest.mark.parametrize("seed", range(5))
def test_a_slow_version_is_detected(seed):
    assert "slow" in _Stream(seed).play(20, dict.fromkeys("abc", 0.004), slow=4.0)


@pytest.mark.parametrize("seed", range(5))
def test_one_bad_upstream_does_not_make_a_bad_version(seed):
    assert _Stream(seed).play(20, {"a": 0.5, "b": 0.004, "c": 0.004}) == ""


@pytest.mark.parametrize("seed", range(5))
def test_a_canary_with_a_single_bad_upstream_is_detected(seed):
    assert _Stream(seed).play(20, {"a": 0.4}, rate=6)


@pytest.mark.parametrize("seed", range(5))
def test_equal_failures_of_both_versions_give_no_finding(seed):
    assert _Stream(seed).play(30, dict.fromkeys("abc", 0.2), stable=0.2) == ""


@pytest.mark.parametrize("seed", range(5))
def test_a_version_that_fails_more_often_is_detected_while_both_fail(seed):
    assert _Stream(seed).play(20, dict.fromkeys("abc", 0.5), stable=0.2)


def _play_beside_a_slow_stable_upstream(seed: int, slow: float) -> str:
    """Simulate a canary with 6 requests/s beside ten stable upstreams with 50, one of them three times slower."""
    stream = _Stream(seed)
    while stream.now < 20 and not stream.analysis.finding():
        stream.now += EVALUATION_INTERVAL
        increments = [stream.make_stable(f"s{number}", 0.5, 1.0 if number else 3.0) for number in range(10)]
        increments += [stream.make_at(name, 0.3, slow) for name in "ab"]
        stream.analysis.note(increments, stream.now)
    return stream.analysis.finding()


@pytest.mark.parametrize("seed", range(8))
def test_a_slow_version_is_detected_beside_a_slow_stable_upstream(seed):
    assert "slow" in _play_beside_a_slow_stable_upstream(seed, 3.0)


@pytest.mark.parametrize("seed", range(8))
def test_a_good_version_has_no_finding_beside_a_slow_stable_upstream(seed):
    assert _play_beside_a_slow_stable_upstream(seed, 1.0) == ""


@pytest.mark.parametrize("seed", range(5))
def test_finding_on_a_slow_version_names_the_only_route(seed):
    finding = _Stream(seed).play(20, {"a": 0.004, "b": 0.004, "c": 0.004}, slow=8.0, rate=1)
    assert finding.endswith("answers of read were slow")
