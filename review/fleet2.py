# SPDX-License-Identifier: BSD-3-Clause
"""Small fleet for the cases of the second review: the project's own programs, and stand-ins of backends and clients.

Programs are started with the commands of deploy/system.toml and settings filled from its templates. Each machine has a
loopback address of its own; all of them use the same ports, as on the platform.
"""

import contextlib
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.5
BOUNDS = {
    "contactS": 3,
    "drainS": 2,
    "graceS": 6,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 62,
}
HOST = "birds.example"
START_LIMIT = 40.0


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes record.txt: one line for each thing that was sent, answered, run or done."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115 - open until the end of the process
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def note(self, text: str) -> float:
        now = time.monotonic()
        with self._lock:
            self._file.write(f"{now - self._began:9.4f} {text}\n")
            self._file.flush()
        return now


def _free_network() -> str:
    for number in range(os.getpid(), os.getpid() + 2000):
        network = f"127.{1 + number // 256 % 254}.{number % 256}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{network}.254", 8620))
                return network
            except OSError:
                continue
    raise CannotRun("no loopback network is free")


def _free_ports(ips: list[str], count: int) -> list[int]:
    found: list[int] = []
    for port in range(21000 + os.getpid() % 5000, 32000):
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRun("not enough free ports")


def _fill(template: str, fields: dict) -> str:
    """Fill the gaps of a template; of the sections, those that the deploy file's templates use."""

    def lookup(name: str):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
        return value

    def section(match) -> str:
        value = lookup(match[1])
        if isinstance(value, list):
            parts = [match[2].replace("{{.}}", str(item)) for item in value]
            return "".join(p.replace("{{,}}", "," if i < len(parts) - 1 else "") for i, p in enumerate(parts))
        return match[2] if value not in (None, False) else ""

    def gap(match) -> str:
        value = lookup(match[1])
        if isinstance(value, bool):
            return str(value).lower()
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


class Backend(ThreadingHTTPServer):
    """A sound backend: sends heartbeats, serves requests, and says so when it is leaving."""

    daemon_threads = True
    request_queue_size = 64
    work_s = 0.01

    def __init__(self, fleet: "Fleet", ip: str, service: str, number: int):
        self.fleet, self.ip, self.service = fleet, ip, service
        self.upstream = f"i-{os.getpid() % 0xFFFF:04x}{number:04x}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.runs: list[tuple[float, str, str]] = []
        self._stop_beats = threading.Event()
        super().__init__((ip, fleet.app_port), fleet.backend_handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()
        threading.Thread(target=self._send_beats, daemon=True).start()

    def handle_error(self, request, client_address) -> None:
        pass

    def make_beat(self) -> dict:
        self.sequence += 1
        return {
            "address": f"{self.ip}:{self.fleet.app_port}",
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.fleet.zone(self.ip), "slotCount": 12},
            "status": {"state": self.state, "callSeq": self.sequence, "coldLeftS": 0},
        }

    def call_daemon(self, path: str, body: bytes, on_answer=None) -> int:
        """Make a call of the backend at its daemon; returns the status, 0 if there is no answer within a second.

        `on_answer` is called without arguments as soon as the answer has come.
        """
        head = f"POST {path} HTTP/1.1\r\nHost: {self.ip}\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        try:
            with socket.create_connection((self.ip, self.fleet.ports["control"]), 1.0) as conn:
                conn.sendall(head.encode() + body)
                answer = conn.recv(4096)
                if on_answer is not None and answer.startswith(b"HTTP/1.1 2"):
                    on_answer()
        except OSError:
            return 0
        return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.1 ") else 0

    def _send_beats(self) -> None:
        while not self._stop_beats.is_set():
            self.call_daemon(f"/Instances.Heartbeat/{self.upstream}", json.dumps(self.make_beat()).encode())
            self._stop_beats.wait(HEARTBEAT_S)

    def stop_beats(self) -> None:
        self._stop_beats.set()

    def leave(self, on_answer=None) -> int:
        """Say that the backend leaves, without having reported to be draining; it goes on serving."""
        self.stop_beats()
        self.state = "leaving"
        return self.call_daemon(
            f"/Instances.Leave/{self.upstream}", json.dumps({"born": self.born}).encode(), on_answer
        )

    def stop(self) -> None:
        self.stop_beats()
        self.shutdown()
        self.server_close()


class BackendHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def _answer(self, status: int, body: bytes, **headers: str) -> None:
        backend = self.server
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        if backend.state != "ready":
            self.send_header("Server-Leaving", "1")
            self.send_header("Connection", "close")
            self.close_connection = True
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self) -> None:
        backend = self.server
        if self.path == "/health":
            self._answer(200 if backend.state == "ready" else 503, b"", X_Instance_Id=backend.upstream)
            return
        self.run_request(b"")

    def do_POST(self) -> None:
        self.run_request(self.rfile.read(int(self.headers.get("Content-Length", 0))))

    def run_request(self, body: bytes) -> None:
        backend = self.server
        request_id = self.headers.get("X-Request-Id", "")
        expected = self.headers.get("X-Expect-Instance")
        if expected is not None and expected != backend.upstream:
            self._answer(421, b"", X_Request_Id=request_id, X_Not_Executed="1")
            return
        caller = self.headers.get("X-Caller-Service", "")
        words = f"{backend.ip} {backend.upstream} {self.command} {self.path} {request_id} caller={caller}"
        at = backend.fleet.record.note(f"run      {words}")
        backend.runs.append((at, request_id, caller))
        time.sleep(backend.work_s)
        self._answer(
            200,
            f"{request_id} by {backend.upstream}\n".encode(),
            X_Request_Id=request_id,
            X_Server_Stamp=backend.upstream,
        )

    def log_message(self, *arguments) -> None:
        pass


class Fleet:
    """Control instances, daemons, and a backend beside each daemon."""

    backend_handler = BackendHandler
    backend_class = Backend

    def __init__(self, case: Path, services: list[str], zones: int = 3, controls: int = 3):
        if not (ROOT / "target" / "app" / "start.py").exists():
            raise CannotRun("target/ is missing: the build of the deploy file was not run")
        self.record = Record(case / "record.txt")
        network = _free_network()
        self._zones = zones
        self.controls = [f"{network}.{1 + n}" for n in range(controls)]
        self.daemons = [f"{network}.{11 + n}" for n in range(len(services))]
        self.services = dict(zip(self.daemons, services, strict=True))
        self.caller_ip = f"{network}.250"
        names = ("inbound", "outbound", "ready", "control", "app", "mesh", "load")
        found = _free_ports(self.controls + self.daemons, len(names))
        self.ports = dict(zip(names, found, strict=True))
        self.app_port = self.ports["app"]
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.backends: dict[str, Backend] = {}
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self._sent = 0

    def zone(self, ip: str) -> str:
        members = self.controls if ip in self.controls else self.daemons
        return f"nbo-{'abcde'[members.index(ip) % self._zones]}"

    def _settings(self, role: str, ip: str, bootstrap: bool) -> str:
        listen = {name: f"{ip}:{self.ports[name]}" for name in ("inbound", "outbound", "ready", "control")}
        data = self.folder / f"data-{ip}"
        fields = {
            "node": f"{role}-{ip.replace('.', '-')}",
            "zone": self.zone(ip),
            "ip": ip,
            "listen": listen,
            "portRange": [self.ports["mesh"], self.ports["load"]],
            "seeds": [f"{seed}:{self.ports['control']}" for seed in self.controls[:3]],
            "bootstrap": bootstrap,
            "limits": {"maxFds": 4100, "linkMbps": 1000.0},
            "heartbeatS": HEARTBEAT_S,
            "bounds": BOUNDS,
            "appAddr": f"{ip}:{self.app_port}",
            "service": self.services.get(ip, ""),
            "dataDir": str(data),
        }
        if role == "control":
            data.mkdir(exist_ok=True)
        return _fill((ROOT / self._roles[role]["template"]).read_text(encoding="utf-8"), fields)

    def start_process(self, ip: str, bootstrap: bool = False) -> None:
        role = "control" if ip in self.controls else "daemon"
        path = self.folder / f"{ip}.jsonc"
        path.write_text(self._settings(role, ip, bootstrap), encoding="utf-8")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"LANEDOCK_BOOT": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        with open(self.folder / f"{ip}.log", "ab") as log:
            words = self._roles[role]["run"].split()
            self.processes[ip] = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log)

    def start(self) -> None:
        for ip in self.controls:
            self.start_process(ip, True)
        for number, ip in enumerate(self.daemons):
            self.backends[ip] = self.backend_class(self, ip, self.services[ip], number)
            self.start_process(ip, True)

    def start_ready(self, config: dict) -> None:
        """Start all, put the first configuration, and wait until every daemon is ready and serves."""
        self.start()
        until = time.monotonic() + START_LIMIT
        if self.put(config, until) != 200:
            raise CannotRun("the first configuration was not acknowledged")
        for ip in self.daemons:
            self.wait_ready(ip, until)

    def wait_ready(self, ip: str, until: float) -> None:
        while self.get(ip, self.ports["ready"], "/ready")[0] != 200:
            if time.monotonic() > until:
                raise CannotRun(f"{ip} is not ready")
            time.sleep(0.05)

    def kill(self, ip: str) -> None:
        os.kill(self.processes[ip].pid, signal.SIGKILL)

    def signal(self, ip: str, number: int) -> None:
        self.processes[ip].send_signal(number)

    def restart_after_kill(self, ip: str) -> None:
        self.processes[ip].wait()
        self.start_process(ip)

    def stop(self) -> None:
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for backend in self.backends.values():
            backend.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder, file=sys.stderr)

    # ------------------------------------------------------------------ callers

    def exchange(self, ip: str, port: int, data: bytes, timeout: float = 3.0) -> bytes:
        """Send bytes on a new connection, and return all that comes until it ends or the time is up."""
        parts = []
        try:
            with socket.create_connection((ip, port), 1.0) as conn:
                conn.sendall(data)
                until = time.monotonic() + timeout
                while (left := until - time.monotonic()) > 0:
                    conn.settimeout(left)
                    part = conn.recv(65536)
                    if not part:
                        break
                    parts.append(part)
        except OSError:
            pass
        return b"".join(parts)

    def get(self, ip: str, port: int, path: str) -> tuple[int, bytes]:
        head = f"GET {path} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n"
        return _split(self.exchange(ip, port, head.encode(), 1.0))

    def put(self, config: dict, until: float) -> int:
        """Put a configuration at any control instance, as the operator does; returns the status, or 0."""
        body = json.dumps(config).encode()
        targets = list(self.controls)
        while time.monotonic() < until:
            targets.append(targets.pop(0))
            status = self.put_at(targets[0], body)
            if status not in (0, 307, 408, 429) and status < 500:
                return status
            time.sleep(0.1)
        return 0

    def put_at(self, ip: str, body: bytes) -> int:
        for _ in range(3):
            head = f"POST /Config.Put HTTP/1.1\r\nHost: {ip}\r\nContent-Type: application/json\r\n"
            head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            answer = self.exchange(ip, self.ports["control"], head.encode() + body, 1.0)
            status, _ = _split(answer)
            self.record.note(f"put      {ip} -> {status}")
            match = re.search(rb"(?i)\r\nlocation: http://([\d.]+):", answer)
            if status != 307 or match is None:
                return status
            ip = match[1].decode()
        return status

    def request(self, ip: str, path: str, method: str = "GET", body: bytes = b"", deadline_ms: int = 2500):
        """Send a client's request on a new connection; returns its id, the time of sending, the status and the body."""
        self._sent += 1
        request_id = f"{os.getpid():08x}{self._sent:08x}"
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        head += f"X-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n" if body else "\r\n"
        at = self.record.note(f"send     {ip} {method} {path} {request_id}")
        answer = self.exchange(ip, self.ports["outbound"], head.encode() + body, deadline_ms / 1000 + 1.0)
        status, content = _split(answer)
        self.record.note(f"answer   {ip} {request_id} {status} {content[:80]!r}")
        return request_id, at, status, content


def _split(answer: bytes) -> tuple[int, bytes]:
    head, _, body = answer.partition(b"\r\n\r\n")
    words = head.split(b" ", 2)
    if len(words) < 2 or not words[0].startswith(b"HTTP/1.1") or not words[1].isdigit():
        return 0, b""
    return int(words[1]), body


def make_config(version: int, base: int, routes: list[dict], services: list[str]) -> dict:
    return {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 130, "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
        "baseVersion": f"{base:08x}",
    }


def make_route(name: str, prefix: str, service: str, kind: str = "idempotent", **fields) -> dict:
    route = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutS": 2.5, "targetLatencyS": 0.4}
    return route | {"priority": 1, "service": service, "maxAttempts": 2} | fields


def main(case) -> None:
    """Run a case, a function that returns whether the rule held; exits as the issue asks."""
    try:
        held = case()
    except CannotRun as exc:
        print(f"could not run: {exc}")
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    print("held" if held else "BROKEN")
    sys.exit(0 if held else 1)
