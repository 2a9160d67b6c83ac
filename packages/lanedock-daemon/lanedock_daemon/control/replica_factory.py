# SPDX-License-Identifier: BSD-3-Clause
"""Building of a control instance's replica from its restored log."""

import random

from lanedock.clock import monotonic
from lanedock.consensus import RaftReplica, Restored, Timing
from lanedock.settings import ControlSettings

__all__ = ["ReplicaFactory"]


class ReplicaFactory:
    """Builds a replica at the start, and again after its disk refused a write.

    Parameters
    ----------
    replica : str
        Id, ``name@incarnation``.
    contacts : tuple of str
        Names of the replicas to which it sends its admission requests.
    cfg : ControlSettings
    """

    __slots__ = ("_cfg", "_contacts", "_replica")

    def __init__(self, replica: str, contacts: tuple[str, ...], cfg: ControlSettings):
        self._replica = replica
        self._contacts = contacts
        self._cfg = cfg

    def __repr__(self) -> str:
        return f"<ReplicaFactory {self._replica}>"

    def make(self, restored: Restored, applied: int, leader_heard_at: float | None) -> RaftReplica:
        """Return a replica; see `RaftReplica` for `applied` and `leader_heard_at`."""
        cfg = self._cfg
        return RaftReplica(
            self._replica,
            restored.log,
            restored.hard_state.term,
            restored.hard_state.voted_for,
            Timing.for_election(cfg.election_ms / 1000),
            random.Random(),
            monotonic(),
            self._contacts,
            # Replicas that are found through seeds have no fixed set of names.
            cfg.replace_after_ms / 1000 if cfg.seeds is not None else None,
            applied,
            leader_heard_at,
        )
