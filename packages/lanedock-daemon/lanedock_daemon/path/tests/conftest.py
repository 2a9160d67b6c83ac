# SPDX-License-Identifier: BSD-3-Clause
"""Fixtures for tests of the request path."""

import pytest

from lanedock_daemon.path.tests.chain import Chain


@pytest.fixture
def make_chain():
    """Return a factory of chains with one script per upstream; None answers `200 OK`. Stops them at the end."""
    chains = []

    def make(*scripts, **options):
        chains.append(Chain(*(scripts or (None,)), **options))
        return chains[-1]

    yield make
    for chain in chains:
        chain.stop()
