# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what may not be taken for the answer that is due behind bytes that are no answer."""

import gevent
import pytest

from lanedock.clock import monotonic
from lanedock_daemon.path.http.parser import MAX_HEAD_BYTES
from lanedock_daemon.path.tests.test_bytes_before_answers import _make_value, _set_tail


def _own_of(head: str, status: str = "200 OK") -> bytes:
    request_id = next(line.partition(": ")[2] for line in head.split("\r\n") if line.startswith("x-request-id:"))
    return f"HTTP/1.1 {status}\r\nx-request-id: {request_id}\r\ncontent-length: 3\r\n\r\nown".encode()


def _send_behind(pieces: list[bytes], own_status: str = "200 OK", left_out: int = 0):
    """Make a script that sends pieces before each answer but the first, of whose bytes `left_out` are in the pieces."""

    def script(conn, head: str, body: bytes) -> bytes:
        if "/0 " in head:
            return _own_of(head)
        for piece in pieces:
            conn.sendall(piece)
            gevent.sleep(0.02)
        return _own_of(head, own_status)[left_out:]

    return script


_CUT_IN_REASON = b"HTTP/1.1 %d Ab"
_CUT_IN_VALUE = _CUT_IN_REASON + b"\r\nx-a: b"
_STATUSES = [(500, "200 OK"), (200, "500 Failed")]


@pytest.mark.parametrize("cut", [_CUT_IN_REASON, b"z" + _CUT_IN_REASON, b"z" + _CUT_IN_VALUE])
@pytest.mark.parametrize("cut_status,own_status", _STATUSES)
def test_status_of_a_cut_head_is_not_that_of_the_own_answer(make_chain, cut, cut_status, own_status):
    _check_status_behind_cut_head(make_chain, cut, cut_status, own_status)


@pytest.mark.parametrize("cut_status,own_status", _STATUSES)
def test_status_of_a_head_that_is_cut_within_a_value_is_not_that_of_the_own_answer(make_chain, cut_status, own_status):
    _check_status_behind_cut_head(make_chain, _CUT_IN_VALUE, cut_status, own_status)


def _check_status_behind_cut_head(make_chain, cut: bytes, cut_status: int, own_status: str) -> None:
    chain = make_chain(_send_behind([cut % cut_status], own_status), value=_make_value())
    _set_tail(chain, 2.0)
    chain.request("POST", "/0", b"", "x-request-id: a-0\r\n")
    status, _, body = chain.request("POST", "/1", b"", "x-request-id: a-1\r\n")
    assert status == 502 or (status, body) == (int(own_status[:3]), b"own")


@pytest.mark.parametrize("is_behind_id", [False, True])
def test_header_in_which_an_application_quotes_a_status_line_is_passed_on(make_chain, is_behind_id):
    def script(conn, head: str, body: bytes) -> bytes:
        own = _own_of(head)
        start = own.index(b"content-length" if is_behind_id else b"x-request-id")
        # With the id behind it, only a name that the connection's first answer had can be told from a cut head.
        if is_behind_id and "/0 " in head:
            return own
        return own[:start] + b"x-from: HTTP/1.1 404 Not Found\r\n" + own[start:]

    chain = make_chain(script, value=_make_value())
    for number in range(3):
        status, head, body = chain.request("POST", f"/{number}", b"", f"x-request-id: a-{number}\r\n")
        assert (status, body) == (200, b"own")
    assert "x-from: HTTP/1.1 404 Not Found" in head
    assert len(chain.applications[0].connections) == 1


def test_own_answer_behind_many_false_starts_is_found(make_chain):
    chain = make_chain(_send_behind([b"HTTP/1. " * 9]), value=_make_value())
    _set_tail(chain, 1.0)
    chain.request("POST", "/0", b"", "x-request-id: a-0\r\n")
    status, _, body = chain.request("POST", "/1", b"", "x-request-id: a-1\r\n")
    assert (status, body) == (200, b"own")


def test_bytes_without_end_that_begin_like_answers_end_the_request_at_the_limit(make_chain):
    sent = []

    def script(conn, head: str, body: bytes) -> bytes:
        if "/0 " in head:
            return _own_of(head)
        conn.sendall(b"x")
        while True:
            gevent.sleep(0.01)
            conn.sendall(b"HTTP/1.1 200 OK\r\na: " + b"a" * 4_000 + b"\r\n")
            sent.append(4_000)

    chain = make_chain(script, value=_make_value())
    _set_tail(chain, 2.0)
    chain.request("POST", "/0", b"", "x-request-id: a-0\r\n")
    began_at = monotonic()
    assert chain.request("POST", "/1", b"", "x-request-id: a-1\r\n")[0] == 502
    assert sum(sent) < 4 * MAX_HEAD_BYTES
    assert monotonic() - began_at < 1.5
