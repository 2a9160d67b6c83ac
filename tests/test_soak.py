# SPDX-License-Identifier: BSD-3-Clause
"""Short soak test; longer ones are run by hand (see `soak.py`)."""

import pytest
from crash_mesh import DAEMONS
from soak import Soak, list_stop_scenarios
from stop_scenarios import SCENARIOS

SECONDS = 15.0


@pytest.mark.parametrize("seed", [1, 2])
def test_overlapping_faults_violate_no_requirement(tmp_path, seed):
    assert Soak(tmp_path, seed).run(SECONDS) == []


@pytest.mark.parametrize("name", list_stop_scenarios())
def test_soak_chooses_no_stop_that_needs_another_mesh(name):
    scenario = SCENARIOS[name]
    assert scenario.stopped <= DAEMONS
    assert (scenario.shape, scenario.faults, scenario.time_limits) == (None, None, ())
