# SPDX-License-Identifier: BSD-3-Clause
"""Tests that documents match the code, and that subpackages import only what they may."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

from lanedock.errors import ErrorCode
from lanedock.telemetry import Event, Metric

ROOT = Path(__file__).parent.parent
LIBRARY = ROOT / "packages" / "lanedock" / "lanedock"

# Subpackages of the library that each subpackage may import; docs/architecture.md shows the same.
ALLOWED_IMPORTS = {
    "averages": set(),
    "canary": {"errors", "membership", "wire"},
    "clock": set(),
    "config": {"errors", "findings", "wire"},
    "consensus": {"errors", "wire"},
    "errors": set(),
    "findings": {"errors"},
    "kernel": {"clock", "errors"},
    "limits": {"config", "errors", "averages"},
    "quarantine": {"wire"},
    "quota": {"wire"},
    "membership": {"errors", "findings", "wire"},
    "rollout": {"canary", "config", "errors", "findings", "membership", "wire"},
    "routing": {"canary", "config", "membership", "wire", "averages"},
    "settings": {"errors", "findings"},
    "telemetry": {"clock"},
    "testing": set(),
    "wire": set(),
}
# Packages that only the command line may import, because the memory of the daemon is budgeted.
COMMAND_LINE_ONLY = {"typer", "rich", "lanedock_cli"}


def _find_imported_names(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module)
    return names


def _find_subpackage(path: Path) -> str:
    return path.relative_to(LIBRARY).parts[0].removesuffix(".py")


def test_generated_pages_are_up_to_date():
    completed = subprocess.run(
        [sys.executable, "tools/make_docs.py", "--check"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr


@pytest.mark.parametrize("topic", sorted(ALLOWED_IMPORTS))
def test_subpackages_import_only_allowed_subpackages(topic):
    paths = [path for path in LIBRARY.rglob("*.py") if _find_subpackage(path) == topic and "tests" not in path.parts]
    assert paths
    for path in paths:
        for name in _find_imported_names(path):
            package, _, rest = name.partition(".")
            assert package != "lanedock_daemon" and package not in COMMAND_LINE_ONLY, path
            if package == "lanedock" and rest:
                assert rest.split(".")[0] in ALLOWED_IMPORTS[topic] | {topic}, path


def test_every_error_code_event_and_metric_is_used():
    code = "".join(path.read_text(encoding="utf-8") for path in (ROOT / "packages").rglob("*.py"))
    for kind in (ErrorCode, Event, Metric):
        for member in kind:
            assert f"{kind.__name__}.{member.name}" in code, f"{kind.__name__}.{member.name} is used nowhere"


def test_every_subpackage_has_an_import_rule():
    subpackages = {_find_subpackage(path) for path in LIBRARY.rglob("*.py")} - {"__init__"}
    assert subpackages == set(ALLOWED_IMPORTS)


def test_daemon_does_not_import_command_line_packages():
    for path in (ROOT / "packages" / "lanedock-daemon").rglob("*.py"):
        assert not {name.partition(".")[0] for name in _find_imported_names(path)} & COMMAND_LINE_ONLY, path
