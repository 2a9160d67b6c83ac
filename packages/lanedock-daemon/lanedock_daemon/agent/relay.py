# SPDX-License-Identifier: BSD-3-Clause
"""A relay's sessions with the daemons downstream of it."""

from lanedock.quarantine import Quarantine
from lanedock.rollout import Distributor, VersionSource
from lanedock.telemetry import Metrics
from lanedock.wire import messages
from lanedock_daemon.session_registry import SessionRegistry
from lanedock_daemon.transport import Session

__all__ = ["RelaySessions"]

# Older accepted versions that are kept as bases of deltas.
MAX_BASES = 4


class RelaySessions(SessionRegistry):
    """The daemons downstream of a relay.

    Parameters
    ----------
    metrics : Metrics
    quarantine : Quarantine
    """

    def __init__(self, metrics: Metrics, quarantine: Quarantine):
        super().__init__(Distributor(), metrics, quarantine)
        self._floors: list[tuple[Session, int]] = []
        self._floors_asked: list[tuple[Session, int]] = []
        self._versions = None
        self._bases: list = []

    def arrive(self, session: Session, message: messages.DaemonMessage, endpoints: messages.EndpointUpdate) -> None:
        """Admit a daemon."""
        self._admit(session, message, endpoints)

    def _take(self, session: Session, message: messages.DaemonMessage) -> None:
        if message.floor_token:
            self._floors.append((session, message.floor_token))

    def set_source(self, accepted, staged) -> None:
        """Replace what is passed on."""
        versions = (accepted and accepted.version, staged and staged.version)
        if versions == self._versions:
            return
        self._versions = versions
        if accepted is not None and accepted not in self._bases:
            self._bases = [*self._bases, accepted][-MAX_BASES:]
        bases = {tree.version.digest: tree for tree in self._bases}
        self.distributor.set_source(VersionSource(accepted, staged, bases))

    def wants_floor(self) -> bool:
        """Tell whether a daemon waits for the newest version's confirmation.

        Those who ask while a confirmation is under way wait for the next one.
        """
        if self._floors and not self._floors_asked:
            self._floors_asked, self._floors = self._floors, []
        return bool(self._floors_asked)

    def confirm_floors(self, accepted: int) -> None:
        """Answer those whose question the confirmation covers."""
        asked, self._floors_asked = self._floors_asked, []
        for session, token in asked:
            self._send_floor(session, token, accepted)
