# SPDX-License-Identifier: BSD-3-Clause
"""Detects crashes of the daemon's application, and suspects the requests that ran during them."""

import time

import gevent

from lanedock.clock import monotonic
from lanedock.membership import Incarnation, UpstreamRegistration
from lanedock.quarantine import Fingerprint, Quarantine, RecentlyServed, RequestHasher, Run, RunRegistry
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.path.shared.pool import ConnectionPool
from lanedock_daemon.sockets import open_connection

__all__ = ["CrashDetector"]

# Seconds to wait before each check whether an application has ended. Several checks, because the
# daemon notices broken connections one by one, and later if short of processor time, and an
# ending process closes its connections and its listening socket in any order.
CHECK_DELAYS = (0.005, 0.02, 0.05, 0.1)
# Seconds for which a request with a lost answer waits for the first checks. Nearly all crashes
# are known by then, which decides whether the request may be sent again.
ANSWER_WAIT = 0.03
# Timeout, in seconds, of a check's connection over loopback, where a refusal comes at once.
CONNECT_TIMEOUT = 0.2
# Seconds between two checks while the application may still work on a run whose answer is no longer awaited: no broken
# connection would show its crash.
WATCH_INTERVAL = 1.0
# Seconds in which lost runs of one incarnation are attributed to the same crash. An application
# that doesn't report its incarnations takes longer than this to start and crash again.
SAME_CRASH_WINDOW = 2.0
# Largest number of suspects listed in a log line, with 32 characters each.
MAX_LOGGED_SUSPECTS = 8


class CrashDetector:
    """Distinguishes crashes of an application from broken connections, and suspects the requests it ran.

    A connection may break for many reasons. After a crash, all connections of the application are
    closed and it accepts no new ones. Both are checked, because an overloaded application may
    refuse connections, too. A request in progress doesn't show that the application still runs:
    while a caller is slow, the daemon doesn't read from the application's connection, so an
    upload or a long answer would hide the crash until the application's next start.

    Parameters
    ----------
    instance : str
        Name of the daemon's own instance.
    application : tuple of (str, int)
        Host and port of the application.
    pool : ConnectionPool
        Pool that makes all connections to the application.
    registration : UpstreamRegistration
        Registration of the application.
    quarantine : Quarantine
    on_suspicions_changed : callable
        Called without arguments when suspicions have changed, so that other daemons are notified.
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
        on_suspicions_changed,
        events: EventLogger,
        metrics: Metrics,
    ):
        self._instance = instance
        self._application = application
        self._pool = pool
        self._registration = registration
        self._quarantine = quarantine
        self._on_suspicions_changed = on_suspicions_changed
        self._events = events
        self._metrics = metrics
        self._runs = RunRegistry()
        self._served = RecentlyServed()
        self._check: gevent.Greenlet | None = None
        self._watch: gevent.Greenlet | None = None
        self._alive_at = float("-inf")
        self._last_crash_id = ""
        self._last_crashed: Incarnation | None = None
        self._last_crash_at = float("-inf")

    def __repr__(self) -> str:
        return f"<CrashDetector {self._instance} {self._runs!r}>"

    # -------------------------------------------------------------------- runs

    def begin(self, hasher: RequestHasher) -> Run:
        """Record that a request is passed on to the application."""
        return self._runs.begin(hasher)

    def note_refused(self, run: Run) -> None:
        """Record that the application has refused a request without running it."""
        self._runs.end(run)

    def note_served(self, run: Run) -> None:
        """Record that the application has answered a request, which clears the request of suspicion."""
        self._runs.end(run)
        if not run.hasher.is_complete:
            return  # answered before its body was read, so its fingerprint isn't known
        fingerprint = run.hasher.fingerprint()
        self._served.note(fingerprint, monotonic())
        if self._quarantine.clear(fingerprint):
            self._events.emit(Event.SUSPECT_CLEARED, suspect=fingerprint)
            self._on_suspicions_changed()

    def note_abandoned(self, run: Run, deadline: float) -> None:
        """Record that a run's answer is no longer awaited; the application may still work on it, and crash.

        Parameters
        ----------
        run : Run
        deadline : float
            Deadline of the request: a monotonic time, in seconds.
        """
        self._runs.abandon(run, False, monotonic(), deadline)
        if self._watch is None or self._watch.ready():
            self._watch = gevent.spawn(self._watch_for_crash)

    def note_lost(self, run: Run) -> bool:
        """Record that the connection of a run broke, and find out whether the application has crashed.

        Returns
        -------
        bool
            Whether the request is suspected of a crash. If its body has not been read to the
            end, the request still has to be reported with `report_suspect`.
        """
        now = monotonic()
        self._runs.abandon(run, True, now)
        if not run.crash:
            self._wait_for_check()
        return bool(run.crash)

    def report_suspect(self, run: Run) -> None:
        """Report a suspected request whose body has now been read, which completes its fingerprint."""
        self._report(run.crash, [run.hasher.fingerprint()])

    def note_restart(self, former: Incarnation) -> None:
        """Record that a new incarnation of the application registered although `former` had not left."""
        if former.upstream:
            self._suspect_runs(former, self._last_seen_alive(), has_restarted=True)

    # ------------------------------------------------------------------ checks

    def _wait_for_check(self) -> None:
        """Wait for a check whether the application has ended, for at most `ANSWER_WAIT`.

        Starts a check unless one is running: concurrent lost runs share one.
        """
        if self._check is None or self._check.ready():
            self._check = gevent.spawn(self._check_for_crash)
        try:
            self._check.join(timeout=ANSWER_WAIT)
        except StopTimeout:
            pass  # the answer has to be given now, whether or not the check has ended

    def _check_for_crash(self) -> None:
        incarnation = self._registration.incarnation
        for wait in CHECK_DELAYS:
            gevent.sleep(wait)
            if self._has_ended():
                self._suspect_runs(incarnation, monotonic(), has_restarted=False)
                return

    def _watch_for_crash(self) -> None:
        """Check from time to time whether the application has ended, as long as a run that has ended is a suspect."""
        self._alive_at = monotonic()
        while self._runs.has_ended_suspects(self._alive_at):
            gevent.sleep(WATCH_INTERVAL)
            now = monotonic()
            if self._has_ended():
                self._suspect_runs(self._registration.incarnation, self._alive_at, has_restarted=False)
                return
            self._alive_at = now

    def _last_seen_alive(self) -> float:
        """Return when the application was last seen running by the checks under way; now if there are none."""
        return monotonic() if self._watch is None or self._watch.ready() else self._alive_at

    def _has_ended(self) -> bool:
        if self._pool.has_open(self._application):
            return False
        try:
            open_connection(self._application, CONNECT_TIMEOUT).close()
        except ConnectionRefusedError:
            return True
        except OSError:
            return False  # silent or overloaded; if it has crashed, its next registration shows it
        return False

    def _suspect_runs(self, incarnation: Incarnation, alive_at: float, has_restarted: bool) -> None:
        """Suspect the requests that ran on an application when it crashed, after `alive_at`."""
        registration = self._registration
        if registration.is_leaving and registration.incarnation == incarnation:
            return  # a planned stop, not a crash
        now = monotonic()
        runs = self._runs.take_suspects(alive_at, has_restarted)
        if not runs:
            return
        if incarnation != self._last_crashed or now - self._last_crash_at > SAME_CRASH_WINDOW:
            # The wall clock keeps the name unique after a restart of the daemon.
            self._last_crash_id = f"{self._instance}/{incarnation.upstream or '-'}/{time.time_ns() // 1_000_000}"
            self._last_crashed, self._last_crash_at = incarnation, now
            self._metrics.count(Metric.CRASHES)
        for run in runs:
            run.crash = self._last_crash_id
        fingerprints = {run.hasher.fingerprint(): None for run in runs if run.hasher.is_complete}
        self._report(self._last_crash_id, list(fingerprints), len(runs))

    def _report(self, crash: str, fingerprints: list[Fingerprint], running: int = 1) -> None:
        """Report a crash and its suspects, except requests that have lately been served.

        A crash is reported and logged again for each suspect whose fingerprint is known only later.
        """
        now = monotonic()
        suspects = [fingerprint for fingerprint in fingerprints if not self._served.has(fingerprint, now)]
        newly_quarantined = self._quarantine.note_crash(crash, suspects, now)
        logged = ",".join(str(fingerprint) for fingerprint in suspects[:MAX_LOGGED_SUSPECTS])
        self._events.emit(Event.UPSTREAM_CRASHED, crash=crash, running=running, suspects=logged)
        for fingerprint in newly_quarantined:
            crashes = ",".join(self._quarantine.crashes(fingerprint))
            self._events.emit(Event.REQUEST_QUARANTINED, suspect=fingerprint, crashes=crashes)
        self._on_suspicions_changed()
