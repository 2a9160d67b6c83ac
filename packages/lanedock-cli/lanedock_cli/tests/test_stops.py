# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the timeline of a process's stop, and of the words for how a request ended in one."""

import json
from datetime import datetime, timedelta

import pytest
from typer.testing import CliRunner

from lanedock.telemetry import Event
from lanedock_cli.app import app
from lanedock_cli.explain import collect_timeline
from lanedock_cli.stops import collect_stops

BEGUN_AT = datetime(2026, 1, 2, 3, 4, 5)
# Milliseconds between the signal and the line STOPPING.
LATE_MS = 40


class _LogFile:
    """A log whose lines have times in milliseconds since the signal."""

    def __init__(self, path):
        self.path = path

    def add(self, ms: float, event: Event, process: str = "d-1", **fields) -> None:
        time = (BEGUN_AT + timedelta(milliseconds=ms)).strftime("%Y-%m-%d %H:%M:%S,%f")
        line = {"time": time, "level": "INFO", "message": event.name, "event": f"E{event.number}", "process": process}
        with self.path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line | fields) + "\n")

    def add_end(self, ms: float, request: str, end: str, **fields) -> None:
        defaults = {"server": "egress", "how": "", "stage": "answered", "status": 200, "outcome": "", "upstream": "u-1"}
        times = {"written_ms": ms - 5, "ended_ms": ms}
        self.add(ms, Event.REQUEST_END, request=request, end=end, **(defaults | times | fields))

    def add_stop(self, is_whole: bool = True) -> None:
        self.add(LATE_MS, Event.STOPPING, after_ms=LATE_MS)
        self.add(1500, Event.NOTICE_BEGUN, server="egress")
        self.add_end(1600, "id-1", "received")
        self.add_end(1700, "id-2", "cut", how="stop", written_ms=None)
        self.add(1700, Event.CONNECTION_ENDED, server="egress", how="stop")
        if is_whole:
            self.add(1800, Event.STOP_SUMMARY, server="egress", read=2, received=1, cut=1)
            self.add(1900, Event.STOPPED, stop_ms=1860)


@pytest.fixture
def log(tmp_path):
    return _LogFile(tmp_path / "d-1.log")


def _run(*arguments) -> tuple[int, str]:
    result = CliRunner().invoke(app, [str(argument) for argument in arguments])
    return result.exit_code, result.output


def test_a_whole_stop_is_shown_with_the_requests_without_a_received_answer(log):
    log.add(-500, Event.REQUEST_ANSWERED, request="id-0")
    log.add_stop()
    code, output = _run("explain-stop", "d-1", log.path)
    assert code == 0
    assert "03:04:05.000  d-1: signal to stop" in output
    for text in ("+1500 ms  NOTICE_BEGUN", "+1800 ms  STOP_SUMMARY", "+1900 ms  STOPPED"):
        assert text in output
    assert "1 answers received by callers, 1 connections ended" in output
    assert "id-2: this process closed the connection before its caller had the whole answer (stop), 1700 ms" in output
    assert "id-1:" not in output and "missing" not in output


def test_a_stop_that_sigkill_ended_is_shown_as_incomplete(log):
    log.add_stop(is_whole=False)
    log.add(1710, Event.REQUEST_ANSWERED, request="id-3")
    (stop,) = collect_stops("d-1", [log.path])
    assert stop.missing == [
        "no line STOPPED: the process was ended early, or the log is cut off",
        "no summary of the server egress: it was not stopped to its end",
        "no line on the end of id-3 at its caller, although it was answered",
    ]


def test_stops_of_successive_processes_and_lines_of_others_are_kept_apart(log):
    log.add_stop()
    log.add(60_000, Event.STARTED)
    log.add_end(61_000, "id-9", "received", process="d-2")
    log.add(61_000, Event.LOG_LIMITED, limited="IN_FORCE", left_out=3)
    log.add(70_000, Event.STOPPING, after_ms=0)
    log.add(70_500, Event.STOPPED)
    first, second = collect_stops("d-1", [log.path])
    assert [len(first.ends), len(second.ends)] == [2, 0]
    assert not first.missing and not second.missing
    assert [line.fields["message"] for line in second.lines] == ["STOPPED"]


def test_requests_that_were_not_begun_are_listed_last(log):
    # Guards against a few cut requests that are left out of the list for hundreds that their callers send again.
    log.add(0, Event.STOPPING, after_ms=0)
    for ms, end in ((10, "not begun"), (20, "cut"), (30, "not begun"), (40, "caller left")):
        log.add_end(ms, f"id-{ms}", end)
    (stop,) = collect_stops("d-1", [log.path])
    assert [line.request for line in stop.disturbed] == ["id-20", "id-40", "id-10", "id-30"]


def test_a_process_without_a_stop_is_an_error(log):
    log.add(0, Event.STARTED)
    code, output = _run("explain-stop", "d-1", log.path)
    assert code == 1 and "no line states that d-1 was asked to stop" in output


@pytest.mark.parametrize(
    ("end", "fields", "expected"),
    [
        ("received", {}, "its caller has received the whole answer, 120 ms after the stop of d-1 began"),
        ("cut", {"how": "stop", "written_ms": None}, "its answer had been made (sent last to u-1), status 200, by an"),
        ("cut", {"how": "stop", "written_ms": None}, "and not been written whole"),
        ("caller left", {"how": "reset", "stage": "sent", "status": 0}, "an application may have been working on it"),
        ("not begun", {"stage": "waiting", "status": 0, "upstream": ""}, "it had been sent to no application"),
    ],
)
def test_explain_states_how_a_request_ended_at_its_caller(log, end, fields, expected):
    log.add(100, Event.REQUEST_ANSWERED, request="id-1")
    log.add_end(120, "id-1", end, **fields)
    code, output = _run("explain", "id-1", log.path)
    assert code == 0
    assert expected in output
    # The line on the end is none of the decisions, the last of which states the answer.
    assert not collect_timeline("id-1", [log.path]).missing
