# SPDX-License-Identifier: BSD-3-Clause
"""Runs the platform program as real processes, with a simulated backend for each daemon.

All instances use the same ports, so each has its own loopback address. Each platform uses its own
loopback network, so that concurrent test runs on a machine do not collide.
"""

import http.client
import json
import os
import re
import shutil
import socket
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from hooks.severable_links import RELAY_VARIABLE, SOURCE_VARIABLE
from hooks.suspendable_clocks import KEEP_CLOCKS_VARIABLE
from links import RelayProcess
from shaped_links import LinkShape, ShapedRelay

from lanedock_platform.tests.beats import make_beat

HOOKS = Path(__file__).parent / "hooks"
ROOT = Path(__file__).parent.parent
LOAD_PORT = 17601
MESH_PORT, CONTROL_PORT, READY_PORT, INBOUND_PORT, OUTBOUND_PORT, APP_PORT = 17600, 17620, 17625, 17624, 17629, 17628
METRICS_PORT = 9464
TIMEOUT = 30.0  # seconds


def _reserve_network() -> tuple[socket.socket, str]:
    """Reserve a loopback network that no other run uses.

    Returns
    -------
    socket.socket
        Holds the reservation until it is closed.
    str
        First three octets of the network.
    """
    for number in range(os.getpid(), os.getpid() + 1000):
        network = f"127.{1 + number // 256 % 254}.{number % 256}"
        reservation = socket.socket()
        try:
            reservation.bind((f"{network}.254", APP_PORT))
            return reservation, network
        except OSError:
            reservation.close()
    raise OSError("no loopback network is free: tried 1000 networks")


class Application(ThreadingHTTPServer):
    """Backend that echoes request bodies, records request headers, and sends heartbeats.

    Parameters
    ----------
    ip, upstream : str
    version : str
        Software version reported in heartbeats.
    is_failing : bool
        Whether all responses have status 500.
    service : str
        Service reported in heartbeats.
    slots : int
        Number of slots reported in heartbeats.

    Attributes
    ----------
    received_headers : list of dict
        Headers of each request, with names in lower case.
    load : str
        Load stated in responses; empty for none.
    """

    daemon_threads = True
    load = ""

    def __init__(
        self, ip: str, upstream: str, version: str = "v1", is_failing: bool = False, service: str = "s1", slots: int = 4
    ):
        self.upstream = upstream
        self.service = service
        self.slots = slots
        self.version = version
        self.is_failing = is_failing
        self.start_time_ms = time.time_ns() // 1_000_000
        self.received_headers: list[dict] = []
        self.sequence = 0
        self._heartbeat_lock = threading.Lock()
        super().__init__((ip, APP_PORT), EchoHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def send_heartbeat(self, state: str = "ready") -> int:
        # Sends one heartbeat at a time: none overtakes one with a lower sequence number.
        with self._heartbeat_lock:
            self.sequence += 1
            info = {"service": self.service, "slots": self.slots, "version": self.version}
            body = make_beat(state, self.sequence, born=self.start_time_ms, **info)
            path = f"/Instances.Heartbeat/{self.upstream}"
            return call(self.server_address[0], CONTROL_PORT, "POST", path, json.dumps(body).encode())[0]

    def stop(self) -> None:
        """Stop serving."""
        self.shutdown()
        self.server_close()

    def start_new_incarnation(self) -> None:
        """Begin a new incarnation under the same id; its heartbeat sequence numbers start again at 1."""
        with self._heartbeat_lock:
            self.start_time_ms += 1
            self.sequence = 0


class EchoHandler(BaseHTTPRequestHandler):
    """Answers POST requests with their bodies."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("content-length", 0)))
        self.server.received_headers.append({name.lower(): value for name, value in self.headers.items()})
        self.send_response(500 if self.server.is_failing else 200)
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        self.send_header("X-Server-Stamp", self.server.upstream)
        if self.server.load:
            self.send_header("X-Server-Load", self.server.load)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments) -> None:
        pass


def call(ip: str, port: int, method: str, path: str, body: bytes | list[bytes] = b"", headers: dict | None = None):
    conn = http.client.HTTPConnection(ip, port, timeout=5)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        answer = conn.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        conn.close()


class PlatformProcesses:
    """Control instances, and daemons with one backend each.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    daemons, zones : int
        Numbers of daemons and availability zones.
    is_partitionable : bool
        Whether zones can be partitioned from one another.
    controls : int
        Number of control instances.
    shape : LinkShape or None
        Shape of the links between instances; None for plain loopback connections.
    """

    def __init__(
        self,
        folder: Path,
        daemons: int = 2,
        zones: int = 1,
        is_partitionable: bool = False,
        controls: int = 3,
        shape: LinkShape | None = None,
    ):
        self.folder = folder
        self._zones = zones
        self._reservation, network = _reserve_network()
        self.controls = [f"{network}.{number}" for number in range(1, 1 + controls)]
        self.daemons = [f"{network}.{11 + number}" for number in range(daemons)]
        self.processes: dict[str, subprocess.Popen] = {}
        self.applications: dict[str, Application] = {}
        self._stop_event = threading.Event()
        self.caller_ip = f"{network}.252"
        self._relay = RelayProcess(f"{network}.253") if is_partitionable else None
        if shape is not None:
            self._relay = ShapedRelay(f"{network}.253", shape)

    @property
    def relay_address(self) -> str | None:
        """Host and port of the relay; None without one."""
        return self._relay and self._relay.address

    def start(self) -> None:
        for ip in self.controls:
            self.start_process(ip, self.make_settings("control", ip, True))
        for number, ip in enumerate(self.daemons):
            self.applications[ip] = self.make_application(ip, number)
            self.start_process(ip, self.make_settings("daemon", ip, True))
        self.start_heartbeats()

    def start_ready(self, value: dict) -> None:
        """Start all processes, put a first configuration, and wait until the daemons are ready."""
        self.start()
        assert self.put(value) == 200
        self.wait_all_ready()

    def make_application(self, ip: str, number: int):
        """Start the backend of a daemon."""
        return Application(ip, f"i-{number}")

    def add_upstreams(self, count: int, version: str, is_failing: bool = False) -> list[str]:
        """Start more daemons with backends of a version; returns their addresses."""
        added = []
        network = self.daemons[0].rpartition(".")[0]
        for _ in range(count):
            number = len(self.daemons)
            ip = f"{network}.{11 + number}"
            self.daemons.append(ip)
            self.applications[ip] = Application(ip, f"i-{number}", version, is_failing)
            self.start_process(ip, self.make_settings("daemon", ip, False))
            added.append(ip)
        return added

    def start_heartbeats(self) -> None:
        """Start the thread that sends the heartbeats of all backends."""
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def _send_heartbeats(self) -> None:
        while not self._stop_event.wait(0.3):
            for application in list(self.applications.values()):
                try:
                    application.send_heartbeat("draining" if application.upstream in self.draining else "ready")
                except OSError:
                    pass  # the daemon is not listening

    draining: frozenset = frozenset()
    # Grace time of stops in seconds; None if the processes' settings state none.
    grace: float | None = 3

    def zone(self, ip: str) -> str:
        """Return the availability zone of an instance; the instances of each role are assigned round-robin."""
        instances = self.controls if ip in self.controls else self.daemons
        return f"z{instances.index(ip) % self._zones}"

    def service(self, ip: str) -> str:
        """Return the service of the backend of a daemon."""
        return "s1"

    def make_settings(self, role: str, ip: str, bootstrap: bool) -> str:
        text = (ROOT / "deploy" / f"{role}.jsonc").read_text(encoding="utf-8")
        seeds = ", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in self.controls)
        text = text.replace('{{#seeds}}"{{.}}"{{,}}{{/seeds}}', seeds)
        # Optional setting of deployments with canary releases, which these tests leave at its default.
        text = re.sub(r"\{\{#(bounds\.exposureShare)\}\}.*?\{\{/\1\}\}", "", text, flags=re.DOTALL)
        text = re.sub(r"\{\{[#/]limits\.memoryMb\}\}", "", text)
        if self.grace is None:
            text = re.sub(r'"stop_grace_s": .*?,\n', "", text)
        values = {
            "node": f"{role}-{ip}".replace(".", "-"),
            "zone": self.zone(ip),
            "ip": ip,
            "portRange.0": MESH_PORT,
            "portRange.1": LOAD_PORT,
            "listen.control": f"{ip}:{CONTROL_PORT}",
            "listen.ready": f"{ip}:{READY_PORT}",
            "listen.inbound": f"{ip}:{INBOUND_PORT}",
            "listen.outbound": f"{ip}:{OUTBOUND_PORT}",
            "appAddr": f"{ip}:{APP_PORT}",
            "service": self.service(ip),
            "heartbeatS": 0.3,
            "limits.maxFds": 4100,
            "limits.memoryMb": 300,
            "limits.linkMbps": 1000.0,
            "bootstrap": str(bootstrap).lower(),
            "dataDir": self.folder / f"data-{ip}",
            "bounds.contactS": 3,
            "bounds.graceS": self.grace,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.retrySlack": 62,
            "bounds.retryWindowS": 10,
        }
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        assert "{{" not in text, text
        return text

    def start_process(self, ip: str, settings: str) -> None:
        path = self.folder / f"{ip}.jsonc"
        path.write_text(settings, encoding="utf-8")
        # Makes the process import the same packages as the tests.
        paths = os.pathsep.join([str(ROOT / "platform"), *filter(None, sys.path)])
        env = {**os.environ, "LANEDOCK_BOOT": str(path), "PYTHONPATH": paths}
        if self._relay is not None:
            hooked_paths = os.pathsep.join([str(HOOKS), paths])
            env |= {"PYTHONPATH": hooked_paths, RELAY_VARIABLE: self._relay.address, SOURCE_VARIABLE: ip}
            if isinstance(self._relay, ShapedRelay):
                env[KEEP_CLOCKS_VARIABLE] = "1"
        with open(self.folder / f"{ip}.log", "ab") as log:
            line = [sys.executable, str(ROOT / "platform" / "start.py")]
            self.processes[ip] = subprocess.Popen(line, env=env, stdout=log, stderr=log)

    def restart(self, ip: str) -> None:
        self.processes[ip].kill()
        self.processes[ip].wait()
        role = "control" if ip in self.controls else "daemon"
        self.start_process(ip, self.make_settings(role, ip, False))

    def wipe(self, ip: str) -> None:
        """Remove the data of a control instance that doesn't run."""
        shutil.rmtree(self.folder / f"data-{ip}")

    def stop(self) -> None:
        self._stop_event.set()
        for process in self.processes.values():
            process.kill()
            process.wait()
        for application in self.applications.values():
            application.stop()
        if self._relay is not None:
            self._relay.stop()
        self._reservation.close()

    def set_partitions(self, *zones: tuple[str, str]) -> None:
        """Partition exactly these pairs of zones; without arguments, end all partitions."""
        self._relay.set_partitions([(self._find_instances(one), self._find_instances(other)) for one, other in zones])

    def _find_instances(self, zone: str) -> list[str]:
        return [ip for ip in (*self.controls, *self.daemons) if self.zone(ip) == zone]

    def put(self, value: dict) -> int:
        """Put a configuration at any control instance, following redirects; returns the status.

        Retries until the status is neither 307 nor 503.
        """
        until = time.monotonic() + TIMEOUT
        targets = list(self.controls)
        while time.monotonic() < until:
            targets.append(targets.pop(0))
            try:
                status, headers, _ = call(targets[0], CONTROL_PORT, "POST", "/Config.Put", json.dumps(value).encode())
                if status == 307:
                    leader = headers["location"].partition("//")[2].partition(":")[0]
                    status = call(leader, CONTROL_PORT, "POST", "/Config.Put", json.dumps(value).encode())[0]
            except OSError:
                status = 503
            if status not in (307, 503):
                return status
            time.sleep(0.05)
        raise TimeoutError(f"no control instance accepted or rejected the configuration within {TIMEOUT:g} s")

    def put_at(self, controls: list[str], value: dict) -> int:
        """Put a configuration at the given control instances, without redirects; returns the status.

        Retries until one status is neither 307 nor 503.
        """

        def put() -> int:
            for ip in controls:
                status = call(ip, CONTROL_PORT, "POST", "/Config.Put", json.dumps(value).encode())[0]
                if status not in (307, 503):
                    return status
            return 0

        return wait_for(put)

    def call_operator_api(self, method: str, path: str, value: dict | None = None) -> tuple[int, dict]:
        """Call any control instance, following redirects; returns the status and the decoded body.

        Retries until the status is neither 307 nor 503.
        """
        body = json.dumps(value).encode() if value is not None else b""

        def ask():
            for ip in self.controls:
                try:
                    status, headers, answer = call(ip, CONTROL_PORT, method, path, body)
                    if status == 307:
                        leader = headers["location"].partition("//")[2].partition(":")[0]
                        status, _, answer = call(leader, CONTROL_PORT, method, path, body)
                except OSError:
                    continue
                if status not in (307, 503):
                    return status, json.loads(answer)
            return None

        return wait_for(ask)

    def get(self) -> dict:
        def read():
            for ip in self.controls:
                status, _, body = call(ip, CONTROL_PORT, "GET", "/Config.Get")
                if status == 200:
                    return json.loads(body)
            return None

        return wait_for(read)

    def request(self, ip: str, request_id: str, headers: dict | None = None):
        all_headers = {"Host": "shop.example", "X-Request-Id": request_id, "X-Deadline-Ms": "3000", **(headers or {})}
        return call(ip, OUTBOUND_PORT, "POST", "/a/b/x", b"3 ibises", all_headers)

    def wait_ready(self, ip: str) -> None:
        wait_for(lambda: call(ip, READY_PORT, "GET", "/ready")[0] == 200)

    def wait_all_ready(self) -> None:
        for ip in self.daemons:
            self.wait_ready(ip)


def read_version(ip: str) -> tuple[int, int]:
    """Read the configuration at a control instance.

    Returns
    -------
    status : int
        0 without a response.
    version : int
        0 unless the status is 200.
    """
    try:
        status, _, body = call(ip, CONTROL_PORT, "GET", "/Config.Get")
    except OSError:
        return 0, 0
    return status, int(json.loads(body)["version"], 16) if status == 200 else 0


def read_metric(ip: str, name: str) -> float:
    """Return a metric of a process summed over its labels, or 0 before it has a value."""
    text = call(ip, METRICS_PORT, "GET", "/metrics")[2].decode()
    lines = [line.rsplit(" ", 1) for line in text.splitlines()]
    return sum(float(value) for labelled, value in lines if labelled.partition("{")[0] == name)


def wait_for(condition):
    """Poll a condition until it returns a true value, and return that value.

    Raises
    ------
    TimeoutError
        If the condition does not hold within `TIMEOUT`.
    """
    until = time.monotonic() + TIMEOUT
    while time.monotonic() < until:
        try:
            if result := condition():
                return result
        except OSError:
            pass  # the process is not listening yet
        time.sleep(0.05)
    raise TimeoutError(f"condition did not hold within {TIMEOUT:g} s")
