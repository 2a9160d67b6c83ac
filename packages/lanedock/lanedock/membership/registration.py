# SPDX-License-Identifier: BSD-3-Clause
"""The registration of one upstream's application at the daemon beside it.

The daemon is the only way in to the application, so what it knows here binds
at once: from the moment a drain is noted, no request is passed on.
"""

from lanedock.errors import ErrorCode

__all__ = ["Heartbeat", "UpstreamRegistration"]

# Heartbeats that may be missed before an application counts as silent, and the
# time, in seconds, by which a heartbeat may be late on its way.
MISSED_BEATS = 3
LATENESS = 1.0
# Lives of applications that are remembered, so that a late heartbeat of a
# former one changes nothing.
MAX_FORMER = 64


class Heartbeat:
    """What an application reports of itself.

    Parameters
    ----------
    upstream : str
        Id of this life of the application.
    service : str
    sequence : int
        Grows with each heartbeat of one life.
    is_draining : bool
    slots : int
        Requests that it works on at once; 0 where it does not say.
    cold_left : float
        Seconds for which it is still slow.
    """

    __slots__ = ("cold_left", "is_draining", "sequence", "service", "slots", "upstream")

    def __init__(self, upstream: str, service: str, sequence: int, is_draining: bool, slots: int, cold_left: float):
        self.upstream = upstream
        self.service = service
        self.sequence = sequence
        self.is_draining = is_draining
        self.slots = slots
        self.cold_left = cold_left

    def __repr__(self) -> str:
        return f"<Heartbeat {self.upstream} #{self.sequence} draining={self.is_draining}>"


class UpstreamRegistration:
    """The life of the application that a daemon speaks for. Pure.

    Parameters
    ----------
    service : str
        As settings have it, until the application says another.
    is_required : bool
        Whether requests wait for a registration. Without one an application
        counts as there from the start.
    interval : float
        Seconds between heartbeats.

    Attributes
    ----------
    upstream : str
        Id of the application's life; empty before it has registered.
    revision : int
        Grows with every change that others have to learn.
    is_leaving : bool
    slots : int
    cold_until : float
        Monotonic, seconds.
    """

    def __init__(self, service: str, is_required: bool, interval: float):
        self.service = service
        self.upstream = ""
        self.revision = 0
        self.is_leaving = False
        self.slots = 0
        self.cold_until = 0.0
        self._is_required = is_required
        self._silence_limit = MISSED_BEATS * interval + LATENESS
        self._sequence = -1
        self._heard_at = float("-inf")
        self._former: dict[str, None] = {}
        self._was_silent = False

    def __repr__(self) -> str:
        return f"<UpstreamRegistration {self.upstream or '-'} leaving={self.is_leaving} revision={self.revision}>"

    # ------------------------------------------------------------------ inputs

    def beat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take in a heartbeat.

        Returns
        -------
        bool
            Whether others have to learn of a change.
        """
        if heartbeat.upstream in self._former:
            return False
        if heartbeat.upstream != self.upstream:
            self._begin(heartbeat.upstream)
        elif heartbeat.sequence <= self._sequence:
            return False
        self._sequence = heartbeat.sequence
        self._heard_at = now
        self.cold_until = now + heartbeat.cold_left
        before = (self.service, self.slots, self.is_leaving, self._was_silent)
        self.service = heartbeat.service
        self.slots = heartbeat.slots
        # Draining is for good, whatever a later heartbeat of this life says.
        self.is_leaving = self.is_leaving or heartbeat.is_draining
        self._was_silent = False
        is_changed = before != (self.service, self.slots, self.is_leaving, False) or self.revision == 0
        if is_changed:
            self.revision += 1
        return is_changed

    def _begin(self, upstream: str) -> None:
        """Begin with another life of the application."""
        if self.upstream:
            self._former[self.upstream] = None
            while len(self._former) > MAX_FORMER:
                del self._former[next(iter(self._former))]
        self.upstream = upstream
        self.is_leaving = False
        self._sequence = -1
        self.revision += 1

    def leave(self, upstream: str) -> bool:
        """Note that a life of the application leaves; returns whether that is news."""
        if upstream != self.upstream:
            self._former[upstream] = None
            return False
        if self.is_leaving:
            return False
        self.is_leaving = True
        self.revision += 1
        return True

    def adopt(self, upstream: str, service: str, is_leaving: bool, slots: int, now: float) -> bool:
        """Take over what the mesh knows of the application, after a restart of its daemon.

        Returns
        -------
        bool
            Whether that is news here.
        """
        if not upstream or upstream in self._former:
            return False
        if self.upstream and self.upstream != upstream:
            return False
        if self.upstream == upstream and (self.is_leaving or not is_leaving):
            return False
        if not self.upstream:
            self._begin(upstream)
            self.service = service
            self.slots = slots
            self._heard_at = now
        self.is_leaving = is_leaving
        self.revision += 1
        return True

    def note_answer(self, now: float) -> None:
        """Note that the application has answered a request, which is better than a heartbeat."""
        self._heard_at = now

    def check_silence(self, now: float) -> bool:
        """Tell whether the application has just fallen silent; others have to learn that."""
        is_silent = bool(self.upstream) and now - self._heard_at > self._silence_limit
        if is_silent == self._was_silent:
            return False
        self._was_silent = is_silent
        self.revision += 1
        return True

    # ----------------------------------------------------------------- outputs

    def is_taking_work(self) -> bool:
        """Tell whether requests may be passed on."""
        if not self._is_required:
            return not self.is_leaving
        return bool(self.upstream) and not (self.is_leaving or self._was_silent)

    def judge(self, expected: str) -> ErrorCode | None:
        """Tell why a request may not be passed on; None where it may.

        Parameters
        ----------
        expected : str
            The life of the application that the sender means; empty for any.
        """
        if not self._is_required:
            return ErrorCode.DRAINING if self.is_leaving else None
        if not self.upstream:
            return ErrorCode.NOT_READY
        if expected and expected != self.upstream:
            return ErrorCode.NOT_HELD
        if self.is_leaving or self._was_silent:
            return ErrorCode.DRAINING
        return None

    def cold_left(self, now: float) -> float:
        """Return for how long the application is still slow, in seconds."""
        return max(0.0, self.cold_until - now)
