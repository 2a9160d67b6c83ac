# SPDX-License-Identifier: BSD-3-Clause
"""What an upstream that sends bytes without end costs the callers of another service.

``python tools/bench_endless.py [--out FILE]``: a mesh of an entry daemon and two services with an upstream each. For
each kind of bytes that the first one's application sends, without a pause, prints the latencies of requests to the
other service through the entry daemon and through the first one's daemon, what became of the requests to the first
one, and the largest resident memory of both daemons.
"""

import argparse
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from lanedock.testing.mesh import LocalMesh

RATE = 100.0
FLOOD_RATE = 5.0
DURATION = 6.0
WORK = 0.002
DEADLINE_MS = 2000
FAILURE = b"HTTP/1.1 503 Service Unavailable\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
# For each kind, the beginning of an answer and what follows without end; None: the application works.
KINDS = {
    "none": None,
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n"),
    "failure": (FAILURE, b"a"),
    "chunk extension": (CHUNKED + b"1;", b"a"),
    "garbage in a body": (CHUNKED + b"1\r\na\r\n", b"garbage"),
}


def main() -> int:
    """Measure each kind on a mesh of its own, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="")
    arguments = parser.parse_args()
    figures = {kind: _measure(kind) for kind in KINDS}
    print(json.dumps(figures, indent=2))
    if arguments.out:
        Path(arguments.out).write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    return 0


def _measure(kind: str) -> dict:
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalMesh(Path(folder), ["a"], {"bad": 1, "good": 1}, work=WORK) as mesh,
    ):
        flooder = _start_flooder(mesh, KINDS[kind]) if KINDS[kind] is not None else None
        try:
            mesh.start()
            _apply(mesh, Path(folder))
            return _run(mesh)
        finally:
            if flooder is not None:
                flooder.stop()


def _run(mesh: LocalMesh) -> dict:
    entry, daemon = next(iter(mesh.entries.values())), mesh.upstreams["bad-0"]
    addresses = {
        "entry": entry.settings["entry"]["listen"],
        "beside": daemon.settings["upstream"]["egress"],
    }
    loads = {name: _start_load(address, "/good", RATE) for name, address in addresses.items()}
    flooded = json.loads(_start_load(addresses["entry"], "/bad", FLOOD_RATE).communicate()[0])
    results = {name: json.loads(load.communicate()[0]) for name, load in loads.items()}
    figures = {f"{name}_{key}": results[name][key] for name in results for key in ("p50", "p99", "statuses")}
    figures["flooded_statuses"] = flooded["statuses"]
    figures.update({f"{name}_peak_mb": _peak_mb(process) for name, process in (("entry", entry), ("beside", daemon))})
    return figures


def _start_load(address: str, path: str, rate: float) -> subprocess.Popen:
    host, _, port = address.rpartition(":")
    plan = {"address": (host, int(port)), "rate": rate, "duration": DURATION, "head": f"GET {path}/1 HTTP/1.1\nHost: h"}
    command = [sys.executable, "-m", "lanedock.testing.load", json.dumps(plan)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def _peak_mb(process) -> float:
    status = Path(f"/proc/{process.popen.pid}/status").read_text(encoding="utf-8")
    return round(int(re.search(r"VmHWM:\s+(\d+)", status)[1]) / 1000, 1)


def _apply(mesh: LocalMesh, folder: Path) -> None:
    names = ("bad", "good")
    route = {"traffic_class": "c", "repeatable": True, "deadline_ms": DEADLINE_MS}
    value = {
        "mesh": "bench",
        "version": 1,
        "zones": ["a"],
        "traffic_classes": [{"name": "c", "share": 1}],
        "services": [{"name": name, "zones": ["a"], "slots": 12, "calls": ["good"]} for name in names],
        "routes": [{**route, "name": name, "path": f"/{name}", "service": name} for name in names],
    }
    path = folder / "endless.jsonc"
    path.write_text(json.dumps(value), encoding="utf-8")
    command = [sys.executable, "-m", "lanedock_cli.app", "apply", str(path), "--control", mesh.control_addresses]
    subprocess.run(command, check=True, stdout=subprocess.DEVNULL)


class _Flooder:
    """Takes the place of an application: a process for each connection answers with bytes without end."""

    def __init__(self, first: bytes, block: bytes):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self._pid = os.fork()
        if not self._pid:
            try:
                os.setpgid(0, 0)
                # Ended processes are not waited for.
                signal.signal(signal.SIGCHLD, signal.SIG_IGN)
                self._serve(first, block * (1 + 50_000 // len(block)))
            finally:
                # Otherwise an error would unwind the parent's code, which ends the mesh.
                os._exit(1)

    def _serve(self, first: bytes, block: bytes) -> None:
        while True:
            conn, _ = self._listener.accept()
            if os.fork():
                conn.close()
                continue
            try:
                if conn.recv(65536):
                    conn.sendall(first)
                    while True:
                        conn.sendall(block)
            except OSError:
                pass
            os._exit(0)

    def stop(self) -> None:
        os.killpg(self._pid, signal.SIGKILL)
        os.waitpid(self._pid, 0)


def _start_flooder(mesh: LocalMesh, kind: tuple[bytes, bytes]) -> _Flooder:
    flooder = _Flooder(*kind)
    mesh.upstreams["bad-0"].settings["upstream"]["application"] = f"127.0.0.1:{flooder.port}"
    return flooder


if __name__ == "__main__":
    sys.exit(main())
