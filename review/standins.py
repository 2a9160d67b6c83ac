# SPDX-License-Identifier: BSD-3-Clause
"""Stand-ins for the scripts in review/: the platform that starts the project's programs, and its operator.

Three control instances and some daemons run as separate processes, with the commands of the deploy file and settings
made from its templates. Each has a loopback address of its own, as all machines of a platform use the same ports.
"""

import http.client
import json
import os
import re
import shutil
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PORT_NAMES = ("mesh", "load", "control", "ready", "inbound", "outbound", "app")
METRICS_PORT = 9464
HEARTBEAT_S = 1.5
# Bounds of the small deployments, from their pages.
BOUNDS = {
    "contactS": 3,
    "graceS": 6,
    "retryBudgetRatio": 0.2,
    "retrySlack": 62,
    "retryWindowS": 10,
}


class CannotRunError(Exception):
    """The case can't run here."""


def find_network() -> str:
    """Return the first three octets of a loopback network that nothing on this machine listens in."""
    for number in range(os.getpid(), os.getpid() + 1000):
        network = f"127.{1 + number // 256 % 254}.{number % 256}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{network}.1", METRICS_PORT))
        except OSError:
            continue
        return network
    raise CannotRunError("no loopback network is free")


def find_ports(network: str) -> dict[str, int]:
    """Return a free port for each name, the mesh and load ports as the ends of a range."""
    holders = []
    try:
        for _ in PORT_NAMES:
            holder = socket.socket()
            holder.bind((f"{network}.1", 0))
            holders.append(holder)
        ports = sorted(holder.getsockname()[1] for holder in holders)
    finally:
        for holder in holders:
            holder.close()
    return dict(zip(PORT_NAMES, ports, strict=True))


def call(address: tuple[str, int], method: str, path: str, body: bytes = b"", headers=None, timeout: float = 5.0):
    """Make one HTTP call on a new connection; return status, headers with lower-case names, and body."""
    conn = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        conn.request(method, path, body=body, headers=headers or {})
        answer = conn.getresponse()
        return answer.status, {name.lower(): value for name, value in answer.getheaders()}, answer.read()
    finally:
        conn.close()


class Platform:
    """Starts and ends the project's processes, and acts as their operator.

    Parameters
    ----------
    services : list of str
        Service of each daemon's backend.
    """

    def __init__(self, services: list[str]):
        self.network = find_network()
        self.ports = find_ports(self.network)
        self.folder = Path(tempfile.mkdtemp(prefix="lanedock-review-"))
        self.controls = [f"{self.network}.{number}" for number in (1, 2, 3)]
        self.daemons = [f"{self.network}.{11 + number}" for number in range(len(services))]
        self.services = dict(zip(self.daemons, services, strict=True))
        self.processes: dict[str, subprocess.Popen] = {}
        self.roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        if not (ROOT / "target" / "app" / "start.py").is_file():
            raise CannotRunError("target/ is not built: run deploy/build.sh")

    def start(self) -> None:
        for ip in self.controls:
            self.start_process("control", ip, True)
        for ip in self.daemons:
            self.start_process("daemon", ip, True)

    def start_process(self, role: str, ip: str, bootstrap: bool = False) -> None:
        """Start a process with the command of its role in the deploy file."""
        path = self.folder / f"{ip}.jsonc"
        path.write_text(self._fill_template(role, ip, bootstrap))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"LANEDOCK_BOOT": str(path), "PYTHONPATH": str(ROOT / "target" / "deps"), "PYTHONDONTWRITEBYTECODE": "1"}
        with open(self.folder / f"{ip}.log", "ab") as log:
            line = self.roles[role]["run"].split()
            self.processes[ip] = subprocess.Popen(line, cwd=ROOT, env=env, stdout=log, stderr=log)

    def _fill_template(self, role: str, ip: str, bootstrap: bool) -> str:
        text = (ROOT / self.roles[role]["template"]).read_text()
        seeds = ", ".join(f'"{seed}:{self.ports["control"]}"' for seed in self.controls)
        text = text.replace('{{#seeds}}"{{.}}"{{,}}{{/seeds}}', seeds)
        text = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}", "", text, flags=re.DOTALL)
        machines = self.controls if role == "control" else self.daemons
        values = {
            "node": f"{role}-{machines.index(ip)}",
            "zone": f"zone-{machines.index(ip) % 3}",
            "ip": ip,
            "portRange.0": self.ports["mesh"],
            "portRange.1": self.ports["load"],
            "appAddr": f"{ip}:{self.ports['app']}",
            "service": self.services.get(ip, ""),
            "heartbeatS": HEARTBEAT_S,
            "limits.maxFds": 4100,
            "limits.linkMbps": 1000.0,
            "bootstrap": str(bootstrap).lower(),
            "dataDir": self.folder / f"data-{ip}",
        }
        values |= {f"listen.{name}": f"{ip}:{self.ports[name]}" for name in ("control", "ready", "inbound", "outbound")}
        values |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        if "{{" in text:
            raise CannotRunError(f"a gap of the template is not known: {text}")
        return text

    def stop(self) -> None:
        """End all processes that were started, and remove the folder."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def wait_ready(self, limit: float = 30.0) -> None:
        """Wait until all daemons say that they are ready."""
        for ip in self.daemons:
            self.wait_for(lambda ip=ip: call((ip, self.ports["ready"]), "GET", "/ready")[0] == 200, limit)

    def wait_for(self, condition, limit: float = 30.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                if result := condition():
                    return result
            except (OSError, http.client.HTTPException):
                pass  # the process is not listening yet
            time.sleep(0.05)
        raise CannotRunError(f"not reached within {limit:g} s")

    def put(self, value: dict) -> int:
        """Send a configuration until it gets a clear answer, and return the status."""
        body = json.dumps(value).encode()

        def send() -> int:
            for ip in self.controls:
                target = (ip, self.ports["control"])
                for _ in range(3):
                    status, headers, _ = call(target, "POST", "/Config.Put", body, timeout=1.0)
                    if status != 307:
                        break
                    host, _, port = headers["location"].split("/")[2].partition(":")
                    target = (host, int(port))
                if status not in (307, 503):
                    return status
            return 0

        return self.wait_for(send)
