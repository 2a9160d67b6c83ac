# SPDX-License-Identifier: BSD-3-Clause
"""The platform's program as real processes: seeds, direct rollout, registration, the path.

Each instance has a loopback address of its own, as they share ports otherwise, and each
platform a network, so that several runs on a machine don't meet.
"""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

import pytest

from lanedock_platform.tests.beats import make_beat
from lanedock_platform.tests.test_translation import make_configuration

ROOT = Path(__file__).parent.parent
MESH_PORT, CONTROL_PORT, READY_PORT, IN_PORT, OUT_PORT, APP_PORT = 17600, 17620, 17625, 17624, 17629, 17628
TIMEOUT = 30.0


def _claim_network() -> tuple[socket.socket, str]:
    """Find a loopback network that no other run has; it is ours until the socket is closed."""
    for number in range(os.getpid(), os.getpid() + 1000):
        network = f"127.{1 + number // 256 % 254}.{number % 256}"
        claim = socket.socket()
        try:
            claim.bind((f"{network}.254", APP_PORT))
            return claim, network
        except OSError:
            claim.close()
    raise OSError("no loopback network is free")


class _Application(ThreadingHTTPServer):
    """A backend: it answers, keeps what it was sent, and heartbeats."""

    daemon_threads = True

    def __init__(self, ip: str, life: str):
        self.life = life
        self.born = time.time_ns() // 1_000_000
        self.seen: list[dict] = []
        self.sequence = 0
        self._beating = threading.Lock()
        super().__init__((ip, APP_PORT), _Handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def beat(self, state: str = "ready") -> int:
        # One at a time, as an application sends them: none overtakes one with a lower sequence.
        with self._beating:
            self.sequence += 1
            body = make_beat(state, self.sequence, born=self.born)
            path = f"/Instances.Heartbeat/{self.life}"
            return _call(self.server_address[0], CONTROL_PORT, "POST", path, json.dumps(body).encode())[0]

    def start_again(self) -> None:
        """Know nothing of before; requests take as little as a test waits for."""
        with self._beating:
            self.born += 1
            self.sequence = 0


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers.get("content-length", 0)))
        self.server.seen.append({name.lower(): value for name, value in self.headers.items()})
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        self.send_header("X-Server-Stamp", self.server.life)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments) -> None:
        pass


def _call(ip: str, port: int, method: str, path: str, body: bytes = b"", headers: dict | None = None):
    conn = http.client.HTTPConnection(ip, port, timeout=5)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        answer = conn.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        conn.close()


class _Platform:
    """Three control instances, two daemons, and a backend beside each."""

    def __init__(self, folder: Path):
        self.folder = folder
        self._claim, network = _claim_network()
        self.controls = [f"{network}.{number}" for number in (1, 2, 3)]
        self.daemons = [f"{network}.{number}" for number in (11, 12)]
        self.processes: dict[str, subprocess.Popen] = {}
        self.applications: dict[str, _Application] = {}
        self._stopped = threading.Event()

    def start(self) -> None:
        for ip in self.controls:
            self.start_process(ip, self._fill("control", ip, True))
        for number, ip in enumerate(self.daemons):
            self.applications[ip] = _Application(ip, f"i-{number}")
            self.start_process(ip, self._fill("daemon", ip, True))
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        while not self._stopped.wait(0.3):
            for application in list(self.applications.values()):
                try:
                    application.beat("draining" if application.life in self.draining else "ready")
                except OSError:
                    pass  # its daemon is not up yet, or is down

    draining: frozenset = frozenset()

    def _fill(self, role: str, ip: str, bootstrap: bool) -> str:
        text = (ROOT / "deploy" / f"{role}.jsonc").read_text(encoding="utf-8")
        seeds = ", ".join(f'"{seed}:{CONTROL_PORT}"' for seed in self.controls)
        text = text.replace('{{#seeds}}"{{.}}"{{,}}{{/seeds}}', seeds)
        values = {
            "node": f"{role}-{ip}".replace(".", "-"),
            "zone": "z",
            "ip": ip,
            "portRange.0": MESH_PORT,
            "listen.control": f"{ip}:{CONTROL_PORT}",
            "listen.ready": f"{ip}:{READY_PORT}",
            "listen.inbound": f"{ip}:{IN_PORT}",
            "listen.outbound": f"{ip}:{OUT_PORT}",
            "appAddr": f"{ip}:{APP_PORT}",
            "service": "s1",
            "heartbeatS": 0.3,
            "limits.maxFds": 4100,
            "bootstrap": str(bootstrap).lower(),
            "dataDir": self.folder / f"data-{ip}",
            "bounds.contactS": 3,
            "bounds.graceS": 3,
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
        # The packages that the tests import, not others that happen to be installed.
        paths = os.pathsep.join([str(ROOT / "platform"), *filter(None, sys.path)])
        env = {**os.environ, "LANEDOCK_BOOT": str(path), "PYTHONPATH": paths}
        with open(self.folder / f"{ip}.log", "ab") as log:
            line = [sys.executable, str(ROOT / "platform" / "start.py")]
            self.processes[ip] = subprocess.Popen(line, env=env, stdout=log, stderr=log)

    def restart(self, ip: str) -> None:
        self.processes[ip].kill()
        self.processes[ip].wait()
        role = "control" if ip in self.controls else "daemon"
        self.start_process(ip, self._fill(role, ip, False))

    def stop(self) -> None:
        self._stopped.set()
        for process in self.processes.values():
            process.kill()
            process.wait()
        for application in self.applications.values():
            application.shutdown()
            application.server_close()
        self._claim.close()

    def put(self, value: dict) -> int:
        """Send a configuration as the operator does: to any, along redirects, until it is answered."""
        until = time.monotonic() + TIMEOUT
        targets = list(self.controls)
        while time.monotonic() < until:
            targets.append(targets.pop(0))
            try:
                status, headers, _ = _call(targets[0], CONTROL_PORT, "POST", "/Config.Put", json.dumps(value).encode())
                if status == 307:
                    leader = headers["location"].partition("//")[2].partition(":")[0]
                    status = _call(leader, CONTROL_PORT, "POST", "/Config.Put", json.dumps(value).encode())[0]
            except OSError:
                status = 503
            if status not in (307, 503):
                return status
            time.sleep(0.05)
        raise TimeoutError("no control instance answers")

    def get(self) -> dict:
        def read():
            for ip in self.controls:
                status, _, body = _call(ip, CONTROL_PORT, "GET", "/Config.Get")
                if status == 200:
                    return json.loads(body)
            return None

        return wait_for(read)

    def request(self, ip: str, request_id: str, headers: dict | None = None):
        all_headers = {"Host": "shop.example", "X-Request-Id": request_id, "X-Deadline-Ms": "3000", **(headers or {})}
        return _call(ip, OUT_PORT, "POST", "/a/b/x", b"3 ibises", all_headers)

    def wait_ready(self, ip: str) -> None:
        wait_for(lambda: _call(ip, READY_PORT, "GET", "/ready")[0] == 200)


def wait_for(condition):
    """Wait until a condition holds; returns what it returned."""
    until = time.monotonic() + TIMEOUT
    while time.monotonic() < until:
        try:
            if result := condition():
                return result
        except OSError:
            pass  # not listening yet
        time.sleep(0.05)
    raise TimeoutError("the condition never held")


@pytest.fixture
def platform(tmp_path):
    made = _Platform(tmp_path)
    try:
        made.start()
        yield made
    finally:
        made.stop()


def test_a_version_and_a_request_go_the_whole_way(platform):
    first = make_configuration(4, 0)
    assert platform.put(first) == 200
    got = platform.get()
    assert got["routes"] == first["routes"] and got["version"] == "00000004"
    for ip in platform.daemons:
        platform.wait_ready(ip)
    answer = status, headers, body = platform.request(platform.daemons[0], "id-1", {"X-Caller-Service": "forged"})
    assert (status, body, headers.get("x-request-id")) == (200, b"3 ibises", "id-1"), str(answer)
    (seen,) = [head for app in platform.applications.values() for head in app.seen]
    assert seen["x-caller-service"] == "s1"
    assert seen["x-expect-instance"] == headers["x-server-stamp"]
    assert 0 < int(seen["x-deadline-ms"]) <= 1500
    assert not [name for name in seen if name.startswith("x-lanedock")]


def test_operators_who_race_resend_or_are_late(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    racing = [make_configuration(9, 4, timeoutS=1.1), make_configuration(9, 4, timeoutS=1.2)]
    with ThreadPoolExecutor(2) as pool:
        codes = list(pool.map(platform.put, racing))
    assert sorted(codes) == [200, 412]
    winner = racing[codes.index(200)]
    assert platform.put(winner) == 200
    assert platform.put(make_configuration(10, 4)) == 412
    assert platform.put(make_configuration(11, 9, service="nobody")) == 400
    assert platform.get()["routes"][0]["timeoutS"] == winner["routes"][0]["timeoutS"]


def test_what_was_accepted_survives_kills_of_all_control_instances(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    for ip in platform.controls:
        platform.processes[ip].kill()
        platform.processes[ip].wait()
    for ip in platform.controls:
        platform.restart(ip)
    assert platform.get()["version"] == "00000004"
    assert platform.put(make_configuration(5, 4, timeoutS=1.1)) == 200
    for ip in platform.daemons:
        platform.wait_ready(ip)


def _votes_anew(platform: _Platform, ip: str) -> bool:
    """Tell whether a control instance votes under another incarnation than its first."""
    lines = (platform.folder / f"{ip}.log").read_text(encoding="utf-8").splitlines()
    changes = [json.loads(line) for line in lines if '"E206"' in line]
    name = f"{ip}:{MESH_PORT}"
    voters = changes[-1]["voters"].split(",") if changes else []
    return any(voter.startswith(f"{name}@") and voter != f"{name}@1" for voter in voters)


def test_a_lost_disk_comes_back_as_a_new_replica(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    lost = platform.controls[0]
    # The other two are enough to accept a version; what hasn't started has no disk to lose.
    wait_for(lambda: '"E101"' in (platform.folder / f"{lost}.log").read_text(encoding="utf-8"))
    platform.processes[lost].kill()
    platform.processes[lost].wait()
    for path in (platform.folder / f"data-{lost}").iterdir():
        path.unlink()
    platform.restart(lost)
    wait_for(lambda: _votes_anew(platform, lost))
    # The others may now go, one at a time.
    platform.processes[platform.controls[1]].kill()
    assert platform.put(make_configuration(5, 4, timeoutS=1.1)) == 200


def test_a_drain_binds_when_it_is_acknowledged_also_after_a_restart(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    for ip in platform.daemons:
        platform.wait_ready(ip)
    leaving, other = platform.daemons
    life = platform.applications[other].life
    # A daemon is ready once it knows any upstream, which may be the one beside it; the other
    # application may register later, and until then nothing else can take the requests.
    wait_for(lambda: platform.request(leaving, "before")[1].get("x-server-stamp") == life)
    application = platform.applications[leaving]
    platform.draining = frozenset((application.life,))
    assert application.beat("draining") == 200
    before = len(application.seen)
    for number in range(10):
        answer = status, headers, _ = platform.request(leaving, f"drain-{number}")
        assert (status, headers.get("x-server-stamp")) == (200, life), str(answer)
    # The daemon is killed, and a heartbeat from before the drain comes late.
    platform.draining = frozenset()
    platform.restart(leaving)
    platform.wait_ready(leaving)
    for number in range(10):
        platform.request(leaving, f"again-{number}")
    assert len(application.seen) == before


def test_an_upstream_comes_back_after_a_planned_stop_of_its_daemon(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    for ip in platform.daemons:
        platform.wait_ready(ip)
    stopped, other = platform.daemons
    platform.processes[stopped].terminate()
    assert platform.processes[stopped].wait(TIMEOUT) == 0
    platform.start_process(stopped, platform._fill("daemon", stopped, False))
    platform.wait_ready(stopped)
    lives = {platform.applications[ip].life for ip in platform.daemons}

    def is_shared() -> bool:
        stamps = {platform.request(other, f"back-{number}")[1].get("x-server-stamp") for number in range(20)}
        return lives <= stamps

    wait_for(is_shared)


def test_a_daemon_that_was_paused_shortly_serves_on_without_control(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    for ip in platform.daemons:
        platform.wait_ready(ip)
    for ip in platform.controls:
        platform.processes[ip].kill()
        platform.processes[ip].wait()
    paused = platform.processes[platform.daemons[0]]
    paused.send_signal(signal.SIGSTOP)
    # Longer than a tick that is late on a slow instance, and within what counts as in touch.
    time.sleep(1.5)
    paused.send_signal(signal.SIGCONT)
    answer = platform.request(platform.daemons[0], "id-paused")
    assert answer[0] == 200, str(answer)


@pytest.mark.parametrize("is_daemon_restarted", [False, True])
def test_an_application_that_drained_and_starts_again_under_its_id_gets_work(platform, is_daemon_restarted):
    assert platform.put(make_configuration(4, 0)) == 200
    for ip in platform.daemons:
        platform.wait_ready(ip)
    crashed, other = platform.daemons
    application = platform.applications[crashed]

    def is_served_there() -> bool:
        return platform.request(other, "again")[1].get("x-server-stamp") == application.life

    wait_for(is_served_there)
    platform.draining = frozenset((application.life,))
    assert application.beat("draining") == 200
    wait_for(lambda: not any(is_served_there() for _ in range(10)))
    platform.draining = frozenset()
    if is_daemon_restarted:
        platform.restart(crashed)
        platform.wait_ready(crashed)
    application.start_again()
    wait_for(is_served_there)


def test_heartbeats_of_another_writer_end_no_daemon(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    for ip in platform.daemons:
        platform.wait_ready(ip)
    ip, other = platform.daemons
    life = platform.applications[ip].life
    bodies = [
        make_beat(sequence=10**6, slots=2**70),
        make_beat(sequence=10**6, cold_left=1e300),
        make_beat(sequence=10**6, service="\ud800"),
        make_beat("draining", 10**6),
    ]
    for body in bodies:
        path = f"/Instances.Heartbeat/{life}"
        assert _call(ip, CONTROL_PORT, "POST", path, json.dumps(body).encode())[0] == 400
    wait_for(lambda: platform.request(other, "after")[1].get("x-server-stamp") == life)
    assert platform.processes[ip].poll() is None
