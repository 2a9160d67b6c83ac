# SPDX-License-Identifier: BSD-3-Clause
"""Tests of pipelined requests while their process stops.

They guard against these failures:

- A request waits behind an unanswered one of its connection, though the process has time to serve it. Callers give up
  requests that are not begun, and with the connection those that an upstream works on.
- The end of a caller's connection isn't noticed while requests wait on it, and upstreams work on for nobody.
- A caller that reads slowly gets its requests started together, and the end of the process cuts their answers.
- A request begins behind an answer that is being written, which breaks off and takes along the one behind it.
- A request that waited gets its whole time from its start on, and an upstream works on it when its caller has gone.
"""

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from lanedock.clock import monotonic
from lanedock.kernel import StopPlan
from lanedock.kernel.stop_plan import NOTICE_TIME
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.delivery import PROMPT_TIME
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, read_all, wait_until

# Seconds of a stop's linger time and of its limit; those of a stop that is late in its linger time from the start on.
EARLY, LATE = (10 * NOTICE_TIME, 12 * NOTICE_TIME), (NOTICE_TIME / 2, 12 * NOTICE_TIME)
RECEIVE_BUFFER = 4096
# Much more than the socket buffers hold.
BODY = b"." * 1_000_000


class _Side:
    """Answers /wait-N once `opened` is set, /long with `BODY`, and others at once.

    Ends the answer to /stream, and breaks off the one to /break, once `opened` is set.

    Attributes
    ----------
    begun, cancelled : list of str
        Paths of the requests.
    read_at, begun_at : dict of str to float
        Monotonic times, in seconds, by path.
    """

    def __init__(self):
        self.opened = Event()
        self.begun: list[str] = []
        self.cancelled: list[str] = []
        self.read_at: dict[str, float] = {}
        self.begun_at: dict[str, float] = {}

    def handle(self, request) -> Answer:
        self.begun.append(request.path)
        self.read_at[request.path], self.begun_at[request.path] = request.read_at, monotonic()
        if request.path.startswith("/wait"):
            try:
                self.opened.wait()
            except gevent.GreenletExit:
                self.cancelled.append(request.path)
                raise
        if request.path == "/break":
            return Answer(200, "OK", [("content-length", "100")], self._break_off())
        if request.path == "/stream":
            return Answer(200, "OK", [("content-length", "8")], self._stream())
        body = BODY if request.path == "/long" else b"ok"
        return Answer(200, "OK", [("content-length", str(len(body)))], [body])

    def _stream(self):
        yield b"part"
        self.opened.wait()
        yield b"rest"

    def _break_off(self):
        yield b"part"
        self.opened.wait()
        raise ConnectionError("the answer broke off")


@pytest.fixture
def make_stopping():
    servers, conns = [], []

    def make(times: tuple[float, float]):
        side = _Side()
        server = PathServer("s", Address(HOST, 0), side, StopPlan(*times), EventLogger("s"), closes_last=True)
        server.start(None)
        servers.append(server)
        conn = socket.socket()
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        conn.connect((HOST, server.port))
        conns.append(conn)
        server.begin_stop()
        return side, conn

    yield make
    for conn in conns:
        conn.close()
    for server in servers:
        server.stop()


def _request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode()


def test_pipelined_requests_start_together_early_in_a_stop(make_stopping):
    side, conn = make_stopping(EARLY)
    for number in range(3):
        conn.sendall(_request(f"/wait-{number}"))
        wait_until(lambda begun=number + 1: len(side.begun) == begun)
    assert side.begun == ["/wait-0", "/wait-1", "/wait-2"]


@pytest.mark.parametrize("times", [EARLY, LATE])
def test_disconnecting_cancels_a_request_in_a_stop_while_others_wait_behind_it(make_stopping, times):
    side, conn = make_stopping(times)
    conn.sendall(_request("/wait-0"))
    wait_until(lambda: side.begun == ["/wait-0"])
    for number in (1, 2):
        conn.sendall(_request(f"/wait-{number}"))
        gevent.sleep(PROMPT_TIME)
    conn.close()
    wait_until(lambda: side.cancelled == side.begun)


def test_time_for_which_a_request_waits_counts_as_its_callers_time(make_chain):
    waited_ms, deadline_ms = 600, 1000
    chain = make_chain(None)
    side = chain.entry.side
    handle = side.handle

    def handle_late(request) -> Answer:
        request.read_at -= waited_ms / 1000
        return handle(request)

    side.handle = handle_late
    chain.request("GET", headers=f"x-request-deadline-ms: {deadline_ms}\r\n")
    (head,) = chain.applications[0].heads
    left_ms = next(int(line.split(":")[1]) for line in head.lower().split("\r\n") if "deadline-ms" in line)
    assert left_ms <= deadline_ms - waited_ms


def test_request_is_read_when_it_arrives_although_it_waits_behind_another(make_stopping):
    side, conn = make_stopping(LATE)
    conn.sendall(_request("/wait-0") + _request("/b"))
    wait_until(lambda: side.begun == ["/wait-0"])
    gevent.sleep(3 * PROMPT_TIME)
    side.opened.set()
    wait_until(lambda: side.begun == ["/wait-0", "/b"])
    assert side.begun_at["/b"] - side.read_at["/b"] >= 3 * PROMPT_TIME


def test_requests_of_a_slow_reader_start_one_at_a_time_in_a_stop(make_stopping):
    side, conn = make_stopping(EARLY)
    conn.sendall(_request("/long"))
    wait_until(lambda: side.begun == ["/long"])
    conn.sendall(_request("/wait-0") + _request("/wait-1"))
    gevent.sleep(3 * PROMPT_TIME)
    received = 0
    while received < len(BODY):
        received += len(conn.recv(65536))
    wait_until(lambda: len(side.begun) > 1)
    gevent.sleep(3 * PROMPT_TIME)
    assert side.begun == ["/long", "/wait-0"]


def test_no_request_starts_early_in_a_stop_behind_an_answer_that_is_being_written_and_breaks_off(make_stopping):
    side, conn = make_stopping(EARLY)
    conn.sendall(_request("/break"))
    received = b""
    while not received.endswith(b"part"):
        received += conn.recv(65536)
    conn.sendall(_request("/b"))
    gevent.sleep(3 * PROMPT_TIME)
    side.opened.set()
    assert read_all(conn) == b""
    assert side.begun == ["/break"]


def test_request_that_waits_early_in_a_stop_behind_an_answer_that_is_being_written_is_served(make_stopping):
    side, conn = make_stopping(EARLY)
    conn.sendall(_request("/stream"))
    received = b""
    while not received.endswith(b"part"):
        received += conn.recv(65536)
    conn.sendall(_request("/b"))
    gevent.sleep(3 * PROMPT_TIME)
    assert side.begun == ["/stream"]
    side.opened.set()
    while not received.endswith(b"ok"):
        received += conn.recv(65536)
    assert side.begun == ["/stream", "/b"]
