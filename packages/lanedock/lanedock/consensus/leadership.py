# SPDX-License-Identifier: BSD-3-Clause
"""What a leader knows of its followers: progress, rounds of heartbeats, its lease."""

from lanedock.consensus.core import Progress, Timing
from lanedock.consensus.membership import quorum_value
from lanedock.wire import messages

__all__ = ["Leadership"]


class Leadership:
    """One term's lead.

    Parameters
    ----------
    me : str
        The leader's id.
    term_start : int
        Index of the first entry of its term.
    timing : Timing
    stood_at : float
        When the election began, monotonic seconds. The votes came later, and
        each supports no other leader for `Timing.election_min`.

    Attributes
    ----------
    probe : int
        Counter of the rounds of heartbeats.
    lease_until : float
        Until then no other replica can lead.
    heartbeat_at : float
        When the next round is due.
    """

    def __init__(self, me: str, term_start: int, timing: Timing, stood_at: float):
        self.term_start = term_start
        self.probe = 0
        self.heartbeat_at = stood_at
        self.lease_until = stood_at + timing.election_min * timing.lease_part
        self._me = me
        self._started_at = stood_at
        self._timing = timing
        self._sent_at: dict[int, float] = {}
        self._progress: dict[str, Progress] = {}

    def __repr__(self) -> str:
        return f"<Leadership probe={self.probe} lease_until={self.lease_until:.2f} {self._progress}>"

    def begin_round(self, now: float) -> None:
        """Begin a round of heartbeats."""
        self.probe += 1
        self._sent_at[self.probe] = now
        self.heartbeat_at = now + self._timing.heartbeat

    def progress_of(self, replica: str, last_index: int) -> Progress:
        """Return a follower's progress; of a new one nothing is known yet."""
        return self._progress.setdefault(replica, Progress(last_index + 1))

    def known_progress(self, replica: str) -> Progress | None:
        """Return a follower's progress, or None where nothing was ever sent to it."""
        return self._progress.get(replica)

    def match_of(self, replica: str) -> int:
        """Return the index up to which a follower holds the leader's log."""
        progress = self._progress.get(replica)
        return progress.match_index if progress else 0

    def is_recent(self, replica: str, now: float) -> bool:
        """Tell whether a replica has answered within an election timeout."""
        progress = self._progress.get(replica)
        return progress is not None and now - progress.acked_at < self._timing.election_min

    def silence_of(self, replica: str, now: float) -> float:
        """Return for how long a replica has answered nothing under this leader, in seconds."""
        progress = self._progress.get(replica)
        heard_at = progress.acked_at if progress else self._started_at
        return now - max(heard_at, self._started_at)

    def confirm(self, membership: messages.Membership) -> int:
        """Return the newest round that a quorum has answered; it renews the lease."""
        confirmed = quorum_value(membership, self._probe_of)
        sent_at = self._sent_at.get(confirmed)
        if sent_at is not None:
            lease = sent_at + self._timing.election_min * self._timing.lease_part
            self.lease_until = max(self.lease_until, lease)
            self._sent_at = {probe: at for probe, at in self._sent_at.items() if probe >= confirmed}
        return confirmed

    def _probe_of(self, replica: str) -> int:
        if replica == self._me:
            return self.probe
        progress = self._progress.get(replica)
        return progress.probe if progress else 0
