# SPDX-License-Identifier: BSD-3-Clause
"""Cost of quarantine in a large mesh of real processes, and the time until all daemons apply it.

``python tools/bench_quarantine.py --daemons 190``: prints the bytes that control instances send
and the memory of the processes, before and after a series of application crashes, each caused by
a different request, and the seconds from a request's third crash until every daemon refuses it.
"""

import statistics
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import typer

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "platform")]

from crash_mesh import CrashMesh, make_routes  # noqa: E402
from crashing_application import POISON  # noqa: E402
from platform_processes import TIMEOUT, read_metric  # noqa: E402

# Length of the measurements of bytes with and without crashes, in seconds.
PERIOD = 20.0
# Seconds between two attempts of the request that crashes three applications.
GAP = 0.5
# Number of concurrent reads of metrics.
CONCURRENT_READS = 16
KILOBYTE = 1024


def _control_bytes(mesh: CrashMesh) -> float:
    """Return the total number of bytes that control instances have sent to daemons and to each other."""
    return sum(read_metric(ip, "lanedock_control_bytes_total") for ip in mesh.controls)


def _memory(mesh: CrashMesh, ips: list[str]) -> float:
    """Return the median resident memory of processes, in KB."""
    sizes = []
    for ip in ips:
        status = Path(f"/proc/{mesh.processes[ip].pid}/status").read_text(encoding="utf-8")
        sizes.append(int(status.partition("VmRSS:")[2].split()[0]))
    return statistics.median(sizes)


def _count_quarantining(mesh: CrashMesh) -> int:
    with ThreadPoolExecutor(CONCURRENT_READS) as pool:
        counts = list(pool.map(lambda ip: read_metric(ip, "lanedock_requests_quarantined"), mesh.daemons))
    return sum(value > 0 for value in counts)


def _time_to_quarantine(mesh: CrashMesh) -> float:
    """Crash three applications with one request; return the seconds from the third crash to refusal everywhere."""
    request = ("GET", f"/c/{POISON}")
    deadline = time.monotonic() + TIMEOUT
    while len(mesh.crashes()) < 3:
        if time.monotonic() > deadline:
            raise TimeoutError(f"only {len(mesh.crashes())} of 3 applications crashed within {TIMEOUT} s")
        # After the second crash, daemons hold the request back for 10 s.
        mesh.send(0, *request)
        time.sleep(GAP)
    third = mesh.crashes()[2]
    while _count_quarantining(mesh) < len(mesh.daemons):
        if time.monotonic() > third + TIMEOUT:
            raise TimeoutError(f"not all daemons refuse the request within {TIMEOUT} s of its third crash")
    return time.monotonic() - third


def main(daemons: int = 190, crashes: int = 100) -> None:
    """Run the measurements, and print the results."""
    mesh = CrashMesh(Path(tempfile.mkdtemp(prefix="quarantine-")), 0.0, daemons)
    try:
        mesh.start_ready(make_routes(4, 0))
        time.sleep(PERIOD)
        print(f"{daemons} daemons, {len(mesh.controls)} control instances")
        print(f"all refuse it {_time_to_quarantine(mesh):.2f} s after the third crash, at the latest")
        begin, sizes = _control_bytes(mesh), (_memory(mesh, mesh.controls), _memory(mesh, mesh.daemons))
        time.sleep(PERIOD)
        idle = _control_bytes(mesh) - begin
        begin, started, earlier_crashes = _control_bytes(mesh), time.monotonic(), len(mesh.crashes())
        for number in range(crashes):
            mesh.send(number, "POST", f"/a/b/{POISON}-{number}", b"1")
            time.sleep(max(0.0, started + PERIOD * (number + 1) / crashes - time.monotonic()))
        time.sleep(max(0.0, started + PERIOD - time.monotonic()))
        sent, crashed = _control_bytes(mesh) - begin, len(mesh.crashes()) - earlier_crashes
        after = _memory(mesh, mesh.controls), _memory(mesh, mesh.daemons)
        print(f"control sends {idle / PERIOD / KILOBYTE:.1f} KB/s in all without crashes")
        cost = (sent - idle) / crashed
        print(f"and {cost / KILOBYTE:.1f} KB more a crash, {cost / daemons:.0f} bytes a daemon ({crashed} crashes)")
        growth = [end - begin for begin, end in zip(sizes, after, strict=True)]
        print(
            f"memory: control {sizes[0]:.0f} KB and {growth[0]:+.0f}, a daemon {sizes[1]:.0f} KB and {growth[1]:+.0f}"
        )
    finally:
        mesh.stop()


if __name__ == "__main__":
    typer.run(main)
