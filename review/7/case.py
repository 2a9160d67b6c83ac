# SPDX-License-Identifier: BSD-3-Clause
"""A request crashes each backend that begins to run it, some time after its client has left."""

import socket
import struct
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from fleet2 import BOUNDS, TROUBLE, Backend, BackendHandler, Fleet, main, make_config, make_route  # noqa: E402

POISON = "/lists/all-species"
CRASH_AFTER_S = 1.5  # seconds of work until the backend crashes
BACK_AFTER_S = 3.0  # seconds until it is back
# Seconds after which the client leaves: half of the route's targetLatencyS. With TROUBLE=0 it stays.
LEAVES_AFTER_S = 0.2
REPEATS, GAP_S = 16, 3.0
MOST_RETRIES = 3


class CrashingHandler(BackendHandler):
    """Works on, also when its connection is closed, as some backends do."""

    def run_request(self, body: bytes) -> None:
        if self.path != POISON:
            super().run_request(body)
            return
        backend = self.server
        request_id = self.headers.get("X-Request-Id", "")
        at = backend.fleet.record.note(
            f"run      {backend.ip} {backend.upstream} {self.command} {self.path} {request_id}"
        )
        backend.fleet.arrivals.append((at, request_id))
        time.sleep(CRASH_AFTER_S)
        backend.crash(request_id)


class CrashingBackend(Backend):
    """Ends at once, with all of its connections, and comes back some seconds later under another id."""

    starts = 0

    def __init__(self, fleet, ip, service, number):
        self._conns: set[socket.socket] = set()
        self._has_crashed = False
        self._lock = threading.Lock()
        super().__init__(fleet, ip, service, number)

    def process_request(self, request, client_address) -> None:
        self._conns.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request) -> None:
        self._conns.discard(request)
        super().shutdown_request(request)

    def crash(self, request_id: str) -> None:
        with self._lock:
            if self._has_crashed:
                return
            self._has_crashed = True
        self.stop_beats()
        self.shutdown()
        self.socket.close()
        for conn in list(self._conns):
            try:
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                conn.shutdown(socket.SHUT_RDWR)
                conn.close()
            except OSError:
                pass
        at = self.fleet.record.note(f"crash    {self.ip} {self.upstream} by {request_id}")
        self.fleet.crashes.append(at)
        threading.Timer(BACK_AFTER_S, self._come_back).start()

    def _come_back(self) -> None:
        if self.fleet.has_ended:
            return
        CrashingBackend.starts += 1
        self.fleet.backends[self.ip] = CrashingBackend(self.fleet, self.ip, self.service, 100 + CrashingBackend.starts)
        self.fleet.record.note(f"back     {self.ip} {self.fleet.backends[self.ip].upstream}")


class CrashFleet(Fleet):
    backend_handler = CrashingHandler
    backend_class = CrashingBackend

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.arrivals: list[tuple[float, str]] = []
        self.crashes: list[float] = []
        self.has_ended = False


def send_poison(fleet: Fleet, ip: str, number: int) -> None:
    """Send the request; its client leaves early, or stays until its deadline."""
    request_id = f"poison-{number:04d}"
    head = f"GET {POISON} HTTP/1.1\r\nHost: birds.example\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 2500\r\n\r\n"
    fleet.record.note(f"send     {ip} GET {POISON} {request_id}")
    answer = fleet.exchange(ip, fleet.ports["outbound"], head.encode(), LEAVES_AFTER_S if TROUBLE else 2.6)
    fleet.record.note(f"left     {ip} {request_id} after {answer[:60]!r}")


def run() -> bool:
    fleet = CrashFleet(CASE, ["lists"] * 6)
    record = fleet.record
    try:
        fleet.start_ready(make_config(1, 0, [make_route("r1", "/lists/", "lists")], ["lists"]))
        time.sleep(BOUNDS["contactS"] + 1)
        for number in range(REPEATS):
            began = time.monotonic()
            send_poison(fleet, fleet.daemons[number % len(fleet.daemons)], number)
            for ip in fleet.daemons:
                fleet.request(ip, "/lists/wetland")
            time.sleep(max(0.0, began + GAP_S - time.monotonic()))
        time.sleep(CRASH_AFTER_S)
        if len(fleet.crashes) < 3:
            print(f"{len(fleet.crashes)} crashes only")
            return True
        due = fleet.crashes[2] + BOUNDS["contactS"]
        late = {request_id for at, request_id in fleet.arrivals if at > due}
        for request_id in sorted(late):
            record.note(f"LATE     {request_id} reached a backend")
        text = (
            f"{REPEATS} sent, {len(fleet.crashes)} crashes, {len(late)} retries arrived over contactS after the third"
        )
        record.note(f"result   {text}")
        print(text)
        return len(late) <= MOST_RETRIES
    finally:
        fleet.has_ended = True
        fleet.stop()


main(run)
