# SPDX-License-Identifier: BSD-3-Clause
"""Tests of planned stops, with requests in progress at several servers of a daemon.

What callers saw: they sent an upload some time after SIGTERM, while the daemon still
accepted requests, and half a second before the grace time was over their connection
was closed without an answer. Some processes ran on until they were killed.

The order of events: the daemon lingers for its callers for half of the grace time. Then
its servers stop one after the other, in reverse order of their start, and each waits
for its own requests for the same limit. Behind the first of them, the next ones still
accept. When a limit is over, what is in progress at that server is cut, whatever is
known of it, and the sum of the limits is longer than the grace time.

The cause: each server knew a limit of its own, and neither the servers nor the request
path knew the one time at which the process has to have answered everything.
"""

import json
import signal
import subprocess
import sys
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket

from lanedock.kernel import Kernel, StopPlan
from lanedock.settings import Address, load_settings
from lanedock.telemetry import EventLogger, NullMetrics, NullTracer
from lanedock.wire import messages
from lanedock_daemon.framed import FramedTransport
from lanedock_daemon.path.http import ASK_LIMIT
from lanedock_daemon.path.server import PathServer
from lanedock_daemon.path.tests.chain import (
    HOST,
    Application,
    Gate,
    Upstream,
    make_value,
    put_in_force,
    wait_until,
)
from lanedock_daemon.roles import add_daemon
from lanedock_daemon.stops import make_stop_plan

# Seconds; half of it is for callers to go elsewhere.
GRACE = 3.0
# Longer than any part of a stop, in seconds.
LONG = 20.0
# Sent with its head; the longer ones are sent once the other daemon wants them.
SMALL_BODY = ASK_LIMIT
SHORT_BODY = 60_000
LONG_BODY = 100_000


def _free_ports(count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class _Sent(gevent.Greenlet):
    """Requests that were sent on one connection, and what has come back on it."""

    def __init__(self, address: tuple[str, int], data: bytes):
        super().__init__()
        self.received = b""
        self._conn = socket.create_connection(address, timeout=10 * LONG)
        self._conn.sendall(data)
        self.start()

    def send_more(self, data: bytes) -> None:
        """Send more on the connection."""
        self._conn.sendall(data)

    def _run(self) -> None:
        with self._conn as conn:
            while more := conn.recv(65536):
                self.received += more


class _Daemon:
    """A daemon whose kernel is stopped as by a signal, its application, and another upstream.

    Parameters
    ----------
    folder : Path
        For its settings.
    is_entry : bool
        Whether it is an entry daemon, else that of an upstream.
    other : Gate, optional
        What the application behind another daemon does.

    Attributes
    ----------
    own, other : Gate
        What the application beside it does, and the one behind another daemon.
    """

    def __init__(self, folder, is_entry: bool = False, other=None, **settings):
        value = make_value(slots=1)
        for route in value["routes"]:
            route["deadline_ms"] = int(LONG * 1000)
        self.own, self.other = Gate(), other or Gate()
        self.application = Application(self.own)
        self.upstream = Upstream("u0", Application(self.other), value)
        self.ports = dict(zip(("entry", "egress", "upstream", "ready"), _free_ports(4), strict=True))
        self.kernel = Kernel()
        self.kernel.add(FramedTransport(None))
        made = load_settings(str(self._write(folder, is_entry, settings or {"stop_grace_s": GRACE})))
        add_daemon(self.kernel, made, EventLogger("d"), NullMetrics(), NullTracer())
        self.kernel.start()
        self.view = self.kernel.find("agent")._view
        put_in_force(self.view, value, True)
        self.view.holder.confirm_floor(value["version"])
        update = messages.EndpointUpdate(whole=True)
        port = self.upstream.server.port
        update.changed.add(instance="u0", service="s", zone="z", host=HOST, port=port, incarnation=1)
        self.view.take_endpoints(update)
        self.stopping: gevent.Greenlet | None = None

    def _write(self, folder, is_entry: bool, settings: dict):
        address = {name: f"{HOST}:{port}" for name, port in self.ports.items()}
        limits = {"stall_limit_ms": 60000, "staleness_limit_ms": 60000}
        settings = {
            "name": "d",
            "zone": "z",
            "transport": "framed",
            "daemon": {"control": [f"{HOST}:1"], "any_service": True, "ready": address["ready"], **limits},
            **settings,
        }
        upstream = {
            "service": "s",
            "listen": address["upstream"],
            "application": f"{HOST}:{self.application.address[1]}",
            "egress": address["egress"],
        }
        settings.update({"entry": {"listen": address["entry"]}} if is_entry else {"upstream": upstream})
        path = folder / "d.jsonc"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path

    def begin(self, server: str, *requests: bytes) -> "_Sent":
        """Send requests on one connection."""
        return _Sent((HOST, self.ports[server]), b"".join(requests))

    def read(self, sent: "_Sent") -> bytes:
        """Return what comes on a connection until it ends, with the process at the latest."""
        gevent.wait([sent, *([self.stopping] if self.stopping else [])], timeout=LONG, count=1)
        return sent.received

    def learn_times(self, server: str) -> None:
        """Let the other upstream's daemon see how quick its application is."""
        self.other.opened.set()
        answer = self.read(self.begin(server, _request("/first", close=True)))
        assert answer.startswith(b"HTTP/1.1 200")
        self.other.opened.clear()

    def note_time(self, taken: float) -> None:
        """Let the daemon see a request that takes so many seconds."""
        balancer = self.view.balancer("s")
        stats = balancer.choose(1, 0.0, frozenset(), False)
        balancer.begin(stats, 0.0)
        balancer.end(stats, False, 0.0, None, taken, False, "post")

    def stop(self) -> None:
        """Begin a stop; returns once callers are sent elsewhere."""
        self.stopping = gevent.spawn(self.kernel.stop)
        wait_until(lambda: self.view.is_stopping)

    def close(self) -> None:
        self.own.opened.set()
        self.other.opened.set()
        (self.stopping or gevent.spawn(self.kernel.stop)).join()
        self.upstream.server.stop()
        for application in (self.application, self.upstream.application):
            application.server.stop(timeout=0)


@pytest.fixture
def make_daemon(tmp_path):
    made = []

    def make(**options):
        made.append(_Daemon(tmp_path, **options))
        return made[-1]

    yield make
    for daemon in made:
        daemon.close()


def _request(path: str, length: int = 5, sent: int | None = None, headers: str = "", close: bool = False) -> bytes:
    headers += "connection: close\r\n" if close else ""
    head = f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n{headers}\r\n"
    return head.encode() + b"." * (length if sent is None else sent)


def _from_daemon(path: str, method: str = "POST") -> bytes:
    """Make a request as another daemon sends it."""
    headers = "x-lanedock-service: s\r\nx-lanedock-class: write\r\nx-lanedock-route: post\r\n"
    return _request(path, headers=f"{headers}x-request-deadline-ms: {int(LONG * 1000)}\r\n")


def _outcomes(data: bytes) -> list[str]:
    """Return the outcomes of the answers on a connection; empty for one of an application."""
    heads = [part.split(b"\r\n\r\n")[0].decode() for part in data.split(b"HTTP/1.1 ")[1:]]
    return [head.partition("x-request-outcome: ")[2].partition("\r\n")[0] for head in heads]


def _is_waiting(daemon: _Daemon) -> bool:
    return daemon.upstream.limiter.waiting == 1


# Where a request stands when the daemon stops, at which server it came, and what is
# known of it in the end.
_STANDING = {
    "at the application of another daemon": ("egress", ["unknown"]),
    "in chunks at the application of another daemon": ("egress", ["unknown"]),
    "in the queue of another daemon": ("entry", ["unknown"]),
    "in the queue of another daemon, sent while the daemon stops": ("entry", ["not-run"]),
    "its long body not yet wanted": ("egress", ["not-run"]),
    "its short body not yet wanted": ("entry", ["not-run"]),
    "its body still to come": ("entry", ["not-run"]),
    "behind another on its connection": ("egress", ["unknown", "unknown"]),
    "at the application beside the daemon": ("upstream", ["unknown"]),
}


def _send_where(daemon: _Daemon, standing: str, server: str) -> _Sent:
    """Send a request, and begin a stop when it stands where it should."""
    if standing == "at the application beside the daemon":
        sent = daemon.begin(server, _from_daemon("/x"))
        wait_until(lambda: daemon.own.begun)
    elif standing == "its body still to come":
        sent = daemon.begin(server, _request("/x", SHORT_BODY, sent=0))
        wait_until(lambda: daemon.kernel.find(server).in_progress)
    elif standing == "in chunks at the application of another daemon":
        head = b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        sent = daemon.begin(server, head, b"5\r\nhello\r\n0\r\n\r\n")
        wait_until(lambda: "/x" in daemon.other.begun)
    elif standing == "at the application of another daemon":
        sent = daemon.begin(server, _request("/x", SHORT_BODY))
        wait_until(lambda: "/x" in daemon.other.begun)
    else:
        before = daemon.begin(server, _request("/before"), _request("/x")) if "behind" in standing else None
        if before is None:
            daemon.begin(server, _request("/before"))
        wait_until(lambda: daemon.other.begun[1:])
        if "while the daemon stops" in standing:
            daemon.stop()
        length = {"its long": LONG_BODY, "its short": SHORT_BODY}.get(standing.partition(" body")[0], SMALL_BODY)
        sent = before or daemon.begin(server, _request("/x", length))
        wait_until(lambda: _is_waiting(daemon))
    if daemon.stopping is None:
        daemon.stop()
    return sent


@pytest.mark.parametrize("standing", _STANDING)
def test_a_request_that_was_read_has_its_answer_before_the_process_ends(make_daemon, standing):
    server, outcomes = _STANDING[standing]
    daemon = make_daemon(is_entry=server == "entry")
    # What is sent during the stop has to begin well before the deadline then.
    daemon.note_time(GRACE / 10)
    if server != "upstream":
        daemon.learn_times(server)
    sent = _send_where(daemon, standing, server)
    assert _outcomes(daemon.read(sent)) == outcomes
    daemon.stopping.get(timeout=LONG)
    if "not-run" in outcomes:
        assert "/x" not in daemon.other.begun


@pytest.mark.parametrize("server", ["entry", "egress"])
def test_what_cannot_end_before_the_process_does_is_refused_at_once(make_daemon, server):
    daemon = make_daemon(is_entry=server == "entry")
    daemon.note_time(2 * GRACE)
    daemon.stop()
    answer = daemon.read(daemon.begin(server, _request("/x", SHORT_BODY)))
    assert not daemon.stopping.ready()
    assert answer.startswith(b"HTTP/1.1 503")
    assert _outcomes(answer) == ["not-run"]
    assert b"\r\nretry-after: " in answer
    assert b"\r\nconnection: close\r\n" in answer
    assert not daemon.other.begun


def test_all_servers_share_the_time_that_a_stop_may_take(make_daemon):
    daemon = make_daemon()
    sent = [daemon.begin("upstream", _from_daemon("/own"))]
    sent.append(daemon.begin("egress", _request("/other")))
    wait_until(lambda: daemon.own.begun and daemon.other.begun)
    daemon.stop()
    daemon.stopping.join(timeout=GRACE)
    assert daemon.stopping.ready()
    assert all(_outcomes(one.received) for one in sent)


def test_an_application_is_waited_for_after_callers_are_taken_no_more(make_daemon):
    daemon = make_daemon()
    sent = [daemon.begin("upstream", _from_daemon("/own")), daemon.begin("egress", _request("/x"))]
    wait_until(lambda: daemon.own.begun and daemon.other.begun)
    daemon.stop()
    wait_until(lambda: not _is_listening(daemon.ports["upstream"]))
    daemon.own.opened.set()
    daemon.other.opened.set()
    assert [daemon.read(one).split(b"\r\n")[0] for one in sent] == [b"HTTP/1.1 200 OK"] * 2


def _is_listening(port: int) -> bool:
    try:
        socket.create_connection((HOST, port), timeout=1).close()
    except OSError:
        return False
    return True


def test_calls_of_the_application_are_served_while_it_works(make_daemon):
    daemon = make_daemon()
    # Calls of a route that is known to be quick: what may take long has no time left.
    daemon.note_time(GRACE / 60)
    daemon.other.opened.set()
    sent = daemon.begin("upstream", _from_daemon("/own"))
    wait_until(lambda: daemon.own.begun)
    daemon.stop()
    wait_until(lambda: not _is_listening(daemon.ports["upstream"]))
    call = daemon.begin("egress", _request("/call", close=True))
    assert daemon.read(call).startswith(b"HTTP/1.1 200")
    daemon.own.opened.set()
    assert daemon.read(sent).startswith(b"HTTP/1.1 200")


class _Stream(Gate):
    """Sends half of a long answer, and the rest when the gate opens."""

    half = b"." * 100_000

    def __call__(self, conn, head: str, body: bytes) -> bytes:
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (2 * len(self.half)) + self.half)
        self.opened.wait()
        return self.half


def test_an_answer_goes_on_while_the_daemon_stops(make_daemon):
    daemon = make_daemon(is_entry=True, other=_Stream())
    sent = daemon.begin("entry", _request("/x"))
    wait_until(lambda: sent.received)
    daemon.stop()
    wait_until(lambda: not _is_listening(daemon.ports["entry"]))
    daemon.other.opened.set()
    assert daemon.read(sent).endswith(b"\r\n\r\n" + 2 * _Stream.half)


@pytest.mark.parametrize("taken,status,outcome", [(0.01, b"200", ""), (GRACE, b"503", "not-run")])
def test_what_comes_on_a_kept_connection_after_callers_have_gone_is_the_last(make_daemon, taken, status, outcome):
    daemon = make_daemon(is_entry=True)
    daemon.other.opened.set()
    daemon.note_time(taken)
    request = _request("/x")
    sent = daemon.begin("entry", request[:20])
    wait_until(lambda: any(not one.is_idle() for one in daemon.kernel.find("entry")._connections))
    daemon.stop()
    wait_until(lambda: not _is_listening(daemon.ports["entry"]))
    sent.send_more(request[20:])
    answer = daemon.read(sent)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert _outcomes(answer) == [outcome]
    assert b"\r\nconnection: close\r\n" in answer
    assert daemon.other.begun == ([] if outcome else ["/x"])


def test_the_application_keeps_its_own_deadline(make_daemon):
    daemon = make_daemon(is_entry=True)
    daemon.other.opened.set()
    daemon.stop()
    assert daemon.read(daemon.begin("entry", _request("/x", close=True))).startswith(b"HTTP/1.1 200")
    head = daemon.upstream.application.heads[0]
    assert int(head.partition("x-request-deadline-ms: ")[2].partition("\r\n")[0]) > 1000 * GRACE
    assert "x-lanedock" not in head


def test_a_daemon_does_not_begin_on_what_its_sender_cannot_wait_for(make_daemon):
    daemon = make_daemon()
    request = _from_daemon("/x").replace(
        b"content-length", b"x-lanedock-start-by-ms: 0\r\nconnection: close\r\ncontent-length"
    )
    answer = daemon.read(daemon.begin("upstream", request))
    assert answer.startswith(b"HTTP/1.1 503")
    assert _outcomes(answer) == ["not-run"]
    assert not daemon.own.begun


class _Silent:
    """A side that never answers."""

    def __init__(self):
        self.requests = 0

    def handle(self, request):
        self.requests += 1
        gevent.sleep(10 * LONG)


def test_a_request_that_comes_after_the_final_answers_is_told_that_it_has_not_run():
    side, plan = _Silent(), StopPlan()
    server = PathServer("operators", Address(HOST, 0), side, plan, EventLogger("c"))
    server.start(None)
    plan.begin(0.0)
    sent = _Sent((HOST, server.port), _request("/x", close=True))
    sent.join(timeout=LONG)
    assert _outcomes(sent.received) == ["not-run"]
    assert not side.requests
    server.stop()


@pytest.mark.parametrize(
    "grace,is_daemon,linger,deadline",
    [(6.0, True, 3.0, 5.4), (None, True, 0.0, 2.3), (None, False, 0.0, 2.0)],
)
def test_the_deadline_follows_from_the_settings(grace, is_daemon, linger, deadline):
    daemon = object() if is_daemon else None
    plan = make_stop_plan(SimpleNamespace(stop_grace_s=grace, stop_timeout_ms=2000, daemon=daemon))
    plan.begin(0.0)
    assert (plan.linger, plan.deadline) == pytest.approx((linger, deadline))


def test_a_request_whose_side_knows_nothing_of_stops_is_told_unknown():
    side = _Silent()
    server = PathServer("operators", Address(HOST, 0), side, StopPlan(), EventLogger("c"))
    server.start(None)
    sent = _Sent((HOST, server.port), _request("/x"))
    wait_until(lambda: side.requests)
    server.stop()
    sent.join(timeout=LONG)
    assert _outcomes(sent.received) == ["unknown"]


def test_signals_that_come_while_a_process_stops_change_nothing(tmp_path):
    ready, entry = _free_ports(2)
    limits = {"control": [f"{HOST}:1"], "ready": f"{HOST}:{ready}"}
    settings = {"name": "d", "zone": "z", "transport": "framed", "stop_grace_s": GRACE, "daemon": limits}
    path = tmp_path / "d.jsonc"
    path.write_text(json.dumps({**settings, "entry": {"listen": f"{HOST}:{entry}"}}), encoding="utf-8")
    process = subprocess.Popen(
        [sys.executable, "-m", "lanedock_daemon.app", "--settings", str(path)], stdout=subprocess.PIPE
    )
    try:
        wait_until(lambda: _is_listening(entry))
        # A request that never comes to its end: the process has to stop without it.
        held = _Sent((HOST, entry), b"POST /x HTTP/1.1\r\n")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        output = process.communicate(timeout=GRACE)[0].decode()
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 0
    assert [output.count(f'"{event}"') for event in ("STOPPING", "RELOADED", "STOPPED")] == [1, 1, 1]
    held.join(timeout=LONG)
