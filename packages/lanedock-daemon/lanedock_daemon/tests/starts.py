# SPDX-License-Identifier: BSD-3-Clause
"""Processes that run an action at a known point of their start, for tests of signals."""

import json
import os
import socket
import subprocess
import sys
import threading
from pathlib import Path

__all__ = ["HANG_UP", "MODULES", "TERMINATE", "StartedProcess"]

HOST = "127.0.0.1"
# Seconds after which a process that has not ended is killed.
LONG = 20.0
# Modules first imported at the beginning of a start, and after the settings have been read.
MODULES = ("gevent", "lanedock_daemon.framed")
HANG_UP = "os.kill(os.getpid(), signal.SIGHUP)"
TERMINATE = "os.kill(os.getpid(), signal.SIGTERM)"
_RUN = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == {module!r}:
            sys.meta_path.remove(self)
            {action}

sys.meta_path.insert(0, Finder())
sys.argv = {arguments!r}
{program}
"""


class StartedProcess:
    """A daemon's process that runs an action while it starts.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for the settings.
    program : str
        Statement that runs the daemon.
    module : str
        Module whose first import triggers the action.
    action : str
        Statement, which may use `os` and `signal`, and runs in the settings' folder.

    Attributes
    ----------
    output : str
        Log output read so far.
    """

    def __init__(self, folder: Path, program: str, module: str, action: str):
        path = folder / "settings.json"
        for name, seed in (("settings.json", 1), ("changed.json", 2)):
            (folder / name).write_text(json.dumps(_make_settings(seed)), encoding="utf-8")
        code = _RUN.format(module=module, action=action, arguments=["start", "--settings", str(path)], program=program)
        environment = {**os.environ, "LANEDOCK_BOOT": str(path), "PYTHONPATH": os.pathsep.join(sys.path)}
        self.output = ""
        self._process = subprocess.Popen(
            [sys.executable, "-c", code], cwd=folder, env=environment, stdout=subprocess.PIPE, text=True
        )
        self._limit = threading.Timer(LONG, self._process.kill)
        self._limit.start()

    def read_until(self, event: str) -> None:
        """Read the log until an event occurs or the log ends."""
        while f'"{event}"' not in self.output and (line := self._process.stdout.readline()):
            self.output += line

    def wait(self) -> int:
        """Wait for the process to end; return its exit code."""
        self.output += self._process.communicate()[0]
        self._limit.cancel()
        return self._process.returncode

    def stop(self) -> int:
        """Send SIGTERM, and wait for the process to end; return its exit code."""
        self._process.terminate()
        return self.wait()


def _make_settings(seed: int) -> dict:
    with socket.socket() as one, socket.socket() as other:
        one.bind((HOST, 0))
        other.bind((HOST, 0))
        ready, entry = one.getsockname()[1], other.getsockname()[1]
    return {
        "name": "d",
        "zone": "z",
        "transport": "framed",
        "stop_timeout_ms": 1000,
        "daemon": {"control": [f"{HOST}:{seed}"], "ready": f"{HOST}:{ready}"},
        "entry": {"listen": f"{HOST}:{entry}"},
    }
