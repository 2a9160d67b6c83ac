# SPDX-License-Identifier: BSD-3-Clause
"""Tests of distinguishing calls of other services from requests that callers send directly."""

from random import Random

import pytest

from lanedock.limits import CallKinds


def test_a_kind_that_only_other_services_send_is_a_call():
    calls = CallKinds()
    noted = [calls.note("check", False) for _ in range(100)]
    # A kind counts as a call only after a number of requests.
    assert not any(noted[:50])
    assert noted[-1]


@pytest.mark.parametrize("share", [0.1, 0.3])
def test_a_kind_that_callers_send_from_beside_all_services_is_no_call(share):
    wrong = 0
    for seed in range(200):
        calls, rng = CallKinds(), Random(seed)
        wrong += any(calls.note("read", rng.random() < share) for _ in range(65))
    assert wrong <= 2


def test_a_kind_is_no_longer_a_call_after_a_request_from_beside_the_own_service():
    calls = CallKinds()
    for _ in range(100):
        calls.note("check", False)
    assert not calls.note("check", True)
    assert not any(calls.note("check", False) for _ in range(100))


def test_kinds_are_counted_separately():
    calls = CallKinds()
    for _ in range(100):
        calls.note("check", False)
        calls.note("read", True)
    assert calls.note("check", False)
    assert not calls.note("read", False)
