# SPDX-License-Identifier: BSD-3-Clause
"""Tests of when a fresher source is looked for, and of whom is asked."""

import itertools
from random import Random

import pytest

from lanedock.settings import Address
from lanedock_daemon.agent.scouting import ROUND_WAIT_MAX, ProbeSchedule, SourceFreshness

OTHERS = [Address("10.0.1.1", 7000), Address("10.0.2.1", 7000)]


def test_what_a_source_reported_ages_while_it_says_nothing():
    freshness = SourceFreshness(1.0, 10.0)
    freshness.note(0.2, 11.0)
    assert freshness.age(11.0) == pytest.approx(0.2)
    assert not freshness.is_exceeded(11.7)
    assert freshness.is_exceeded(11.9)


def test_a_source_that_has_a_leader_again_is_fresh_at_once():
    freshness = SourceFreshness(1.0, 10.0)
    freshness.note(16.0, 30.0)
    assert freshness.is_exceeded(30.0)
    freshness.note(0.1, 30.1)
    assert not freshness.is_exceeded(30.5)


def _rounds(seed: int) -> list[tuple[float, Address]]:
    """Ask for a minute, and return whom, and when."""
    rounds = ProbeSchedule(Random(seed))
    asked = []
    for step in range(600):
        address = rounds.choose(OTHERS, step / 10)
        if address is not None:
            asked.append((step / 10, address))
    return asked


def test_all_others_are_asked_in_turn_and_the_rounds_grow_apart():
    asked = _rounds(1)
    assert [address for _, address in asked[:6]] == OTHERS * 3
    starts = [when for when, _ in asked[::2]]
    waits = [after - before for before, after in itertools.pairwise(starts)]
    assert waits[0] < ROUND_WAIT_MAX / 2 <= min(waits[4:])
    # The last look that is due, and the step of the clock here.
    assert max(waits) <= ROUND_WAIT_MAX + 0.3


def test_daemons_that_lost_the_same_source_do_not_ask_together():
    starts = {_rounds(seed)[20][0] for seed in range(30)}
    assert len(starts) > 10


def test_a_fresh_source_begins_the_rounds_anew():
    rounds = ProbeSchedule(Random(1))
    for step in range(200):
        rounds.choose(OTHERS, step / 10)
    rounds.reset()
    assert rounds.choose(OTHERS, 20.0) == OTHERS[0]
