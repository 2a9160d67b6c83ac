# SPDX-License-Identifier: BSD-3-Clause
"""Sessions of a relay with its downstream daemons."""

from lanedock.quarantine import Quarantine
from lanedock.rollout import Distributor, VersionSource
from lanedock.telemetry import Metrics
from lanedock.wire import messages
from lanedock_daemon.session_registry import SessionRegistry
from lanedock_daemon.transport import Session

__all__ = ["RelaySessions"]

# Number of accepted versions that are kept as bases of deltas, the newest one included.
MAX_DELTA_BASES = 4


class RelaySessions(SessionRegistry):
    """The sessions of a relay with its downstream daemons.

    Parameters
    ----------
    metrics : Metrics
    quarantine : Quarantine
    """

    def __init__(self, metrics: Metrics, quarantine: Quarantine):
        super().__init__(Distributor(), metrics, quarantine)
        self._waiting_floors: list[tuple[Session, int]] = []
        self._requested_floors: list[tuple[Session, int]] = []
        self._versions = None
        self._bases: list = []

    def admit_or_refuse(
        self, session: Session, message: messages.DaemonMessage, endpoints: messages.EndpointUpdate
    ) -> None:
        """Admit a daemon that has connected.

        Parameters
        ----------
        session : Session
        message : DaemonMessage
            First message of the daemon.
        endpoints : EndpointUpdate
            All endpoints, sent to the daemon.
        """
        self._admit(session, message, endpoints)

    def _apply_message(self, session: Session, message: messages.DaemonMessage) -> None:
        if message.floor_token:
            self._waiting_floors.append((session, message.floor_token))

    def set_versions(self, accepted, staged) -> None:
        """Set the versions that downstream daemons receive.

        Parameters
        ----------
        accepted, staged : ConfigTree or None
        """
        versions = (accepted and accepted.version, staged and staged.version)
        if versions == self._versions:
            return
        self._versions = versions
        if accepted is not None and accepted not in self._bases:
            self._bases = [*self._bases, accepted][-MAX_DELTA_BASES:]
        bases = {tree.version.digest: tree for tree in self._bases}
        self.distributor.set_versions(VersionSource(accepted, staged, bases))

    def wants_floor(self) -> bool:
        """Return whether a downstream daemon waits for confirmation of the newest version.

        Requests that arrive while a confirmation is in progress wait for the next one, because
        the version may have changed since the confirmation was requested.
        """
        if self._waiting_floors and not self._requested_floors:
            self._requested_floors, self._waiting_floors = self._waiting_floors, []
        return bool(self._requested_floors)

    def confirm_floors(self, accepted: int) -> None:
        """Answer the requests that preceded the confirmation; `accepted` is the number of the confirmed version."""
        answered, self._requested_floors = self._requested_floors, []
        for session, token in answered:
            self._send_floor(session, token, accepted)
