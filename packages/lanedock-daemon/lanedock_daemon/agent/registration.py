# SPDX-License-Identifier: BSD-3-Clause
"""Registration of applications over lanedock's own HTTP interface.

``PUT /upstreams/ID`` with ``{"service", "sequence", "state", "slots",
"cold_ms"}`` is a heartbeat; ``DELETE /upstreams/ID`` states that the application
leaves. Both are answered with 204 once they are in effect. A heartbeat may carry
``started``, the start time of the application in Unix milliseconds, which allows the
application to restart under the same id, and ``version``, the version of its software,
which canary releases need.
"""

import re

from lanedock.clock import running_time
from lanedock.errors import ErrorCode, LanedockError
from lanedock.findings import FieldReader, Finding, FindingsError, Place
from lanedock.membership import Heartbeat, Incarnation, UpstreamRegistration, UpstreamReport
from lanedock.telemetry import Event, EventLogger
from lanedock.wire import messages
from lanedock_daemon.path.http.messages import Answer, Outcome, Request, make_refusal, read_whole

__all__ = [
    "MAX_BODY",
    "MAX_SLOTS",
    "MAX_WARM_UP",
    "Registrar",
    "RegistrationHandler",
    "check_upstream_id",
    "make_refusal_answer",
]

_PREFIX = "/upstreams/"
# Longest body of a heartbeat, in bytes. Bounds memory; a valid body is far shorter.
MAX_BODY = 64 * 1024
# Largest number of slots that an application may report: an endpoint message carries 32 bits.
MAX_SLOTS = 2**32 - 1
# Longest warm-up time that an application may report, in seconds: an endpoint message carries
# 32 bits of milliseconds.
MAX_WARM_UP = MAX_SLOTS / 1000
# Ids occur in request headers and logs: printable ASCII without a slash, short enough to leave
# room for the other headers of a request.
_ID = re.compile(r"[!-.0-~]{1,256}")
# Maps each state of an application to whether it is draining.
_STATES = {"ready": False, "draining": True}
SOURCE = "heartbeat"
# Seconds between two log lines about an unreadable rate limit or load, which every answer may repeat.
UNREADABLE_INTERVAL = 10.0


class Registrar:
    """Updates the registration of an application from its own reports and from the mesh.

    Parameters
    ----------
    registration : UpstreamRegistration
    on_change : callable
        Called without arguments when a change has to be reported to the mesh.
    on_rival : callable
        Called without arguments when the application has to be asked: a heartbeat or the mesh names a second
        incarnation, or the mesh names one that has not reported since this process started.
    events : EventLogger
    has_service : callable, optional
        Called with the name of a service; returns whether the version in force contains it.
    on_restart : callable, optional
        Called with the former incarnation when another one replaces it although it had not left.
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
        self._unreadable_load_at = 0.0

    def process_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Accept a heartbeat.

        Raises
        ------
        LanedockError
            `ErrorCode.BAD_REQUEST`: the heartbeat lacks the start time of the registered
            application, so another sender uses the id.
        """
        registration = self._registration
        before, was_leaving = registration.incarnation, registration.is_leaving
        is_changed = registration.process_heartbeat(heartbeat, running_time())
        if registration.lacks_start(heartbeat):
            raise LanedockError(
                ErrorCode.BAD_REQUEST, f"{heartbeat!r} lacks the start time with which this id is registered"
            )
        if registration.rival is heartbeat:
            self._events.emit(
                Event.RIVAL_HEARD, upstream=before.upstream, rival=heartbeat.upstream, sequence=heartbeat.sequence
            )
            self._on_rival()
        if is_changed:
            self._note_change(before, was_leaving, heartbeat.sequence)

    def resolve_rival(self, upstream: str, is_well: bool) -> bool:
        """Decide between the registered incarnation and its rival by the id that the application states.

        Parameters
        ----------
        upstream : str
            Id that the application states; empty if it states none.
        is_well : bool
            Whether the application states that it takes requests.

        Returns
        -------
        bool
            Whether the rival has replaced the registered one; see `UpstreamRegistration.resolve_rival`.
        """
        registration = self._registration
        rival, before, was_leaving = registration.rival, registration.incarnation, registration.is_leaving
        is_changed = registration.resolve_rival(upstream, running_time(), is_well)
        self._events.emit(Event.RIVAL_SETTLED, upstream=registration.upstream, answered=upstream, changed=is_changed)
        if is_changed:
            self._note_change(before, was_leaving, rival.sequence)
        return is_changed

    def _note_change(self, before: Incarnation, was_leaving: bool, sequence: int) -> None:
        """Log and publish a change of the registration; a new incarnation shows that the former has ended."""
        registration = self._registration
        is_other = not registration.incarnation.may_equal(before)
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
            self._events.emit(Event.UPSTREAM_LEAVING, upstream=registration.upstream, sequence=sequence)
        self._on_change()

    def knows_service(self, name: str) -> bool:
        """Return whether an application may register for a service: its present one or one of the version in force."""
        return name == self._registration.service or self._has_service is None or self._has_service(name)

    def leave(self, upstream: str, started: int = 0) -> None:
        """Record that an incarnation of the application is leaving; see `UpstreamRegistration.leave`."""
        if self._registration.leave(upstream, started):
            self._events.emit(Event.UPSTREAM_LEAVING, upstream=upstream, sequence="-")
            self._on_change()

    def note_report(self, report: UpstreamReport, incarnation: Incarnation) -> None:
        """Apply what an answer of the application states about the application itself.

        Parameters
        ----------
        report : UpstreamReport
        incarnation : Incarnation
            Incarnation that the request was sent to.
        """
        now = running_time()
        if report.unreadable and now >= self._unreadable_at:
            self._unreadable_at = now + UNREADABLE_INTERVAL
            self._events.emit(Event.RATE_LIMIT_UNREADABLE, upstream=incarnation.upstream, value=report.unreadable)
        if report.unreadable_load and now >= self._unreadable_load_at:
            self._unreadable_load_at = now + UNREADABLE_INTERVAL
            self._events.emit(Event.LOAD_UNREADABLE, upstream=incarnation.upstream, value=report.unreadable_load)
        registration = self._registration
        revision = registration.revision
        if registration.note_report(report, incarnation, now):
            self._emit_rate()
        if revision != registration.revision:
            self._on_change()
        if report.is_draining and registration.upstream:
            self.leave(incarnation.upstream, incarnation.started)

    def adopt_rate(self, rate: float) -> None:
        """Use the rate limit reported by another daemon until an answer of the application states one."""
        if self._registration.advertised.adopt(rate, running_time()):
            self._emit_rate()

    def _emit_rate(self) -> None:
        registration = self._registration
        self._events.emit(Event.RATE_LIMIT_CHANGED, upstream=registration.upstream, rate=registration.advertised.rate)

    def adopt(self, endpoint: messages.Endpoint) -> None:
        """Restore from the mesh what this daemon knew of the application before its own restart.

        Does not call `on_change`, since the mesh already knows what it reports.
        """
        registration = self._registration
        rival, rate = registration.rival, registration.advertised.rate
        if registration.adopt(
            endpoint.upstream,
            endpoint.service,
            endpoint.ended,
            endpoint.slots,
            running_time(),
            endpoint.upstream_started,
            endpoint.version,
            endpoint.rate_limit if endpoint.HasField("rate_limit") else None,
        ):
            self._events.emit(Event.UPSTREAM_ADOPTED, upstream=endpoint.upstream, leaving=endpoint.ended)
            if registration.needs_answer():
                self._on_rival()
        if registration.advertised.rate != rate:
            self._emit_rate()
        if registration.rival is not rival:
            self._events.emit(Event.RIVAL_HEARD, upstream=registration.upstream, rival=endpoint.upstream, sequence="-")
            self._on_rival()


class RegistrationHandler:
    """Serves the HTTP interface through which an application registers.

    Parameters
    ----------
    registrar : Registrar
    """

    def __init__(self, registrar: Registrar):
        self._registrar = registrar

    def handle(self, request: Request) -> Answer:
        """Answer a request of the application."""
        if not request.path.startswith(_PREFIX):
            return make_refusal(ErrorCode.NO_ROUTE, Outcome.NOT_RUN)
        upstream = request.path.removeprefix(_PREFIX)
        try:
            return self._handle(request, upstream)
        except LanedockError as exc:
            return make_refusal_answer(exc)

    def _handle(self, request: Request, upstream: str) -> Answer:
        check_upstream_id(SOURCE, upstream)
        if request.method == "DELETE":
            self._registrar.leave(upstream)
        elif request.method == "PUT":
            self._registrar.process_heartbeat(self._read_heartbeat(upstream, read_whole(request.body, MAX_BODY)))
        else:
            raise LanedockError(ErrorCode.BAD_REQUEST, f"{request.method} is not supported; use PUT or DELETE")
        return Answer(204, "No Content", [], [])

    def _read_heartbeat(self, upstream: str, body: bytes) -> Heartbeat:
        fields = FieldReader.parse(SOURCE, body)
        heartbeat = Heartbeat(
            upstream,
            fields.text("service"),
            fields.count("sequence", 0),
            fields.choice("state", _STATES, "ready"),
            fields.count("slots", 0, MAX_SLOTS, 0),
            fields.number("cold_ms", MAX_SLOTS, 0) / 1000,
            fields.count("started", 0, default=0),
            fields.text("version", ""),
        )
        fields.check("service", self._registrar.knows_service(heartbeat.service), "a service of the version in force")
        fields.raise_findings()
        return heartbeat


def make_refusal_answer(exc: LanedockError) -> Answer:
    """Return the answer that refuses a request of the application; invalid fields make it a bad request."""
    code = ErrorCode.BAD_REQUEST if isinstance(exc, FindingsError) else exc.code
    return make_refusal(code, Outcome.NOT_RUN, 0.0, str(exc))


def check_upstream_id(source: str, upstream: str) -> None:
    """Check the application's id in a request.

    Parameters
    ----------
    source : str
        Kind of the request, named as the place of the finding.
    upstream : str

    Raises
    ------
    FindingsError
        The id is empty, too long or contains a character that is not allowed.
    """
    if not _ID.fullmatch(upstream):
        message = f"an id must be 1 to 256 printable ASCII characters without a slash, not {upstream[:256]!a}"
        raise FindingsError([Finding(ErrorCode.SCHEMA, message, Place(source))])
