# SPDX-License-Identifier: BSD-3-Clause
"""Tests of quotas and their token bucket."""

import math

import pytest

from lanedock.quota import Quota, TokenBucket


@pytest.mark.parametrize(
    ("quota", "part", "capacity"),
    [
        (Quota(100, 100), 1.0, 100),
        (Quota(100, 100), 0.25, 25),
        (Quota(100, 0), 1.0, 6),  # a small burst doesn't keep the rate from being used
        (Quota(2, 2), 0.1, 1),  # a small part can still grant
    ],
)
def test_capacity(quota, part, capacity):
    assert quota.capacity(part) == pytest.approx(capacity)


def test_quotas_are_equal_by_value():
    assert Quota(1, 2) == Quota(1.0, 2.0) != Quota(2, 2)


def test_bucket_begins_empty_and_fills_to_its_capacity():
    bucket = TokenBucket(10.0, 5.0, now=1.0)
    assert [bucket.available(now) for now in (1.0, 1.05, 1.1, 1.5, 9.0)] == [0, 0, 1, 5, 5]


def test_many_small_refills_add_up_to_a_whole_token():
    bucket = TokenBucket(10.0, 5.0, now=0.0)
    for step in range(1, 1000):
        bucket.available(step * 0.0001)
    assert bucket.available(0.1) == 1


def test_wait_is_the_time_until_a_whole_token():
    bucket = TokenBucket(10.0, 5.0, now=0.0)
    assert bucket.wait(0.02) == pytest.approx(0.08)
    assert bucket.wait(0.1) == 0
    assert TokenBucket(0.0, 5.0, now=0.0).wait(1.0) == math.inf


def test_tokens_put_back_do_not_exceed_the_capacity():
    bucket = TokenBucket(10.0, 5.0, now=0.0)
    bucket.available(0.5)
    bucket.take(2)
    bucket.put_back(4, 0.5)
    assert bucket.available(0.5) == 5


@pytest.mark.parametrize(("before", "after"), [(10.0, 100.0), (100.0, 10.0)])
def test_time_before_a_change_counts_at_the_lower_rate(before, after):
    bucket = TokenBucket(before, 1000.0, now=0.0)
    bucket.configure(after, 1000.0, 1.0)
    assert bucket.available(1.0) == 10


def test_lower_capacity_takes_effect_at_once():
    bucket = TokenBucket(10.0, 100.0, now=0.0)
    bucket.available(10.0)
    bucket.configure(10.0, 20.0, 10.0)
    assert bucket.available(10.0) == 20


def test_clock_that_goes_back_adds_no_tokens():
    bucket = TokenBucket(10.0, 100.0, now=5.0)
    assert [bucket.available(now) for now in (6.0, 5.0, 6.0)] == [10, 10, 10]
