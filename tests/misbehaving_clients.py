# SPDX-License-Identifier: BSD-3-Clause
"""Crowds of clients that stay inside the limits of single requests and hold as much of a process as they can."""

import os
import selectors
import socket
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

from platform_processes import Application, EchoHandler, PlatformProcesses

from lanedock_platform.tests.test_translation import make_configuration

__all__ = [
    "CROWD_TIME",
    "MAX_DESCRIPTORS",
    "MEMORY_MB",
    "ClientKind",
    "Crowd",
    "LimitedMesh",
    "Usage",
    "make_head",
    "make_header_lines",
]

# What the settings of the processes state, and thereby the bounds of the tests.
MEMORY_MB = 96
MAX_DESCRIPTORS = 400
# Slots of each application, more than a crowd has clients.
SLOTS = 500
# Seconds for which a crowd sends, and between two looks at what the processes hold.
CROWD_TIME = 8.0
LOOK_INTERVAL = 0.25
LONG_ANSWER = bytes(4_000_000)
# Bytes that a client that reads slowly takes each `LOOK_INTERVAL`.
SLOW_READ_BYTES = 100
SEND_BYTES = 64 * 1024
# Column numbers of /proc/net/tcp: queued bytes as `sent:received`, and the socket's inode.
QUEUES, INODE = 4, 9


def make_header_lines(size: int, name: Callable[[int], str] = lambda number: "a") -> bytes:
    """Make `size` bytes of header lines without values, whose names are given by their numbers."""
    lines = bytearray()
    while len(lines) < size:
        lines += b"%b:\r\n" % name(len(lines) // 4).encode()
    return bytes(lines)


def make_head(path: str, lines: bytes = b"", method: str = "GET", version: str = "1.1") -> bytes:
    """Make a whole head; `lines` follow those that the platform's clients send."""
    fixed = f"{method} {path} HTTP/{version}\r\nHost: shop.example\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 20000\r\n"
    return fixed.encode() + lines + b"\r\n"


class ClientKind:
    """What each client of a crowd does.

    Parameters
    ----------
    clients : int
    data : bytes
        Sent as far as it is taken.
    pace : int or None
        Bytes that a client reads each `LOOK_INTERVAL`; None for as many as come.
    role : str
        Whose door the crowd uses: `daemon` or `control`.
    """

    __slots__ = ("clients", "data", "pace", "role")

    def __init__(self, clients: int, data: bytes, pace: int | None = 0, role: str = "daemon"):
        self.clients = clients
        self.data = data
        self.pace = pace
        self.role = role


class _Client:
    """One client's connection; one that was closed by the other side is not opened again."""

    __slots__ = ("kind", "rest", "sock")

    def __init__(self, kind: ClientKind, address: tuple[str, int]):
        self.kind = kind
        self.rest = memoryview(kind.data)
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.connect_ex(address)

    def send(self) -> bool:
        """Send what is taken; return whether more may follow."""
        try:
            self.rest = self.rest[self.sock.send(self.rest[:SEND_BYTES]) :]
        except BlockingIOError:
            return True
        except OSError:
            return False
        return bool(self.rest)

    def read(self) -> None:
        """Read as much as the client's pace allows."""
        if self.kind.pace == 0:
            return
        try:
            self.sock.recv(self.kind.pace or SEND_BYTES)
        except OSError:
            pass  # nothing has come, or the other side has closed the connection


class Crowd:
    """Clients that connect at once, and send until `stop`.

    Parameters
    ----------
    kinds : list of ClientKind
    addresses : dict of str to tuple
        Host and port of each role.
    """

    def __init__(self, kinds: list[ClientKind], addresses: dict[str, tuple[str, int]]):
        self._selector = selectors.DefaultSelector()
        self._clients = deque(_Client(kind, addresses[kind.role]) for kind in kinds for _ in range(kind.clients))
        for client in self._clients:
            self._selector.register(client.sock, selectors.EVENT_WRITE, client)

    def run(self, seconds: float, on_look: Callable[[], None]) -> None:
        """Send for a number of seconds, reading and calling `on_look` each `LOOK_INTERVAL`."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            look_at = time.monotonic() + LOOK_INTERVAL
            while (remaining := look_at - time.monotonic()) > 0:
                for key, _ in self._selector.select(remaining):
                    if not key.data.send():
                        self._selector.unregister(key.fileobj)
                if not self._selector.get_map():
                    time.sleep(max(0.0, look_at - time.monotonic()))
            for client in self._clients:
                client.read()
            on_look()

    def stop(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.sock.close()
        self._selector.close()


class Usage:
    """The largest memory and number of descriptors of a process seen so far.

    Attributes
    ----------
    memory_bytes : int
        Resident memory, and what has arrived at its sockets and was not read.
    unread_bytes : int
        What has arrived and was not read.
    descriptors : int
    """

    def __init__(self, pid: int):
        self._pid = pid
        self.memory_bytes = 0
        self.unread_bytes = 0
        self.descriptors = 0

    def __repr__(self) -> str:
        unread = f"{self.unread_bytes / 1e6:.1f} MB unread at most"
        return f"<Usage {self.memory_bytes / 1e6:.1f} MB, {unread}, {self.descriptors} descriptors>"

    def look(self) -> None:
        """Update the largest values."""
        try:
            links = self._read_links()
            status = Path(f"/proc/{self._pid}/status").read_text(encoding="utf-8")
        except FileNotFoundError:
            return  # the process has ended
        sizes = {
            name: 1024 * int(rest.split()[0])
            for name, _, rest in (line.partition(":") for line in status.splitlines())
            if name in ("VmHWM", "VmRSS")
        }
        if sizes:
            unread = _count_unread_bytes(links)
            self.unread_bytes = max(self.unread_bytes, unread)
            self.memory_bytes = max(self.memory_bytes, sizes["VmHWM"], sizes["VmRSS"] + unread)
        self.descriptors = max(self.descriptors, len(links))

    def _read_links(self) -> set[str]:
        links = set()
        for name in os.listdir(f"/proc/{self._pid}/fd"):
            try:
                links.add(name + " " + os.readlink(f"/proc/{self._pid}/fd/{name}"))
            except FileNotFoundError:
                pass  # closed since the folder was listed
        return links


def _count_unread_bytes(links: set[str]) -> int:
    inodes = {link.partition("socket:[")[2].rstrip("]") for link in links}
    lines = Path("/proc/net/tcp").read_text(encoding="utf-8").splitlines()[1:]
    fields = (line.split() for line in lines)
    # Listening sockets (state 0A) count connections in this column.
    return sum(int(row[QUEUES].partition(":")[2], 16) for row in fields if row[INODE] in inodes and row[3] != "0A")


class _SlowHandler(EchoHandler):
    """Answers requests of the path /c/long with `LONG_ANSWER`, and others after half a second."""

    def do_GET(self) -> None:
        body = LONG_ANSWER if "long" in self.path else b"small"
        if "slow" in self.path:
            time.sleep(0.5)
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        self.send_header("X-Server-Stamp", self.server.upstream)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        try:
            if self.command == "GET":
                self.wfile.write(body)
        except OSError:
            self.close_connection = True

    def do_POST(self) -> None:
        if "chunked" in self.headers.get("transfer-encoding", ""):
            while size := int(self.rfile.readline() or b"0", 16):
                self.rfile.read(size + 2)
            self.rfile.readline()
        super().do_POST()

    do_HEAD = do_GET

    def parse_request(self) -> bool:
        # The base class accepts at most 100 header lines.
        self.requestline = self.raw_requestline.decode("latin-1").strip()
        self.command, self.path, self.request_version = self.requestline.split()
        self.headers = self.MessageClass()
        while line := self.rfile.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            self.headers[name] = value.strip()
        self.close_connection = self.headers.get("connection", "").lower() == "close"
        return "expect" not in self.headers or self.handle_expect_100()

    def handle_one_request(self) -> None:
        try:
            super().handle_one_request()
        except (OSError, ValueError):
            self.close_connection = True  # the daemon has closed the connection


class LimitedMesh(PlatformProcesses):
    """One control instance, and two daemons of a service each, on machines with little memory and few descriptors.

    Callers reach the second daemon's service, s2, under /c/ through the first daemon.
    """

    def __init__(self, folder: Path):
        super().__init__(folder, daemons=2, controls=1)

    def service(self, ip: str) -> str:
        return f"s{1 + self.daemons.index(ip)}" if ip in self.daemons else "s1"

    def make_settings(self, role: str, ip: str, bootstrap: bool) -> str:
        text = super().make_settings(role, ip, bootstrap)
        stated = f'{{ "memory_mb": {MEMORY_MB}, "max_descriptors": {MAX_DESCRIPTORS},'
        return text.replace('"max_descriptors": 4100,', "").replace('"memory_mb": 300,', "").replace("{", stated, 1)

    def make_application(self, ip: str, number: int) -> Application:
        application = Application(ip, f"i-{number}", service=self.service(ip), slots=SLOTS)
        application.RequestHandlerClass = _SlowHandler
        application.request_queue_size = 1024
        application.socket.listen(application.request_queue_size)
        return application

    def start_serving(self) -> None:
        """Start all processes with routes that allow requests 10 s."""
        value = make_configuration(4, 0, timeoutS=10)
        value["routes"][1] |= {"service": "s2", "split": [], "timeoutS": 10}
        self.start_ready(value)
