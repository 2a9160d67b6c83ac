# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the expected duration of requests during a stop.

They guard against answers that are cut by the end of the process. The head of such an
answer comes at once, but its last byte takes a second, for example over a narrow link. If only
the time until the head is recorded, a stopping daemon with less than a second left expects
the request to end in time and starts it, and the process ends while the answer streams.
"""

import gevent
import pytest
from gevent import socket

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger, NullMetrics, NullTracer
from lanedock_daemon.path.caller.caller import CallerSide
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, parse_answer, read_all, wait_until

# Seconds from the head of an answer to its last byte, and from the start of a stop to its deadline.
PAUSE = 0.6
LIMIT = 0.5


class _SlowApplication:
    """Sends an answer's head and a part of its body at once, and the rest after a pause.

    Parameters
    ----------
    size : int
        Bytes of the body.

    Attributes
    ----------
    begun : list of str
        Paths of the received requests.
    """

    def __init__(self, size: int):
        self.begun: list[str] = []
        self._size = size

    def __call__(self, conn, head: str, body: bytes) -> bytes:
        self.begun.append(head.split(" ")[1])
        part = b"." * (self._size // 2)
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (2 * len(part), part))
        gevent.sleep(PAUSE)
        return part


# Sizes of an answer that is buffered until complete, and of one that is streamed.
@pytest.mark.parametrize("size", [2_000, 200_000])
def test_request_whose_answer_would_outlast_the_stop_is_refused(make_chain, size):
    application = _SlowApplication(size)
    chain = make_chain(application)
    plan = StopPlan(0.0, LIMIT)
    caller = CallerSide(chain.view, chain.pool, EventLogger("e"), NullMetrics(), NullTracer(), plan=plan)
    server = PathServer("e", Address(HOST, 0), caller, plan, EventLogger("e"))
    server.start(None)
    with socket.create_connection((HOST, server.port), timeout=10) as conn:
        conn.sendall(b"POST /first HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
        assert len(parse_answer(read_all(conn))[2]) == size
    with socket.create_connection((HOST, server.port), timeout=10) as conn:
        conn.sendall(b"POST /late HTTP/1.1\r\n")
        wait_until(lambda: any(connection._reader.is_in_head for connection in server._connections))
        stopping = gevent.spawn(server.stop)
        wait_until(lambda: plan.is_begun)
        conn.sendall(b"host: h\r\ncontent-length: 0\r\n\r\n")
        status, head, _ = parse_answer(read_all(conn))
    stopping.join()
    assert (status, "x-request-outcome: not-run" in head) == (503, True)
    assert application.begun == ["/first"]
