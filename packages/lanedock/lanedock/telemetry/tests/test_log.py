# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the log: it never waits for a reader, is bounded, and keeps failures."""

import json
import logging
import os

from lanedock.telemetry import Event, EventLogger, Metric, RequestLogger, TextMetrics
from lanedock.telemetry.log import MAX_PENDING_LINES, LineWriter, configure_logging
from lanedock.telemetry.metrics import MAX_LABELS


def _read(descriptor: int) -> list[dict]:
    os.set_blocking(descriptor, False)
    data = b""
    try:
        while piece := os.read(descriptor, 65536):
            data += piece
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


def _with_pipe(body) -> list[dict]:
    """Log into a pipe that nobody reads meanwhile; returns what came out of it."""
    reader, writer = os.pipe()
    root = logging.getLogger()
    before = (list(root.handlers), root.level)
    try:
        handler = configure_logging("info", writer)
        body(handler)
        lines = _read(reader)
        handler.flush()
        return lines + _read(reader)
    finally:
        root.handlers[:], root.level = before
        os.close(reader)
        os.close(writer)


def test_a_reader_that_does_not_read_holds_nobody_up():
    def fill(handler: LineWriter) -> None:
        events = EventLogger("p", 10**9)
        for number in range(20 * MAX_PENDING_LINES):
            events.emit(Event.ANSWER_LOST, number=number, error="x" * 200)
        assert handler.left_out > 0

    lines = _with_pipe(fill)
    # Whole lines, the oldest and the newest, and not all of them.
    assert 0 < len(lines) < 20 * MAX_PENDING_LINES


def test_a_flood_of_an_event_is_cut_and_says_so():
    def flood(handler: LineWriter) -> None:
        events = EventLogger("p", 5)
        events._second = -1
        for number in range(100):
            events.emit(Event.IN_FORCE, version=number)
        events._second = -1
        events.emit(Event.STARTED)

    lines = _with_pipe(flood)
    assert sum(line["event"] == "E304" for line in lines) <= 10
    (limited,) = [line for line in lines if line["event"] == "E110"]
    assert limited["limited"] == "IN_FORCE" and limited["left_out"] >= 90


def test_of_requests_the_failed_are_all_written_and_others_by_sample():
    def log(handler: LineWriter) -> None:
        requests = RequestLogger(EventLogger("p", 10**9), 16)
        for number in range(160):
            one = requests.begin(f"id-{number}", 0.0)
            one.note(Event.REQUEST_ROUTED, route="r")
            requests.end(one, failed=number % 10 == 0)

    lines = _with_pipe(log)
    written = {line["request"] for line in lines}
    assert {f"id-{number}" for number in range(0, 160, 10)} <= written
    assert 16 < len(written) < 50


def test_metrics_are_text_with_bounded_labels():
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
