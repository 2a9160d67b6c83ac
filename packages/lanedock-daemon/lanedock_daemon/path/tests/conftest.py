# SPDX-License-Identifier: BSD-3-Clause
"""Fixture: chains that are stopped after the test."""

import pytest

from lanedock_daemon.path.tests.chain import Chain


@pytest.fixture
def make_chain():
    """Make chains; a script for each upstream, None for one that answers ok."""
    made = []

    def make(*scripts, **options):
        made.append(Chain(*(scripts or (None,)), **options))
        return made[-1]

    yield make
    for chain in made:
        chain.stop()
