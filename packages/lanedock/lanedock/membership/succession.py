# SPDX-License-Identifier: BSD-3-Clause
"""Decides which of several senders of heartbeats is the application beside the daemon.

A heartbeat alone does not show who runs: it may be late, of an incarnation that has ended, or of another writer. So the
sender of a heartbeat with another id than the registered one is only a rival, whatever the state of the registered one
is. The application is then asked for its id, and its answer decides. Only where it cannot be asked do heartbeats
decide: a rival that keeps sending replaces an incarnation that has missed a heartbeat.

The application's answer contains only its id, so two starts under the same id are ordered by their start times. If the
clock was set back between them, the newer start is the one that keeps sending after the other has stopped.
"""

from lanedock.membership.heartbeat import Heartbeat
from lanedock.membership.incarnation import Incarnation

__all__ = ["MAX_HEARTBEAT_DELAY", "Succession"]

# Longest delay, in seconds, of a heartbeat in transit. Those that a partition has delayed for longer all arrive
# together when it heals.
MAX_HEARTBEAT_DELAY = 1.0
# Number of ended incarnations to remember, so that their delayed heartbeats are ignored.
MAX_ENDED_INCARNATIONS = 64


class Succession:
    """The senders of heartbeats other than the current incarnation: its rival, other starts, and those that have ended.

    Performs no I/O and reads no clock. All times are in seconds of `lanedock.clock.running_time`.

    Attributes
    ----------
    rival : Heartbeat or None
        Latest heartbeat of an incarnation with another id than the current one, until it is decided which one runs.
    """

    __slots__ = ("_ended", "_other_start", "_other_start_first_seen_at", "_rival_first_seen_at", "rival")

    def __init__(self):
        self.rival: Heartbeat | None = None
        self._rival_first_seen_at = 0.0
        self._other_start: Heartbeat | None = None
        self._other_start_first_seen_at = 0.0
        self._ended: dict[Incarnation, None] = {}

    def __repr__(self) -> str:
        return f"<Succession rival={self.rival!r} ended={len(self._ended)}>"

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is known to have ended."""
        return incarnation in self._ended

    def mark_ended(self, incarnation: Incarnation) -> None:
        """Record that an incarnation has ended."""
        self._ended[incarnation] = None
        while len(self._ended) > MAX_ENDED_INCARNATIONS:
            del self._ended[next(iter(self._ended))]

    def begin(self, incarnation: Incarnation) -> None:
        """Record that an incarnation has become the current one."""
        self._ended.pop(incarnation, None)
        self.rival = None
        self._other_start = None

    def add_rival(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a first heartbeat, or what the mesh knows, of an incarnation with another id."""
        self.rival = heartbeat
        self._rival_first_seen_at = now

    def note_rival(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat with another id than the current one.

        Returns
        -------
        bool
            Whether its sender keeps sending: it has sent a newer heartbeat at least `MAX_HEARTBEAT_DELAY` seconds
            after its first one.
        """
        rival = self.rival
        if rival is None or rival.incarnation != heartbeat.incarnation:
            self.add_rival(heartbeat, now)
            return False
        if heartbeat.sequence <= rival.sequence:
            return False
        self.rival = heartbeat
        return now - self._rival_first_seen_at >= MAX_HEARTBEAT_DELAY

    def note_other_start(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat of another start under the current id, whose start time is not later.

        Returns
        -------
        bool
            Whether its sender has kept sending for at least `MAX_HEARTBEAT_DELAY` seconds.
        """
        other = self._other_start
        if other is None or other.incarnation != heartbeat.incarnation:
            self._other_start_first_seen_at = now
        elif heartbeat.sequence <= other.sequence:
            return False
        self._other_start = heartbeat
        return now - self._other_start_first_seen_at >= MAX_HEARTBEAT_DELAY

    def note_leave(self, incarnation: Incarnation) -> None:
        """Record that an incarnation other than the current one leaves."""
        rival = self.rival
        if rival is not None and rival.incarnation.may_equal(incarnation):
            self.rival = None
            incarnation = rival.incarnation
        self.mark_ended(incarnation)

    def settle(self, current: str, answered: str) -> Heartbeat | None:
        """Apply the application's answer to the question which incarnation runs.

        Parameters
        ----------
        current : str
            Id of the current incarnation; empty for none.
        answered : str
            Id that the application states; empty if it states none, which decides nothing, like a third id.

        Returns
        -------
        Heartbeat or None
            The rival's last heartbeat, if the rival is the one that runs.
        """
        rival = self.rival
        if rival is None or not answered or answered not in (current, rival.upstream):
            return None
        self.rival = None
        if answered == current:
            self.mark_ended(rival.incarnation)
            return None
        return rival
