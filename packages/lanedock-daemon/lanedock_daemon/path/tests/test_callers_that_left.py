# SPDX-License-Identifier: BSD-3-Clause
"""Tests that nothing is begun, sent or kept in progress for a caller that has left, whenever that was.

A blocked event loop stands for a process that is suspended or starved: all that has happened meanwhile is noticed in
one step.
"""

import socket as plain_socket
import struct
import threading
import time

import pytest
from gevent import socket

from lanedock.clock import monotonic
from lanedock.limits import AdmissionRequest
from lanedock.wire import messages
from lanedock_daemon.path.http.headers import (
    CLASS_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
)
from lanedock_daemon.path.tests.chain import HOST, Gate, make_value, wait_until

CALLERS = 12
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
DAEMON_HEADERS = {SERVICE_HEADER: "s", CLASS_HEADER: "read", ROUTE_HEADER: "get", DEADLINE_HEADER: "60000"}
REFUSAL = f"HTTP/1.1 503 Unavailable\r\n{OUTCOME_HEADER}: not-run\r\n{CODE_HEADER}: LD3005\r\ncontent-length: 0\r\n\r\n"
# Longer than a first attempt is waited for before the request is hedged, in seconds.
HEDGE_TIME = 0.7
# More than is read ahead of a body, in bytes, and no more than a receive buffer takes besides.
LONG_BODY = 350_000
# More than both take, so that the end of the stream is held back by the caller's system.
LONGEST_BODY = 1_000_000


@pytest.fixture
def gate():
    """Make an application script that answers when it is opened."""
    return Gate()


def _make_value(**service) -> dict:
    """Return a configuration whose time limits end no request during a test."""
    value = make_value(**service)
    for route in value["routes"]:
        route["deadline_ms"] = 60_000
    return value


def _get(path: str, headers: dict[str, str] | None = None) -> bytes:
    lines = [f"GET {path} HTTP/1.1", "host: h", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    return "\r\n".join([*lines, "", ""]).encode()


def _post(length: int) -> bytes:
    """Return a request with a body of `length` bytes."""
    return f"POST /left HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n".encode() + b"." * length


def _connect(port: int, is_kept: bool):
    """Return a connection that has served a request, or one that waits in the listen queue."""
    if not is_kept:
        return plain_socket.create_connection((HOST, port))
    conn = socket.create_connection((HOST, port), timeout=10)
    conn.sendall(_get("/before", DAEMON_HEADERS))
    assert conn.recv(65536).startswith(b"HTTP/1.1 200")
    return conn


def _leave(conn, is_reset: bool) -> None:
    if is_reset:
        conn.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE)
    conn.close()


def _is_idle(chain) -> bool:
    """Tell whether no daemon has a request in progress or waiting."""
    gates = [upstream.side._gate for upstream in chain.upstreams]
    return not chain.entry.in_progress and not any(gate.in_progress for gate in gates)


@pytest.mark.parametrize("pipelined", [1, 3])
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("is_upstream", [False, True], ids=["caller's daemon", "upstream's daemon"])
def test_request_whose_caller_left_before_it_was_read_is_not_passed_on(
    make_chain, is_upstream, is_kept, is_reset, pipelined
):
    chain = make_chain(value=_make_value(slots=50, connections=200))
    server = chain.upstreams[0].server if is_upstream else chain.entry
    conns = [_connect(server.port, is_kept) for _ in range(CALLERS)]
    for conn in conns:
        conn.sendall(_get("/left", DAEMON_HEADERS if is_upstream else None) * pipelined)
        _leave(conn, is_reset)
    time.sleep(0.05)
    assert chain.request("GET", "/next")[0] == 200
    wait_until(lambda: _is_idle(chain))
    assert chain.runs("/left") == 0


def test_request_whose_caller_left_before_its_slot_was_free_is_not_passed_on(make_chain, gate):
    chain = make_chain(gate, value=_make_value(slots=1, queue=4))
    limiter = chain.upstreams[0].limiter
    gate.opened.set()
    assert chain.request("GET", "/before")[0] == 200
    held = AdmissionRequest(monotonic() + 60.0)
    assert limiter.acquire("read", held, monotonic(), lambda: None) is None
    with socket.create_connection((HOST, chain.upstreams[0].server.port)) as waits:
        waits.sendall(_get("/left", DAEMON_HEADERS))
        wait_until(lambda: limiter.waiting == 1)
    # The slot becomes free in the step in which the end of the stream is there.
    limiter.release("read", None, monotonic(), request=held)
    wait_until(lambda: _is_idle(chain))
    assert chain.request("GET", "/next")[0] == 200
    assert gate.begun == ["/before", "/next"]


class _BlockingDaemon:
    """An upstream's daemon in a thread, which answers one request with a refusal while the event loop is blocked."""

    def __init__(self):
        self.has_request = threading.Event()
        self.must_answer = threading.Event()
        self.has_answered = threading.Event()
        self._listener = plain_socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        conn, _ = self._listener.accept()
        while b"\r\n\r\n" not in conn.recv(65536):
            pass
        self.has_request.set()
        self.must_answer.wait(10)
        conn.sendall(REFUSAL.encode())
        self.has_answered.set()
        conn.recv(1)
        conn.close()
        self._listener.close()


@pytest.mark.parametrize("leaves_first", [False, True])
def test_request_whose_caller_left_is_not_sent_to_another_upstream(make_chain, leaves_first):
    chain = make_chain(value=_make_value())
    assert chain.request("GET", "/before")[0] == 200
    daemon = _BlockingDaemon()
    update = messages.EndpointUpdate(whole=True)
    update.changed.add(instance="blocking", service="s", zone="z", host=HOST, port=daemon.port, incarnation=1)
    chain.view.apply_endpoints(update)
    conn = chain.connect()
    conn.sendall(_get("/left"))
    wait_until(daemon.has_request.is_set)
    chain.publish_endpoints()
    if leaves_first:
        conn.close()
    daemon.must_answer.set()
    assert daemon.has_answered.wait(10)
    conn.close()
    wait_until(lambda: _is_idle(chain))
    assert chain.request("GET", "/next")[0] == 200
    assert chain.runs("/left") == 0


def test_request_whose_caller_left_is_not_hedged(make_chain, gate):
    chain = make_chain(gate, gate, value=_make_value())
    gate.opened.set()
    for _ in range(20):
        assert chain.request("GET", "/before")[0] == 200
    assert all(application.runs["/before"] for application in chain.applications)
    gate.opened.clear()
    gate.begun.clear()
    conn = chain.connect()
    conn.sendall(_get("/left"))
    wait_until(lambda: gate.begun)
    conn.close()
    time.sleep(HEDGE_TIME)
    wait_until(lambda: _is_idle(chain) and len(gate.cut) == len(gate.begun))
    assert gate.begun == ["/left"]


@pytest.mark.parametrize("slots", [4, 40])
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_caller_that_leaves_with_more_requests_than_are_read_at_once_is_noticed(make_chain, gate, is_reset, slots):
    chain = make_chain(gate, value=_make_value(slots=slots, queue=100, connections=200))
    conn = chain.connect()
    conn.sendall(b"".join(_get(f"/{number}") for number in range(80)))
    wait_until(lambda: len(gate.begun) >= min(slots, 32))
    _leave(conn, is_reset)
    wait_until(lambda: _is_idle(chain) and len(gate.cut) == len(gate.begun))
    begun = len(gate.begun)
    assert chain.request("GET", "/next", headers="x-request-deadline-ms: 50\r\n")[0] == 504
    assert [path for path in gate.begun[begun:] if path != "/next"] == []


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_caller_that_leaves_while_its_short_body_waits_for_a_slot_is_noticed(make_chain, gate, is_reset):
    _check_body_that_waits(make_chain, gate, 100_000, is_reset)


@pytest.mark.parametrize("length,is_reset", [(LONG_BODY, False), (LONG_BODY, True), (LONGEST_BODY, True)])
def test_caller_that_leaves_while_its_long_body_waits_for_a_slot_is_noticed(make_chain, gate, length, is_reset):
    _check_body_that_waits(make_chain, gate, length, is_reset)


def test_end_that_the_callers_system_holds_back_behind_a_body_is_noticed_once_it_arrives(make_chain, gate):
    chain = make_chain(gate, value=_make_value(slots=1, queue=4))
    runs, waits = chain.connect(), chain.connect()
    runs.sendall(_get("/runs"))
    wait_until(lambda: gate.begun == ["/runs"])
    waits.sendall(_post(LONGEST_BODY))
    waits.close()
    wait_until(lambda: chain.upstreams[0].limiter.waiting == 1)
    runs.close()
    # The application never answers by itself.
    wait_until(lambda: _is_idle(chain))


def _check_body_that_waits(make_chain, gate, length: int, is_reset: bool) -> None:
    chain = make_chain(gate, value=_make_value(slots=1, queue=4))
    limiter = chain.upstreams[0].limiter
    runs, waits = chain.connect(), chain.connect()
    runs.sendall(_get("/runs"))
    wait_until(lambda: gate.begun == ["/runs"])
    waits.sendall(_post(length))
    wait_until(lambda: limiter.waiting == 1)
    _leave(waits, is_reset)
    wait_until(lambda: limiter.waiting == 0)
    gate.opened.set()
    wait_until(lambda: _is_idle(chain))
    assert gate.begun == ["/runs"]


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_caller_that_leaves_behind_malformed_bytes_is_noticed(make_chain, gate, is_reset):
    chain = make_chain(gate, value=_make_value(slots=1, queue=4))
    conn = chain.connect()
    conn.sendall(_get("/one") + _get("/two") + b"\x00\x00\r\n\r\n")
    wait_until(lambda: len(gate.begun) == 1 and chain.upstreams[0].limiter.waiting == 1)
    _leave(conn, is_reset)
    wait_until(lambda: _is_idle(chain) and len(gate.cut) == len(gate.begun))
    assert len(gate.begun) == 1


def _expire(connection) -> None:
    """Let the time limit of an unfinished head pass."""
    connection._time_limit.expires_at = 0.0
    connection.end_if_expired(monotonic())


def _fail(connection) -> None:
    """Let the reader of a connection fail."""
    connection._greenlet.kill(MemoryError, block=False)


@pytest.mark.parametrize("end_reading", [_expire, _fail])
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_caller_that_leaves_once_reading_has_ended_is_noticed(make_chain, gate, is_reset, end_reading):
    chain = make_chain(gate, value=_make_value(slots=1, queue=4))
    conn = chain.connect()
    conn.sendall(_get("/one") + _get("/two") + b"GET /unfinished")
    wait_until(lambda: len(gate.begun) == 1 and chain.upstreams[0].limiter.waiting == 1)
    (connection,) = chain.entry._connections
    end_reading(connection)
    wait_until(lambda: not connection._is_reading)
    _leave(conn, is_reset)
    wait_until(lambda: _is_idle(chain) and len(gate.cut) == len(gate.begun))
    assert len(gate.begun) == 1
