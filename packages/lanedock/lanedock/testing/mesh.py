# SPDX-License-Identifier: BSD-3-Clause
"""A mesh of real processes on loopback, for demos, tests and benchmarks."""

import http.client
import json
import os
import socket
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

__all__ = ["LocalMesh", "MeshProcess"]

HOST = "127.0.0.1"
# Seconds.
START_TIMEOUT = 30.0
STOP_TIMEOUT = 30.0


# Below the kernel's ephemeral range, so that no outgoing connection takes a port
# between its selection here and its use by a process.
_PORTS = range(10_000, 32_000)
_reserved: set[int] = set()


def _free_ports(count: int) -> list[int]:
    """Return ports on which no process listens and which no mesh of this process has used."""
    found = []
    position = os.getpid() * 97
    while len(found) < count:
        port = _PORTS[position % len(_PORTS)]
        position += 1
        if port not in _reserved and _is_free(port):
            _reserved.add(port)
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


class MeshProcess:
    """One process of the mesh.

    Attributes
    ----------
    name : str
    settings : dict
        Content of its settings file, which each start writes anew.
    popen : subprocess.Popen or None
        None before the first start.
    """

    def __init__(self, name: str, folder: Path, settings: dict):
        self.name = name
        self.settings = settings
        self.popen: subprocess.Popen | None = None
        self._folder = folder

    def __repr__(self) -> str:
        return f"<MeshProcess {self.name} pid={self.popen.pid if self.popen else None}>"

    @property
    def log_path(self) -> Path:
        """Path of the log file."""
        return self._folder / f"{self.name}.log"

    def start(self, *arguments: str) -> None:
        """Start or restart the process, with further command-line arguments."""
        path = self._folder / f"{self.name}.jsonc"
        path.write_text(json.dumps(self.settings, indent=2), encoding="utf-8")
        command = [sys.executable, "-m", "lanedock_daemon.app", "--settings", str(path), *arguments]
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(command, stdout=log, stderr=log)

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        self.popen.kill()
        self.popen.wait()

    def log(self) -> str:
        """Return the content of the log file."""
        return self.log_path.read_text(encoding="utf-8")


class Usage:
    """Processor time and memory of a process.

    Attributes
    ----------
    cpu_seconds : float
        User and system.
    rss_bytes : int
        Resident memory.
    """

    __slots__ = ("cpu_seconds", "rss_bytes")

    def __init__(self, pid: int):
        fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
        self.cpu_seconds = (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        self.rss_bytes = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")

    def __repr__(self) -> str:
        return f"<Usage cpu={self.cpu_seconds:.2f} s rss={self.rss_bytes / 1e6:.1f} MB>"


class LocalMesh:
    """A mesh of control instances, entry daemons, upstreams and their daemons.

    Parameters
    ----------
    folder : Path
        Holds settings, logs and data folders.
    zones : list of str
    services : dict of str to int
        Number of upstreams of each service; they are distributed round-robin over the zones.
    control : dict, optional
        Additional settings of the control instances.
    work : float
        Seconds that an upstream works on a request.
    entries : int
        Number of entry daemons in each zone.
    """

    def __init__(
        self, folder: Path, zones, services: dict[str, int], control: dict | None = None, work=0.001, entries=1
    ):
        self.folder = folder
        self.zones = list(zones)
        self.controls: dict[str, MeshProcess] = {}
        self.entries: dict[str, MeshProcess] = {}
        self.upstreams: dict[str, MeshProcess] = {}
        self.applications: dict[str, tuple[str, int]] = {}
        self._services = services
        self._extra_control = control or {}
        self._work = work
        self._entries = entries
        self._stand_ins: subprocess.Popen | None = None
        self._bad_versions: dict[str, dict] = {}
        self._instances: list[dict] = []
        self.folder.mkdir(parents=True, exist_ok=True)
        self._prepare()

    # ----------------------------------------------------------------- prepare

    def _prepare(self) -> None:
        upstreams = sum(self._services.values())
        entries = len(self.zones) * self._entries
        ports = iter(_free_ports(len(self.zones) + 2 * entries + 4 * upstreams))
        replicas = {f"control-{zone}": f"{HOST}:{next(ports)}" for zone in self.zones}
        for zone in self.zones:
            self._add_control(zone, replicas)
        for zone in self.zones:
            for number in range(self._entries):
                self._add_entry(f"entry-{zone}-{number}", zone, replicas, ports)
        position = 0
        for service, count in self._services.items():
            for number in range(count):
                zone = self.zones[position % len(self.zones)]
                self._add_upstream(f"{service}-{number}", service, zone, replicas, ports)
                position += 1
        self.write_platform_list()

    def _add_control(self, zone: str, replicas: dict[str, str]) -> None:
        name = f"control-{zone}"
        control = {
            "listen": replicas[name],
            "data_folder": str(self.folder / f"data-{name}"),
            "replicas": replicas,
            "platform_list": str(self.folder / "platform.json"),
            "platform_interval_ms": 200,
            **self._extra_control,
        }
        self.controls[name] = MeshProcess(name, self.folder, {"name": name, "zone": zone, "control": control})

    def _daemon_section(self, zone: str, replicas: dict[str, str], port: int) -> dict:
        own = replicas[f"control-{zone}"]
        others = [address for address in replicas.values() if address != own]
        return {"control": [own, *others], "relay": f"{HOST}:{port}"}

    def _add_entry(self, name: str, zone: str, replicas, ports) -> None:
        port = next(ports)
        daemon = self._daemon_section(zone, replicas, next(ports))
        settings = {"name": name, "zone": zone, "daemon": daemon, "entry": {"listen": f"{HOST}:{port}"}}
        self.entries[name] = MeshProcess(name, self.folder, settings)
        self._instances.append({"name": name, "zone": zone, "host": HOST, "port": port, "state": "live"})

    def _add_upstream(self, name: str, service: str, zone: str, replicas, ports) -> None:
        port, application, egress = next(ports), next(ports), next(ports)
        upstream = {
            "service": service,
            "listen": f"{HOST}:{port}",
            "application": f"{HOST}:{application}",
            "egress": f"{HOST}:{egress}",
        }
        daemon = self._daemon_section(zone, replicas, next(ports))
        self.upstreams[name] = MeshProcess(
            name, self.folder, {"name": name, "zone": zone, "daemon": daemon, "upstream": upstream}
        )
        self.applications[name] = (HOST, application)
        self._instances.append(
            {"name": name, "zone": zone, "service": service, "host": HOST, "port": port, "state": "live"}
        )

    # --------------------------------------------------------------------- run

    @property
    def processes(self) -> list[MeshProcess]:
        """All lanedock processes, control instances first."""
        return [*self.controls.values(), *self.entries.values(), *self.upstreams.values()]

    @property
    def control_addresses(self) -> str:
        """Value for the option ``--control`` of the command ``lanedock``."""
        return ",".join(process.settings["control"]["listen"] for process in self.controls.values())

    def __enter__(self) -> "LocalMesh":
        return self

    def __exit__(self, *exc) -> None:
        for process in self.processes:
            if process.popen is not None and process.popen.poll() is None:
                process.kill()
        if self._stand_ins is not None:
            self.stop_stand_ins()

    def start(self) -> None:
        """Start all processes, and wait until each listens on its address."""
        self.start_stand_ins()
        for process in self.controls.values():
            process.start("--initialize")
        for process in [*self.entries.values(), *self.upstreams.values()]:
            process.start()
        for process in self.processes:
            self.wait_listening(process)

    def start_stand_ins(self) -> None:
        """Start the upstreams' stand-in applications, all in one process."""
        descriptions = []
        for name, (host, port) in self.applications.items():
            item = {"name": name, "host": host, "port": port, "work": self._work, "bad": self._bad_versions.get(name)}
            descriptions.append(item)
        path = self.folder / "applications.json"
        path.write_text(json.dumps(descriptions), encoding="utf-8")
        self._stand_ins = subprocess.Popen([sys.executable, "-m", "lanedock.testing", str(path)])

    def stop_stand_ins(self) -> None:
        """Kill the process of the upstreams' stand-in applications."""
        self._stand_ins.kill()
        self._stand_ins.wait()

    def wait_listening(self, process: MeshProcess) -> None:
        """Wait until a process listens on its address."""
        settings = process.settings
        section = settings.get("control") or settings.get("entry") or settings.get("upstream")
        host, _, port = section["listen"].rpartition(":")
        self.wait_for(lambda: _is_listening(host, int(port)), f"{process.name} listens", process)

    def wait_for(
        self, condition, what: str, process: MeshProcess | None = None, timeout: float = START_TIMEOUT
    ) -> None:
        """Wait until a condition holds.

        Parameters
        ----------
        condition : callable
            Returns whether it holds.
        what : str
            Description of the condition, for the error message.
        process : MeshProcess, optional
            Process on which the condition depends.
        timeout : float
            Seconds.

        Raises
        ------
        TimeoutError
            The condition does not hold within `timeout` seconds, or `process` has ended.
        """
        deadline = time.monotonic() + timeout
        while not condition():
            if process is not None and process.popen.poll() is not None:
                raise TimeoutError(f"{process.name} has ended before: {what}; its log:\n{process.log()}")
            if time.monotonic() > deadline:
                raise TimeoutError(f"timed out after {timeout} s waiting for: {what}")
            time.sleep(0.02)

    def stop(self) -> list[int]:
        """Terminate all running lanedock processes gracefully, and return their exit codes."""
        order = [*self.entries.values(), *self.upstreams.values(), *self.controls.values()]
        running = [process for process in order if process.popen is not None and process.popen.poll() is None]
        for process in running:
            process.popen.terminate()
        return [process.popen.wait(STOP_TIMEOUT) for process in running]

    def usage(self, process: MeshProcess) -> "Usage":
        """Return the processor time and memory of a process, from /proc."""
        return Usage(process.popen.pid)

    # ---------------------------------------------------------------- platform

    def write_platform_list(self) -> None:
        """Replace the platform's list atomically."""
        path = self.folder / "platform.json"
        new_path = self.folder / "platform.json.new"
        new_path.write_text(json.dumps({"instances": self._instances}), encoding="utf-8")
        new_path.replace(path)

    def set_state(self, name: str, state: str | None) -> None:
        """Set an instance's state in the platform's list; None removes the instance."""
        self._instances = [item for item in self._instances if item["name"] != name or state is not None]
        for item in self._instances:
            if item["name"] == name:
                item["state"] = state
        self.write_platform_list()

    def set_version(self, name: str, version: str, **bad: object) -> None:
        """Set the version of an instance's application in the list, and its faults from the next start on.

        Parameters
        ----------
        name, version : str
        bad : dict
            Parameters of `BadVersion`; without any, the version is good.
        """
        self._bad_versions[name] = bad
        for item in self._instances:
            if item["name"] == name:
                item["version"] = version
        self.write_platform_list()

    # ----------------------------------------------------------------- requests

    def count_runs(self, prefix: str) -> Counter:
        """Return how often each request id has run at the stand-in applications whose names begin with `prefix`."""
        runs: Counter = Counter()
        for name, (host, port) in self.applications.items():
            if name.startswith(prefix):
                conn = http.client.HTTPConnection(host, port, timeout=10)
                conn.request("GET", "/.runs")
                runs.update(json.loads(conn.getresponse().read()))
                conn.close()
        return runs

    def request(self, method: str, path: str, body: bytes = b"", entry: int = 0, headers: dict | None = None):
        """Send a request through the entry daemon with index `entry`.

        Returns
        -------
        int
            Status.
        bytes
            Body.
        """
        process = list(self.entries.values())[entry % len(self.entries)]
        host, _, port = process.settings["entry"]["listen"].rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=30)
        try:
            conn.request(method, path, body=body or None, headers=headers or {})
            response = conn.getresponse()
            return response.status, response.read()
        finally:
            conn.close()


def _is_listening(host: str, port: int) -> bool:
    try:
        with socket.create_connection((host, port), timeout=1):
            return True
    except OSError:
        return False
