# SPDX-License-Identifier: BSD-3-Clause
"""The registration of one upstream's application at the daemon beside it.

The daemon is the only way in to the application, so what it knows here binds
at once: from the moment a drain is noted, no request is passed on.

Which of two incarnations is the later one can't be read off their heartbeats: a
cut may hold one back until after its sender has crashed, and a daemon that was
restarted remembers no former ones. So a heartbeat of another incarnation than the
one that is held names a rival only, and the application itself, which is asked
over loopback, decides between them.
"""

from lanedock.errors import ErrorCode

__all__ = ["Heartbeat", "UpstreamRegistration"]

# Heartbeats that may be missed before an application counts as silent, and the
# time, in seconds, by which a heartbeat may be late on its way.
MISSED_BEATS = 3
LATENESS = 1.0
# Former incarnations of the application that are remembered, so that a late
# heartbeat of one changes nothing.
MAX_FORMER = 64


class Heartbeat:
    """What an application reports of itself.

    Parameters
    ----------
    upstream : str
        Id of this incarnation of the application.
    service : str
    sequence : int
        Grows with each heartbeat of one incarnation.
    is_draining : bool
    slots : int
        Requests that it works on at once; 0 where it does not report them.
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
    """The incarnation of the application that a daemon speaks for. Pure.

    Parameters
    ----------
    service : str
        As settings have it, until the application reports another.
    is_required : bool
        Whether requests wait for a registration. Without one an application
        counts as there from the start.
    interval : float
        Seconds between heartbeats.

    Attributes
    ----------
    upstream : str
        Id of the application's incarnation; empty before it has registered.
    revision : int
        Grows with every change that others have to learn.
    is_leaving : bool
    slots : int
    cold_until : float
        Monotonic, seconds.
    rival : Heartbeat or None
        The newest heartbeat of another incarnation than the one that is held,
        until `settle` decides between the two.
    """

    def __init__(self, service: str, is_required: bool, interval: float):
        self.service = service
        self.upstream = ""
        self.revision = 0
        self.is_leaving = False
        self.slots = 0
        self.cold_until = 0.0
        self.rival: Heartbeat | None = None
        self._rival_heard_at = 0.0
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
        """Accept a heartbeat.

        One of another incarnation than that which takes work becomes its rival.

        Returns
        -------
        bool
            Whether others have to learn of a change.
        """
        if heartbeat.upstream in self._former:
            return False
        if heartbeat.upstream != self.upstream:
            if self.is_taking_work() and not self._is_proven_later(heartbeat, now):
                return False
            self._begin(heartbeat.upstream)
            self._apply(heartbeat, now)
            return True
        if heartbeat.sequence <= self._sequence:
            return False
        return self._apply(heartbeat, now)

    def _apply(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take over what the incarnation that is held reports of itself."""
        self._sequence = heartbeat.sequence
        self._heard_at = now
        self.cold_until = now + heartbeat.cold_left
        before = (self.service, self.slots, self.is_leaving, self._was_silent)
        self.service = heartbeat.service
        self.slots = heartbeat.slots
        # Draining is for good, whatever a later heartbeat of this incarnation reports.
        self.is_leaving = self.is_leaving or heartbeat.is_draining
        self._was_silent = False
        is_changed = before != (self.service, self.slots, self.is_leaving, False) or self.revision == 0
        if is_changed:
            self.revision += 1
        return is_changed

    def _is_proven_later(self, heartbeat: Heartbeat, now: float) -> bool:
        """Note a rival; tell whether its heartbeats alone prove it to be the later one.

        They do where the application can't be asked: a former incarnation's late
        heartbeats all arrive when the cut that held them back ends, and then no
        more; so what still sends newer ones a lateness after the first is alive.
        """
        rival = self.rival
        if rival is None or rival.upstream != heartbeat.upstream:
            self._rival_heard_at = now
        elif heartbeat.sequence <= rival.sequence:
            return False
        elif now - self._rival_heard_at >= LATENESS:
            return True
        self.rival = heartbeat
        return False

    def settle(self, upstream: str, now: float) -> bool:
        """Decide between the incarnation that is held and its rival.

        Parameters
        ----------
        upstream : str
            Which incarnation the application reports to be; empty where it can't be asked.
        now : float

        Returns
        -------
        bool
            Whether others have to learn of a change.
        """
        rival = self.rival
        if rival is None or upstream not in (self.upstream, rival.upstream):
            return False
        self.rival = None
        if upstream == self.upstream:
            self._forget(rival.upstream)
            return False
        self._begin(upstream)
        self._apply(rival, now)
        return True

    def _forget(self, upstream: str) -> None:
        """Note that an incarnation has ended."""
        self._former[upstream] = None
        while len(self._former) > MAX_FORMER:
            del self._former[next(iter(self._former))]

    def _begin(self, upstream: str) -> None:
        """Begin with another incarnation of the application."""
        if self.upstream:
            self._forget(self.upstream)
        self.rival = None
        self.upstream = upstream
        self.is_leaving = False
        self._sequence = -1
        self.revision += 1

    def leave(self, upstream: str) -> bool:
        """Note that an incarnation of the application leaves; returns whether that is news."""
        if upstream != self.upstream:
            self._forget(upstream)
            if self.rival is not None and self.rival.upstream == upstream:
                self.rival = None
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
            if self.rival is None:
                # The one that is held may be the former: its heartbeat came late,
                # and first after this daemon's restart.
                self.rival = Heartbeat(upstream, service, -1, is_leaving, slots, 0.0)
                self._rival_heard_at = now
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
            The incarnation of the application that the sender means; empty for any.
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
