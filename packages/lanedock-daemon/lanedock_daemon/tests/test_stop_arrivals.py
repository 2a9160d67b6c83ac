# SPDX-License-Identifier: BSD-3-Clause
"""Tests of which requests that arrive while a daemon stops are served, and which are refused."""

import json

import gevent
import pytest

from lanedock.kernel import NOTICE_TIME, StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.connection import IDLE_CLOSE_DELAY
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, wait_until
from lanedock_daemon.tests.stopping import (
    GRACE,
    LONG,
    SHORT_BODY,
    SentRequests,
    SilentSide,
    is_listening,
    make_daemon_request,
    make_request,
    read_outcomes,
)

# Time limit with which a request that arrives after the linger time surely ends in time.
TIME_LIMIT_HEADER = f"x-request-deadline-ms: {round(1000 * GRACE / 10)}\r\n"


@pytest.mark.parametrize("server", ["entry", "egress"])
def test_a_request_that_cannot_end_before_the_process_does_is_refused_at_once(make_daemon, server):
    daemon = make_daemon(is_entry=server == "entry")
    daemon.note_time(2 * GRACE)
    daemon.stop()
    answer = daemon.read(daemon.begin(server, make_request("/x", SHORT_BODY)))
    assert not daemon.stopping.ready()
    assert answer.startswith(b"HTTP/1.1 503")
    assert read_outcomes(answer) == ["not-run"]
    assert b"\r\nretry-after: " in answer
    assert b"\r\nconnection: close\r\n" in answer
    assert not daemon.other.begun


@pytest.mark.parametrize(("any_service", "headers"), [(False, ""), (True, TIME_LIMIT_HEADER)])
def test_calls_of_an_application_are_served_while_it_has_requests_in_progress(make_daemon, any_service, headers):
    daemon = make_daemon(any_service=any_service)
    # Makes the route known as fast: too little time is left for a slow one.
    daemon.note_time(GRACE / 60)
    daemon.other.opened.set()
    sent = daemon.begin("upstream", make_daemon_request("/own"))
    wait_until(lambda: daemon.own.begun)
    daemon.stop()
    wait_until(lambda: not is_listening(daemon.ports["upstream"]))
    call = daemon.begin("egress", make_request("/call", close=True, headers=headers))
    assert daemon.read(call).startswith(b"HTTP/1.1 200")
    daemon.own.opened.set()
    assert daemon.read(sent).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("taken", "headers", "status", "outcome"),
    [
        (GRACE / 60, TIME_LIMIT_HEADER, b"200", ""),
        (GRACE, TIME_LIMIT_HEADER, b"200", ""),
        # However short it usually is, a request with a long time limit may outlast the stop.
        (GRACE / 60, "", b"503", "not-run"),
        (GRACE, "", b"503", "not-run"),
    ],
)
def test_a_request_on_an_open_connection_during_a_stop_is_answered_and_the_connection_closed(
    make_daemon, taken, headers, status, outcome
):
    daemon = make_daemon(is_entry=True)
    daemon.other.opened.set()
    daemon.note_time(taken)
    request = make_request("/x", headers=headers)
    sent = daemon.begin("entry", request[:20])
    wait_until(lambda: any(not one.is_idle() for one in daemon.kernel.find("entry")._connections))
    daemon.stop()
    wait_until(lambda: not is_listening(daemon.ports["entry"]))
    sent.send_more(request[20:])
    answer = daemon.read(sent)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert read_outcomes(answer) == [outcome]
    assert b"\r\nconnection: close\r\n" in answer
    assert daemon.other.begun == ([] if outcome else ["/x"])


def test_a_request_that_may_outlast_the_stop_is_refused_once_callers_should_have_gone(make_daemon):
    # The application's own work keeps its daemon from closing the server that callers use, too.
    daemon = make_daemon()
    daemon.note_time(GRACE / 60)
    daemon.other.opened.set()
    work = daemon.begin("upstream", make_daemon_request("/own"))
    wait_until(lambda: daemon.own.begun)
    sent = daemon.begin("egress", make_request("/first"))
    wait_until(lambda: sent.received)
    daemon.other.opened.clear()
    daemon.stop()
    wait_until(lambda: not is_listening(daemon.ports["upstream"]))
    sent.send_more(make_request("/x"))
    answers = daemon.read(sent)
    assert read_outcomes(answers) == ["", "not-run"]
    # Another instance can serve it, so the caller doesn't wait longer than this one takes connections.
    assert json.loads(answers.rpartition(b"\r\n\r\n")[2])["retry_after_ms"] <= 1000 * NOTICE_TIME
    assert "/x" not in daemon.other.begun
    daemon.own.opened.set()
    assert daemon.read(work).startswith(b"HTTP/1.1 200")


def test_an_upstreams_daemon_passes_on_no_request_that_may_outlast_its_own_stop(make_daemon):
    daemon = make_daemon()
    daemon.stop()
    answer = daemon.read(daemon.begin("upstream", make_daemon_request("/x")))
    assert read_outcomes(answer) == ["not-run"]
    assert not daemon.stopping.ready()
    assert not daemon.own.begun


def test_a_queued_request_that_may_outlast_the_stop_of_the_upstreams_daemon_is_not_passed_on(make_daemon):
    daemon = make_daemon()
    work = daemon.begin("upstream", make_daemon_request("/own"))
    wait_until(lambda: daemon.own.begun)
    sent = daemon.begin("upstream", make_daemon_request("/x"))
    wait_until(lambda: daemon.kernel.find("upstream").side.in_progress == 2)
    daemon.stop()
    daemon.own.opened.set()
    assert daemon.read(work).startswith(b"HTTP/1.1 200")
    assert read_outcomes(daemon.read(sent)) == ["not-run"]
    assert daemon.own.begun == ["/own"]


def test_the_last_answers_of_the_linger_time_announce_the_close_to_callers_that_pause(make_daemon):
    daemon = make_daemon(is_entry=True)
    daemon.note_time(GRACE / 60)
    daemon.other.opened.set()
    sent = daemon.begin("entry", make_request("/first"))
    wait_until(lambda: sent.received)
    daemon.stop()
    while not sent.ready():
        # Longer than the time for which a connection that was just used is kept.
        gevent.sleep(2 * IDLE_CLOSE_DELAY)
        if not sent.ready():
            sent.send_more(make_request("/x", headers=TIME_LIMIT_HEADER))
            gevent.sleep(IDLE_CLOSE_DELAY)
    answers = daemon.read(sent).split(b"HTTP/1.1 ")[1:]
    assert all(answer.startswith(b"200 ") for answer in answers)
    assert b"\r\nconnection: close\r\n" in answers[-1]
    assert not any(b"\r\nconnection: close\r\n" in answer for answer in answers[:-1])


def test_a_stop_does_not_shorten_the_deadline_sent_to_an_application(make_daemon):
    daemon = make_daemon(is_entry=True)
    daemon.other.opened.set()
    daemon.stop()
    assert daemon.read(daemon.begin("entry", make_request("/x", close=True))).startswith(b"HTTP/1.1 200")
    head = daemon.upstream.application.heads[0]
    assert int(head.partition("x-request-deadline-ms: ")[2].partition("\r\n")[0]) > 1000 * GRACE
    assert "x-lanedock" not in head


def test_a_request_that_arrives_after_its_latest_start_is_not_run(make_daemon):
    daemon = make_daemon()
    request = make_daemon_request("/x").replace(
        b"content-length", b"x-lanedock-start-by-ms: 0\r\nconnection: close\r\ncontent-length"
    )
    answer = daemon.read(daemon.begin("upstream", request))
    assert answer.startswith(b"HTTP/1.1 503")
    assert read_outcomes(answer) == ["not-run"]
    assert not daemon.own.begun


def test_a_request_that_arrives_after_the_final_answers_is_answered_with_not_run():
    side, plan = SilentSide(), StopPlan()
    server = PathServer("operators", Address(HOST, 0), side, plan, EventLogger("c"))
    server.start(None)
    plan.begin(0.0)
    sent = SentRequests((HOST, server.port), make_request("/x", close=True))
    sent.join(timeout=LONG)
    assert read_outcomes(sent.received) == ["not-run"]
    assert not side.requests
    server.stop()
