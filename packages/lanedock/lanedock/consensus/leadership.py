# SPDX-License-Identifier: BSD-3-Clause
"""A leader's view of its followers: replication progress, heartbeat rounds and the lease."""

from lanedock.consensus.core import Progress, Timing
from lanedock.consensus.membership import quorum_value
from lanedock.wire import messages

__all__ = ["Leadership"]

# Seconds for which the start of a round is kept for followers that answer after a quorum has.
_ROUND_RETENTION = 1.0


class Leadership:
    """Follower progress, heartbeat rounds and lease of a leader during one term.

    Parameters
    ----------
    me : str
        The leader's id.
    term_start : int
        Index of the first entry of the leader's term.
    timing : Timing
    election_started_at : float
        Monotonic time, in seconds, at which the election began. The votes came
        later, and each voter supports no other leader for `Timing.election_min`.

    Attributes
    ----------
    probe : int
        Number of the current heartbeat round.
    lease_until : float
        Monotonic time, in seconds, until which no other replica can lead.
    heartbeat_at : float
        Monotonic time, in seconds, at which the next round is due.
    """

    def __init__(self, me: str, term_start: int, timing: Timing, election_started_at: float):
        self.term_start = term_start
        self.probe = 0
        self.heartbeat_at = election_started_at
        self.lease_until = election_started_at + timing.election_min * timing.lease_fraction
        self._me = me
        self._started_at = election_started_at
        self._timing = timing
        self._sent_at: dict[int, float] = {}
        self._progress: dict[str, Progress] = {}

    def __repr__(self) -> str:
        return f"<Leadership probe={self.probe} lease_until={self.lease_until:.2f} {self._progress}>"

    def begin_round(self, now: float) -> None:
        """Begin a heartbeat round and record its start time."""
        self.probe += 1
        self._sent_at[self.probe] = now
        self.heartbeat_at = now + self._timing.heartbeat

    def progress_of(self, replica: str, last_index: int) -> Progress:
        """Return a follower's progress, created with `last_index` + 1 as its next index if missing."""
        return self._progress.setdefault(replica, Progress(last_index + 1))

    def known_progress(self, replica: str) -> Progress | None:
        """Return a follower's progress, or None if nothing was ever sent to it."""
        return self._progress.get(replica)

    def match_of(self, replica: str) -> int:
        """Return the index up to which a follower's log is known to match; 0 if unknown."""
        progress = self._progress.get(replica)
        return progress.match_index if progress else 0

    def is_recent(self, replica: str, now: float) -> bool:
        """Return whether a replica has answered within the minimum election timeout."""
        progress = self._progress.get(replica)
        return progress is not None and now - progress.acked_at < self._timing.election_min

    def silence_of(self, replica: str, now: float) -> float:
        """Return the time, in seconds, since a replica's last reply to this leader, or since the election."""
        progress = self._progress.get(replica)
        heard_at = progress.acked_at if progress else self._started_at
        return now - max(heard_at, self._started_at)

    def note_reply(self, progress: Progress, probe: int, now: float) -> None:
        """Record a follower's reply to a round."""
        progress.acked_at = now
        progress.probe = max(progress.probe, probe)
        progress.reached_at = max(progress.reached_at, self._sent_at.get(probe, float("-inf")))

    def unreached_time(self, replica: str, now: float) -> float:
        """Return the time, in seconds, since this leader sent what a replica has answered last.

        Infinite if it has answered nothing. A replica that hears nothing else has heard no leader
        for at most this time, whereas its replies may take long.
        """
        progress = self._progress.get(replica)
        return now - progress.reached_at if progress else float("inf")

    def confirm(self, membership: messages.Membership) -> int:
        """Return the newest round that a quorum has answered, and renew the lease from its start time."""
        confirmed = quorum_value(membership, self._probe_of)
        sent_at = self._sent_at.get(confirmed)
        if sent_at is not None:
            lease = sent_at + self._timing.election_min * self._timing.lease_fraction
            self.lease_until = max(self.lease_until, lease)
            oldest = sent_at - _ROUND_RETENTION
            self._sent_at = {probe: at for probe, at in self._sent_at.items() if probe >= confirmed or at > oldest}
        return confirmed

    def _probe_of(self, replica: str) -> int:
        if replica == self._me:
            return self.probe
        progress = self._progress.get(replica)
        return progress.probe if progress else 0
