# SPDX-License-Identifier: BSD-3-Clause
"""Convergence time and control traffic of a change of one route.

``python tools/bench_rollout.py [--daemons 12,24,48] [--changes N] [--out FILE]``:
3 control instances and the given numbers of daemons, with a file of 66 services.
For each size, compares the present distribution (delta: slices, deltas, relays) with
the baseline (whole: the source sends the whole file to every daemon); the changes
alternate between the two. Prints medians and maxima over the changes.
"""

import argparse
import asyncio
import json
import socket
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path

from lanedock.settings import Address
from lanedock.testing.mesh import LocalMesh
from lanedock.wire import messages
from lanedock_cli.client import ControlClient

ZONES = ["z-a", "z-b", "z-c"]
SERVICES = 66
ROUTES_PER_SERVICE = 5
# Length of the measurement without changes, in seconds.
IDLE_TIME = 10.0
# Seconds after the start until the connections are stable.
SETTLE_TIME = 10.0
PRESS_DAEMONS = 24


class StatsdSink:
    """Receives statsd packets, and sums their counters by process and metric."""

    def __init__(self):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.counters: dict[tuple[str, str], float] = {}
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.socket.getsockname()[1]}"

    def _run(self) -> None:
        while True:
            for line in self.socket.recv(65536).decode().splitlines():
                name, _, rest = line.partition(":")
                value, _, kind = rest.partition("|")
                if kind == "c":
                    _, _, process, metric = name.split(".", 3)
                    key = (process, metric)
                    self.counters[key] = self.counters.get(key, 0) + float(value)

    def bytes_by_process(self) -> dict[str, float]:
        return {process: value for (process, metric), value in self.counters.items() if metric == "config.bytes"}


def make_value(version: int) -> dict:
    """Make a configuration of the target's size; one route differs between versions."""
    services, routes = [], []
    for number in range(SERVICES):
        name = f"service-{number}"
        calls = [f"service-{(number + step) % SERVICES}" for step in (1, 7, 20)]
        services.append({"name": name, "zones": ZONES, "slots": 12, "connections": 130, "calls": calls})
        for route in range(ROUTES_PER_SERVICE):
            deadline = 1000 + version if number == 0 and route == 0 else 2000
            routes.append(
                {
                    "name": f"{name}-{route}",
                    "path": f"/{name}/{route}",
                    "methods": ["GET"],
                    "service": name,
                    "traffic_class": "lookup",
                    "repeatable": True,
                    "deadline_ms": deadline,
                }
            )
    classes = [{"name": "lookup", "share": 0.3}, {"name": "order", "share": 0.4, "priority": 0}]
    return {
        "mesh": "bench",
        "version": version,
        "zones": ZONES,
        "traffic_classes": classes,
        "services": services,
        "routes": routes,
    }


class Fleet:
    """A mesh under measurement, with the times of its changes in milliseconds."""

    def __init__(self, folder: Path, daemons: int, whole_files: bool):
        self.sink = StatsdSink()
        upstreams = daemons - len(ZONES)
        services = {f"service-{number % SERVICES}": 0 for number in range(upstreams)}
        for number in range(upstreams):
            services[f"service-{number % SERVICES}"] += 1
        control = {"whole_files": whole_files, "relays_per_zone": 0 if whole_files else 2}
        self.mesh = LocalMesh(folder, ZONES, services, control)
        for process in self.mesh.processes:
            process.settings["statsd"] = self.sink.address
            process.settings["log_level"] = "warning"
        self.daemons = daemons
        self.version = 0
        addresses = [Address.parse(text) for text in self.mesh.control_addresses.split(",")]
        self.client = ControlClient(addresses, None, 30.0)
        self.submits: list[float] = []
        self.stages: list[float] = []
        self.converges: list[float] = []

    def start(self) -> None:
        self.mesh.start()
        self.mesh.wait_for(lambda: self.connected() == self.daemons, "all daemons are connected", timeout=60)

    def connected(self) -> int:
        status = asyncio.run(self.client.ask("Status", messages.StatusRequest()))
        return len(status.daemons)

    def change(self) -> None:
        self.version += 1
        request = messages.SubmitRequest(version=self.version, content=json.dumps(make_value(self.version)).encode())
        request.timeout_ms = 20_000
        started = time.monotonic()
        reply = asyncio.run(self.client.submit(request, lambda progress: None))
        if reply.answer != messages.ANSWER_APPLIED:
            raise SystemExit(f"version {self.version}: {reply.code} {reply.message} {list(reply.findings)[:3]}")
        self.submits.append((time.monotonic() - started) * 1000)
        self.stages.append(reply.stage_ms)
        self.converges.append(reply.converge_ms)

    def usage(self) -> dict[str, tuple[float, float]]:
        """Return processor seconds and resident bytes of each process."""
        usages = {}
        for process in self.mesh.processes:
            usage = self.mesh.usage(process)
            usages[process.name] = (usage.cpu_seconds, usage.rss_bytes)
        return usages


def main() -> int:
    """Run the measurements, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", default="12,24,48")
    parser.add_argument("--changes", type=int, default=15)
    parser.add_argument(
        "--press", type=int, default=0, help="measure this number of changes without a pause instead, with 24 daemons"
    )
    parser.add_argument("--out", default="")
    arguments = parser.parse_args()
    figures = []
    if arguments.press:
        return _finish(_measure_press(arguments.press), arguments.out)
    for daemons in map(int, arguments.daemons.split(",")):
        figures += _measure(daemons, arguments.changes)
    return _finish(figures, arguments.out)


def _finish(figures: list[dict], out: str) -> int:
    print(json.dumps(figures, indent=2))
    if out:
        Path(out).write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    return 0


def _measure_press(changes: int) -> list[dict]:
    """Measure changes without a pause between them."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder) / "delta", PRESS_DAEMONS, False)
        try:
            fleet.start()
            fleet.change()
            time.sleep(2)
            before, started = fleet.usage(), time.monotonic()
            fleet.submits, fleet.converges = [], []
            for _ in range(changes):
                fleet.change()
            seconds = time.monotonic() - started
            after = fleet.usage()
        finally:
            fleet.mesh.__exit__()
    figures = {
        "daemons": PRESS_DAEMONS,
        "changes": changes,
        "seconds": round(seconds, 1),
        "submit_to_force_ms": _summary(fleet.submits),
        "accept_to_force_ms": _summary(fleet.converges),
        "daemon_core_percent": round(_cpu(after, before, False) / seconds * 100, 2),
        "control_core_percent": round(_cpu(after, before, True) / seconds * 100, 1),
        "daemon_rss_mb": [_memory(before, False), _memory(after, False)],
        "control_rss_mb": [_memory(before, True), _memory(after, True)],
    }
    return [figures]


def _measure(daemons: int, changes: int) -> list[dict]:
    """Measure both ways of distribution with one number of daemons."""
    with tempfile.TemporaryDirectory() as folder:
        fleets = {
            "whole": Fleet(Path(folder) / "whole", daemons, True),
            "delta": Fleet(Path(folder) / "delta", daemons, False),
        }
        try:
            for fleet in fleets.values():
                fleet.start()
                fleet.change()
                fleet.change()
            return _compare(fleets, daemons, changes)
        finally:
            for fleet in fleets.values():
                fleet.mesh.__exit__()


def _compare(fleets: dict[str, Fleet], daemons: int, changes: int) -> list[dict]:
    # Daemons that started before their preferred control instance return to it meanwhile.
    time.sleep(SETTLE_TIME)
    idle_before = {way: fleet.usage() for way, fleet in fleets.items()}
    idle_sent_before = {way: fleet.sink.bytes_by_process() for way, fleet in fleets.items()}
    time.sleep(IDLE_TIME)
    before = {way: fleet.usage() for way, fleet in fleets.items()}
    sent_before = {way: fleet.sink.bytes_by_process() for way, fleet in fleets.items()}
    for fleet in fleets.values():
        fleet.submits, fleet.stages, fleet.converges = [], [], []
    started = time.monotonic()
    for _ in range(changes):
        for fleet in fleets.values():
            fleet.change()
    busy_time = time.monotonic() - started
    time.sleep(2)
    figures = []
    for way, fleet in fleets.items():
        idle_bytes = _difference(sent_before[way], idle_sent_before[way])
        sent = _difference(fleet.sink.bytes_by_process(), sent_before[way])
        # Subtracts the idle traffic, which the changes do not cause.
        share = (busy_time + 2) / IDLE_TIME
        net = {name: max(0.0, value - idle_bytes.get(name, 0) * share) for name, value in sent.items()}
        control = sum(value for name, value in net.items() if name.startswith("control"))
        after = fleet.usage()
        figures.append(
            {
                "way": way,
                "daemons": daemons,
                "changes": changes,
                "submit_to_force_ms": _summary(fleet.submits),
                "stage_ms": _summary(fleet.stages),
                "accept_to_force_ms": _summary(fleet.converges),
                "bytes_per_change": round(sum(net.values()) / changes),
                "bytes_per_change_and_daemon": round(sum(net.values()) / changes / daemons),
                "source_bytes_per_change": round(control / changes),
                "rest_bytes_per_second_and_daemon": round(sum(idle_bytes.values()) / IDLE_TIME / daemons, 1),
                "daemon_rest_core_percent": _cpu(before[way], idle_before[way], False) / IDLE_TIME * 100,
                "control_rest_core_percent": _cpu(before[way], idle_before[way], True) / IDLE_TIME * 100,
                "daemon_cpu_ms_per_change": _cpu(after, before[way], False) * 1000 / changes,
                "control_cpu_ms_per_change": _cpu(after, before[way], True) * 1000 / changes,
                "daemon_rss_mb": _memory(after, False),
                "control_rss_mb": _memory(after, True),
            }
        )
    return figures


def _summary(samples: list[float]) -> dict:
    return {"median": round(statistics.median(samples), 1), "max": round(max(samples), 1)}


def _difference(after: dict[str, float], before: dict[str, float]) -> dict[str, float]:
    return {name: value - before.get(name, 0) for name, value in after.items()}


def _cpu(after: dict, before: dict, of_control: bool) -> float:
    """Return the mean processor time, in seconds, of the control instances or of the daemons."""
    spent = [after[name][0] - before[name][0] for name in after if name.startswith("control") == of_control]
    return round(statistics.mean(spent), 6)


def _memory(usage: dict, of_control: bool) -> float:
    sizes = [size for name, (_, size) in usage.items() if name.startswith("control") == of_control]
    return round(statistics.mean(sizes) / 1e6, 1)


if __name__ == "__main__":
    sys.exit(main())
