# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the search for a source."""

from itertools import pairwise
from random import Random

import pytest

from lanedock.settings import Address
from lanedock_daemon.agent.search import BACKOFF_MAX, URGENT_BACKOFF_MAX, SourceSearch

CONTROL = [Address("10.0.0.1", 7000), Address("10.0.1.1", 7000), Address("10.0.2.1", 7000)]
RELAY = Address("10.0.0.9", 7001)


@pytest.fixture
def search():
    return SourceSearch(CONTROL, Random(1))


def test_control_instances_are_tried_in_turn_starting_with_the_own_zone(search):
    seen = []
    for _ in range(4):
        seen.append(search.address())
        search.note_failure(0.0)
    assert seen == [*CONTROL, CONTROL[0]]


def test_waits_grow_up_to_the_maximum_with_full_jitter():
    waits = [[] for _ in range(8)]
    for seed in range(300):
        one = SourceSearch(CONTROL, Random(seed))
        for number in range(8):
            waits[number].append(one.note_failure(0.0))
    longest = [max(each) for each in waits]
    # The first three waits are below the maximum, the others reach it.
    assert longest[:4] == sorted(longest[:4])
    assert all(0.9 * BACKOFF_MAX < top <= BACKOFF_MAX for top in longest[3:])
    # Full jitter: some waits are almost zero, whatever the backoff.
    assert all(min(each) < 0.1 * top for each, top in zip(waits, longest, strict=True))


def test_a_daemon_that_cannot_serve_waits_for_a_shorter_time():
    waits = []
    for seed in range(300):
        one = SourceSearch(CONTROL, Random(seed))
        waits += [one.note_failure(0.0, is_urgent=True) for _ in range(8)]
    assert 0.9 * URGENT_BACKOFF_MAX < max(waits) <= URGENT_BACKOFF_MAX
    assert min(waits) < 0.1 * URGENT_BACKOFF_MAX


def test_a_failed_relay_is_abandoned_and_reported_as_failed(search):
    assert search.note_redirect("r1", RELAY) == 0.0
    assert (search.address(), search.relay_name()) == (RELAY, "r1")
    search.note_failure(10.0)
    assert search.address() == CONTROL[0]
    assert search.failed_relays(11.0) == ["r1"]
    assert search.failed_relays(100.0) == []


def test_the_retry_time_of_a_refusal_is_kept_with_a_little_jitter(search):
    waits = {search.wait_after_refusal(2.0) for _ in range(20)}
    assert all(2.0 <= wait <= 2.2 for wait in waits)
    assert len(waits) > 10


def test_probes_of_the_own_zone_become_rarer_until_the_daemon_returns(search):
    search.note_failure(0.0)
    search.note_success(0.0)
    assert not search.is_preferred()
    asked = [now for now in range(2000) if search.is_failback_due(float(now))]
    assert asked[0] <= 4
    gaps = [after - before for before, after in pairwise(asked)]
    assert gaps[-1] > 10 * gaps[0] - 1
    search.move_to(search.failback_target(), 2000.0)
    search.note_success(2001.0)
    assert search.is_preferred()
    assert not search.is_failback_due(1e9)


def test_other_control_instances_are_probed_before_the_present_source(search):
    assert search.probe_order(CONTROL[0]) == [*CONTROL[1:], CONTROL[0]]
    assert search.probe_order(CONTROL[1]) == [CONTROL[2], CONTROL[0], CONTROL[1]]


def test_all_control_instances_are_probed_if_the_present_source_is_not_one_of_them(search):
    assert search.probe_order(RELAY) == CONTROL
    search.set_seeds(CONTROL[1:])
    assert search.probe_order(CONTROL[0]) == CONTROL[1:]


def test_a_relay_abandoned_for_a_fresher_source_is_reported_as_failed(search):
    search.note_redirect("r1", RELAY)
    search.move_to(CONTROL[1], 10.0)
    assert (search.address(), search.relay_name()) == (CONTROL[1], "")
    assert search.failed_relays(11.0) == ["r1"]
