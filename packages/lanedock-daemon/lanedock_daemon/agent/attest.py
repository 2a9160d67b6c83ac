# SPDX-License-Identifier: BSD-3-Clause
"""Attempts to reach other daemons of the zone, on the control's request."""

import gevent

from lanedock.kernel import TaskService
from lanedock.wire import messages
from lanedock_daemon.sockets import open_connection

__all__ = ["ALIVE_PATH", "AttestationsMade", "Attester"]

# Answered by every daemon itself, never passed on.
ALIVE_PATH = "/.lanedock/alive"
# A daemon that is paused for less than its stall limit serves on, so it must
# not be confirmed as unreachable: witnesses wait this much longer for its answer.
PATIENCE = 1.4


class AttestationsMade:
    """Attempts were made."""

    __slots__ = ("attestations",)

    def __init__(self, attestations: list[messages.Attestation]):
        self.attestations = attestations


class Attester:
    """Tries to reach daemons, all that are asked for at once.

    Parameters
    ----------
    owner : TaskService
        Takes AttestationsMade.
    name : str
        This daemon's.
    stall_limit : float
        Standstill, in seconds, after which any daemon of the mesh notices.
    """

    def __init__(self, owner: TaskService, name: str, stall_limit: float):
        self._owner = owner
        self._name = name
        self._timeout = PATIENCE * stall_limit
        self._task = None

    def ask(self, endpoints: list[messages.Endpoint]) -> None:
        """Try to reach daemons, unless an earlier attempt still runs."""
        if self._task is None or self._task.ready():
            self._task = gevent.spawn(self._run, endpoints)

    def _run(self, endpoints: list[messages.Endpoint]) -> None:
        tries = [gevent.spawn(_is_alive, endpoint.host, endpoint.port, self._timeout) for endpoint in endpoints]
        gevent.joinall(tries)
        made = []
        for endpoint, one in zip(endpoints, tries, strict=True):
            made.append(messages.Attestation(instance=endpoint.instance, attester=self._name, reachable=one.value))
        self._owner.post(AttestationsMade(made))


def _is_alive(host: str, port: int, timeout: float) -> bool:
    """Tell whether a daemon answers. A frozen one still accepts connections."""
    try:
        with gevent.Timeout(timeout), open_connection((host, port)) as conn:
            conn.sendall(f"GET {ALIVE_PATH} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
            return conn.recv(16).startswith(b"HTTP/1.1")
    except (OSError, gevent.Timeout):
        return False
