# SPDX-License-Identifier: BSD-3-Clause
"""What a daemon reports of itself to its source."""

import time

from lanedock.clock import awake, monotonic
from lanedock.quarantine import Quarantine
from lanedock.settings import Settings
from lanedock.wire import messages
from lanedock_daemon.agent.view import LocalView

__all__ = ["SourceReport", "StateReport"]

# Seconds for which counts of a canary's requests are gathered before they are reported.
COUNTS_INTERVAL = 0.3


class StateReport:
    """The daemon's state, as it was reported last.

    Parameters
    ----------
    settings : Settings
        With a daemon section.
    view : LocalView

    Attributes
    ----------
    state : DaemonState
    """

    def __init__(self, settings: Settings, view: LocalView):
        self._settings = settings
        self._view = view
        self._counts_at = 0.0
        takes_any = settings.entry is not None or settings.daemon.any_service
        self.state = messages.DaemonState(
            daemon=settings.name,
            zone=settings.zone,
            role=messages.ROLE_ENTRY if takes_any else messages.ROLE_UPSTREAM,
            service=settings.upstream.service if settings.upstream else "",
            # Without a disk, the wall clock tells an earlier start from a later.
            incarnation=time.time_ns() // 1_000_000,
        )
        if settings.daemon.relay:
            self.state.relay_host = settings.daemon.relay.host
            self.state.relay_port = settings.daemon.relay.port

    def __repr__(self) -> str:
        return f"<StateReport {self.state.daemon} sequence={self.state.sequence}>"

    def outlive(self, incarnation: int) -> None:
        """Make sure that this start counts as later than one that the mesh knows of."""
        if incarnation > self.state.incarnation:
            # The wall clock has gone back since the former start.
            self.state.incarnation = incarnation + 1

    def refresh(self, parent: str) -> bool:
        """Bring the state up to date; returns whether it has changed.

        Parameters
        ----------
        parent : str
            Name of the relay that is the source; empty where it is a control instance.
        """
        holder = self._view.holder
        fresh = messages.DaemonState()
        fresh.CopyFrom(self.state)
        fresh.in_force_version = holder.in_force_version.number
        fresh.in_force_digest = holder.in_force_version.digest
        fresh.staged_version = holder.staged_version.number
        fresh.staged_digest = holder.staged_version.digest
        fresh.refused_version = holder.refused.number
        fresh.refused_digest = holder.refused.digest
        del fresh.findings[:]
        fresh.findings.extend(holder.findings)
        fresh.want_whole = holder.wants_whole
        fresh.draining = self._view.is_draining
        self._fill_endpoint(fresh)
        self._fill_canaries(fresh)
        fresh.parent = parent
        if fresh == self.state:
            return False
        fresh.sequence += 1
        self.state = fresh
        return True

    def _fill_canaries(self, state: messages.DaemonState) -> None:
        """Fill in which plan is followed, and what was seen of the canaries that run."""
        state.canary_revision = self._view.canaries.plan.revision
        state.is_displaced_busy = self._view.is_displaced_busy()
        now = monotonic()
        if now < self._counts_at:
            return
        counts = self._view.canary_counter.take_changed()
        if counts is not None:
            self._counts_at = now + COUNTS_INTERVAL
            del state.canary_counts[:]
            state.canary_counts.extend(counts)

    def _fill_endpoint(self, state: messages.DaemonState) -> None:
        """Fill in the upstream that this daemon speaks for, once it has registered."""
        registration = self._view.upstream
        if registration is None or not registration.upstream:
            return
        endpoint = state.endpoint
        is_leaving = self._view.is_draining or not registration.is_taking_work()
        revision = 2 * registration.revision + int(self._view.is_draining)
        if endpoint.revision == revision and endpoint.incarnation == state.incarnation:
            return
        listen = self._settings.upstream.listen
        endpoint.instance = self._settings.name
        endpoint.service = registration.service
        endpoint.zone = self._settings.zone
        endpoint.host, endpoint.port = listen.host, listen.port
        endpoint.leaving = is_leaving
        endpoint.ended = registration.is_leaving
        endpoint.incarnation = state.incarnation
        endpoint.upstream = registration.upstream
        endpoint.upstream_started = registration.incarnation.started
        endpoint.slots = registration.slots
        endpoint.version = registration.version
        endpoint.ClearField("rate_limit")
        if registration.advertised.published is not None:
            endpoint.rate_limit = registration.advertised.published
        endpoint.cold_ms = int(1000 * registration.cold_left(awake()))
        endpoint.revision = revision


class SourceReport:
    """Gathers what the next message to the source carries beside the daemon's state.

    Parameters
    ----------
    state : StateReport
    quarantine : Quarantine
        Of the process; its news go to the source.
    """

    def __init__(self, state: StateReport, quarantine: Quarantine):
        self._state = state
        self._quarantine = quarantine
        self._suspicions = quarantine.add_outbox()
        self._attestations: list[messages.Attestation] = []
        self._floor_token = 0
        self._is_floor_asked = False

    def __repr__(self) -> str:
        return f"<SourceReport attestations={len(self._attestations)} suspicions={self._suspicions!r}>"

    def add_attestations(self, attestations: list[messages.Attestation]) -> None:
        """Add what was found out about other instances."""
        self._attestations.extend(attestations)

    def ask_floor_again(self) -> None:
        """Expect no answer any more to the last question for the floor."""
        self._is_floor_asked = False

    def answers_floor(self, floor: messages.Floor) -> bool:
        """Tell whether a floor answers the last question for it, which then is open no more."""
        if floor.token != self._floor_token:
            return False
        self._is_floor_asked = False
        return True

    def merge_suspicions(self, suspicions: list[messages.Suspicion], now: float) -> None:
        """Take over the source's suspicions; they are not sent back to it."""
        self._quarantine.merge(suspicions, now, self._suspicions)

    def is_due(self, wants_floor: bool) -> bool:
        """Tell whether the source has to learn of something at once, or to be asked for the floor."""
        asks = wants_floor and not self._is_floor_asked
        return asks or bool(self._attestations or self._suspicions)

    def make(
        self, parent: str, wants_floor: bool, with_state: bool, is_first: bool, now: float
    ) -> messages.DaemonMessage:
        """Make the next message.

        Parameters
        ----------
        parent : str
            Name of the relay that is the source; empty where it is a control instance.
        wants_floor : bool
            Whether it asks for the floor, unless an answer is still to come.
        with_state : bool
            Whether it carries the state.
        is_first : bool
            Whether it is the first one to this source, which may be new to all that former ones
            were sent.
        now : float
            Monotonic, seconds.

        Returns
        -------
        DaemonMessage
        """
        message = messages.DaemonMessage()
        if with_state:
            self._state.refresh(parent)
            message.state.CopyFrom(self._state.state)
        if wants_floor and not self._is_floor_asked:
            self._floor_token += 1
            self._is_floor_asked = True
            message.floor_token = self._floor_token
        message.attestations.extend(self._attestations)
        self._attestations = []
        news = self._quarantine.take_news(self._suspicions, now)
        message.suspicions.extend(self._quarantine.whole_news(now) if is_first else news)
        return message
