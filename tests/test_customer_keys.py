# SPDX-License-Identifier: BSD-3-Clause
"""Test that the keys of customers occur in no output of a mesh and of the command line."""

import json
import socket
import subprocess
import sys
from pathlib import Path
from urllib.request import urlopen

from conftest import Operator

from lanedock.testing.mesh import LocalMesh

KEYS = ["k-ann-5b1f0c77aa", "k-bob-e2900a4d1c", "k-eve-unknown-90", "k-new-61c0ffee12"]
CONFIG = {
    "mesh": "m",
    "zones": ["nbo-a"],
    "traffic_classes": [{"name": "c", "share": 0.5}],
    "services": [{"name": "checklists", "zones": ["nbo-a"]}],
    "routes": [
        {"name": "r", "path": "/", "service": "checklists", "traffic_class": "c", "repeatable": True},
        {"name": "p", "path": "/open", "service": "checklists", "traffic_class": "c", "public": True},
    ],
}
LIMITED_KEY = "k-tim-7c20e1b9f4"
CUSTOMERS = [
    {"name": "ann", "keys": [KEYS[0]]},
    {"name": "bob", "keys": [KEYS[1]]},
    {"name": "tim", "keys": [LIMITED_KEY], "rate": 1, "burst": 1},
]
UNREADABLE = "GET /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n{key}\x01 : {key}\r\n\r\n"


def _write(folder: Path, version: int, customers: object) -> str:
    path = folder / f"v{version}.jsonc"
    path.write_text(json.dumps({**CONFIG, "version": version, "customers": customers}), encoding="utf-8")
    return str(path)


def _run(mesh: LocalMesh, *arguments: str) -> str:
    """Run a command, as text and as JSON; returns all its output."""
    output = ""
    for options in ([], ["--json"]):
        line = [sys.executable, "-m", "lanedock_cli.app", *arguments, *options]
        if arguments[0] not in ("check", "explain", "summary", "trace"):
            line += ["--control", mesh.control_addresses]
        completed = subprocess.run(line, capture_output=True, text=True, check=False, timeout=60)
        output += completed.stdout + completed.stderr
    return output


def _send_all(mesh: LocalMesh) -> list[int]:
    """Send requests that are answered, refused, quarantined or malformed, with every key; returns the statuses."""
    statuses = []
    for key in KEYS:
        for path in ("/x", "/open"):
            for headers in ({"authorization": f"Bearer {key}"}, {"authorization": key, "x-key": key}):
                headers = {**headers, "x-request-id": "id-1"}
                statuses += [mesh.request(method, path, body, 0, headers)[0] for method, body in
                             (("GET", b""), ("POST", b"y"))]  # fmt: skip
        host, _, port = next(iter(mesh.entries.values())).settings["entry"]["listen"].rpartition(":")
        with socket.create_connection((host, int(port)), timeout=10) as conn:
            conn.sendall(UNREADABLE.format(key=key).encode())
            answer = conn.recv(65536)
        assert answer.startswith(b"HTTP/1.1 400 ") and key.encode() not in answer
    return statuses


def _exceed_quota(mesh: LocalMesh) -> None:
    """Send requests of the limited customer until its quota is reached, and let the daemon log the refusal."""
    headers = {"authorization": f"Bearer {LIMITED_KEY}", "x-request-id": "id-2"}
    mesh.wait_for(lambda: mesh.request("GET", "/x", b"", 0, headers)[0] == 429, "the quota is reached")


def test_no_output_of_a_run_has_a_key(tmp_path):
    """Guards against keys in logs, spans, metrics, answers, findings and the output of commands."""
    spans = tmp_path / "spans.jsonl"
    with socket.socket() as taken, LocalMesh(tmp_path / "mesh", ["nbo-a"], {"checklists": 1}) as mesh:
        taken.bind(("127.0.0.1", 0))
        metrics = f"127.0.0.1:{taken.getsockname()[1]}"
        taken.close()
        for process in mesh.processes:
            process.settings.update(log_level="debug", log_sample=1, log_lines_per_second=10_000)
            process.settings["trace"] = {"file": str(spans), "sample": 1}
        next(iter(mesh.entries.values())).settings["metrics"] = metrics
        mesh.start()
        first, changed = _write(tmp_path, 1, CUSTOMERS), _write(tmp_path, 2, [{"name": "ann", "keys": [KEYS[3]]}])
        shared = _write(tmp_path, 3, [*CUSTOMERS, {"name": "eve", "keys": [KEYS[2], KEYS[0]]}])
        malformed = _write(tmp_path, 4, {"ann": KEYS[0]})
        operator = Operator(mesh, tmp_path)
        assert operator.run("apply", first)[0] == 0
        statuses = _send_all(mesh)
        assert {200, 401} == set(statuses)
        _exceed_quota(mesh)
        outputs = [_run(mesh, "diff", changed), _run(mesh, "apply", changed), _run(mesh, "diff", first)]
        assert "customers/ann/keys" in outputs[0]
        _send_all(mesh)
        for file in (shared, malformed):
            outputs += [_run(mesh, command, file) for command in ("check", "diff", "apply")]
        assert "LD1013" in outputs[3] and "LD1004" in outputs[6]
        outputs += [_run(mesh, command) for command in ("status", "history", "quarantine", "customers")]
        with urlopen(f"http://{metrics}/metrics", timeout=10) as answer:
            outputs.append(answer.read().decode())
        assert "lanedock_requests_total" in outputs[-1]
        logs = [str(process.log_path) for process in mesh.processes]
        mesh.stop()
        explained = _run(mesh, "explain", "id-1", *logs)
        assert "LD3017" in explained and "customer=ann" in explained
        outputs.append(_run(mesh, "explain", "id-2", *logs))
        assert "LD3018" in outputs[-1] and "customer=tim" in outputs[-1]
        outputs += [explained, _run(mesh, "summary", *logs), _run(mesh, "trace", str(spans))]
        outputs += [process.log() for process in mesh.processes]
        outputs.append(spans.read_text(encoding="utf-8"))
    assert '"REQUEST_REFUSED"' in "".join(outputs)
    found = [
        (key, output[max(0, output.index(key) - 200) :][:400])
        for key in (*KEYS, LIMITED_KEY)
        for output in outputs
        if key in output
    ]
    assert not found
