# SPDX-License-Identifier: BSD-3-Clause
"""Short rounds of planned stops under load; longer ones are run by hand (see `stop_rounds.py`)."""

import pytest
from stop_rounds import SCENARIOS, StopRounds


def _run(folder, name: str, rounds: int) -> list[str]:
    stops = StopRounds(folder, 1, SCENARIOS[name])
    try:
        stops.start()
        return [fault for _ in range(rounds) for fault in stops.run_round().faults]
    finally:
        stops.mesh.stop()


@pytest.mark.parametrize("name", ["pipelining", "pipelining-three"])
def test_stop_cuts_no_answer_of_callers_that_pipeline_and_read_slowly(tmp_path, name):
    assert _run(tmp_path, name, 2) == []


@pytest.mark.parametrize("name", ["orderly-signals", "orderly-three"])
def test_stop_cuts_no_answer_of_callers_that_wait_for_each_answer(tmp_path, name):
    assert _run(tmp_path, name, 1) == []
