# SPDX-License-Identifier: BSD-3-Clause
"""Applications' registration over HTTP, as lanedock itself speaks it.

``PUT /upstreams/ID`` with ``{"service", "sequence", "state", "slots",
"cold_ms"}`` is a heartbeat; ``DELETE /upstreams/ID`` says that the application
leaves. Both are answered with 204 once the daemon is bound by them.
"""

import json
import time

from lanedock.errors import ErrorCode, LanedockError
from lanedock.membership import Heartbeat, UpstreamRegistration
from lanedock.telemetry import Event, EventLogger
from lanedock.wire import messages
from lanedock_daemon.path.http import Answer, Outcome, Request, make_refusal, read_whole

__all__ = ["Registrar", "RegistrationSide"]

_PREFIX = "/upstreams/"
# Bytes of a heartbeat that are read: bounds memory; its five fields are far shorter.
MAX_BODY = 64 * 1024


class Registrar:
    """Brings what an application reports, and what the mesh knows of it, into its registration.

    Parameters
    ----------
    registration : UpstreamRegistration
    on_change : callable
        Called without arguments when others have to learn of a change.
    on_rival : callable
        Called without arguments when a heartbeat or the mesh names another incarnation.
    events : EventLogger
    """

    def __init__(self, registration: UpstreamRegistration, on_change, on_rival, events: EventLogger):
        self._registration = registration
        self._on_change = on_change
        self._on_rival = on_rival
        self._events = events

    def beat(self, heartbeat: Heartbeat) -> None:
        """Accept a heartbeat."""
        registration = self._registration
        before, was_leaving = registration.upstream, registration.is_leaving
        is_changed = registration.beat(heartbeat, time.monotonic())
        if registration.rival is heartbeat:
            self._events.emit(Event.RIVAL_HEARD, upstream=before, rival=heartbeat.upstream, sequence=heartbeat.sequence)
            self._on_rival()
        if not is_changed:
            return
        if registration.upstream != before:
            self._events.emit(
                Event.UPSTREAM_REGISTERED, upstream=registration.upstream, service=registration.service, former=before
            )
        if registration.is_leaving and not (was_leaving and registration.upstream == before):
            self._events.emit(Event.UPSTREAM_LEAVING, upstream=registration.upstream, sequence=heartbeat.sequence)
        self._on_change()

    def leave(self, upstream: str) -> None:
        """Note that an incarnation of the application leaves."""
        if self._registration.leave(upstream):
            self._events.emit(Event.UPSTREAM_LEAVING, upstream=upstream, sequence="-")
            self._on_change()

    def adopt(self, endpoint: messages.Endpoint) -> None:
        """Learn from the mesh what this daemon knew before it was restarted; the mesh knows any change."""
        registration = self._registration
        rival = registration.rival
        if registration.adopt(endpoint.upstream, endpoint.service, endpoint.ended, endpoint.slots, time.monotonic()):
            self._events.emit(Event.UPSTREAM_ADOPTED, upstream=endpoint.upstream, leaving=endpoint.ended)
        if registration.rival is not rival:
            self._events.emit(Event.RIVAL_HEARD, upstream=registration.upstream, rival=endpoint.upstream, sequence="-")
            self._on_rival()


class RegistrationSide:
    """Takes an application's heartbeats.

    Parameters
    ----------
    registrar : Registrar
    """

    def __init__(self, registrar: Registrar):
        self._registrar = registrar

    def handle(self, request: Request) -> Answer:
        """Answer a call of the application."""
        upstream = request.path.removeprefix(_PREFIX)
        if not request.path.startswith(_PREFIX) or not upstream:
            return make_refusal(ErrorCode.NO_ROUTE, Outcome.NOT_RUN)
        if request.method == "DELETE":
            self._registrar.leave(upstream)
            return Answer(204, "No Content", [], [])
        if request.method != "PUT":
            return make_refusal(ErrorCode.BAD_REQUEST, Outcome.NOT_RUN, 0.0, f"{request.method} is not understood")
        try:
            heartbeat = _read_heartbeat(upstream, read_whole(request.body, MAX_BODY))
        except LanedockError as exc:
            return make_refusal(exc.code, Outcome.NOT_RUN, 0.0, str(exc))
        except (KeyError, TypeError, ValueError) as exc:
            return make_refusal(ErrorCode.BAD_REQUEST, Outcome.NOT_RUN, 0.0, f"malformed heartbeat: {exc!r}")
        self._registrar.beat(heartbeat)
        return Answer(204, "No Content", [], [])


def _read_heartbeat(upstream: str, body: bytes) -> Heartbeat:
    value = json.loads(body)
    state = value.get("state", "ready")
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    return Heartbeat(
        upstream,
        str(value["service"]),
        int(value["sequence"]),
        state == "draining",
        int(value.get("slots", 0)),
        float(value.get("cold_ms", 0)) / 1000,
    )
