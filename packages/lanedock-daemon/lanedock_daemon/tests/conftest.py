# SPDX-License-Identifier: BSD-3-Clause
"""Fixtures of the tests of whole daemons."""

import pytest

from lanedock_daemon.tests.stopping import StoppingDaemon


@pytest.fixture
def make_daemon(tmp_path):
    made = []

    def make(**options):
        made.append(StoppingDaemon(tmp_path, **options))
        return made[-1]

    yield make
    for daemon in made:
        daemon.close()
