# SPDX-License-Identifier: BSD-3-Clause
"""A daemon that is stopped as by a signal, and the requests that tests send to it."""

import json

import gevent
from gevent import socket

from lanedock.kernel import Kernel
from lanedock.settings import load_settings
from lanedock.telemetry import EventLogger, NullMetrics, NullTracer
from lanedock.wire import messages
from lanedock_daemon.framed import FramedTransport
from lanedock_daemon.path.http.messages import MAX_UNSOLICITED_BODY_BYTES
from lanedock_daemon.path.tests.chain import HOST, Application, Gate, Upstream, make_value, put_in_force, wait_until
from lanedock_daemon.roles import add_daemon

__all__ = [
    "GRACE",
    "LONG",
    "LONG_BODY",
    "SHORT_BODY",
    "SMALL_BODY",
    "SentRequests",
    "SilentSide",
    "StoppingDaemon",
    "free_ports",
    "is_listening",
    "make_daemon_request",
    "make_request",
    "read_outcomes",
    "write_entry_settings",
]

# Grace time of a stop, in seconds; callers are served during half of it.
GRACE = 3.0
# Longer than any part of a stop, in seconds.
LONG = 20.0
# Lengths of bodies, in bytes. The small one is sent with its head, the longer ones on request
# of the other daemon.
SMALL_BODY = MAX_UNSOLICITED_BODY_BYTES
SHORT_BODY = 60_000
LONG_BODY = 100_000


def free_ports(count: int) -> list[int]:
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class SentRequests(gevent.Greenlet):
    """Requests sent on one connection, and the data received on it."""

    def __init__(self, address: tuple[str, int], data: bytes):
        super().__init__()
        self.received = b""
        self._conn = socket.create_connection(address, timeout=10 * LONG)
        self._conn.sendall(data)
        self.start()

    def send_more(self, data: bytes) -> None:
        """Send more data on the connection."""
        self._conn.sendall(data)

    def _run(self) -> None:
        with self._conn as conn:
            while more := conn.recv(65536):
                self.received += more


class StoppingDaemon:
    """A daemon whose kernel is stopped as by a signal, its application, and another upstream.

    Parameters
    ----------
    folder : Path
        Folder for the settings.
    is_entry : bool
        Whether it is an entry daemon; otherwise it is an upstream's daemon.
    other : Gate, optional
        Controls the application behind the other daemon.
    any_service : bool
        Whether callers may use the server for calls, too.

    Attributes
    ----------
    own, other : Gate
        Control the application beside this daemon, and the one behind the other daemon.
    """

    def __init__(self, folder, is_entry: bool = False, other=None, any_service: bool = True, **settings):
        self._any_service = any_service
        value = make_value(slots=1)
        for route in value["routes"]:
            route["deadline_ms"] = int(LONG * 1000)
        self.own, self.other = Gate(), other or Gate()
        self.application = Application(self.own)
        self.upstream = Upstream("u0", Application(self.other), value)
        self.ports = dict(zip(("entry", "egress", "upstream", "ready"), free_ports(4), strict=True))
        self.kernel = Kernel()
        self.kernel.add(FramedTransport(None))
        loaded = load_settings(str(self._write(folder, is_entry, settings or {"stop_grace_s": GRACE})))
        add_daemon(self.kernel, loaded, EventLogger("d"), NullMetrics(), NullTracer())
        self.kernel.start()
        self.view = self.kernel.find("agent")._view
        put_in_force(self.view, value, True)
        self.view.holder.confirm_floor(value["version"])
        update = messages.EndpointUpdate(whole=True)
        port = self.upstream.server.port
        update.changed.add(instance="u0", service="s", zone="z", host=HOST, port=port, incarnation=1)
        self.view.apply_endpoints(update)
        self.stopping: gevent.Greenlet | None = None

    def _write(self, folder, is_entry: bool, settings: dict):
        address = {name: f"{HOST}:{port}" for name, port in self.ports.items()}
        limits = {"stall_limit_ms": 60000, "staleness_limit_ms": 60000}
        settings = {
            "name": "d",
            "zone": "z",
            "transport": "framed",
            "daemon": {"control": [f"{HOST}:1"], "any_service": self._any_service, "ready": address["ready"], **limits},
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

    def begin(self, server: str, *requests: bytes) -> "SentRequests":
        """Send requests on one connection."""
        return SentRequests((HOST, self.ports[server]), b"".join(requests))

    def read(self, sent: "SentRequests") -> bytes:
        """Return the data received on a connection until it ends or the daemon has stopped."""
        gevent.wait([sent, *([self.stopping] if self.stopping else [])], timeout=LONG, count=1)
        return sent.received

    def learn_times(self, server: str) -> None:
        """Send a request, from which the other daemon learns the response time of its application."""
        self.other.opened.set()
        answer = self.read(self.begin(server, make_request("/first", close=True)))
        assert answer.startswith(b"HTTP/1.1 200"), answer
        self.other.opened.clear()

    def note_time(self, taken: float) -> None:
        """Record a request that took `taken` seconds in the daemon's statistics."""
        balancer = self.view.balancer("s")
        stats = balancer.choose(1, 0.0, frozenset(), False)
        balancer.begin(stats, 0.0)
        balancer.end(stats, False, 0.0, None, taken, False, "post")

    def stop(self) -> None:
        """Begin a stop; return once the daemon is not ready for callers."""
        self.stopping = gevent.spawn(self.kernel.stop)
        wait_until(lambda: self.view.is_stopping)

    def close(self) -> None:
        self.own.opened.set()
        self.other.opened.set()
        (self.stopping or gevent.spawn(self.kernel.stop)).join()
        self.upstream.server.stop()
        for application in (self.application, self.upstream.application):
            application.server.stop(timeout=0)


def make_request(path: str, length: int = 5, sent: int | None = None, headers: str = "", close: bool = False) -> bytes:
    headers += "connection: close\r\n" if close else ""
    head = f"POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n{headers}\r\n"
    return head.encode() + b"." * (length if sent is None else sent)


def make_daemon_request(path: str, method: str = "POST") -> bytes:
    """Return a request as another daemon sends it."""
    headers = "x-lanedock-service: s\r\nx-lanedock-class: write\r\nx-lanedock-route: post\r\n"
    return make_request(path, headers=f"{headers}x-request-deadline-ms: {int(LONG * 1000)}\r\n")


def read_outcomes(data: bytes) -> list[str]:
    """Return the outcomes of the answers on a connection; an application's answer has an empty one."""
    heads = [part.split(b"\r\n\r\n")[0].decode() for part in data.split(b"HTTP/1.1 ")[1:]]
    return [head.partition("x-request-outcome: ")[2].partition("\r\n")[0] for head in heads]


def is_listening(port: int) -> bool:
    try:
        socket.create_connection((HOST, port), timeout=1).close()
    except OSError:
        return False
    return True


def write_entry_settings(folder, ready: int, entry: int) -> str:
    """Write the settings of an entry daemon that finds no control instance; returns their path."""
    limits = {"control": [f"{HOST}:1"], "ready": f"{HOST}:{ready}"}
    settings = {"name": "d", "zone": "z", "transport": "framed", "stop_grace_s": GRACE, "daemon": limits}
    path = folder / "d.jsonc"
    path.write_text(json.dumps({**settings, "entry": {"listen": f"{HOST}:{entry}"}}), encoding="utf-8")
    return str(path)


class SilentSide:
    """A request handler that never answers."""

    def __init__(self):
        self.requests = 0

    def handle(self, request):
        self.requests += 1
        gevent.sleep(10 * LONG)
