# SPDX-License-Identifier: BSD-3-Clause
"""Hooks and fixtures for all tests.

The tests listed in KNOWN-RED.txt are marked as expected failures: strict ones, but for those that fail sometimes.
"""

import logging
from pathlib import Path

import pytest

from lanedock.telemetry.log import LineWriter

LIST = Path(__file__).parent / "KNOWN-RED.txt"
# Begin of the observed failure of a test that does not fail in each run, so that CI can't depend on it.
SOMETIMES = "sometimes: "
_KEY = pytest.StashKey[dict]()


def read_known_red(text: str) -> dict[str, str]:
    """Parse the list of known failing tests.

    Parameters
    ----------
    text : str
        One line per test with four fields separated by bars: test id, with parameters if only these
        fail, command and seed, observed failure, and issue. Lines that begin with # are ignored.

    Returns
    -------
    dict of str to str
        Test ids and the remaining fields of their lines.
    """
    known = {}
    for line in text.splitlines():
        if line.strip() and not line.startswith("#"):
            test, _, rest = line.partition("|")
            known[test.strip()] = " ".join(rest.split())
    return known


def pytest_configure(config) -> None:
    """Read KNOWN-RED.txt if it exists."""
    config.stash[_KEY] = read_known_red(LIST.read_text(encoding="utf-8")) if LIST.exists() else {}


def pytest_collection_modifyitems(config, items) -> None:
    """Mark the listed tests as xfail.

    The marks are strict: a listed test that passes fails the run until it is unlisted. Only a test that is listed as
    failing sometimes may also pass.
    """
    known = config.stash[_KEY]
    for item in items:
        cause = known.get(item.nodeid) or known.get(item.nodeid.partition("[")[0])
        if cause is not None:
            is_strict = f"| {SOMETIMES}" not in cause
            item.add_marker(pytest.mark.xfail(reason=f"known red: {cause}", strict=is_strict))


def pytest_terminal_summary(terminalreporter, config) -> None:
    """Print the listed tests that ran and failed."""
    failed = [report for report in terminalreporter.stats.get("xfailed", ()) if "known red" in report.wasxfail]
    if failed:
        terminalreporter.section("known red")
        for report in failed:
            terminalreporter.line(f"{report.nodeid}: {report.wasxfail}")


@pytest.fixture(autouse=True)
def restore_logging():
    """Restore the root logger after each test, so that a log file of one test gets no lines of the next."""
    root = logging.getLogger()
    handlers, level = list(root.handlers), root.level
    yield
    for handler in root.handlers:
        if isinstance(handler, LineWriter) and handler not in handlers:
            handler.close()
    root.handlers[:], root.level = handlers, level
