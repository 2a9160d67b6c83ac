# SPDX-License-Identifier: BSD-3-Clause
"""The registration of one upstream's application at the daemon beside it.

The daemon is the only way in to the application, so what it knows here binds
at once: from the moment a drain is noted, no request is passed on.

An incarnation is one start of the application: its id, and when it was started under it.

Which of two ids is the later one can't be read off their heartbeats: a
cut may hold one back until after its sender has crashed, and a daemon that was
restarted remembers no former ones. So a heartbeat of another id than the
one that is held names a rival only, and the application itself, which is asked
over loopback, decides between them.

Times are those in which the instance has run (`lanedock.clock.awake`): the application is
suspended together with its daemon, and was not silent meanwhile.

Of two starts under one id the application reports the id alone when it is asked, so the
times of its starts decide. Where a clock was set back between them, the one that goes on
sending heartbeats while the other has stopped is the later.
"""

from lanedock.errors import ErrorCode
from lanedock.membership.advertised_rate import AdvertisedRate
from lanedock.membership.heartbeat import UNKNOWN_VERSION, Heartbeat
from lanedock.membership.incarnation import Incarnation
from lanedock.membership.upstream_report import UpstreamReport

__all__ = ["UpstreamRegistration"]

# Heartbeats that may be missed before an application counts as silent, and the
# time, in seconds, by which a heartbeat may be late on its way.
MISSED_BEATS = 3
LATENESS = 1.0
# Former incarnations of the application that are remembered, so that a late
# heartbeat of one changes nothing.
MAX_FORMER = 64


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
    incarnation : Incarnation
        With an empty id before the application has registered.
    revision : int
        Grows with every change that others have to learn.
    is_leaving : bool
    slots : int
    version : str
        Of the application's software; `UNKNOWN_VERSION` until it is known.
    advertised : AdvertisedRate
        Of the incarnation that is held.
    cold_until : float
        Seconds by `lanedock.clock.awake`.
    rival : Heartbeat or None
        The newest heartbeat of another incarnation than the one that is held,
        until `settle` decides between the two.
    """

    def __init__(self, service: str, is_required: bool, interval: float):
        self.service = service
        self.incarnation = Incarnation("")
        self.revision = 0
        self.is_leaving = False
        self.slots = 0
        self.version = ""
        self.advertised = AdvertisedRate()
        self.cold_until = 0.0
        self.rival: Heartbeat | None = None
        self._rival_heard_at = 0.0
        self._earlier: Heartbeat | None = None
        self._earlier_heard_at = 0.0
        self._is_required = is_required
        self._silence_limit = MISSED_BEATS * interval + LATENESS
        self._sequence = -1
        # By heartbeats, and by heartbeats or answers.
        self._beat_at = float("-inf")
        self._heard_at = float("-inf")
        self._former: dict[Incarnation, None] = {}
        self._was_silent = False

    def __repr__(self) -> str:
        return f"<UpstreamRegistration {self.upstream or '-'} leaving={self.is_leaving} revision={self.revision}>"

    @property
    def upstream(self) -> str:
        """Id of the application; empty before it has registered."""
        return self.incarnation.upstream

    # ------------------------------------------------------------------ inputs

    def beat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Accept a heartbeat.

        One of another id than that which takes work becomes its rival.

        Returns
        -------
        bool
            Whether others have to learn of a change.
        """
        incarnation = heartbeat.incarnation
        if incarnation.upstream == self.upstream:
            return self._beat_of_same_id(heartbeat, now)
        if incarnation in self._former:
            return False
        if self.is_taking_work() and not self._is_proven_later(heartbeat, now):
            return False
        return self._begin_with(heartbeat, now)

    def _beat_of_same_id(self, heartbeat: Heartbeat, now: float) -> bool:
        """Accept a heartbeat of the start that is held, or of another one under its id."""
        incarnation = heartbeat.incarnation
        if self.lacks_start(heartbeat) or not incarnation.may_be(self.incarnation):
            is_later = incarnation.is_restart_of(self.incarnation) and incarnation not in self._former
            if is_later or self._is_restart_by_silence(heartbeat, now):
                return self._begin_with(heartbeat, now)
            return False
        if heartbeat.sequence <= self._sequence:
            return False
        is_learned = incarnation != self.incarnation
        if is_learned:
            self.incarnation = incarnation
            self.revision += 1
        return self._apply(heartbeat, now) or is_learned

    def _is_restart_by_silence(self, heartbeat: Heartbeat, now: float) -> bool:
        """Note a start that does not read later than the one that is held; tell whether it is the later one.

        It is where it goes on sending, while the one that is held has sent nothing for as
        long as makes an application silent: late heartbeats of a former start come beside
        those of the later one.
        """
        earlier = self._earlier
        if earlier is None or earlier.incarnation != heartbeat.incarnation:
            self._earlier_heard_at = now
        elif heartbeat.sequence <= earlier.sequence:
            return False
        self._earlier = heartbeat
        is_sending = now - self._earlier_heard_at >= LATENESS
        return is_sending and now - self._beat_at > self._silence_limit

    def _apply(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take over what the incarnation that is held reports of itself."""
        self._sequence = heartbeat.sequence
        self._beat_at = self._heard_at = now
        self.cold_until = now + heartbeat.cold_left
        before = (self.service, self.slots, self.version, self.is_leaving, self._was_silent)
        self.service = heartbeat.service
        self.slots = heartbeat.slots
        self.version = heartbeat.version
        # Draining is for good, whatever a later heartbeat of this incarnation reports.
        self.is_leaving = self.is_leaving or heartbeat.is_draining
        self._was_silent = False
        after = (self.service, self.slots, self.version, self.is_leaving, False)
        is_changed = before != after or self.revision == 0
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
        if rival is None or rival.incarnation != heartbeat.incarnation:
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
            Id that the application reports; empty where it can't be asked.
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
            self._forget(rival.incarnation)
            return False
        return self._begin_with(rival, now)

    def _forget(self, incarnation: Incarnation) -> None:
        """Note that an incarnation has ended."""
        self._former[incarnation] = None
        while len(self._former) > MAX_FORMER:
            del self._former[next(iter(self._former))]

    def _begin_with(self, heartbeat: Heartbeat, now: float) -> bool:
        """Begin with the incarnation that a heartbeat is of; others have to learn of it."""
        self._begin(heartbeat.incarnation)
        self._apply(heartbeat, now)
        return True

    def _begin(self, incarnation: Incarnation) -> None:
        """Begin with another incarnation of the application."""
        if self.upstream:
            self._forget(self.incarnation)
        self._former.pop(incarnation, None)
        self.rival = None
        self._earlier = None
        self.incarnation = incarnation
        self.is_leaving = False
        self.advertised = AdvertisedRate()
        self._sequence = -1
        self.revision += 1

    def leave(self, upstream: str, started: int = 0) -> bool:
        """Note that an incarnation of the application leaves; returns whether that is news.

        Parameters
        ----------
        upstream : str
        started : int
            Unix milliseconds; 0 for whichever start is held.
        """
        incarnation = Incarnation(upstream, started)
        if not incarnation.may_be(self.incarnation):
            rival = self.rival
            if rival is not None and rival.incarnation.may_be(incarnation):
                self.rival = None
                incarnation = rival.incarnation
            self._forget(incarnation)
            return False
        if self.is_leaving:
            return False
        self.is_leaving = True
        self.revision += 1
        return True

    def adopt(
        self,
        upstream: str,
        service: str,
        is_leaving: bool,
        slots: int,
        now: float,
        started: int = 0,
        version: str = UNKNOWN_VERSION,
        rate_limit: float | None = None,
    ) -> bool:
        """Take over what the mesh knows of the application, after a restart of its daemon.

        Returns
        -------
        bool
            Whether that is news here.
        """
        incarnation = Incarnation(upstream, started)
        if not upstream or incarnation in self._former:
            return False
        if upstream == self.upstream and incarnation.may_be(self.incarnation):
            self.advertised.adopt(rate_limit, now)
            return self._adopt_held(incarnation, is_leaving, version)
        if upstream == self.upstream and not incarnation.is_restart_of(self.incarnation):
            return False
        if self.upstream and self.upstream != upstream:
            if self.rival is None:
                # The one that is held may be the former: its heartbeat came late,
                # and first after this daemon's restart.
                self.rival = Heartbeat(upstream, service, -1, is_leaving, slots, 0.0, started, version)
                self._rival_heard_at = now
            return False
        self._begin(incarnation)
        self.advertised.adopt(rate_limit, now)
        self.service = service
        self.slots = slots
        self.version = version
        self._beat_at = float("-inf")
        self._heard_at = now
        self.is_leaving = is_leaving
        return True

    def _adopt_held(self, incarnation: Incarnation, is_leaving: bool, version: str) -> bool:
        """Take over what the mesh knows of the incarnation that is held."""
        if not self.incarnation.started:
            self.incarnation = incarnation
        is_learned = self.version == UNKNOWN_VERSION != version
        if is_learned:
            self.version = version
        is_news = is_leaving and not self.is_leaving
        self.is_leaving = self.is_leaving or is_leaving
        if is_news or is_learned:
            self.revision += 1
        return is_news or is_learned

    def learn_version(self, version: str) -> None:
        """Take over the version that the mesh knows, where the application has reported none."""
        if version and not self.version:
            self.version = version

    def note_answer(self, now: float) -> None:
        """Note that the application has answered a request, which is better than a heartbeat."""
        self._heard_at = now

    def note_report(self, report: UpstreamReport, incarnation: Incarnation, now: float) -> bool:
        """Note what an answer states of the application.

        Parameters
        ----------
        report : UpstreamReport
        incarnation : Incarnation
            The one that was asked: what an earlier one has stated says nothing of the one that is held.
        now : float

        Returns
        -------
        bool
            Whether the rate limit has changed.
        """
        if not incarnation.may_be(self.incarnation):
            return False
        if report.unreadable:
            self.advertised.note_unreadable(now)
            return False
        is_changed = self.advertised.note(report.rate_limit, now)
        if self.advertised.take_news():
            self.revision += 1
        return is_changed

    def check_silence(self, now: float) -> bool:
        """Tell whether the application has just fallen silent; others have to learn that."""
        is_silent = bool(self.upstream) and now - self._heard_at > self._silence_limit
        if is_silent == self._was_silent:
            return False
        self._was_silent = is_silent
        self.revision += 1
        return True

    # ----------------------------------------------------------------- outputs

    def lacks_start(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a heartbeat does not give the start that its application reports: it is of another sender."""
        held = self.incarnation
        return heartbeat.upstream == held.upstream and held.started > 0 and not heartbeat.incarnation.started

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
            Id of the application that the sender means; empty for any. Its start isn't
            compared: the application itself checks its id alone, and a request that comes
            while it starts again may run on its new start, for it has run on none yet.
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
