# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the account of one request, from logs that several processes wrote.

An account showed an upstream's refusal after the caller's line that says how it was answered.
A request's lines are written at its end, and carried the time of that, in whole milliseconds:
what two processes decided within one, or wrote late, was told in any order. The evidence was
such an account, with both lines in the same millisecond.
"""

import logging
import time

import pytest

from lanedock.telemetry import Event, EventLogger, RequestLogger
from lanedock.telemetry.log import configure_logging
from lanedock_cli.explain import gather


class _Process:
    """A process that logs into a file of its own."""

    def __init__(self, name, directory):
        self.path = directory / f"{name}.log"
        self._file = self.path.open("wb")
        self._handler = configure_logging("info", self._file.fileno())
        logging.getLogger().handlers.clear()
        self._logger = logging.getLogger(name)
        self._logger.handlers[:] = [self._handler]
        self._logger.propagate = False
        self._requests = RequestLogger(EventLogger(name))
        self._log = self._requests.begin("id-1", 0.0)

    def note(self, event, **particulars):
        """Decide, at least two microseconds after what was decided before: less than a message takes."""
        begun = time.time()
        while time.time() < begun + 2e-6:
            pass
        self._log.note(event, **particulars)

    def end(self):
        self._requests.end(self._log, failed=True)
        self._handler.flush()

    def close(self):
        self._logger.handlers.clear()
        self._logger.propagate = True
        self._file.close()


@pytest.fixture
def processes(tmp_path):
    """Make a caller's process and an upstream's."""
    root = logging.getLogger()
    before = (list(root.handlers), root.level)
    made = [_Process("caller", tmp_path), _Process("upstream", tmp_path)]
    yield made
    for process in made:
        process.close()
    root.handlers[:], root.level = before


@pytest.mark.parametrize("late", ["caller", "upstream"])
def test_decisions_are_told_in_the_order_in_which_they_were_made(processes, late):
    """Whichever process writes its lines last; all of them within far less than a millisecond."""
    caller, upstream = processes
    caller.note(Event.REQUEST_SENT, upstream="upstream")
    upstream.note(Event.REQUEST_REFUSED, code="LD3005")
    caller.note(Event.REQUEST_TRY_ENDED, outcome="not-run")
    caller.note(Event.REQUEST_ANSWERED, outcome="not-run")
    for process in (upstream, caller) if late == "caller" else (caller, upstream):
        process.end()
        time.sleep(0.01)

    account = gather("id-1", [caller.path, upstream.path])
    told = [line.fields["message"] for line in account.lines]
    assert told == ["REQUEST_SENT", "REQUEST_REFUSED", "REQUEST_TRY_ENDED", "REQUEST_ANSWERED"]
    assert not account.missing


def test_a_decision_has_the_time_at_which_it_was_made(processes):
    caller, _ = processes
    before = time.time()
    caller.note(Event.REQUEST_ROUTED, route="r")
    after = time.time()
    time.sleep(0.01)
    caller.end()

    (line,) = gather("id-1", [caller.path]).lines
    microsecond = 1e-6
    assert before - microsecond <= line.time.timestamp() <= after
