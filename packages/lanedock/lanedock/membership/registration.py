# SPDX-License-Identifier: BSD-3-Clause
"""Registration of an upstream's application at the local daemon.

All requests reach the application through its daemon, so a change of the registration
takes effect immediately: once a drain is recorded, the daemon forwards no more requests.

An incarnation is one start of the application, identified by the application's id and
its start time. Which of several senders of heartbeats is the application is decided by
`lanedock.membership.succession`.

All times are in seconds of `lanedock.clock.running_time`, which does not advance while the
instance is suspended: the application is suspended together with its daemon, so it does not
count as silent for that time.
"""

from lanedock.errors import ErrorCode
from lanedock.membership.advertised_rate import AdvertisedRate
from lanedock.membership.application_load import ApplicationLoad
from lanedock.membership.heartbeat import UNKNOWN_VERSION, Heartbeat
from lanedock.membership.incarnation import Incarnation
from lanedock.membership.succession import MAX_HEARTBEAT_DELAY, Succession
from lanedock.membership.upstream_report import UpstreamReport

__all__ = ["UpstreamRegistration"]

# An application counts as silent after this many missed heartbeats plus the longest
# delay of a heartbeat in transit.
MAX_MISSED_HEARTBEATS = 3
# Seconds for which a stated load applies. Loads change many times a second, and an application that
# gets no requests states none.
LOAD_EXPIRY = 2.0


class UpstreamRegistration:
    """The application incarnation that a daemon represents in the mesh.

    Performs no I/O and reads no clock.

    Parameters
    ----------
    service : str
        Service from the settings, used until the application reports another.
    is_required : bool
        Whether requests are refused until the application has registered. If false, the
        application counts as available from the start.
    interval : float
        Seconds between heartbeats.

    Attributes
    ----------
    incarnation : Incarnation
        Current incarnation; its id is empty before the application has registered.
    revision : int
        Increases with every change that has to be published to the mesh.
    is_leaving : bool
        Whether the current incarnation takes no new requests.
    slots : int
        Number of requests that the application processes concurrently.
    version : str
        Version of the application's software; empty, or `UNKNOWN_VERSION` after adoption
        from the mesh, until it is known.
    advertised : AdvertisedRate
        Rate limit of the current incarnation.
    has_stated_pace : bool
        Whether the current incarnation has stated how long work takes at the moment.
    cold_until : float
        Time at which the application's warm-up ends, in seconds of `lanedock.clock.running_time`.
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
        self.has_stated_pace = False
        self._load: ApplicationLoad | None = None
        self._load_stated_at = float("-inf")
        self._succession = Succession()
        self._is_required = is_required
        self._missed_after = interval + MAX_HEARTBEAT_DELAY
        self._silence_limit = MAX_MISSED_HEARTBEATS * interval + MAX_HEARTBEAT_DELAY
        self._sequence = -1
        # Time of the last heartbeat, and of the last heartbeat or answer.
        self._last_heartbeat_at = float("-inf")
        self._last_contact_at = float("-inf")
        self._is_silent = False
        # Whether the application itself has reported, since this process started, that it takes requests.
        self._is_confirmed = False

    def __repr__(self) -> str:
        return f"<UpstreamRegistration {self.upstream or '-'} leaving={self.is_leaving} revision={self.revision}>"

    @property
    def upstream(self) -> str:
        """Id of the current incarnation; empty before the application has registered."""
        return self.incarnation.upstream

    @property
    def rival(self) -> Heartbeat | None:
        """Latest heartbeat of an incarnation with another id than the current one, until it is decided which runs."""
        return self._succession.rival

    # ------------------------------------------------------------------ inputs

    def process_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Process a heartbeat.

        The sender of a heartbeat with another id than the current one is a rival, about which the application is to
        be asked, as is a first sender of another service than that of the settings. An incarnation that has ended
        is ignored while the current one is heard of, and is only asked about from then on: the answer that
        ended it may have come from another application at the address.

        Parameters
        ----------
        heartbeat : Heartbeat
        now : float
            Seconds of `lanedock.clock.running_time`.

        Returns
        -------
        bool
            Whether a change has to be published.
        """
        incarnation = heartbeat.incarnation
        if incarnation.upstream == self.upstream:
            return self._process_same_id(heartbeat, now)
        if not self.upstream and self.service in ("", heartbeat.service):
            return self._switch_to_sender(heartbeat, now)
        has_ended = self._succession.has_ended(incarnation)
        if has_ended and not self._is_silent:
            return False
        keeps_sending = self._succession.note_rival(heartbeat, now)
        if has_ended or not keeps_sending or now - self._last_heartbeat_at <= self._missed_after:
            return False
        return self._switch_to_sender(heartbeat, now)

    def _process_same_id(self, heartbeat: Heartbeat, now: float) -> bool:
        """Process a heartbeat with the current id, of the current start or of another one."""
        incarnation = heartbeat.incarnation
        if self.lacks_start(heartbeat) or not incarnation.may_equal(self.incarnation):
            is_later = incarnation.is_restart_of(self.incarnation) and not self._succession.has_ended(incarnation)
            if is_later or self._replaces_silent_start(heartbeat, now):
                self._succession.mark_ended(self.incarnation)
                return self._switch_to_sender(heartbeat, now)
            return False
        if heartbeat.sequence <= self._sequence:
            return False
        is_learned = incarnation != self.incarnation
        if is_learned:
            self.incarnation = incarnation
            self.revision += 1
        return self._apply_heartbeat(heartbeat, now) or is_learned

    def _replaces_silent_start(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record another start whose start time is not later; return whether it replaces the current one.

        It does so if it has kept sending heartbeats for `MAX_HEARTBEAT_DELAY` seconds and the
        current start has sent none for the silence limit. Delayed heartbeats of an ended start
        do not meet this condition, because the current start keeps sending meanwhile.
        """
        keeps_sending = self._succession.note_other_start(heartbeat, now)
        return keeps_sending and now - self._last_heartbeat_at > self._silence_limit

    def _apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Copy the reported values of the current incarnation; return whether a change has to be published."""
        self._sequence = heartbeat.sequence
        self._last_heartbeat_at = self._last_contact_at = now
        self.cold_until = now + heartbeat.cold_left
        before = (self.service, self.slots, self.version, self.is_leaving, self._is_silent, self._is_confirmed)
        self.service = heartbeat.service
        self.slots = heartbeat.slots
        self.version = heartbeat.version
        # An incarnation that drains never takes requests again, even if a later heartbeat reports otherwise.
        self.is_leaving = self.is_leaving or heartbeat.is_draining
        self._is_silent = False
        self._is_confirmed = True
        after = (self.service, self.slots, self.version, self.is_leaving, False, True)
        is_changed = before != after or self.revision == 0
        if is_changed:
            self.revision += 1
        return is_changed

    def resolve_rival(self, upstream: str, now: float, is_well: bool = True) -> bool:
        """Decide between the current incarnation and its rival.

        Parameters
        ----------
        upstream : str
            Id that the application reports; empty if it cannot be asked.
        now : float
            Seconds of `lanedock.clock.running_time`.
        is_well : bool
            Whether the application reports that it takes requests.

        Returns
        -------
        bool
            Whether a change has to be published.
        """
        rival = self._succession.settle(self.upstream, upstream)
        if rival is None:
            return False
        if self.upstream:
            self._succession.mark_ended(self.incarnation)
        is_changed = self._switch_to_sender(rival, now)
        # What the mesh knows of the rival, without a heartbeat of it, may be outdated.
        self._is_confirmed = is_well or rival.sequence >= 0
        return is_changed

    def _switch_to_sender(self, heartbeat: Heartbeat, now: float) -> bool:
        """Make a heartbeat's sender the current incarnation; always a change for the mesh."""
        self._switch_to(heartbeat.incarnation)
        self._apply_heartbeat(heartbeat, now)
        return True

    def _switch_to(self, incarnation: Incarnation) -> None:
        """Make an incarnation the current one and reset the state of its predecessor."""
        self._succession.begin(incarnation)
        self.incarnation = incarnation
        self.is_leaving = False
        self.advertised = AdvertisedRate()
        self._load = None
        self.has_stated_pace = False
        self._is_confirmed = False
        self._sequence = -1
        self.revision += 1

    def leave(self, upstream: str, started: int = 0) -> bool:
        """Record that an incarnation of the application leaves.

        Parameters
        ----------
        upstream : str
            Id of the application.
        started : int
            Start time in Unix milliseconds; 0 matches any start under the id.

        Returns
        -------
        bool
            Whether the current incarnation has changed to leaving.
        """
        incarnation = Incarnation(upstream, started)
        if not incarnation.may_equal(self.incarnation):
            self._succession.note_leave(incarnation)
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
        """Restore the registration from the mesh after a restart of the daemon.

        The mesh may have missed the last thing that the application reported to the former process: that it leaves,
        which was acknowledged. So an adopted incarnation takes no requests until the application has reported that it
        does: by a heartbeat, or to the question of `confirm`.

        Parameters
        ----------
        upstream : str
            Id of the application.
        service : str
        is_leaving : bool
        slots : int
            Number of requests that the application processes concurrently.
        now : float
            Seconds of `lanedock.clock.running_time`.
        started : int
            Start time in Unix milliseconds; 0 if unknown.
        version : str
            Version of the application's software.
        rate_limit : float or None
            Requests per second; None for no limit.

        Returns
        -------
        bool
            Whether the registration has changed.
        """
        incarnation = Incarnation(upstream, started)
        if not upstream or self._succession.has_ended(incarnation):
            return False
        if upstream == self.upstream and incarnation.may_equal(self.incarnation):
            self.advertised.adopt(rate_limit, now)
            return self._merge_current(incarnation, is_leaving, version)
        if upstream == self.upstream and not incarnation.is_restart_of(self.incarnation):
            return False
        if self.upstream and self.upstream != upstream:
            if self.rival is None:
                # The current incarnation may have ended already: its delayed heartbeat may
                # have been the first to arrive after this daemon's restart.
                named = Heartbeat(upstream, service, -1, is_leaving, slots, 0.0, started, version)
                self._succession.add_rival(named, now)
            return False
        if self.upstream:
            self._succession.mark_ended(self.incarnation)
        self._switch_to(incarnation)
        self.advertised.adopt(rate_limit, now)
        self.service = service
        self.slots = slots
        self.version = version
        self._last_heartbeat_at = float("-inf")
        self._last_contact_at = now
        self.is_leaving = is_leaving
        return True

    def _merge_current(self, incarnation: Incarnation, is_leaving: bool, version: str) -> bool:
        """Add the mesh's information on the current incarnation; return whether something has changed."""
        if not self.incarnation.started:
            self.incarnation = incarnation
        is_learned = self.version == UNKNOWN_VERSION != version
        if is_learned:
            self.version = version
        has_begun_leaving = is_leaving and not self.is_leaving
        self.is_leaving = self.is_leaving or is_leaving
        if has_begun_leaving or is_learned:
            self.revision += 1
        return has_begun_leaving or is_learned

    def confirm(self, upstream: str) -> bool:
        """Record that the application has answered that it is well and does not leave.

        Parameters
        ----------
        upstream : str
            Id that it states; empty if it states none.

        Returns
        -------
        bool
            Whether it takes requests from now on and did not before, which has to be published.
        """
        if self._is_confirmed or not self.upstream or upstream not in ("", self.upstream):
            return False
        self._is_confirmed = True
        self.revision += 1
        return not self.is_leaving

    def learn_version(self, version: str) -> None:
        """Use the version published in the mesh if the application has reported none."""
        if version and not self.version:
            self.version = version

    def note_answer(self, now: float) -> None:
        """Record that the application has answered a request, which shows that it is not silent."""
        self._last_contact_at = now

    def note_report(self, report: UpstreamReport, incarnation: Incarnation, now: float) -> bool:
        """Process the application's report about itself in an answer.

        Parameters
        ----------
        report : UpstreamReport
        incarnation : Incarnation
            Incarnation that answered. A report of an ended incarnation is ignored, because it
            does not apply to the current one.
        now : float
            Seconds of `lanedock.clock.running_time`.

        Returns
        -------
        bool
            Whether the rate limit has changed.
        """
        if not incarnation.may_equal(self.incarnation):
            return False
        if report.load is not None:
            self._load = report.load
            self._load_stated_at = now
            if report.load.pace is not None and not self.has_stated_pace:
                self.has_stated_pace = True
                self.revision += 1
        if report.unreadable:
            self.advertised.note_unreadable(now)
            return False
        is_changed = self.advertised.note(report.rate_limit, now)
        if self.advertised.mark_published_if_changed():
            self.revision += 1
        return is_changed

    def check_silence(self, now: float) -> bool:
        """Update whether the application is silent; return whether that has changed and has to be published."""
        is_silent = bool(self.upstream) and now - self._last_contact_at > self._silence_limit
        if is_silent == self._is_silent:
            return False
        self._is_silent = is_silent
        self.revision += 1
        return True

    # ----------------------------------------------------------------- outputs

    def lacks_start(self, heartbeat: Heartbeat) -> bool:
        """Return whether a heartbeat with the current id lacks the known start time, so is from another sender."""
        current = self.incarnation
        return heartbeat.upstream == current.upstream and current.started > 0 and not heartbeat.incarnation.started

    def needs_answer(self) -> bool:
        """Return whether the application has to be asked who runs, or whether it takes requests."""
        return not self.upstream or not (self._is_confirmed or self.is_leaving)

    def is_taking_work(self) -> bool:
        """Return whether requests may be forwarded to the application."""
        if not self._is_required:
            return not self.is_leaving
        return bool(self.upstream) and self._is_confirmed and not (self.is_leaving or self._is_silent)

    def refusal_code(self, expected: str) -> ErrorCode | None:
        """Return why a request must not be forwarded, or None if it may be.

        Parameters
        ----------
        expected : str
            Id of the application that the sender addresses; empty for any. Start times are
            not compared: the application itself checks only its id, and a request that
            arrives during a restart has not run on the former start, so the new start may
            process it.
        """
        if not self._is_required:
            return ErrorCode.DRAINING if self.is_leaving else None
        if not self.upstream:
            return ErrorCode.NOT_READY
        if expected and expected != self.upstream:
            return ErrorCode.NOT_HELD
        if not self.is_taking_work():
            return ErrorCode.DRAINING
        return None

    def current_load(self, now: float) -> ApplicationLoad | None:
        """Return the load that the application stated last, or None if that is too long ago.

        `now` is in seconds of `lanedock.clock.running_time`.
        """
        return self._load if now - self._load_stated_at <= LOAD_EXPIRY else None

    def cold_left(self, now: float) -> float:
        """Return the remaining warm-up time of the application, in seconds."""
        return max(0.0, self.cold_until - now)
