# SPDX-License-Identifier: BSD-3-Clause
"""Requests whose paths lack the last slash of a route's prefix: which service runs them?

Two daemons, one with a backend of `ledger` and one with a backend of `pages`. The configuration has two hosts: on
`both.example`, "/charges/" goes to `ledger` and "/" to `pages`; on `one.example` there is only "/charges/". By the
pages, the path "/charges" doesn't begin with the prefix "/charges/".
"""

import json
import os
import signal
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import HEARTBEAT_S, CannotRunError, Platform, call  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["ledger", "pages"]
ROUTES = [
    ("charge", "both.example", "/charges/", "non_idempotent", "ledger"),
    ("page", "both.example", "/", "idempotent", "pages"),
    ("charge-only", "one.example", "/charges/", "non_idempotent", "ledger"),
]
ROUNDS = 20


class Backend(ThreadingHTTPServer):
    """A backend that records which requests it runs."""

    daemon_threads = True

    def __init__(self, address: tuple[str, int], service: str, number: int, runs: dict[str, list[str]], note):
        self.service = service
        self.name = f"i-{number}"
        self.runs = runs
        self.note = note
        self._address = address
        self._born = time.time_ns() // 1_000_000
        self._call_seq = 0
        super().__init__(address, Handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def send_heartbeats(self, control_port: int) -> None:
        while True:
            self._call_seq += 1
            host, port = self._address
            info = {"service": self.service, "version": "v1", "zone": "zone-0", "slotCount": 12}
            status = {"state": "ready", "callSeq": self._call_seq, "coldLeftS": 0}
            beat = {"address": f"{host}:{port}", "born": self._born, "info": info, "status": status}
            try:
                call((host, control_port), "POST", f"/Instances.Heartbeat/{self.name}", json.dumps(beat).encode())
            except OSError:
                pass  # the daemon is not listening yet
            time.sleep(HEARTBEAT_S)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def _answer(self) -> None:
        self.rfile.read(int(self.headers.get("content-length", 0)))
        server = self.server
        if self.path == "/health":
            self._send(200, [("X-Instance-Id", server.name)], b"")
            return
        request_id = self.headers["X-Request-Id"]
        if self.headers.get("X-Expect-Instance", server.name) != server.name:
            self._send(421, [("X-Request-Id", request_id)], b"")
            return
        server.note(f"{server.name} of {server.service} runs {request_id}: {self.command} {self.path}")
        server.runs.setdefault(request_id, []).append(server.service)
        stamp = f"{server.name}.{request_id}"
        self._send(200, [("X-Request-Id", request_id), ("X-Server-Stamp", stamp)], server.service.encode())

    do_GET = do_POST = _answer

    def _send(self, status: int, fields: list[tuple[str, str]], body: bytes) -> None:
        self.send_response(status)
        for name, value in (*fields, ("Content-Length", str(len(body)))):
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments) -> None:
        pass


def make_configuration() -> dict:
    routes = [
        {
            "name": name,
            "host": host,
            "pathPrefix": prefix,
            "kind": kind,
            "timeoutS": 1,
            "targetLatencyS": 0.5,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
        }
        for name, host, prefix, kind, service in ROUTES
    ]
    services = [
        {"name": name, "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": False} for name in SERVICES
    ]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}
    return {"version": "00000001", "routes": routes, "services": services, "limits": limits, "baseVersion": "00000000"}


def find_service(host: str, path: str) -> str:
    """Return the service to which the configuration sends a request, by the pages; empty if there is no route."""
    fitting = [(prefix, service) for _, at, prefix, _, service in ROUTES if at == host and path.startswith(prefix)]
    return max(fitting, key=lambda item: len(item[0]))[1] if fitting else ""


def run(platform: Platform, note) -> list[str]:
    """Return the descriptions of the requests that break the rule."""
    ports = platform.ports
    runs: dict[str, list[str]] = {}
    for number, ip in enumerate(platform.daemons):
        backend = Backend((ip, ports["app"]), SERVICES[number], number, runs, note)
        threading.Thread(target=backend.send_heartbeats, args=(ports["control"],), daemon=True).start()
    platform.start()
    status = platform.put(make_configuration())
    if status != 200:
        raise CannotRunError(f"the configuration was answered with {status}")
    platform.wait_ready()
    wanted = [
        ("POST", "both.example", "/charges/7"),
        ("GET", "both.example", "/news"),
        ("POST", "one.example", "/other/"),
    ]
    if TROUBLE:
        wanted += [("GET", "both.example", "/charges"), ("POST", "one.example", "/charges")]
    broken, served = [], 0
    for number in range(ROUNDS):
        for place, (method, host, path) in enumerate(wanted):
            request_id = f"{number:04x}{place:04x}"
            headers = {"Host": host, "X-Request-Id": request_id, "X-Deadline-Ms": "2000"}
            target = (platform.daemons[number % len(platform.daemons)], ports["outbound"])
            note(f"client sends {request_id}: {method} {host} {path}")
            status, fields, body = call(target, method, path, b"", headers)
            note(f"client gets {status} to {request_id}: {body!r}, {fields}")
            served += status == 200
            allowed = find_service(host, path)
            wrong = [service for service in runs.get(request_id, []) if service != allowed]
            if wrong:
                broken.append(
                    f"{request_id}: {method} {host}{path} ran at {wrong[0]}; the configuration allows "
                    f"{allowed or 'no service'}; the client got {status} {body!r}"
                )
    summary = f"{ROUNDS * len(wanted)} requests, {served} served, {len(broken)} run by a service that may not run them"
    for line in (summary, *broken):
        note(line)
    for line in (summary, *broken[:6]):
        print(line)
    if not served:
        raise CannotRunError("no request was served")
    return broken


def main() -> int:
    # A run that is ended from outside ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    platform = None
    with (HERE / "record.txt").open("w", encoding="utf-8") as record:
        began_at = time.monotonic()
        lock = threading.Lock()

        def note(text: str) -> None:
            with lock:
                record.write(f"{time.monotonic() - began_at:9.4f} {text}\n")

        try:
            platform = Platform(SERVICES)
            return 1 if run(platform, note) else 0
        except Exception as exc:
            print(f"couldn't run: {exc!r}")
            return 2
        finally:
            if platform is not None:
                platform.stop()


if __name__ == "__main__":
    sys.stdout.flush()
    code = main()
    sys.stdout.flush()
    os._exit(code)
