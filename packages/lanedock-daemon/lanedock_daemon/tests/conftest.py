# SPDX-License-Identifier: BSD-3-Clause
"""Fixtures for tests of stopping daemons."""

import pytest

from lanedock_daemon.tests.stopping import StoppingDaemon


@pytest.fixture
def make_daemon(tmp_path):
    daemons = []

    def make(**options):
        daemons.append(StoppingDaemon(tmp_path, **options))
        return daemons[-1]

    yield make
    for daemon in daemons:
        daemon.close()
