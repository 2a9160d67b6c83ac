# SPDX-License-Identifier: BSD-3-Clause
"""Tests of what a stop takes requests to need.

What callers saw: late in a stop of an entry instance they sent a request on a
connection that they kept, got the head of a long answer and a part of its body, and
then the connection was cut.

The order of events: answers of this kind begin at once and take a second to their last
byte, as over a narrow link, and the daemon has passed several of them on. It stops. A
request comes when less than that second is left; it is expected to end in time and is
begun. The process ends while its answer streams.

The cause: only the time until an answer's head was noted, and the stop's plan trusted it
for the whole answer.
"""

import gevent
import pytest
from gevent import socket

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger, NullMetrics, NullTracer
from lanedock_daemon.path.caller import CallerSide
from lanedock_daemon.path.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, parse_answer, read_all, wait_until

# Seconds from an answer's head to its last byte, and from a stop's beginning to its deadline.
PAUSE = 0.6
LIMIT = 0.5


class _Slow:
    """Sends an answer's head and a part of its body at once, and the rest after a pause.

    Parameters
    ----------
    size : int
        Bytes of the body.

    Attributes
    ----------
    begun : list of str
        Paths of the requests that came.
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


# Passed on once it is whole, and as it comes.
@pytest.mark.parametrize("size", [2_000, 200_000])
def test_an_answer_that_would_outlast_the_stop_is_not_begun(make_chain, size):
    slow = _Slow(size)
    chain = make_chain(slow)
    plan = StopPlan(0.0, LIMIT)
    caller = CallerSide(chain.view, chain.pool, EventLogger("e"), NullMetrics(), NullTracer(), plan=plan)
    server = PathServer("e", Address(HOST, 0), caller, plan, EventLogger("e"))
    server.start(None)
    with socket.create_connection((HOST, server.port), timeout=10) as conn:
        conn.sendall(b"POST /first HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
        assert len(parse_answer(read_all(conn))[2]) == size
    with socket.create_connection((HOST, server.port), timeout=10) as conn:
        conn.sendall(b"POST /late HTTP/1.1\r\n")
        wait_until(lambda: any(one._reader.is_in_head for one in server._connections))
        stopping = gevent.spawn(server.stop)
        wait_until(lambda: plan.is_begun)
        conn.sendall(b"host: h\r\ncontent-length: 0\r\n\r\n")
        status, head, _ = parse_answer(read_all(conn))
    stopping.join()
    assert (status, "x-request-outcome: not-run" in head) == (503, True)
    assert slow.begun == ["/first"]
