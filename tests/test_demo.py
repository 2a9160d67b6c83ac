# SPDX-License-Identifier: BSD-3-Clause
"""Tests the demo of both deployments, as run by `make demo`."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("name", ["kijani", "bayanihan"])
def test_demo_applies_a_version_and_serves_requests(name):
    line = [sys.executable, "tools/demo.py", f"examples/{name}.jsonc"]
    completed = subprocess.run(line, cwd=ROOT, capture_output=True, text=True, check=False, timeout=120)
    assert completed.returncode == 0, completed.stdout + completed.stderr
    assert "version 1: applied" in completed.stdout
    assert completed.stdout.count("10 of 10 answered 200") == 3
    assert "is in force on 16 proxies; behind: none" in completed.stdout
