# SPDX-License-Identifier: BSD-3-Clause
"""Tests of answers whose status or version is none that an answer may have.

They guard against a status below 100 that is read as one of an interim answer: what follows is dropped, and the caller
waits until its deadline for an answer that has come.
"""

import gevent
import gevent.socket
import pytest
from gevent.server import StreamServer

from lanedock.clock import monotonic
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.path.http.answer_reader import AnswerReader
from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.http.parser import MalformedMessage
from lanedock_daemon.path.tests.chain import HOST, make_value

# Far below the deadline of the requests, to which they would be held otherwise.
WAIT_LIMIT_S = 5.0
DEADLINE_MS = 60_000
INVALID = ["HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 001 x", "HTTP/1.1 099 x", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK"]
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def _make_value() -> dict:
    value = make_value()
    for route in value["routes"]:
        route["deadline_ms"] = DEADLINE_MS
    return value


def _answer(line: str, request_id: str = "", body: bytes = b"own") -> bytes:
    own = f"x-request-id: {request_id}\r\n" if request_id else ""
    return f"{line}\r\n{own}content-length: {len(body)}\r\n\r\n".encode() + body


@pytest.fixture
def lost(monkeypatch):
    """The errors in the log lines about lost answers."""
    errors = []

    def emit(self, event: Event, **fields: object) -> None:
        if event is Event.ANSWER_LOST:
            errors.append(str(fields["error"]))

    monkeypatch.setattr(EventLogger, "emit", emit)
    return errors


@pytest.mark.parametrize("is_first", [True, False], ids=["first answer", "behind an answer"])
@pytest.mark.parametrize("method, body", [("GET", b""), ("POST", b"12"), ("POST", b"." * 60_000)])
@pytest.mark.parametrize("line", INVALID)
def test_an_answer_that_is_none_is_an_unknown_outcome_at_once(make_chain, lost, line, method, body, is_first):
    def script(conn, head: str, body: bytes) -> bytes:
        return _answer(line if " /x " in head else "HTTP/1.1 200 OK", "r-x" if " /x " in head else "r-0")

    chain = make_chain(script, value=_make_value())
    with gevent.Timeout(WAIT_LIMIT_S):
        if not is_first:
            assert chain.request("GET", "/0", headers="X-Request-Id: r-0\r\n")[0] == 200
        status, head, _ = chain.request(method, "/x", body, "X-Request-Id: r-x\r\n")
    assert status == 502
    assert "x-request-outcome: unknown" in head and "x-request-code: LD3008" in head
    assert chain.runs("/x") == 1
    version, _, rest = line.partition(" ")
    assert any(f"an answer with status {rest[:3]} in {version}" in error for error in lost)


@pytest.mark.parametrize("line", INVALID)
def test_a_repeatable_request_that_got_an_answer_that_is_none_is_served_elsewhere(make_chain, line):
    chain = make_chain(lambda conn, head, body: _answer(line), None, value=_make_value())
    with gevent.Timeout(WAIT_LIMIT_S):
        while not chain.applications[0].runs["/x"]:
            assert chain.request("GET")[0] == 200


@pytest.mark.parametrize("line", INVALID)
def test_an_answer_that_is_none_from_a_daemon_is_an_unknown_outcome_at_once(make_chain, line):
    daemon = StreamServer((HOST, 0), lambda conn, address: conn.recv(65536) and conn.sendall(_answer(line)))
    daemon.start()
    chain = make_chain(None, value=_make_value())
    chain.publish_endpoint_at(daemon.server_port)
    with gevent.Timeout(WAIT_LIMIT_S):
        status, head, _ = chain.request("POST")
    assert status == 502 and "x-request-outcome: unknown" in head
    daemon.stop(timeout=0)


@pytest.mark.parametrize("status", [100, 199, 200, 299, 499, 599, 600, 999])
def test_every_other_status_is_passed_on_as_it_is(make_chain, status):
    interim = f"HTTP/1.1 {status} x\r\n\r\n".encode() if status < 200 else b""
    final = status if status >= 200 else 200
    chain = make_chain(lambda conn, head, body: interim + _answer(f"HTTP/1.1 {final} x"), value=_make_value())
    with gevent.Timeout(WAIT_LIMIT_S):
        answered, _, body = chain.request("POST")
    assert (answered, body) == (final, b"own")


def _read_by(conn_pair, data: bytes) -> AnswerReader:
    near, far = conn_pair
    far.sendall(data)
    near.set_deadline(monotonic() + 0.2)
    reader = AnswerReader(near)
    reader.begin("POST")
    return reader


@pytest.fixture
def conn_pair():
    near, far = gevent.socket.socketpair()
    channel = Channel(near)
    yield channel, far
    channel.close()
    far.close()


def test_only_100_asks_for_the_body_of_a_request(conn_pair):
    reader = _read_by(conn_pair, b"HTTP/1.1 103 Early Hints\r\n\r\n")
    with pytest.raises(TimeoutError):
        reader.wait_for_continue()
    conn_pair[1].sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
    conn_pair[0].set_deadline(monotonic() + WAIT_LIMIT_S)
    assert reader.wait_for_continue()


@pytest.mark.parametrize("status", ["000", "099"])
def test_a_status_that_is_none_does_not_ask_for_the_body_of_a_request(conn_pair, status):
    with pytest.raises(MalformedMessage):
        _read_by(conn_pair, f"HTTP/1.1 {status} x\r\n\r\n".encode()).wait_for_continue()
