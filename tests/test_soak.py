# SPDX-License-Identifier: BSD-3-Clause
"""Short soak test; longer ones are run by hand (see `soak.py`)."""

import pytest
from soak import Soak

SECONDS = 15.0


@pytest.mark.parametrize("seed", [1, 2])
def test_overlapping_faults_violate_no_requirement(tmp_path, seed):
    assert Soak(tmp_path, seed).run(SECONDS) == []
