# SPDX-License-Identifier: BSD-3-Clause
"""Reachability checks of other daemons in the zone, requested by a control instance."""

import gevent

from lanedock.kernel import TaskService
from lanedock.wire import messages
from lanedock_daemon.sockets import open_connection

__all__ = ["ALIVE_PATH", "AttestationsCompleted", "Attester"]

# Answered by the daemon itself, never forwarded to the application.
ALIVE_PATH = "/.lanedock/alive"
# Timeout of an attempt as a multiple of the stall limit. A daemon that is paused for less than its
# stall limit continues to serve and must not be attested as unreachable, so the factor exceeds 1.
ATTEMPT_TIMEOUT_FACTOR = 1.4


class AttestationsCompleted:
    """All attempts of a request have ended."""

    __slots__ = ("attestations",)

    def __init__(self, attestations: list[messages.Attestation]):
        self.attestations = attestations


class Attester:
    """Checks in parallel whether daemons are reachable.

    Parameters
    ----------
    owner : TaskService
        Receives AttestationsCompleted.
    name : str
        Name of this daemon, given as the attester.
    stall_limit : float
        Pause of a process, in seconds, after which a daemon of the mesh stops serving.
    """

    def __init__(self, owner: TaskService, name: str, stall_limit: float):
        self._owner = owner
        self._name = name
        self._timeout = ATTEMPT_TIMEOUT_FACTOR * stall_limit
        self._task = None

    def ask(self, endpoints: list[messages.Endpoint]) -> None:
        """Start to check whether daemons are reachable, unless an earlier check is still running."""
        if self._task is None or self._task.ready():
            self._task = gevent.spawn(self._run, endpoints)

    def _run(self, endpoints: list[messages.Endpoint]) -> None:
        attempts = [gevent.spawn(_is_alive, endpoint.host, endpoint.port, self._timeout) for endpoint in endpoints]
        gevent.joinall(attempts)
        attestations = []
        for endpoint, attempt in zip(endpoints, attempts, strict=True):
            attestations.append(
                messages.Attestation(instance=endpoint.instance, attester=self._name, reachable=attempt.value)
            )
        self._owner.post(AttestationsCompleted(attestations))


def _is_alive(host: str, port: int, timeout: float) -> bool:
    """Return whether a daemon answers an HTTP request.

    A connection alone proves nothing: the kernel accepts connections for a paused process, too.
    """
    try:
        with gevent.Timeout(timeout), open_connection((host, port)) as conn:
            conn.sendall(f"GET {ALIVE_PATH} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
            return conn.recv(16).startswith(b"HTTP/1.1")
    except (OSError, gevent.Timeout):
        return False
