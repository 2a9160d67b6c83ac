# SPDX-License-Identifier: BSD-3-Clause
"""Fixtures: meshes of real processes, and the command line."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from lanedock.testing.mesh import LocalMesh

EXAMPLES = Path(__file__).parent.parent / "examples"


class Operator:
    """Runs the command line against a mesh."""

    def __init__(self, mesh: LocalMesh, folder: Path):
        self.mesh = mesh
        self.folder = folder
        self.value = None

    def run(self, *arguments: str) -> tuple[int, object]:
        """Run a command with --json; returns its exit code and what it printed."""
        command, *rest = arguments
        if command == "canary":
            command, rest = f"{command} {rest[0]}", rest[1:]
        line = [sys.executable, "-m", "lanedock_cli.app", *command.split(), *rest, "--json"]
        if command != "check":
            line += ["--control", self.mesh.control_addresses]
        done = subprocess.run(line, capture_output=True, text=True, check=False, timeout=60)
        assert "Traceback" not in done.stderr, done.stderr
        return done.returncode, json.loads(done.stdout) if done.stdout else done.stderr

    def write(self, version: int, change=None) -> Path:
        """Write the Kijani file under another version number, changed by a function."""
        from lanedock.findings import read_document

        value = read_document(str(EXAMPLES / "kijani.jsonc")).value
        value["version"] = version
        if change is not None:
            change(value)
        path = self.folder / f"v{version}.jsonc"
        path.write_text(json.dumps(value), encoding="utf-8")
        return path

    def apply(self, version: int, change=None, *options: str) -> tuple[int, dict]:
        """Apply the Kijani file under another version number."""
        return self.run("apply", str(self.write(version, change)), *options)


@pytest.fixture
def mesh(tmp_path):
    """Make a mesh of three zones and one upstream of each service."""
    services = {"checklists": 3, "sightings": 2, "media": 1}
    with LocalMesh(tmp_path / "mesh", ["nbo-a", "nbo-b", "nbo-c"], services) as made:
        made.start()
        yield made


@pytest.fixture
def operator(mesh, tmp_path):
    """Make an operator of that mesh."""
    return Operator(mesh, tmp_path)
