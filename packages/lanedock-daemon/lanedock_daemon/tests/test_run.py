# SPDX-License-Identifier: BSD-3-Clause
"""Tests that a starting process handles signals and changes of its settings file.

They guard against two failures. If signal handlers are installed only after imports, settings
and services, which take 0.4 s and more, SIGHUP, which reports changed settings, ends a starting
process, and SIGTERM ends it without a planned stop. If the state of the settings file is recorded
only after the file was read, a change in between is never noticed, and the process continues with
control instances that have been replaced.
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


def test_settings_that_change_after_they_were_read_are_reloaded(tmp_path):
    process = StartedProcess(tmp_path, PROGRAM, MODULES[-1], "os.replace('changed.json', 'settings.json')")
    process.read_until("RELOADED")
    assert process.stop() == 0
    assert '"RELOADED"' in process.output
