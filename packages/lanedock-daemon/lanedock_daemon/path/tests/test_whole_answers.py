# SPDX-License-Identifier: BSD-3-Clause
"""Answers that are given twice, or look whole though they were cut short.

What users would see, found by a cold review before it was released: a request for an
upgrade is run, answered 200 and then 501 "not run" behind it; a 503 whose body breaks off
goes out with its whole length, and the next answer on the connection is taken for its
body; to a caller of HTTP/1.0 an answer that was cut short ends like a whole one.

Cause: the parser tells of an upgrade after the head counts as read; the body of a 503 that
couldn't be read was taken for an empty one; without a length the end of the connection is
the end of the answer, and it was closed as after a whole one.
"""

import gevent
import pytest

from lanedock_daemon.path.tests.chain import make_value, read_all

PATIENCE = 5.0
OTHER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"


@pytest.mark.parametrize("protocol", ["websocket", "h2c"])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_request_for_an_upgrade_is_answered_once_and_not_run(make_chain, method, protocol):
    chain = make_chain(None)
    head = f"{method} /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: {protocol}\r\nContent-Length: 0\r\n\r\n"
    data = chain.send(head.encode())
    assert data.count(b"HTTP/1.1 ") == 1
    assert data.startswith(b"HTTP/1.1 501 ")
    assert not chain.runs()


@pytest.mark.parametrize(
    "framing", [b"content-length: 100\r\n\r\nabc", b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"]
)
@pytest.mark.parametrize("is_late", [False, True])
def test_a_failure_that_is_cut_short_does_not_pass_for_whole(make_chain, framing, is_late):
    def script(conn, head, body):
        if not head.startswith("GET /x "):
            return OTHER
        conn.sendall(b"HTTP/1.1 503 Service Unavailable\r\n" + framing)
        if is_late:
            conn.recv(1)
        return None

    value = make_value()
    for route in value["routes"]:
        route["deadline_ms"] = 300
    chain = make_chain(script, value=value)
    with chain.connect() as conn, gevent.Timeout(PATIENCE):
        conn.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        first = conn.recv(65536)
        assert b" 503 " not in first
        assert b"x-request-outcome: unknown" in first
        conn.sendall(b"GET /y HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        assert read_all(conn).startswith(b"HTTP/1.1 200 ")


def test_an_answer_that_ends_with_its_connection_is_reset_where_it_breaks_off(make_chain):
    def script(conn, head, body):
        conn.sendall(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n186a0\r\n" + b"." * 100_000 + b"\r\n")

    chain = make_chain(script)
    with chain.connect() as conn, gevent.Timeout(PATIENCE):
        conn.sendall(b"GET /x HTTP/1.0\r\nHost: h\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            while conn.recv(65536):
                pass
