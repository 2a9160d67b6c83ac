# SPDX-License-Identifier: BSD-3-Clause
"""Reports of a daemon to its source: its state, suspicions, attestations and floor requests."""

import time

from lanedock.clock import monotonic, running_time
from lanedock.quarantine import Quarantine
from lanedock.settings import Settings
from lanedock.wire import messages
from lanedock_daemon.agent.load_port import published_load_port
from lanedock_daemon.agent.view import LocalView

__all__ = ["SourceReport", "StateReport"]

# Shortest time, in seconds, between two reports of the request counts of canaries.
CANARY_COUNTS_INTERVAL = 0.3


class StateReport:
    """The state of the daemon as last reported to its source.

    Parameters
    ----------
    settings : Settings
        Must have a daemon section.
    view : LocalView

    Attributes
    ----------
    state : DaemonState
    """

    def __init__(self, settings: Settings, view: LocalView):
        self._settings = settings
        self._view = view
        self._counts_due_at = 0.0
        takes_any = settings.entry is not None or settings.daemon.any_service
        self.state = messages.DaemonState(
            daemon=settings.name,
            zone=settings.zone,
            role=messages.ROLE_ENTRY if takes_any else messages.ROLE_UPSTREAM,
            service=settings.upstream.service if settings.upstream else "",
            # The daemon stores nothing on disk, so the wall clock, in milliseconds, orders its starts.
            incarnation=time.time_ns() // 1_000_000,
        )
        if settings.daemon.relay:
            self.state.relay_host = settings.daemon.relay.host
            self.state.relay_port = settings.daemon.relay.port

    def __repr__(self) -> str:
        return f"<StateReport {self.state.daemon} sequence={self.state.sequence}>"

    def ensure_later_incarnation(self, incarnation: int) -> None:
        """Raise this daemon's incarnation above one that the mesh already knows."""
        if incarnation > self.state.incarnation:
            # The wall clock was set back since the former start.
            self.state.incarnation = incarnation + 1

    def refresh(self, parent: str) -> bool:
        """Update the state; returns whether it has changed.

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
        """Fill in the revision of the canary plan in use and the request counts of running canaries."""
        state.canary_revision = self._view.canaries.plan.revision
        state.is_displaced_busy = self._view.is_displaced_busy()
        now = monotonic()
        if now < self._counts_due_at:
            return
        counts = self._view.canary_counter.take_changed()
        if counts is not None:
            self._counts_due_at = now + CANARY_COUNTS_INTERVAL
            del state.canary_counts[:]
            state.canary_counts.extend(counts)

    def _fill_endpoint(self, state: messages.DaemonState) -> None:
        """Fill in the endpoint of this daemon's upstream once the upstream has registered."""
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
        endpoint.load_port = published_load_port(self._settings.upstream, registration)
        endpoint.cold_ms = int(1000 * registration.cold_left(running_time()))
        endpoint.revision = revision


class SourceReport:
    """Collects the content of the next message to the source, apart from the daemon's state.

    Parameters
    ----------
    state : StateReport
    quarantine : Quarantine
        Quarantine of the process; its new suspicions are sent to the source.
    """

    def __init__(self, state: StateReport, quarantine: Quarantine):
        self._state = state
        self._quarantine = quarantine
        self._suspicions = quarantine.add_outbox()
        self._attestations: list[messages.Attestation] = []
        self._floor_token = 0
        self._is_floor_requested = False

    def __repr__(self) -> str:
        return f"<SourceReport attestations={len(self._attestations)} suspicions={self._suspicions!r}>"

    def add_attestations(self, attestations: list[messages.Attestation]) -> None:
        """Add results of reachability checks of other instances."""
        self._attestations.extend(attestations)

    def abandon_floor_request(self) -> None:
        """Stop waiting for an answer to the last floor request, so that a new one can be sent."""
        self._is_floor_requested = False

    def take_floor_answer(self, floor: messages.Floor) -> bool:
        """Return whether a floor answers the last floor request; if so, the request is completed."""
        if floor.token != self._floor_token:
            return False
        self._is_floor_requested = False
        return True

    def merge_suspicions(self, suspicions: list[messages.Suspicion], now: float) -> None:
        """Merge suspicions received from the source; they are not sent back to it."""
        self._quarantine.merge(suspicions, now, self._suspicions)

    def is_due(self, wants_floor: bool) -> bool:
        """Return whether there is content that must not wait for the next periodic report."""
        must_request = wants_floor and not self._is_floor_requested
        return must_request or bool(self._attestations or self._suspicions)

    def make_message(
        self, parent: str, wants_floor: bool, with_state: bool, is_first: bool, now: float
    ) -> messages.DaemonMessage:
        """Build the next message to the source and mark its content as sent.

        Parameters
        ----------
        parent : str
            Name of the relay that is the source; empty where it is a control instance.
        wants_floor : bool
            Whether to request the floor, unless an answer to an earlier request is pending.
        with_state : bool
            Whether to include the state.
        is_first : bool
            Whether this is the first message to this source. It then carries all suspicions,
            since the source may know none of those sent to former sources.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        DaemonMessage
        """
        message = messages.DaemonMessage()
        if with_state:
            self._state.refresh(parent)
            message.state.CopyFrom(self._state.state)
        if wants_floor and not self._is_floor_requested:
            self._floor_token += 1
            self._is_floor_requested = True
            message.floor_token = self._floor_token
        message.attestations.extend(self._attestations)
        self._attestations = []
        changes = self._quarantine.take_changes(self._suspicions, now)
        message.suspicions.extend(self._quarantine.all_suspicions(now) if is_first else changes)
        return message
