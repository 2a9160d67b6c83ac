# SPDX-License-Identifier: BSD-3-Clause
"""The judgement of a canary by what daemons have seen."""

import random

import pytest

from lanedock.canary import CusumAnalysis
from lanedock.canary.counts import time_bucket
from lanedock.canary.evidence import Increment

LOOK = 0.1


class _Stream:
    """Requests of both versions, at rates and with outcomes that are given."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.analysis = CusumAnalysis()
        self.now = 0.0

    def play(self, seconds: float, failing: dict[str, float], stable=0.004, slow=1.0, rate=3) -> str:
        """Play until something is found; `failing` is by canary upstream."""
        until = self.now + seconds
        while self.now < until:
            self.now += LOOK
            increments = [self._make("", 40, stable, 1.0)]
            increments += [self._make(name, rate, share, slow) for name, share in failing.items()]
            self.analysis.note(increments, self.now)
            if self.analysis.finding():
                return self.analysis.finding()
        return ""

    def make_stable(self, source: str, rate: float, slow: float) -> Increment:
        """Make what is new of one stable upstream, at a rate for each look."""
        increment = self.make_at("", rate, slow)
        increment.source = source
        return increment

    def make_at(self, upstream: str, rate: float, slow: float) -> Increment:
        """Make what is new of an upstream at a rate for each look, which needs not be whole."""
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
def test_a_good_version_is_left_alone(seed):
    assert _Stream(seed).play(60, {"a": 0.004, "b": 0.004, "c": 0.004}) == ""


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("share", [0.1, 0.2, 0.35, 0.5])
def test_a_version_that_fails_is_found(seed, share):
    assert "failed" in _Stream(seed).play(20, dict.fromkeys("abc", share))


@pytest.mark.parametrize("seed", range(5))
def test_a_version_that_turns_bad_late_is_found_as_quickly(seed):
    stream = _Stream(seed)
    assert stream.play(60, dict.fromkeys("abc", 0.004)) == ""
    begun = stream.now
    assert stream.play(20, dict.fromkeys("abc", 0.35))
    assert stream.now - begun < 2


@pytest.mark.parametrize("seed", range(5))
def test_a_slow_version_is_found(seed):
    assert "slow" in _Stream(seed).play(20, dict.fromkeys("abc", 0.004), slow=4.0)


@pytest.mark.parametrize("seed", range(5))
def test_one_bad_upstream_is_no_bad_version(seed):
    assert _Stream(seed).play(20, {"a": 0.5, "b": 0.004, "c": 0.004}) == ""


@pytest.mark.parametrize("seed", range(5))
def test_a_canary_with_one_upstream_is_judged_by_it(seed):
    assert _Stream(seed).play(20, {"a": 0.4}, rate=6)


@pytest.mark.parametrize("seed", range(5))
def test_failures_that_hit_both_versions_say_nothing(seed):
    assert _Stream(seed).play(30, dict.fromkeys("abc", 0.2), stable=0.2) == ""


@pytest.mark.parametrize("seed", range(5))
def test_a_bad_version_is_found_while_both_fail(seed):
    assert _Stream(seed).play(20, dict.fromkeys("abc", 0.5), stable=0.2)


def _play_beside_a_slow_stable_upstream(seed: int, slow: float) -> str:
    """Play a canary at 6 requests a second beside 50 to ten stable upstreams, of which one is three times slower."""
    stream = _Stream(seed)
    while stream.now < 20 and not stream.analysis.finding():
        stream.now += LOOK
        increments = [stream.make_stable(f"s{number}", 0.5, 1.0 if number else 3.0) for number in range(10)]
        increments += [stream.make_at(name, 0.3, slow) for name in "ab"]
        stream.analysis.note(increments, stream.now)
    return stream.analysis.finding()


@pytest.mark.parametrize("seed", range(8))
def test_a_slow_version_is_found_beside_a_slow_stable_upstream(seed):
    assert "slow" in _play_beside_a_slow_stable_upstream(seed, 3.0)


@pytest.mark.parametrize("seed", range(8))
def test_a_good_version_is_left_alone_beside_a_slow_stable_upstream(seed):
    assert _play_beside_a_slow_stable_upstream(seed, 1.0) == ""
