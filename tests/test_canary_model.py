# SPDX-License-Identifier: BSD-3-Clause
"""Canary releases of a fleet of 92 daemons, in the model of tools/bench_canary.py (virtual time: a seed repeats)."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent.parent / "tools"))

import bench_canary

from lanedock.canary import CusumAnalysis
from lanedock.wire import messages

CASES = {case.name: case for case in bench_canary.CASES}
SHARE, SLACK = 0.1, 50
# Seconds after its 50th bad answer by which a version is sent nothing any more.
STOP_WITHIN = 3.0


def _play(name: str, seed: int, rate: float = 450.0) -> bench_canary.Outcome:
    return bench_canary.Fleet(seed, CASES[name], rate, 16.0, 92, CusumAnalysis).play()


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("name", [name for name, case in CASES.items() if not case.is_bad])
def test_a_good_version_is_completed_in_time(name, seed):
    outcome = _play(name, seed)
    assert outcome.phase == messages.CANARY_COMPLETED
    assert outcome.ended_at < 16


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize(
    "name", [name for name, case in CASES.items() if case.is_bad and name != "half is 2 times slower"]
)
def test_a_bad_version_is_rolled_back_and_gets_little(name, seed):
    outcome = _play(name, seed)
    assert outcome.phase == messages.CANARY_ROLLED_BACK
    assert outcome.canary <= SHARE * outcome.total + SLACK
    assert (outcome.late_by or 0.0) <= STOP_WITHIN


@pytest.mark.parametrize("rate", [50.0, 2000.0])
def test_at_other_rates(rate):
    assert _play("good", 0, rate).phase == messages.CANARY_COMPLETED
    bad = _play("fails 0.35", 0, rate)
    assert bad.phase == messages.CANARY_ROLLED_BACK
    assert bad.canary <= SHARE * bad.total + SLACK
