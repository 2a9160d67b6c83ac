# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the stand-in upstream, which must show the configured faults, and of the load generator."""

import json

import gevent
import pytest
from gevent import socket

from lanedock.clock import monotonic
from lanedock.testing import StandInUpstream, UpstreamBehaviour
from lanedock.testing.load import LoadPlan, read_response, run_load


@pytest.fixture
def upstream():
    stand_in = StandInUpstream("u", behaviour=UpstreamBehaviour(work=0.01, slots=2))
    stand_in.start()
    yield stand_in
    stand_in.stop()


def _send(upstream, headers: str = ""):
    conn = socket.create_connection(upstream.address, timeout=10)
    conn.sendall(f"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\n{headers}\r\n".encode())
    return conn


def _status(upstream, headers: str = "") -> int:
    with _send(upstream, headers) as conn:
        return read_response(conn)[0]


def _wait_until(condition) -> None:
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.005)


def test_runs_are_counted_by_request_id(upstream):
    assert [_status(upstream) for _ in range(3)] == [200] * 3
    assert upstream.runs == {"7": 3}


def test_request_is_cancelled_when_its_caller_closes_the_connection(upstream):
    upstream.behaviour.work = 60
    conn = _send(upstream)
    _wait_until(lambda: upstream.in_progress == 1)
    conn.close()
    _wait_until(lambda: upstream.cancelled == 1 and upstream.in_progress == 0)


def test_requests_in_progress_never_exceed_the_slots(upstream):
    upstream.behaviour.work = 60
    conns = [_send(upstream) for _ in range(5)]
    _wait_until(lambda: upstream.in_progress == 2)
    gevent.sleep(0.05)
    assert upstream.in_progress == 2
    for conn in conns:
        conn.close()


@pytest.mark.parametrize(("headers", "status"), [("X-Request-Deadline-Ms: 5\r\n", 503), ("", 200)])
def test_request_that_would_miss_its_deadline_is_refused_without_a_run(upstream, headers, status):
    assert _status(upstream, headers) == status
    assert upstream.runs.get("7", 0) == (1 if status == 200 else 0)


def test_shed_draining_cold_start_and_cut_connection_follow_the_behaviour(upstream):
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
        read_response(conn)


def test_load_endpoint_reports_the_configured_load(upstream):
    upstream.behaviour.reported_load = 0.99
    with socket.create_connection(upstream.address, timeout=10) as conn:
        conn.sendall(b"GET /.load HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        data = b""
        while chunk := conn.recv(65536):
            data += chunk
    assert json.loads(data.partition(b"\r\n\r\n")[2]) == {"load": 0.99}


def test_load_generator_counts_a_stall_in_all_requests_that_it_delays(upstream):
    upstream.behaviour.work = 0.3
    plan = LoadPlan(upstream.address, 20.0, 2.0, "GET /x HTTP/1.1\nHost: h", in_time=0.6, warm_up=0.0)
    result = run_load(plan)
    # Two slots of 0.3 s serve 7 of the 20 requests per second; the queue shows as latency.
    assert result.histogram.get_value_at_percentile(90) > 1_000_000
    assert 0 < result.good < sum(result.statuses.values())
