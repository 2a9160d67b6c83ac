# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the timeline of one request, collected from the logs of several processes.

Guards against lines in the wrong order, such as an upstream's refusal after the caller's answer.
That happens if lines carry the time at which they are written, at the end of the request, or
whole milliseconds only: two processes often decide within the same millisecond.
"""

import logging
import time

import pytest

from lanedock.telemetry import Event, EventLogger, RequestLogger
from lanedock.telemetry.log import configure_logging
from lanedock_cli.explain import collect_timeline, describe_link_limits


class _Process:
    """A process with its own log file."""

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
        """Log a decision, at least 2 us after the previous one; a message between processes takes longer."""
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
        self._handler.close()
        self._file.close()


@pytest.fixture
def processes(tmp_path):
    """Make the processes of a caller and of an upstream."""
    pair = [_Process("caller", tmp_path), _Process("upstream", tmp_path)]
    yield pair
    for process in pair:
        process.close()


@pytest.mark.parametrize("late", ["caller", "upstream"])
def test_timeline_lists_decisions_in_the_order_in_which_they_were_made(processes, late):
    """The order holds whichever process writes last, with all decisions within one millisecond."""
    caller, upstream = processes
    caller.note(Event.REQUEST_SENT, upstream="upstream")
    upstream.note(Event.REQUEST_REFUSED, code="LD3005")
    caller.note(Event.REQUEST_TRY_ENDED, outcome="not-run")
    caller.note(Event.REQUEST_ANSWERED, outcome="not-run")
    for process in (upstream, caller) if late == "caller" else (caller, upstream):
        process.end()
        time.sleep(0.01)

    timeline = collect_timeline("id-1", [caller.path, upstream.path])
    messages = [line.fields["message"] for line in timeline.lines]
    assert messages == ["REQUEST_SENT", "REQUEST_REFUSED", "REQUEST_TRY_ENDED", "REQUEST_ANSWERED"]
    assert not timeline.missing


def test_line_carries_the_time_of_its_decision_not_of_its_writing(processes):
    caller, _ = processes
    before = time.time()
    caller.note(Event.REQUEST_ROUTED, route="r")
    after = time.time()
    time.sleep(0.01)
    caller.end()

    (line,) = collect_timeline("id-1", [caller.path]).lines
    microsecond = 1e-6
    assert before - microsecond <= line.time.timestamp() <= after


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"limit": "slots", "link_ms": 900, "body_bytes": 0}, []),
        (
            {"limit": "link", "link_ms": 900, "body_bytes": 0},
            ["the link of upstream was the limit: long answers occupy it for 900 ms"],
        ),
        (
            {"limit": "link", "body_bytes": 5000},
            ["the link of upstream was the limit: 5000 bytes of request bodies are in flight"],
        ),
    ],
)
def test_a_link_that_was_the_limit_is_named(processes, fields, expected):
    """Code LD3005 alone reads as if slots were short, and operators would add slots."""
    _, upstream = processes
    upstream.note(Event.REQUEST_REFUSED, code="LD3005", **fields)
    upstream.end()
    lines = collect_timeline("id-1", [upstream.path]).lines
    assert describe_link_limits(lines) == expected


def test_request_whose_caller_left_is_explained_and_misses_no_line(processes):
    """The line about the caller's end comes after the last decision, and states none."""
    caller, _ = processes
    caller.note(Event.REQUEST_ROUTED, route="r")
    caller.note(Event.REQUEST_ANSWERED, outcome="cancelled")
    fields = {"server": "entry", "how": "reset", "stage": "waiting", "silent_ms": 640, "age_ms": 3}
    caller.note(Event.REQUEST_CALLER_LEFT, **fields)
    caller.end()
    timeline = collect_timeline("id-1", [caller.path])
    assert not timeline.missing
    text = timeline.lines[-1].describe_end()
    assert "left (reset), noticed 640 ms after" in text and "it had been sent to no application" in text


def test_request_refused_for_lack_of_resources_is_explained_and_misses_no_line(processes):
    """No decision on the request follows its refusal."""
    caller, _ = processes
    caller.note(Event.REQUEST_OUT_OF_RESOURCES, code="LD3021", server="entry", held_bytes=118_000_000)
    caller.end()
    timeline = collect_timeline("id-1", [caller.path])
    assert not timeline.missing
    assert [code.code for code in timeline.codes] == ["LD3021"]


def test_end_of_a_connection_that_made_room_is_a_line_of_each_of_its_requests(processes, tmp_path):
    """Its line has the ids of several requests."""
    path = tmp_path / "evicted.log"
    fields = '"event": "E561", "process": "entry", "ids": "id-0 id-1", "held_bytes": 1'
    path.write_text('{"time": "2026-12-07T04:00:00.000", "message": "CONNECTION_EVICTED", ' + fields + "}\n")
    assert len(collect_timeline("id-1", [path]).lines) == 1
    assert not collect_timeline("id-2", [path]).lines
