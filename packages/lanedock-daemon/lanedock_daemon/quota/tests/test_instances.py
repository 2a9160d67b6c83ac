# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the choice of the control instance that is asked for credits."""

import pytest

from lanedock.settings import Address
from lanedock_daemon.quota.instances import AVOIDANCE_MAX, AVOIDANCE_MIN, InstanceChoice

OWN, NEAR, FAR = (Address("10.0.0.1", port) for port in (1, 2, 3))
KNOWN = [OWN, NEAR, FAR]


def _order(choice: InstanceChoice, now: float) -> list[Address]:
    """Return all instances in the order in which they are asked while each fails to answer."""
    asked, order = set(), []
    while (address := choice.choose(KNOWN, asked, now)) is not None:
        order.append(address)
        asked.add(address)
    return order


def test_the_leader_is_asked_first_then_the_own_zone_then_the_others():
    choice = InstanceChoice()
    assert _order(choice, 0.0) == [OWN, NEAR, FAR]
    choice.note_reply(OWN, FAR)
    assert _order(choice, 0.0) == [FAR, OWN, NEAR]
    choice.note_reply(FAR, None)
    assert _order(choice, 0.0) == [OWN, NEAR, FAR]


def test_a_leader_that_is_not_among_the_known_instances_is_asked():
    choice = InstanceChoice()
    leader = Address("10.0.0.9", 9)
    choice.note_reply(OWN, leader)
    assert _order(choice, 0.0) == [leader, OWN, NEAR, FAR]


def test_an_instance_that_failed_is_asked_last_and_no_longer_taken_for_the_leader():
    choice = InstanceChoice()
    choice.note_reply(OWN, OWN)
    choice.note_failure(OWN, 10.0)
    assert choice.leader is None
    assert _order(choice, 10.0) == [NEAR, FAR, OWN]
    assert _order(choice, 10.0 + AVOIDANCE_MIN) == [OWN, NEAR, FAR]


def test_a_follower_that_still_names_a_silent_leader_does_not_make_it_the_first():
    """Otherwise each request waits for the silent leader, until the follower notices the silence, too."""
    choice = InstanceChoice()
    choice.note_reply(OWN, FAR)
    choice.note_failure(FAR, 0.0)
    choice.note_reply(OWN, FAR)
    assert _order(choice, 0.5) == [OWN, NEAR, FAR]


@pytest.mark.parametrize("failures", [1, 2, 3, 10, 2000])
def test_an_instance_is_avoided_for_longer_with_each_failure_up_to_a_limit(failures):
    choice = InstanceChoice()
    for _ in range(failures):
        choice.note_failure(OWN, 0.0)
    expected = min(AVOIDANCE_MAX, AVOIDANCE_MIN * 2.0 ** min(failures - 1, 10))
    assert choice.choose(KNOWN, set(), expected - 0.01) is NEAR
    assert choice.choose(KNOWN, set(), expected) is OWN
    choice.note_reply(OWN, None)
    choice.note_failure(OWN, 100.0)
    assert choice.choose(KNOWN, set(), 100.0 + AVOIDANCE_MIN) is OWN


def test_if_all_instances_failed_the_leader_is_tried_before_the_others():
    choice = InstanceChoice()
    for address in KNOWN:
        choice.note_failure(address, 0.0)
    assert _order(choice, 0.0) == KNOWN


def test_failures_of_instances_that_are_gone_are_removed():
    choice = InstanceChoice()
    choice.note_failure(FAR, 0.0)
    choice.keep([OWN, NEAR])
    assert choice.choose(KNOWN, {OWN, NEAR}, 0.0) is FAR
    assert "failed=0" in repr(choice)
