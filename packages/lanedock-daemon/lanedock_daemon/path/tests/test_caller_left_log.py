# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the log lines about requests whose callers have left before their answers."""

import json
import time

import pytest

from lanedock.telemetry import configure_logging
from lanedock_daemon.path.tests.chain import Gate, make_value, wait_until


@pytest.fixture
def read_lines(tmp_path):
    """Return a function that reads the lines about callers that have left."""
    path = tmp_path / "log"
    with open(path, "wb") as file:
        writer = configure_logging("info", file.fileno())

        def read() -> list[dict]:
            writer.flush()
            lines = [json.loads(line) for line in path.read_text().splitlines()]
            return [line for line in lines if line["message"] == "REQUEST_CALLER_LEFT"]

        yield read


def _get(path: str, request_id: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: h\r\nx-request-id: {request_id}\r\n\r\n".encode()


def test_request_whose_caller_left_is_reported_at_each_daemon_once_its_work_has_ended(make_chain, read_lines):
    gate = Gate()
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(_get("/runs", "id-1"))
    wait_until(lambda: gate.begun)
    conn.close()
    wait_until(lambda: len(read_lines()) == 2)
    at_caller, at_upstream = read_lines()
    assert (at_caller["server"], at_caller["upstream"], at_caller["attempts"]) == ("entry", "u0", 1)
    assert at_upstream["server"] == "u0"
    for line in (at_caller, at_upstream):
        assert (line["request"], line["how"], line["stage"]) == ("id-1", "end of stream", "sent")
        assert line["age_ms"] >= 0 and line["ended_ms"] >= 0 and line["silent_ms"] is not None


def test_line_states_for_how_long_the_end_of_the_stream_went_unnoticed(make_chain, read_lines):
    gate = Gate()
    chain = make_chain(gate)
    conn = chain.connect()
    conn.sendall(_get("/runs", "id-1"))
    wait_until(lambda: gate.begun)
    conn.close()
    time.sleep(0.2)  # blocks the loop
    wait_until(lambda: len(read_lines()) == 2)
    assert read_lines()[0]["silent_ms"] >= 190


def test_many_callers_that_leave_at_once_are_all_reported(make_chain, read_lines):
    count = 120  # more than the lines per second of an ordinary event
    gate = Gate()
    chain = make_chain(gate, value=make_value(slots=count, connections=count))
    conns = [chain.connect() for _ in range(count)]
    for number, conn in enumerate(conns):
        conn.sendall(_get("/runs", f"id-{number}"))
    wait_until(lambda: len(gate.begun) == count)
    for conn in conns:
        conn.close()
    wait_until(lambda: len(read_lines()) == 2 * count)
    assert {line["request"] for line in read_lines()} == {f"id-{number}" for number in range(count)}
