# SPDX-License-Identifier: BSD-3-Clause
"""Demo of a whole mesh on loopback: ``python tools/demo.py [FILE]``.

Starts one control instance and one entry daemon in each availability zone, and
as many upstreams with daemons as the deployment has. Applies the operators'
file, sends requests of every kind, prints the results, and stops all processes.
"""

import argparse
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from lanedock.config import load_config
from lanedock.testing.mesh import LocalMesh

# Number of upstreams of each service in the two deployments.
UPSTREAMS = {"checklists": 6, "sightings": 4, "media": 3, "catalog": 6, "orders": 4, "dispatch": 3}
REQUESTS = {
    "kijani": [
        ("GET", "/checklists/kibera", b""),
        ("POST", "/sightings", b"3 hadada ibis"),
        ("POST", "/media", b"." * 300_000),
    ],
    "bayanihan": [
        ("GET", "/catalog/rice", b""),
        ("POST", "/orders", b"1 kg rice"),
        ("POST", "/dispatch/photos", b"." * 300_000),
    ],
}
ROUNDS = 10


def main() -> int:
    """Run the demo; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?", default="examples/kijani.jsonc")
    file = parser.parse_args().file
    tree = load_config(file)
    value = tree.value()
    services = {item["name"]: UPSTREAMS.get(item["name"], 3) for item in value["services"]}
    with tempfile.TemporaryDirectory() as folder, LocalMesh(Path(folder), value["zones"], services) as mesh:
        started = time.monotonic()
        mesh.start()
        print(f"{len(mesh.processes)} processes started in {time.monotonic() - started:.1f} s")
        _lanedock(mesh, "apply", file)
        _lanedock(mesh, "status")
        succeeded = _send_requests(mesh, value["mesh"])
        status = json.loads(_lanedock(mesh, "status", "--json", quiet=True))
        behind = [item["daemon"] for item in status["daemons"] if item["in_force"] != value["version"]]
        current = len(status["daemons"]) - len(behind)
        print(f"version {value['version']} is in force on {current} proxies; behind: {behind or 'none'}")
        started = time.monotonic()
        codes = mesh.stop()
        print(f"stopped in {time.monotonic() - started:.1f} s; exit codes {sorted(set(codes))}")
        return 0 if succeeded and not behind and set(codes) == {0} else 1


def _lanedock(mesh: LocalMesh, command: str, *arguments: str, quiet: bool = False) -> str:
    command_line = [sys.executable, "-m", "lanedock_cli.app", command, *arguments, "--control", mesh.control_addresses]
    done = subprocess.run(command_line, capture_output=True, text=True, check=False)
    if not quiet or done.returncode:
        print(f"$ lanedock {command} {' '.join(arguments)}\n{done.stdout}{done.stderr}")
    if done.returncode:
        raise SystemExit(f"lanedock {command} exited with {done.returncode}")
    return done.stdout


def _send_requests(mesh: LocalMesh, name: str) -> bool:
    """Send requests through the entry daemons in turn; return whether all succeeded."""
    succeeded = True
    for method, path, body in REQUESTS.get(name, REQUESTS["kijani"]):
        answers, upstreams, duration = [], set(), 0.0
        for number in range(ROUNDS):
            started = time.monotonic()
            status, text = mesh.request(method, path, body, entry=number)
            duration += time.monotonic() - started
            answers.append(status)
            if status == 200:
                upstreams.add(json.loads(text)["upstream"])
        good = answers.count(200)
        succeeded = succeeded and good == ROUNDS
        mean = duration / ROUNDS * 1000
        print(f"{method} {path}: {good} of {ROUNDS} answered 200 by {len(upstreams)} upstreams, {mean:.1f} ms each")
    return succeeded


if __name__ == "__main__":
    sys.exit(main())
