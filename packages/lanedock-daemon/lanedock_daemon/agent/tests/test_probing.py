# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the age of a source and of the schedule of probes for a fresher one."""

import itertools
from random import Random

import pytest

from lanedock.settings import Address
from lanedock_daemon.agent.probing import ROUND_WAIT_MAX, ProbeSchedule, SourceFreshness

OTHERS = [Address("10.0.1.1", 7000), Address("10.0.2.1", 7000)]


def test_reported_staleness_grows_while_the_source_is_silent():
    freshness = SourceFreshness(1.0, 10.0)
    freshness.note(0.2, 11.0)
    assert freshness.age(11.0) == pytest.approx(0.2)
    assert not freshness.is_exceeded(11.7)
    assert freshness.is_exceeded(11.9)


def test_a_source_that_hears_a_leader_again_is_fresh_at_once():
    freshness = SourceFreshness(1.0, 10.0)
    freshness.note(16.0, 30.0)
    assert freshness.is_exceeded(30.0)
    freshness.note(0.1, 30.1)
    assert not freshness.is_exceeded(30.5)


def _simulate_probes(seed: int) -> list[tuple[float, Address]]:
    """Return the times, in seconds, and addresses of the probes of one minute."""
    rounds = ProbeSchedule(Random(seed))
    asked = []
    for step in range(600):
        address = rounds.choose(OTHERS, step / 10)
        if address is not None:
            asked.append((step / 10, address))
    return asked


def test_all_candidates_are_probed_in_turn_and_the_wait_between_rounds_grows():
    asked = _simulate_probes(1)
    assert [address for _, address in asked[:6]] == OTHERS * 3
    starts = [when for when, _ in asked[::2]]
    waits = [after - before for before, after in itertools.pairwise(starts)]
    assert waits[0] < ROUND_WAIT_MAX / 2 <= min(waits[4:])
    # The wait begins two clock steps of 0.1 s after the start of a round, and ends at a clock step.
    assert max(waits) <= ROUND_WAIT_MAX + 0.3


def test_daemons_that_lost_the_same_source_do_not_probe_at_the_same_time():
    starts = {_simulate_probes(seed)[20][0] for seed in range(30)}
    assert len(starts) > 10


def test_a_reset_schedule_starts_with_the_first_candidate_at_once():
    rounds = ProbeSchedule(Random(1))
    for step in range(200):
        rounds.choose(OTHERS, step / 10)
    rounds.reset()
    assert rounds.choose(OTHERS, 20.0) == OTHERS[0]
