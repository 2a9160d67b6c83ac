# SPDX-License-Identifier: BSD-3-Clause
"""Tests of operator tools besides `apply`: doctor, traces, metrics, TLS and reports of invalid settings."""

import json
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from lanedock.findings import FindingsError
from lanedock.membership import HttpPlatformList
from lanedock.settings import load_settings
from lanedock.testing.mesh import LocalMesh

ROOT = Path(__file__).parent.parent
SETTINGS = {
    "name": "c1",
    "zone": "z",
    "control": {
        "listen": "127.0.0.1:7000",
        "data_folder": "data",
        "replicas": {"c1": "127.0.0.1:7000"},
        "platform_list": "list.json",
    },
}


def _run(*arguments: str) -> subprocess.CompletedProcess:
    line = [sys.executable, "-m", "lanedock_cli.app", *arguments]
    completed = subprocess.run(line, capture_output=True, text=True, check=False, timeout=60)
    assert "Traceback" not in completed.stderr, completed.stderr
    return completed


@pytest.mark.parametrize(
    ("path", "new", "place"),
    [
        ("zone", "UPPER", "/zone"),
        ("control/listen", "localhost:7000", "/control/listen"),
        ("control/listen", "127.0.0.1:7001", "/control/listen"),
        ("control/replicas", {"c2": "127.0.0.1:7000"}, "/control/replicas"),
        ("surprise", 1, ""),
        ("entry", {"listen": "127.0.0.1:80"}, ""),
    ],
)
def test_invalid_settings_are_reported_with_their_path(tmp_path, path, new, place):
    value = json.loads(json.dumps(SETTINGS))
    *parents, last = path.split("/")
    target = value
    for part in parents:
        target = target[part]
    target[last] = new
    file = tmp_path / "s.jsonc"
    file.write_text(json.dumps(value, indent=1), encoding="utf-8")
    with pytest.raises(FindingsError) as caught:
        load_settings(str(file))
    assert place in [finding.place.path for finding in caught.value.findings]
    completed = subprocess.run(
        [sys.executable, "-m", "lanedock_daemon.app", "--settings", str(file)],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )
    assert completed.returncode == 2
    assert f"{file}:" in completed.stderr


def test_doctor_reports_all_failed_checks(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        value = json.loads(json.dumps(SETTINGS))
        value["control"].update(listen=address, replicas={"c1": address, "c2": "127.0.0.1:1"})
        value["control"].update(data_folder="/proc/none", platform_list=str(tmp_path / "none"))
        file = tmp_path / "s.jsonc"
        file.write_text(json.dumps(value), encoding="utf-8")
        completed = _run("doctor", "--settings", str(file), "--json")
    assert completed.returncode == 2
    bad = {item["what"] for item in json.loads(completed.stdout) if not item["good"]}
    assert bad == {"control.listen", "replica c2", "data folder", "platform list"}


@pytest.mark.parametrize("command", ["status", "history"])
def test_command_without_reachable_control_names_the_next_step(command):
    completed = _run(command, "--control", "127.0.0.1:1")
    assert completed.returncode == 4
    assert "LD2008" in completed.stderr
    assert "next:" in completed.stderr


def test_missing_tls_files_are_reported_with_an_error_code(tmp_path):
    completed = _run("status", "--control", "127.0.0.1:1", "--tls", str(tmp_path))
    assert completed.returncode == 1
    assert "LD5004" in completed.stderr


@pytest.mark.parametrize("name", ["embed_log", "embed_rollout", "embed_limits"])
def test_embedding_examples_run(name):
    completed = subprocess.run(
        [sys.executable, str(ROOT / "examples" / f"{name}.py")], capture_output=True, text=True, check=False, timeout=60
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout


def _make_certificates(folder: Path) -> dict:
    """Make a certificate authority and a certificate signed by it with openssl."""
    folder.mkdir()

    def openssl(*arguments: str) -> None:
        subprocess.run(["openssl", *arguments], cwd=folder, check=True, capture_output=True)

    openssl("req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:P-256", "-nodes", "-subj", "/CN=authority",
            "-keyout", "authority.key", "-out", "authority.crt", "-days", "2")  # fmt: skip
    openssl("req", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:P-256", "-nodes", "-subj", "/CN=lanedock",
            "-keyout", "client.key", "-out", "client.csr")  # fmt: skip
    openssl("x509", "-req", "-in", "client.csr", "-CA", "authority.crt", "-CAkey", "authority.key", "-CAcreateserial",
            "-out", "client.crt", "-days", "2")  # fmt: skip
    names = {"certificate": "client.crt", "key": "client.key", "authority": "authority.crt"}
    return {key: str(folder / name) for key, name in names.items()}


def test_tls_traces_metrics_and_http_platform_list_work_together(tmp_path):
    """Enables all features that are off by default in one mesh."""
    tls = _make_certificates(tmp_path / "tls")
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink,
        LocalMesh(tmp_path / "mesh", ["nbo-a"], {"checklists": 1}) as mesh,
    ):
        sink.bind(("127.0.0.1", 0))
        sink.settimeout(20)
        served = _serve_folder(mesh.folder)
        for process in mesh.processes:
            process.settings["tls"] = tls
            process.settings["statsd"] = f"127.0.0.1:{sink.getsockname()[1]}"
            process.settings["trace"] = {"file": str(tmp_path / "spans.jsonl"), "sample": 1}
        control = next(iter(mesh.controls.values()))
        control.settings["control"]["platform_list"] = f"http://127.0.0.1:{served[1]}/platform.json"
        assert len(HttpPlatformList(f"http://127.0.0.1:{served[1]}/platform.json").read()) == 2
        try:
            mesh.start()
            _check_tls_mesh(mesh, tmp_path)
            metrics = set()
            while not {"requests", "config.version", "log.sync"} <= metrics:
                for line in sink.recv(65536).decode().splitlines():
                    metrics.add(line.partition(":")[0].split(".", 3)[3])
            mesh.stop()
        finally:
            served[0].kill()
            served[0].wait()
    _check_spans(tmp_path / "spans.jsonl")


def _serve_folder(folder: Path):
    """Serve a folder over HTTP, as a platform serves its list; returns the process and its port."""
    line = [sys.executable, "-u", "-m", "http.server", "--bind", "127.0.0.1", "0", "--directory", str(folder)]
    process = subprocess.Popen(line, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)
    printed = process.stdout.readline()
    return process, int(printed.partition(" port ")[2].split(" ")[0])


def _check_tls_mesh(mesh: LocalMesh, tmp_path: Path) -> None:
    value = json.loads((ROOT / "docs" / "schemas" / "config.schema.json").read_text(encoding="utf-8"))
    assert value["title"]
    file = tmp_path / "f.jsonc"
    file.write_text(
        json.dumps(
            {
                "mesh": "m",
                "version": 1,
                "zones": ["nbo-a"],
                "traffic_classes": [{"name": "c", "share": 0.5}],
                "services": [{"name": "checklists", "zones": ["nbo-a"]}],
                "routes": [{"name": "r", "path": "/", "service": "checklists", "traffic_class": "c"}],
            }
        ),
        encoding="utf-8",
    )
    control = ("--control", mesh.control_addresses)
    assert _run("apply", str(file), *control, "--timeout", "1").returncode == 4
    completed = _run("apply", str(file), *control, "--tls", str(tmp_path / "tls"))
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert "E105" not in "".join(process.log() for process in mesh.processes)
    trace = "00-" + "1" * 32 + "-" + "2" * 16 + "-01"
    status, body = mesh.request("GET", "/x", headers={"traceparent": trace})
    assert status == 200
    assert json.loads(body)["traceparent"].startswith("00-" + "1" * 32)


def _check_spans(path: Path) -> None:
    until = time.monotonic() + 10
    while path.read_text(encoding="utf-8").count("\n") < 2 and time.monotonic() < until:
        time.sleep(0.05)
    spans = [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines()]
    assert [span["name"] for span in sorted(spans, key=lambda span: span["start_time"])] == [
        "GET caller",
        "GET upstream",
    ]
    drawn = _run("trace", str(path)).stdout
    assert "1" * 32 in drawn
    assert drawn.index("GET caller") < drawn.index("GET upstream")
