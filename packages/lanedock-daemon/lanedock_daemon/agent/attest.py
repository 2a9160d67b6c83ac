# SPDX-License-Identifier: BSD-3-Clause
"""Attempts to reach other daemons of the zone, on the control's request."""

import gevent
from gevent import socket

from lanedock.kernel import TaskService
from lanedock.wire import messages

__all__ = ["ALIVE_PATH", "AttestationsMade", "Attester"]

# Answered by every daemon itself, never passed on.
ALIVE_PATH = "/.lanedock/alive"
TIMEOUT = 0.5


class AttestationsMade:
    """Attempts were made."""

    __slots__ = ("attestations",)

    def __init__(self, attestations: list[messages.Attestation]):
        self.attestations = attestations


class Attester:
    """Tries to reach daemons, one request at a time.

    Parameters
    ----------
    owner : TaskService
        Takes AttestationsMade.
    name : str
        This daemon's.
    """

    def __init__(self, owner: TaskService, name: str):
        self._owner = owner
        self._name = name
        self._task = None

    def ask(self, endpoints: list[messages.Endpoint]) -> None:
        """Try to reach daemons, unless an earlier attempt still runs."""
        if self._task is None or self._task.ready():
            self._task = gevent.spawn(self._run, endpoints)

    def _run(self, endpoints: list[messages.Endpoint]) -> None:
        made = []
        for endpoint in endpoints:
            reachable = _is_alive(endpoint.host, endpoint.port)
            made.append(messages.Attestation(instance=endpoint.instance, attester=self._name, reachable=reachable))
        self._owner.post(AttestationsMade(made))


def _is_alive(host: str, port: int) -> bool:
    """Tell whether a daemon answers. A frozen one still accepts connections."""
    try:
        with gevent.Timeout(TIMEOUT), socket.create_connection((host, port)) as conn:
            conn.sendall(f"GET {ALIVE_PATH} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
            return conn.recv(16).startswith(b"HTTP/1.1")
    except (OSError, gevent.Timeout):
        return False
