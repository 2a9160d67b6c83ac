# SPDX-License-Identifier: BSD-3-Clause
"""Tests against answers that are sent twice, or look complete although they were truncated.

They guard against these failures:

- An upgrade request runs and is answered 200, followed by 501 "not run". The parser reports an
  upgrade only after the head has been queued as read.
- A 503 whose body breaks off is passed on with its full content length, because the body of a
  503 that can't be read is taken for an empty one. The caller then takes the next answer on the
  connection for its body.
- A truncated answer to HTTP/1.0 looks complete: without a length, the close of the connection
  marks the end of the answer.
"""

import gevent
import pytest

from lanedock_daemon.path.tests.chain import make_value, read_all

TIMEOUT = 5.0
OTHER_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"


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
def test_truncated_failure_is_reported_as_unknown(make_chain, framing, is_late):
    def script(conn, head, body):
        if not head.startswith("GET /x "):
            return OTHER_ANSWER
        conn.sendall(b"HTTP/1.1 503 Service Unavailable\r\n" + framing)
        if is_late:
            conn.recv(1)
        return None

    value = make_value()
    for route in value["routes"]:
        route["deadline_ms"] = 300
    chain = make_chain(script, value=value)
    with chain.connect() as conn, gevent.Timeout(TIMEOUT):
        conn.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        first = conn.recv(65536)
        assert b" 503 " not in first
        assert b"x-request-outcome: unknown" in first
        conn.sendall(b"GET /y HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        assert read_all(conn).startswith(b"HTTP/1.1 200 ")


def test_close_delimited_answer_that_breaks_off_resets_the_connection(make_chain):
    def script(conn, head, body):
        conn.sendall(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n186a0\r\n" + b"." * 100_000 + b"\r\n")

    chain = make_chain(script)
    with chain.connect() as conn, gevent.Timeout(TIMEOUT):
        conn.sendall(b"GET /x HTTP/1.0\r\nHost: h\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            while conn.recv(65536):
                pass


@pytest.mark.parametrize("pause", [0.0, 0.4], ids=["long", "slow"])
def test_whole_failure_of_an_application_is_not_replaced_by_one_of_the_daemons(make_chain, pause):
    body = b"." * (4 if pause else 100_000)

    def script(conn, head, request_body):
        conn.sendall(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: %d\r\n\r\n" % len(body) + body[:2])
        gevent.sleep(pause)
        return body[2:]

    with gevent.Timeout(TIMEOUT):
        assert make_chain(script).request("GET")[::2] == (503, body)
