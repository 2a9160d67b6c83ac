# SPDX-License-Identifier: BSD-3-Clause
"""Tests of reading changed settings again."""

from types import SimpleNamespace

import gevent
import pytest

from lanedock.errors import ErrorCode
from lanedock.findings import Finding, FindingsError, Place
from lanedock.telemetry import Event
from lanedock_daemon import run
from lanedock_daemon.control.tests.test_replicated_log import Events


def _make_error(code: ErrorCode) -> FindingsError:
    return FindingsError([Finding(code, "refused", Place("settings.json"))])


@pytest.fixture
def reloader(tmp_path, monkeypatch):
    """Make a reloader of a file that has changed, whose attempts to read it fail as often as `failures` says."""
    path = tmp_path / "settings.json"
    path.write_text("{}")
    settings = SimpleNamespace(daemon=None, control=None)
    failures = []

    def load(path: str, is_generated: bool):
        if failures:
            raise failures.pop()
        return settings

    monkeypatch.setattr(run, "load_settings", load)
    monkeypatch.setattr(run, "RELOAD_INTERVAL", 0.01)
    made = run._Reloader(None, str(path), (0, 0), settings, Events(), False)
    made.failures = failures
    return made


def _watch(reloader) -> list[Event]:
    watcher = gevent.spawn(reloader.watch)
    gevent.sleep(0.3)
    watcher.kill()
    return reloader._events.emitted


def test_changed_settings_that_cannot_be_read_for_now_are_read_again(reloader):
    # A change that could not be read once was never applied.
    reloader.failures += [_make_error(ErrorCode.FILE_UNREADABLE)] * 3
    assert _watch(reloader) == [Event.RELOAD_REFUSED, Event.RELOADED]


def test_changed_settings_with_findings_are_read_once(reloader):
    reloader.failures += [_make_error(ErrorCode.SCHEMA)] * 3
    assert _watch(reloader) == [Event.RELOAD_REFUSED]
