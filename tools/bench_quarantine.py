# SPDX-License-Identifier: BSD-3-Clause
"""What suspicions of requests cost in a large mesh of real processes, and how soon all daemons know.

``python tools/bench_quarantine.py --daemons 190``: prints the bytes that control instances send
and the memory of the processes, before and after applications have crashed one by one, each under
one request, and the seconds from a request's third crash until no daemon passes it on.
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

# Seconds over which bytes are counted, with and without crashes.
PERIOD = 20.0
# Seconds between two sends of the request that crashes three.
GAP = 0.5
# Processes that are asked for their metrics at once.
ASKED_AT_ONCE = 16
KILOBYTE = 1024


def _control_bytes(mesh: CrashMesh) -> float:
    """Return the bytes that all control instances have sent, to daemons and to each other."""
    return sum(read_metric(ip, "lanedock_control_bytes_total") for ip in mesh.controls)


def _memory(mesh: CrashMesh, ips: list[str]) -> float:
    """Return the median resident memory of some processes, in KB."""
    sizes = []
    for ip in ips:
        status = Path(f"/proc/{mesh.processes[ip].pid}/status").read_text(encoding="utf-8")
        sizes.append(int(status.partition("VmRSS:")[2].split()[0]))
    return statistics.median(sizes)


def _count_quarantining(mesh: CrashMesh) -> int:
    with ThreadPoolExecutor(ASKED_AT_ONCE) as pool:
        held = list(pool.map(lambda ip: read_metric(ip, "lanedock_requests_quarantined"), mesh.daemons))
    return sum(value > 0 for value in held)


def _time_to_quarantine(mesh: CrashMesh) -> float:
    """Crash three applications by one request; return the seconds until all daemons refuse it."""
    request = ("GET", f"/c/{POISON}")
    until = time.monotonic() + TIMEOUT
    while len(mesh.crashes()) < 3:
        if time.monotonic() > until:
            raise TimeoutError(f"{len(mesh.crashes())} applications have crashed")
        # After the second crash it is not passed on for 10 s.
        mesh.send(0, *request)
        time.sleep(GAP)
    third = mesh.crashes()[2]
    while _count_quarantining(mesh) < len(mesh.daemons):
        if time.monotonic() > third + TIMEOUT:
            raise TimeoutError("not all daemons know of the request")
    return time.monotonic() - third


def main(daemons: int = 190, crashes: int = 100) -> None:
    """Print the figures."""
    mesh = CrashMesh(Path(tempfile.mkdtemp(prefix="quarantine-")), 0.0, daemons)
    try:
        mesh.start_ready(make_routes(4, 0))
        time.sleep(PERIOD)
        print(f"{daemons} daemons, {len(mesh.controls)} control instances")
        print(f"all refuse it {_time_to_quarantine(mesh):.2f} s after the third crash, at the latest")
        begin, sizes = _control_bytes(mesh), (_memory(mesh, mesh.controls), _memory(mesh, mesh.daemons))
        time.sleep(PERIOD)
        idle = _control_bytes(mesh) - begin
        begin, started, former = _control_bytes(mesh), time.monotonic(), len(mesh.crashes())
        for number in range(crashes):
            mesh.send(number, "POST", f"/a/b/{POISON}-{number}", b"1")
            time.sleep(max(0.0, started + PERIOD * (number + 1) / crashes - time.monotonic()))
        time.sleep(max(0.0, started + PERIOD - time.monotonic()))
        sent, happened = _control_bytes(mesh) - begin, len(mesh.crashes()) - former
        after = _memory(mesh, mesh.controls), _memory(mesh, mesh.daemons)
        print(f"control sends {idle / PERIOD / KILOBYTE:.1f} KB/s in all without crashes")
        each = (sent - idle) / happened
        print(f"and {each / KILOBYTE:.1f} KB more a crash, {each / daemons:.0f} bytes a daemon ({happened} crashes)")
        grown = [end - begin for begin, end in zip(sizes, after, strict=True)]
        print(f"memory: control {sizes[0]:.0f} KB and {grown[0]:+.0f}, a daemon {sizes[1]:.0f} KB and {grown[1]:+.0f}")
    finally:
        mesh.stop()


if __name__ == "__main__":
    typer.run(main)
