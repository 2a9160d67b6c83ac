# SPDX-License-Identifier: BSD-3-Clause
"""Fixtures for meshes of real processes and an operator who uses the command line."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from lanedock.testing.mesh import LocalMesh

EXAMPLES = Path(__file__).parent.parent / "examples"


class Operator:
    """Operator that runs the command line against a mesh.

    Parameters
    ----------
    mesh : LocalMesh
    folder : Path
        Folder in which configuration files are written.
    """

    def __init__(self, mesh: LocalMesh, folder: Path):
        self.mesh = mesh
        self.folder = folder
        self.value = None

    def run(self, *arguments: str) -> tuple[int, object]:
        """Run a command with --json; returns its exit code and parsed output, or its stderr without output."""
        command, *rest = arguments
        if command == "canary":
            command, rest = f"{command} {rest[0]}", rest[1:]
        line = [sys.executable, "-m", "lanedock_cli.app", *command.split(), *rest, "--json"]
        if command != "check":
            line += ["--control", self.mesh.control_addresses]
        completed = subprocess.run(line, capture_output=True, text=True, check=False, timeout=60)
        assert "Traceback" not in completed.stderr, completed.stderr
        return completed.returncode, json.loads(completed.stdout) if completed.stdout else completed.stderr

    def write(self, version: int, change=None) -> Path:
        """Write the Kijani configuration with a version number, modified by an optional function `change`."""
        from lanedock.findings import read_document

        value = read_document(str(EXAMPLES / "kijani.jsonc")).value
        value["version"] = version
        if change is not None:
            change(value)
        path = self.folder / f"v{version}.jsonc"
        path.write_text(json.dumps(value), encoding="utf-8")
        return path

    def apply(self, version: int, change=None, *options: str) -> tuple[int, dict]:
        """Write and apply the Kijani configuration; returns the exit code and the answer."""
        return self.run("apply", str(self.write(version, change)), *options)


@pytest.fixture
def mesh(tmp_path):
    """Start a mesh of three zones with three, two and one upstreams of its services."""
    services = {"checklists": 3, "sightings": 2, "media": 1}
    with LocalMesh(tmp_path / "mesh", ["nbo-a", "nbo-b", "nbo-c"], services) as local_mesh:
        local_mesh.start()
        yield local_mesh


@pytest.fixture
def operator(mesh, tmp_path):
    """Make an operator of the mesh."""
    return Operator(mesh, tmp_path)
