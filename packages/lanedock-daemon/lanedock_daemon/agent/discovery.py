# SPDX-License-Identifier: BSD-3-Clause
"""Discovery of the application's incarnation through its health check.

A restarted daemon has no information on its application until the application's
next heartbeat, a second or more later. The health check reports at once which
incarnation is running and whether it is healthy or leaving. When heartbeats of two
incarnations arrive interleaved, the health check shows which of them is running.
"""

import string
from contextlib import closing
from urllib.parse import quote

import gevent
from gevent.event import Event as Signal

from lanedock.clock import running_time
from lanedock.kernel import Kernel, Service
from lanedock.membership import Incarnation, UpstreamRegistration
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.agent.registration import Registrar
from lanedock_daemon.agent.view import LocalView
from lanedock_daemon.path.http.messages import EmptyBody, Request
from lanedock_daemon.path.http.parser import MalformedMessage
from lanedock_daemon.path.shared.dialect import Dialect, HealthFacts
from lanedock_daemon.path.shared.exchange import exchange
from lanedock_daemon.path.shared.pool import ConnectionPool, ExchangeError

__all__ = ["ApplicationDiscovery"]

# Seconds between two checks whether a query is needed; multiplied by one more than the number of queries sent.
POLL_INTERVAL = 0.05
# Longest wait for an answer, in seconds.
ANSWER_TIMEOUT = 0.5
# After this many queries the application is identified by its next heartbeat only.
MAX_ATTEMPTS = 3
# Rate limit, in requests per second, below which the answers to requests come too seldom to show
# in time that the limit has been raised: the health check is polled instead.
LOW_RATE = 0.5
# Seconds between two polls of the health check at a low rate limit.
LOW_RATE_POLL_INTERVAL = 2.0


class ApplicationDiscovery(Service):
    """Queries the health check of the daemon's application.

    Queries are sent after the start until a heartbeat or an answer identifies the application and shows that it
    takes requests, when a second incarnation claims to be the application, and while the rate limit is low.

    Parameters
    ----------
    view : LocalView
        Holds the registration of the application.
    application : tuple of (str, int)
        Host and port of the application.
    dialect : Dialect
    on_change : callable
        Called without arguments when a change has to be reported to the mesh.
    events : EventLogger
    registrar : Registrar, optional
        Receives what each answer states of the application, such as its id and its rate limit. Has to be set before
        the start.
    """

    name = "discovery"

    def __init__(
        self,
        view: LocalView,
        application,
        dialect: Dialect,
        on_change,
        events: EventLogger,
        registrar: Registrar | None = None,
    ):
        self._view = view
        self._application = application
        self._dialect = dialect
        self._on_change = on_change
        self._events = events
        self.registrar = registrar
        self._task = None
        self._is_asked = Signal()

    def start(self, kernel: Kernel) -> None:
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        self._task.kill()

    def ask(self) -> None:
        """Request a query that tells which of two incarnations is running, or whether the known one takes requests."""
        self._is_asked.set()

    def _run(self) -> None:
        pool = ConnectionPool()
        self._query_while(pool, self._has_question)
        while True:
            if self._is_asked.wait(LOW_RATE_POLL_INTERVAL):
                self._is_asked.clear()
                self._query_while(pool, self._has_question)
            elif self._is_rate_low():
                self._query_while(pool, self._is_rate_low, 1)

    def _has_question(self) -> bool:
        registration = self._registration
        return registration.rival is not None or registration.needs_answer()

    def _is_rate_low(self) -> bool:
        """Return whether the rate limit is too low for answers to requests to show a change of it in time."""
        rate = self._registration.advertised.rate
        return rate is not None and rate < LOW_RATE

    def _query_while(self, pool: ConnectionPool, is_wanted, limit: int = MAX_ATTEMPTS) -> None:
        """Query the health check until `is_wanted` is false, at most `limit` times."""
        attempts = 0
        while attempts < limit and is_wanted():
            path = self._health_path(attempts)
            if path:
                attempts += 1
                self._query_health(pool, path)
            gevent.sleep(POLL_INTERVAL * (1 + attempts))
        pool.close()

    def _health_path(self, attempts: int) -> str:
        """Return the path of the health check; in turns those of the registered one's and the rival's service."""
        services = [self._registration.service]
        if self._registration.rival is not None:
            services.append(self._registration.rival.service)
        paths = dict.fromkeys(path for name in services if (path := self._view.health_path(name)))
        return list(paths)[attempts % len(paths)] if paths else ""

    @property
    def _registration(self) -> UpstreamRegistration:
        return self._view.upstream

    def _query_health(self, pool: ConnectionPool, path: str) -> None:
        request = Request("GET", quote(path, safe=string.punctuation), self._application[0], [], EmptyBody())
        headers = [("host", self._application[0])]
        try:
            with closing(exchange(pool, self._application, request, headers, ANSWER_TIMEOUT)) as answer:
                answer.read_all()
        except (ExchangeError, MalformedMessage, OSError) as exc:
            self._events.emit(Event.DISCOVERY_FAILED, error=exc)
            return
        facts = self._dialect.read_health(answer.message.status, answer.message.headers)
        self._apply_health(facts)

    def _apply_health(self, facts: HealthFacts) -> None:
        """Update the registration from an answer of the health check."""
        registration = self._registration
        now = running_time()
        queried = Incarnation(facts.upstream) if facts.upstream else registration.incarnation
        is_leaving = facts.report.is_draining
        is_well = facts.is_healthy and not is_leaving
        if registration.rival is not None:
            self.registrar.resolve_rival(facts.upstream, is_well)
        is_changed = False
        if (facts.is_healthy or is_leaving) and facts.upstream and not registration.upstream:
            is_changed = registration.adopt(facts.upstream, registration.service, is_leaving, facts.slots, now)
            if is_changed:
                self._events.emit(
                    Event.UPSTREAM_ADOPTED, upstream=facts.upstream, leaving=is_leaving, source="health check"
                )
        self.registrar.note_report(facts.report, queried)
        if is_well and registration.confirm(facts.upstream):
            is_changed = True
        if is_changed:
            self._on_change()
