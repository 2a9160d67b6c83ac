# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the stand-in upstream: it has to fail as it is set to."""

import json

import gevent
import pytest
from gevent import socket

from lanedock.clock import monotonic
from lanedock.testing import StandInUpstream, UpstreamBehaviour
from lanedock.testing.load import LoadPlan, read_answer, run_load


@pytest.fixture
def upstream():
    made = StandInUpstream("u", behaviour=UpstreamBehaviour(work=0.01, slots=2))
    made.start()
    yield made
    made.stop()


def _send(upstream, headers: str = ""):
    conn = socket.create_connection(upstream.address, timeout=10)
    conn.sendall(f"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\n{headers}\r\n".encode())
    return conn


def _status(upstream, headers: str = "") -> int:
    with _send(upstream, headers) as conn:
        return read_answer(conn)[0]


def _wait_until(condition) -> None:
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.005)


def test_runs_are_counted_by_id(upstream):
    assert [_status(upstream) for _ in range(3)] == [200] * 3
    assert upstream.runs == {"7": 3}


def test_a_caller_that_goes_cancels_its_request(upstream):
    upstream.behaviour.work = 60
    conn = _send(upstream)
    _wait_until(lambda: upstream.in_progress == 1)
    conn.close()
    _wait_until(lambda: upstream.cancelled == 1 and upstream.in_progress == 0)


def test_no_more_than_its_slots_are_worked_on(upstream):
    upstream.behaviour.work = 60
    conns = [_send(upstream) for _ in range(5)]
    _wait_until(lambda: upstream.in_progress == 2)
    gevent.sleep(0.05)
    assert upstream.in_progress == 2
    for conn in conns:
        conn.close()


@pytest.mark.parametrize(("headers", "status"), [("X-Request-Deadline-Ms: 5\r\n", 503), ("", 200)])
def test_what_can_not_end_in_time_is_not_begun(upstream, headers, status):
    assert _status(upstream, headers) == status
    assert upstream.runs.get("7", 0) == (1 if status == 200 else 0)


def test_it_sheds_drains_starts_cold_and_cuts_as_told(upstream):
    behaviour = upstream.behaviour
    behaviour.shed = True
    assert _status(upstream) == 503
    behaviour.shed = False
    behaviour.draining = True
    with _send(upstream) as conn:
        assert b"X-Upstream-Draining: 1" in conn.recv(65536)
    behaviour.cold_until = monotonic() + 60
    behaviour.cold_factor = 3
    assert upstream._work_time() == pytest.approx(0.03)
    behaviour.cut_after = 4
    with pytest.raises(OSError), _send(upstream) as conn:
        read_answer(conn)


def test_its_load_endpoint_tells_what_it_is_told_to(upstream):
    upstream.behaviour.told_load = 0.99
    with socket.create_connection(upstream.address, timeout=10) as conn:
        conn.sendall(b"GET /.load HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        data = b""
        while more := conn.recv(65536):
            data += more
    assert json.loads(data.partition(b"\r\n\r\n")[2]) == {"load": 0.99}


def test_the_load_tool_counts_a_stall_in_all_that_it_held_up(upstream):
    upstream.behaviour.work = 0.3
    plan = LoadPlan(upstream.address, 20.0, 2.0, "GET /x HTTP/1.1\nHost: h", in_time=0.6, warm_up=0.0)
    result = run_load(plan)
    # Two slots of 0.3 s serve 7 a second of the 20: the queue shows as latency.
    assert result.histogram.get_value_at_percentile(90) > 1_000_000
    assert 0 < result.good < sum(result.statuses.values())
