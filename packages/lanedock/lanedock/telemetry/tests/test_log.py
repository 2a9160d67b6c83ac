# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the event log, which never blocks, is rate-limited and keeps failed requests, and of the metrics."""

import json
import logging
import os
import subprocess
import sys

import pytest

from lanedock.telemetry import Event, EventLogger, Metric, RequestLogger, TextMetrics, log
from lanedock.telemetry.log import MAX_PENDING_LINES, LineWriter, configure_logging
from lanedock.telemetry.metrics import MAX_LABELS


def _read_bytes(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while piece := os.read(descriptor, 65536):
            data += piece
    except BlockingIOError:
        pass
    return data


def _read(descriptor: int) -> list[dict]:
    return [json.loads(line) for line in _read_bytes(descriptor).splitlines()]


def _log_to_pipe(body) -> list[dict]:
    """Call `body` with logging to a pipe that is read only afterwards; return the lines that were written."""
    reader, writer = os.pipe()
    try:
        handler = configure_logging("info", writer)
        body(handler)
        lines = _read(reader)
        handler.flush()
        return lines + _read(reader)
    finally:
        os.close(reader)
        os.close(writer)


def test_logging_to_a_pipe_that_is_not_read_drops_lines_instead_of_blocking():
    def fill(handler: LineWriter) -> None:
        events = EventLogger("p", 10**9)
        for number in range(20 * MAX_PENDING_LINES):
            events.emit(Event.ANSWER_LOST, number=number, error="x" * 200)
        assert handler.left_out > 0

    lines = _log_to_pipe(fill)
    # `_read` parses every line, so none is torn; the pipe and the buffer are too small for all of them.
    assert 0 < len(lines) < 20 * MAX_PENDING_LINES


@pytest.mark.parametrize(
    ("failures", "successes", "left_out"), [(120, 0, []), (250, 0, [50]), (0, 60, [10]), (120, 50, []), (240, 80, [70])]
)
def test_only_lines_that_were_dropped_are_reported_as_left_out(monkeypatch, failures, successes, left_out):
    # Guards against failures that pass by their own limit and are reported as dropped, or use up that of successes.
    monkeypatch.setattr(log, "monotonic", lambda: 7.0)

    def fill(handler: LineWriter) -> None:
        events = EventLogger("p")
        for number in range(failures):
            events.emit_decision(Event.REQUEST_ANSWERED, 0.0, True, {"number": number})
        for number in range(successes):
            events.emit_decision(Event.REQUEST_ANSWERED, 0.0, False, {"number": number})
        events.report_dropped()

    lines = _log_to_pipe(fill)
    assert [line["left_out"] for line in lines if line["message"] == "LOG_LIMITED"] == left_out
    written = sum(line["message"] == "REQUEST_ANSWERED" for line in lines)
    assert written + sum(left_out) == failures + successes


def test_lines_of_a_stop_have_a_limit_of_their_own(monkeypatch):
    # Guards against requests without a line because other lines of the same second used up the limit.
    monkeypatch.setattr(log, "monotonic", lambda: 7.0)
    count = log.DEFAULT_LINES_PER_SECOND * log.FAILURE_FACTOR

    def fill(handler: LineWriter) -> None:
        events = EventLogger("p", lines_per_second=1)
        for number in range(count):
            events.emit(Event.REQUEST_END, number=number)
        for number in range(count):
            events.emit_each(Event.REQUEST_END, number=number)
        events.report_dropped()

    lines = _log_to_pipe(fill)
    assert [line["number"] for line in lines if line["message"] == "REQUEST_END"] == [0, *range(count)]
    assert [line["left_out"] for line in lines if line["message"] == "LOG_LIMITED"] == [count - 1]


def test_lines_of_a_stop_are_bounded(monkeypatch):
    monkeypatch.setattr(log, "monotonic", lambda: 7.0)
    monkeypatch.setattr(log, "REQUEST_LINES_PER_SECOND", 10)

    def fill(handler: LineWriter) -> None:
        events = EventLogger("p")
        for number in range(25):
            events.emit_each(Event.REQUEST_END, number=number)
        events.report_dropped()

    lines = _log_to_pipe(fill)
    assert [line["message"] for line in lines] == ["REQUEST_END"] * 10 + ["LOG_LIMITED"]
    assert lines[-1]["left_out"] == 15


def test_lines_that_are_dropped_because_nothing_reads_the_log_are_reported_once():
    reader, writer = os.pipe()
    try:
        handler = configure_logging("info", writer)
        events = EventLogger("p", 10**9)
        events.report_unwritten(handler)
        for number in range(2 * MAX_PENDING_LINES):
            events.emit(Event.ANSWER_LOST, number=number, error="x" * 200)
        lines = _read(reader)
        dropped = handler.left_out
        for _ in range(3):
            events.report_unwritten(handler)
        handler.flush()
        while more := _read(reader):
            lines += more
            handler.flush()
    finally:
        os.close(reader)
        os.close(writer)
    assert dropped > 0
    reports = [(line["limited"], line["left_out"]) for line in lines if line["message"] == "LOG_LIMITED"]
    # The first report takes the place of one more line.
    assert reports == [("", dropped), ("", 1)]
    assert len(lines) - len(reports) + dropped + 1 == 2 * MAX_PENDING_LINES


def test_the_last_flush_waits_no_longer_than_its_timeout_for_a_slow_reader(monkeypatch):
    # Guards against a wait for each batch of lines, which adds up to seconds at the end of the process.
    now = 0.0
    waits = []

    class SlowReader:
        def poll(self, timeout: float) -> list:
            nonlocal now
            waits.append(timeout)
            now += 0.06
            return [(0, log.select.POLLOUT)] if timeout else []

    def fill(handler: LineWriter) -> None:
        events = EventLogger("p", 10**9)
        for number in range(100):
            events.emit_each(Event.REQUEST_END, request=f"id-{number}", text="x" * 3000)
        poll, handler._poll = handler._poll, SlowReader()
        handler.flush(0.1)
        handler._poll = poll

    monkeypatch.setattr(log, "monotonic", lambda: now)
    _log_to_pipe(fill)
    assert len(waits) == 3 and waits[0] == 100 and waits[-1] == 0


def test_a_writer_never_writes_to_a_file_that_reuses_its_closed_descriptor():
    """Guards against log lines within the data of a connection that got the number of a closed log file."""
    reader, writer = os.pipe()
    other_reader, other_writer = os.pipe()
    handler = LineWriter(writer)
    # The number of the closed descriptor now belongs to another pipe.
    os.dup2(other_writer, writer)
    try:
        handler.emit(logging.makeLogRecord({"msg": "line"}))
        assert _read_bytes(other_reader) == b""
        assert _read_bytes(reader) == b"line\n"
    finally:
        handler.close()
        for descriptor in (reader, writer, other_reader, other_writer):
            os.close(descriptor)


def test_a_closed_writer_releases_its_descriptor_and_drops_lines():
    reader, writer = os.pipe()
    handler = LineWriter(writer)
    os.close(writer)
    handler.close()
    handler.emit(logging.makeLogRecord({"msg": "line"}))
    # The end of the file shows that nothing holds the pipe open.
    assert os.read(reader, 1) == b""
    assert handler.left_out == 1
    os.close(reader)


def test_lines_for_standard_output_are_written_to_its_own_descriptor(monkeypatch):
    """Guards against lines that a platform which watches standard output doesn't see."""
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as output:
        monkeypatch.setattr(sys, "stdout", output)
        written, write = [], os.write
        monkeypatch.setattr(os, "write", lambda descriptor, data: written.append(descriptor) or write(descriptor, data))
        handler = configure_logging("info")
        handler.emit(logging.makeLogRecord({"msg": "line"}))
        handler.close()
        assert written == [writer]
        os.fstat(writer)  # still open
    os.close(reader)


def test_lines_beyond_the_rate_limit_are_dropped_and_reported():
    def flood(handler: LineWriter) -> None:
        events = EventLogger("p", 5)
        events._second = -1
        for number in range(100):
            events.emit(Event.IN_FORCE, version=number)
        events._second = -1
        events.emit(Event.STARTED)

    lines = _log_to_pipe(flood)
    assert sum(line["event"] == "E304" for line in lines) <= 10
    (limited,) = [line for line in lines if line["event"] == "E110"]
    assert limited["limited"] == "IN_FORCE" and limited["left_out"] >= 90


def test_all_failed_requests_and_a_sample_of_the_others_are_logged():
    def log(handler: LineWriter) -> None:
        requests = RequestLogger(EventLogger("p", 10**9), 16)
        for number in range(160):
            request_log = requests.begin(f"id-{number}", 0.0)
            request_log.note(Event.REQUEST_ROUTED, route="r")
            requests.end(request_log, failed=number % 10 == 0)

    lines = _log_to_pipe(log)
    written = {line["request"] for line in lines}
    assert {f"id-{number}" for number in range(0, 160, 10)} <= written
    assert 16 < len(written) < 50


def test_text_metrics_count_label_sets_beyond_the_limit_as_other():
    metrics = TextMetrics()
    for number in range(3 * MAX_LABELS):
        metrics.count(Metric.OUTCOMES, 1, (f"r{number}", "answered"))
    metrics.time(Metric.LATENCY, 0.3)
    metrics.time(Metric.LATENCY, 99.0)
    lines = metrics.render().splitlines()
    outcomes = [line for line in lines if line.startswith("lanedock_requests_outcomes_total{")]
    assert len(outcomes) == MAX_LABELS + 1
    assert f'lanedock_requests_outcomes_total{{route="other",outcome="other"}} {2 * MAX_LABELS}' in lines
    assert 'lanedock_requests_latency_seconds_bucket{le="0.4"} 1' in lines
    assert 'lanedock_requests_latency_seconds_bucket{le="+Inf"} 2' in lines
    assert "lanedock_requests_latency_seconds_count 2" in lines


@pytest.mark.parametrize(
    "call", ["lines.handle(logging.makeLogRecord({'msg': 'line'}))", "lines.flush()"], ids=["line", "flush"]
)
def test_no_other_greenlet_runs_while_a_line_is_written(call):
    # Guards against log lines in the middle of a step during which others must not change its state. Tests aren't
    # patched as the program is, so this runs in a process of its own.
    program = f"""
from gevent import monkey
monkey.patch_all()
import logging, os, gevent
from lanedock.telemetry.log import LineWriter
reader, writer = os.pipe()
lines = LineWriter(writer)
lines._pending.append(b"x")
others = []
gevent.spawn(others.append, 1)
{call}
print(others)
"""
    found = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, timeout=30)
    assert found.stdout == "[]\n", found.stderr
