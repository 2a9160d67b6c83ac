# SPDX-License-Identifier: BSD-3-Clause
"""Latency and processor time that the request path adds to a call, and goodput under overload.

``python tools/bench_path.py [--rounds N] [--out FILE]``: each round measures calls directly to
the stand-in upstream, through the entry daemon and the upstream's daemon with gevent's WSGI
server (wsgi), and through both with lanedock's own server (stream). Prints medians over the
rounds.
"""

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from lanedock.testing.mesh import LocalMesh

# Requests per second, and seconds.
RATE = 112.0
DURATION = 6.0
WORK = 0.002
SLOTS = 12
# Long enough that slots, not processors, limit the throughput in the overload benchmark.
OVERLOAD_WORK = 0.05
OVERLOAD_DURATION = 6.0
IN_TIME = 1.0


def main() -> int:
    """Run all measurements, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--out", default="")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        meshes = {name: _start(Path(folder) / name, name, WORK) for name in ("wsgi", "stream")}
        overloaded = _start(Path(folder) / "overload", "stream", OVERLOAD_WORK)
        try:
            figures = _measure(meshes, arguments.rounds)
            figures["overload"] = _measure_overload(overloaded)
        finally:
            for mesh in [*meshes.values(), overloaded]:
                mesh.__exit__()
    print(json.dumps(figures, indent=2))
    if arguments.out:
        Path(arguments.out).write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    return 0


def _start(folder: Path, server: str, work: float) -> LocalMesh:
    """Start a mesh of one entry daemon and one upstream, and apply a configuration."""
    mesh = LocalMesh(folder, ["nbo-a"], {"checklists": 1}, work=work)
    for process in [*mesh.entries.values(), *mesh.upstreams.values()]:
        process.settings["http_server"] = server
    mesh.start()
    route = {"name": "lookup", "path": "/checklists", "service": "checklists", "traffic_class": "lookup"}
    value = {
        "mesh": "bench",
        "version": 1,
        "zones": ["nbo-a"],
        "traffic_classes": [{"name": "lookup", "share": 0.5}],
        "services": [{"name": "checklists", "zones": ["nbo-a"], "slots": SLOTS}],
        "routes": [{**route, "repeatable": True, "deadline_ms": int(IN_TIME * 1000)}],
    }
    path = folder / "bench.jsonc"
    path.write_text(json.dumps(value), encoding="utf-8")
    command = [sys.executable, "-m", "lanedock_cli.app", "apply", str(path), "--control", mesh.control_addresses]
    subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
    return mesh


def _measure(meshes: dict[str, LocalMesh], rounds: int) -> dict:
    samples: dict[str, list[dict]] = {"direct": [], "wsgi": [], "stream": []}
    for _ in range(rounds):
        for name in samples:
            mesh = meshes.get(name, meshes["stream"])
            samples[name].append(_run_load(_address(mesh, name), RATE, DURATION, IN_TIME))
    figures = {name: _median(runs) for name, runs in samples.items()}
    for name in ("wsgi", "stream"):
        figures[name]["added_p50"] = figures[name]["p50"] - figures["direct"]["p50"]
        figures[name]["added_p99"] = figures[name]["p99"] - figures["direct"]["p99"]
    figures["cpu_us_per_call"] = {name: _measure_cost(mesh) for name, mesh in meshes.items()}
    return figures


def _address(mesh: LocalMesh, name: str) -> tuple[str, int]:
    if name == "direct":
        return next(iter(mesh.applications.values()))
    host, _, port = next(iter(mesh.entries.values())).settings["entry"]["listen"].rpartition(":")
    return host, int(port)


def _run_load(address, rate: float, duration: float, in_time: float) -> dict:
    head = "GET /checklists/1 HTTP/1.1\nHost: birds.example"
    plan = {"address": address, "rate": rate, "duration": duration, "head": head, "in_time": in_time}
    command = [sys.executable, "-m", "lanedock.testing.load", json.dumps(plan)]
    return json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def _median(samples: list[dict]) -> dict:
    keys = [key for key in samples[0] if key != "statuses"]
    return {key: round(statistics.median(sample[key] for sample in samples), 3) for key in keys}


def _measure_cost(mesh: LocalMesh) -> dict:
    """Measure each daemon's processor time per call, in microseconds, and resident memory, in megabytes."""
    processes = {"entry": next(iter(mesh.entries.values())), "upstream": next(iter(mesh.upstreams.values()))}
    before = {name: mesh.usage(process) for name, process in processes.items()}
    rate, duration = 400.0, 5.0
    _run_load(_address(mesh, ""), rate, duration, IN_TIME)
    after = {name: mesh.usage(process) for name, process in processes.items()}
    costs = {}
    for name in processes:
        seconds = after[name].cpu_seconds - before[name].cpu_seconds
        costs[name] = round(seconds / (rate * duration) * 1e6)
        costs[name + "_rss_mb"] = round(after[name].rss_bytes / 1e6, 1)
    return costs


def _measure_overload(mesh: LocalMesh) -> dict:
    """Measure good answers relative to capacity, with limits (stream) and without (direct).

    Direct requests queue at the upstream without a limit.
    """
    capacity = SLOTS / OVERLOAD_WORK
    figures = {"capacity_per_second": capacity}
    for times in (1, 3):
        for name in ("direct", "stream"):
            result = _run_load(_address(mesh, name), capacity * times, OVERLOAD_DURATION, IN_TIME)
            figures[f"{name}_{times}x_good_part"] = round(result["good_per_second"] / capacity, 3)
            figures[f"{name}_{times}x_p99_ms"] = result["p99"]
            # Requests that are still queued at the upstream would distort the next run.
            time.sleep(OVERLOAD_DURATION * times if name == "direct" else 1)
    return figures


if __name__ == "__main__":
    sys.exit(main())
