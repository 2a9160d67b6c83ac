# SPDX-License-Identifier: BSD-3-Clause
"""Tests that a process which is still starting minds its signals and its settings file.

Processes ended by SIGHUP, which only says that their settings have changed, and some ran
on with control instances that had been replaced while they started.

Cause: signals were caught last of all in a start, behind imports, settings and services,
which take 0.4 s and more: until then SIGHUP ends a process, and SIGTERM ends it at
once. The state of the settings file against which changes are noticed was taken after
the file had been read: what was written in between never showed.
"""

import pytest

from lanedock_daemon.tests.starts import HANG_UP, MODULES, TERMINATE, StartedProcess

PROGRAM = "runpy.run_module('lanedock_daemon.app', run_name='__main__')"


@pytest.mark.parametrize("module", MODULES)
@pytest.mark.parametrize(("action", "event"), [(HANG_UP, "RELOADED"), (TERMINATE, "STOPPED")])
def test_no_signal_during_the_start_is_lost(tmp_path, module, action, event):
    process = StartedProcess(tmp_path, PROGRAM, module, action)
    process.read_until(event)
    assert process.stop() == 0
    assert f'"{event}"' in process.output


def test_settings_that_change_once_they_have_been_read_are_read_again(tmp_path):
    process = StartedProcess(tmp_path, PROGRAM, MODULES[-1], "os.replace('changed.json', 'settings.json')")
    process.read_until("RELOADED")
    assert process.stop() == 0
    assert '"RELOADED"' in process.output
