# SPDX-License-Identifier: BSD-3-Clause
"""Notices that the application beside the daemon has ended, and what ran on it."""

import time

import gevent

from lanedock.clock import monotonic
from lanedock.membership import Incarnation, UpstreamRegistration
from lanedock.quarantine import Fingerprint, Quarantine, RecentlyServed, RequestHasher, Run, RunRegistry
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock_daemon.path.pool import ConnectionPool
from lanedock_daemon.path.service import StopTimeout
from lanedock_daemon.sockets import open_connection

__all__ = ["CrashDetector"]

# Waits, in seconds, before each look whether an application has ended. Its connections break
# at once, but are seen to one after the other, and later where the processor is short; its
# process closes them, and the one on which it listens, in any order.
LOOK_WAITS = (0.005, 0.02, 0.05, 0.1)
# Seconds for which an answer that is lost waits for the first looks: by then nearly all ends
# are known, and so whether the request may be sent again.
ANSWER_WAIT = 0.03
# Seconds for the connection of a look, over loopback: one that is refused is so at once.
CONNECT_TIMEOUT = 0.2
# Seconds in which further runs of an incarnation are found lost by the same end of it. An
# application that doesn't report its incarnations takes longer to end again.
SAME_CRASH = 2.0
# Suspects that a log line names, 32 signs each; the first come first.
MAX_NAMED = 8


class CrashDetector:
    """Tells an application's end from a connection's, and suspects what ran on it.

    A connection breaks for many reasons. An application that has ended has let go of all its
    connections, and takes no new ones: both are looked at, since one that is merely full may
    refuse connections, too. That a request is still in progress shows nothing: while its caller
    is slow nobody reads from its connection, and an upload or a long answer would hide the end
    until the application's next start.

    Parameters
    ----------
    instance : str
        The daemon's own.
    application : tuple of (str, int)
    pool : ConnectionPool
        Has made all connections to the application.
    registration : UpstreamRegistration
        Of the application.
    quarantine : Quarantine
    on_news : callable
        Called without arguments when others have to learn of suspicions.
    events : EventLogger
    metrics : Metrics
    """

    def __init__(
        self,
        instance: str,
        application: tuple[str, int],
        pool: ConnectionPool,
        registration: UpstreamRegistration,
        quarantine: Quarantine,
        on_news,
        events: EventLogger,
        metrics: Metrics,
    ):
        self._instance = instance
        self._application = application
        self._pool = pool
        self._registration = registration
        self._quarantine = quarantine
        self._on_news = on_news
        self._events = events
        self._metrics = metrics
        self._runs = RunRegistry()
        self._served = RecentlyServed()
        self._check: gevent.Greenlet | None = None
        self._crash = ""
        self._crashed: Incarnation | None = None
        self._crashed_at = float("-inf")

    def __repr__(self) -> str:
        return f"<CrashDetector {self._instance} {self._runs!r}>"

    # -------------------------------------------------------------------- runs

    def begin(self, hasher: RequestHasher) -> Run:
        """Note that a request is passed on to the application."""
        return self._runs.begin(hasher)

    def note_refused(self, run: Run) -> None:
        """Note that the application has refused a request without running it."""
        self._runs.end(run)

    def note_served(self, run: Run) -> None:
        """Note that the application has answered a request, which so has not ended it."""
        self._runs.end(run)
        if not run.hasher.is_complete:
            return  # answered before its body was read: it isn't known which request it was
        fingerprint = run.hasher.fingerprint()
        self._served.note(fingerprint, monotonic())
        if self._quarantine.clear(fingerprint):
            self._events.emit(Event.SUSPECT_CLEARED, suspect=fingerprint)
            self._on_news()

    def note_abandoned(self, run: Run) -> None:
        """Note that nobody waits for a run any more, which may go on."""
        self._runs.abandon(run, False, monotonic())

    def note_lost(self, run: Run) -> bool:
        """Note that the connection of a run broke; find out whether the application has ended.

        Returns
        -------
        bool
            Whether the request is suspected of it. It still has to be reported where its body
            had not come to its end, see `note_body`.
        """
        now = monotonic()
        self._runs.abandon(run, True, now)
        if not run.crash:
            self._look()
        return bool(run.crash)

    def note_body(self, run: Run) -> None:
        """Note that the body of a suspected request has come to its end: only now it is known which one it is."""
        self._report(run.crash, [run.hasher.fingerprint()])

    def note_restart(self, former: Incarnation) -> None:
        """Note that another start of the application has registered, and that the former hadn't left."""
        if former.upstream:
            self._suspect(former, has_restarted=True)

    # ------------------------------------------------------------------ checks

    def _look(self) -> None:
        """Find out whether the application has ended; one look serves all whose connections broke."""
        if self._check is None or self._check.ready():
            self._check = gevent.spawn(self._find_out)
        try:
            self._check.join(timeout=ANSWER_WAIT)
        except StopTimeout:
            pass  # the answer goes out now, with what is known

    def _find_out(self) -> None:
        incarnation = self._registration.incarnation
        for wait in LOOK_WAITS:
            gevent.sleep(wait)
            if self._has_ended():
                self._suspect(incarnation, has_restarted=False)
                return

    def _has_ended(self) -> bool:
        if self._pool.has_open(self._application):
            return False
        try:
            open_connection(self._application, CONNECT_TIMEOUT).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False  # silent or full: its next start will tell
        return False

    def _suspect(self, incarnation: Incarnation, has_restarted: bool) -> None:
        """Suspect what ran on an application that has ended, but for what it served lately."""
        registration = self._registration
        if registration.is_leaving and registration.incarnation == incarnation:
            return  # it has ended as it was to
        now = monotonic()
        runs = self._runs.take_suspects(now, has_restarted)
        if not runs:
            return
        if incarnation != self._crashed or now - self._crashed_at > SAME_CRASH:
            # By the wall clock: a daemon that is restarted begins anew.
            self._crash = f"{self._instance}/{incarnation.upstream or '-'}/{time.time_ns() // 1_000_000}"
            self._crashed, self._crashed_at = incarnation, now
            self._metrics.count(Metric.CRASHES)
        for run in runs:
            run.crash = self._crash
        known = {run.hasher.fingerprint(): None for run in runs if run.hasher.is_complete}
        self._report(self._crash, list(known), len(runs))

    def _report(self, crash: str, fingerprints: list[Fingerprint], running: int = 1) -> None:
        now = monotonic()
        suspects = [fingerprint for fingerprint in fingerprints if not self._served.has(fingerprint, now)]
        fresh = self._quarantine.note_crash(crash, suspects, now)
        named = ",".join(str(fingerprint) for fingerprint in suspects[:MAX_NAMED])
        self._events.emit(Event.UPSTREAM_CRASHED, crash=crash, running=running, suspects=named)
        for fingerprint in fresh:
            crashes = ",".join(self._quarantine.crashes(fingerprint))
            self._events.emit(Event.REQUEST_QUARANTINED, suspect=fingerprint, crashes=crashes)
        self._on_news()
