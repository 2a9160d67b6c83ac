# SPDX-License-Identifier: BSD-3-Clause
"""Applications' registration over HTTP, as lanedock itself speaks it.

``PUT /upstreams/ID`` with ``{"service", "sequence", "state", "slots",
"cold_ms"}`` is a heartbeat; ``DELETE /upstreams/ID`` says that the application
leaves. Both are answered with 204 once the daemon is bound by them. A heartbeat may
carry ``started``, the Unix milliseconds of the application's start: it may then start
again under its id; and ``version``, that of its software, for canary releases.
"""

import re

from lanedock.clock import awake
from lanedock.errors import ErrorCode, LanedockError
from lanedock.findings import FieldReader, Finding, FindingsError, Place
from lanedock.membership import Heartbeat, Incarnation, UpstreamRegistration, UpstreamReport
from lanedock.telemetry import Event, EventLogger
from lanedock.wire import messages
from lanedock_daemon.path.http import Answer, Outcome, Request, make_refusal, read_whole

__all__ = ["MAX_BODY", "MAX_COLD", "MAX_SLOTS", "Registrar", "RegistrationSide", "check_upstream_id", "refuse_call"]

_PREFIX = "/upstreams/"
# Bytes of a heartbeat that are read: bounds memory; its fields are far shorter.
MAX_BODY = 64 * 1024
# Most slots, and longest time in seconds for which it is still slow, that an application may
# report: what an endpoint carries to callers (32 bits, the time in milliseconds).
MAX_SLOTS = 2**32 - 1
MAX_COLD = MAX_SLOTS / 1000
# An id goes into heads and logs: printable ASCII without a slash, of a length that leaves
# room for the other headers of a request.
_ID = re.compile(r"[!-.0-~]{1,256}")
# Whether an application drains in each state.
_STATES = {"ready": False, "draining": True}
SOURCE = "heartbeat"
# Seconds between two lines on a rate limit that can't be read: it stands in every answer.
UNREADABLE_INTERVAL = 10.0


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
    has_service : callable, optional
        Called with a name; returns whether the version in force may have such a service.
    on_restart : callable, optional
        Called with the incarnation that was held when another one registers, and it hadn't left.
    """

    def __init__(
        self,
        registration: UpstreamRegistration,
        on_change,
        on_rival,
        events: EventLogger,
        has_service=None,
        on_restart=None,
    ):
        self._on_restart = on_restart
        self._has_service = has_service
        self._registration = registration
        self._on_change = on_change
        self._on_rival = on_rival
        self._events = events
        self._unreadable_at = 0.0

    def beat(self, heartbeat: Heartbeat) -> None:
        """Accept a heartbeat.

        Raises
        ------
        LanedockError
            `ErrorCode.BAD_REQUEST`: it is not the application's that it names.
        """
        registration = self._registration
        before, was_leaving = registration.incarnation, registration.is_leaving
        is_changed = registration.beat(heartbeat, awake())
        if registration.lacks_start(heartbeat):
            raise LanedockError(ErrorCode.BAD_REQUEST, f"{heartbeat!r}: its start is due")
        if registration.rival is heartbeat:
            self._events.emit(
                Event.RIVAL_HEARD, upstream=before.upstream, rival=heartbeat.upstream, sequence=heartbeat.sequence
            )
            self._on_rival()
        if not is_changed:
            return
        is_other = not registration.incarnation.may_be(before)
        if is_other:
            self._events.emit(
                Event.UPSTREAM_REGISTERED,
                upstream=registration.upstream,
                started=registration.incarnation.started,
                service=registration.service,
                former=before.upstream,
                former_started=before.started,
            )
            if self._on_restart is not None and not was_leaving:
                self._on_restart(before)
        if registration.is_leaving and (is_other or not was_leaving):
            self._events.emit(Event.UPSTREAM_LEAVING, upstream=registration.upstream, sequence=heartbeat.sequence)
        self._on_change()

    def knows_service(self, name: str) -> bool:
        """Tell whether an application may be of a service: of its own as ever, or of the version's in force."""
        return name == self._registration.service or self._has_service is None or self._has_service(name)

    def leave(self, upstream: str, started: int = 0) -> None:
        """Note that an incarnation of the application leaves; see `UpstreamRegistration.leave`."""
        if self._registration.leave(upstream, started):
            self._events.emit(Event.UPSTREAM_LEAVING, upstream=upstream, sequence="-")
            self._on_change()

    def note_report(self, report: UpstreamReport, incarnation: Incarnation) -> None:
        """Take over what an answer of the application states of it.

        Parameters
        ----------
        report : UpstreamReport
        incarnation : Incarnation
            The one that was asked.
        """
        now = awake()
        if report.unreadable and now >= self._unreadable_at:
            self._unreadable_at = now + UNREADABLE_INTERVAL
            self._events.emit(Event.RATE_LIMIT_UNREADABLE, upstream=incarnation.upstream, value=report.unreadable)
        registration = self._registration
        revision = registration.revision
        if registration.note_report(report, incarnation, now):
            self._emit_rate()
        if revision != registration.revision:
            self._on_change()
        if report.is_draining and registration.upstream:
            self.leave(incarnation.upstream, incarnation.started)

    def learn_rate(self, rate: float) -> None:
        """Take over the rate limit that another daemon knows, until an answer of the application states it."""
        if self._registration.advertised.adopt(rate, awake()):
            self._emit_rate()

    def _emit_rate(self) -> None:
        registration = self._registration
        self._events.emit(Event.RATE_LIMIT_CHANGED, upstream=registration.upstream, rate=registration.advertised.rate)

    def adopt(self, endpoint: messages.Endpoint) -> None:
        """Learn from the mesh what this daemon knew before it was restarted; the mesh knows any change."""
        registration = self._registration
        rival, rate = registration.rival, registration.advertised.rate
        if registration.adopt(
            endpoint.upstream,
            endpoint.service,
            endpoint.ended,
            endpoint.slots,
            awake(),
            endpoint.upstream_started,
            endpoint.version,
            endpoint.rate_limit if endpoint.HasField("rate_limit") else None,
        ):
            self._events.emit(Event.UPSTREAM_ADOPTED, upstream=endpoint.upstream, leaving=endpoint.ended)
        if registration.advertised.rate != rate:
            self._emit_rate()
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
        if not request.path.startswith(_PREFIX):
            return make_refusal(ErrorCode.NO_ROUTE, Outcome.NOT_RUN)
        upstream = request.path.removeprefix(_PREFIX)
        try:
            return self._handle(request, upstream)
        except LanedockError as exc:
            return refuse_call(exc)

    def _handle(self, request: Request, upstream: str) -> Answer:
        check_upstream_id(SOURCE, upstream)
        if request.method == "DELETE":
            self._registrar.leave(upstream)
        elif request.method == "PUT":
            self._registrar.beat(self._read_heartbeat(upstream, read_whole(request.body, MAX_BODY)))
        else:
            raise LanedockError(ErrorCode.BAD_REQUEST, f"{request.method} is not understood")
        return Answer(204, "No Content", [], [])

    def _read_heartbeat(self, upstream: str, body: bytes) -> Heartbeat:
        fields = FieldReader.parse(SOURCE, body)
        heartbeat = Heartbeat(
            upstream,
            fields.text("service"),
            fields.count("sequence", 0),
            fields.word("state", _STATES, "ready"),
            fields.count("slots", 0, MAX_SLOTS, 0),
            fields.number("cold_ms", MAX_SLOTS, 0) / 1000,
            fields.count("started", 0, default=0),
            fields.text("version", ""),
        )
        fields.check("service", self._registrar.knows_service(heartbeat.service), "a service of the version in force")
        fields.finish()
        return heartbeat


def refuse_call(exc: LanedockError) -> Answer:
    """Make the answer to an application's call that can't be accepted; what is wrong in it is a bad request."""
    code = ErrorCode.BAD_REQUEST if isinstance(exc, FindingsError) else exc.code
    return make_refusal(code, Outcome.NOT_RUN, 0.0, str(exc))


def check_upstream_id(source: str, upstream: str) -> None:
    """Check the id that a heartbeat names.

    Raises
    ------
    FindingsError
    """
    if not _ID.fullmatch(upstream):
        message = f"an id of 1 to 256 printable signs without a slash is due, not {upstream[:256]!a}"
        raise FindingsError([Finding(ErrorCode.SCHEMA, message, Place(source))])
