# SPDX-License-Identifier: BSD-3-Clause
"""Learning from the application itself which incarnation a daemon speaks for.

A daemon that was restarted knows nothing of the application beside it until
that sends a heartbeat, a second or more later. Its health check says at once
which incarnation it is, and that it is neither leaving nor unwell. And where
heartbeats of two incarnations cross, it says which of them runs.
"""

import string
from urllib.parse import quote

import gevent
from gevent.event import Event as Signal

from lanedock.clock import awake
from lanedock.kernel import Kernel, Service
from lanedock.membership import Incarnation, UpstreamRegistration
from lanedock.telemetry import Event, EventLogger
from lanedock_daemon.agent.registration import Registrar
from lanedock_daemon.agent.view import LocalView
from lanedock_daemon.path.dialect import Dialect, HealthFacts
from lanedock_daemon.path.exchange import exchange
from lanedock_daemon.path.http import EmptyBody, Request
from lanedock_daemon.path.parser import MalformedMessage
from lanedock_daemon.path.pool import ConnectionPool, ExchangeError

__all__ = ["ApplicationDiscovery"]

# Between two looks at whether there is something to ask, and the longest wait
# for an answer, in seconds.
INTERVAL = 0.05
TIMEOUT = 0.5
# An application that has not said who it is by then does so by heartbeat.
ATTEMPTS = 3
# An application that takes fewer requests a second than this gets so few that their answers
# don't tell in time when it takes more again: its health check is asked, at this interval, in seconds.
RARE_RATE = 0.5
RATE_INTERVAL = 2.0


class ApplicationDiscovery(Service):
    """Asks the application at the start, unless a heartbeat is first, and whenever it has a rival.

    Parameters
    ----------
    view : LocalView
        With the registration of the application.
    application : tuple of (str, int)
    dialect : Dialect
    on_change : callable
        Called without arguments when others have to learn of a change.
    events : EventLogger
    registrar : Registrar, optional
        Learns what the answers state of the application.
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
        self._has_rival = Signal()

    def start(self, kernel: Kernel) -> None:
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        self._task.kill()

    def resolve_rival(self) -> None:
        """Have the application asked which of two incarnations it is."""
        self._has_rival.set()

    def _run(self) -> None:
        pool = ConnectionPool()
        self._repeat(pool, lambda: not self._registration.upstream)
        while True:
            if self._has_rival.wait(RATE_INTERVAL):
                self._has_rival.clear()
                self._repeat(pool, lambda: self._registration.rival is not None)
            elif self._is_rarely_asked():
                self._repeat(pool, self._is_rarely_asked, 1)

    def _is_rarely_asked(self) -> bool:
        """Tell whether the application limits its rate so far that hardly a request tells of a change."""
        rate = self._registration.advertised.rate
        return rate is not None and rate < RARE_RATE

    def _repeat(self, pool: ConnectionPool, is_wanted, limit: int = ATTEMPTS) -> None:
        """Ask, a few times at most, as long as the answer is wanted."""
        attempts = 0
        while attempts < limit and is_wanted():
            path = self._view.health_path(self._registration.service)
            if path:
                attempts += 1
                self._ask(pool, path)
            gevent.sleep(INTERVAL * (1 + attempts))
        pool.close()

    @property
    def _registration(self) -> UpstreamRegistration:
        return self._view.upstream

    def _ask(self, pool: ConnectionPool, path: str) -> None:
        request = Request("GET", quote(path, safe=string.punctuation), self._application[0], [], EmptyBody())
        headers = [("host", self._application[0])]
        try:
            answer = exchange(pool, self._application, request, headers, TIMEOUT)
            answer.read_all()
            answer.close()
        except (ExchangeError, MalformedMessage, OSError) as exc:
            self._events.emit(Event.DISCOVERY_FAILED, error=exc)
            return
        facts = self._dialect.read_health(answer.message.status, answer.message.headers)
        self._take(facts)

    def _take(self, facts: HealthFacts) -> None:
        """Take over which incarnation the application says it is."""
        registration = self._registration
        now = awake()
        asked = Incarnation(facts.upstream) if facts.upstream else registration.incarnation
        is_leaving = facts.report.is_draining
        if registration.rival is not None:
            is_changed = registration.settle(facts.upstream, now)
            self._events.emit(
                Event.RIVAL_SETTLED, upstream=registration.upstream, answered=facts.upstream, changed=is_changed
            )
        elif (facts.is_well or is_leaving) and facts.upstream and not registration.upstream:
            is_changed = registration.adopt(facts.upstream, registration.service, is_leaving, facts.slots, now)
            if is_changed:
                self._events.emit(
                    Event.UPSTREAM_ADOPTED, upstream=facts.upstream, leaving=is_leaving, source="health check"
                )
        else:
            is_changed = False
        if self.registrar is not None:
            self.registrar.note_report(facts.report, asked)
        if is_changed:
            self._on_change()
