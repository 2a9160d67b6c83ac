# SPDX-License-Identifier: BSD-3-Clause
"""Requests that run on an application, and those that ran when it crashed."""

from lanedock.quarantine.fingerprint import RequestHasher

__all__ = ["Run", "RunRegistry"]

# Seconds for which a run whose connection broke remains a suspect. A crash that is not noticed at
# once is noticed by the application's next start, which follows within this time or much later.
LOST_SUSPECT_TIME = 10.0
# Seconds for which a run whose answer is no longer awaited remains a suspect, from its end or its deadline on. The
# application may work on with its connection closed; it knows the deadline, and is given this long to notice it.
ABANDONED_SUSPECT_TIME = 5.0
# Upper bound of the ended runs that are stored: 100 a second for the time that they remain suspects.
MAX_ENDED = 1000


class Run:
    """A request that was passed on to an application.

    Parameters
    ----------
    hasher : RequestHasher
        Hasher of the request, to which the part of the body that was passed on was added.

    Attributes
    ----------
    suspect_until : float
        Monotonic time, in seconds, until which it is a suspect after it has ended.
    is_lost : bool
        Whether its connection broke before its answer was complete.
    crash : str
        Crash of the application that it is suspected of; empty if there is none.
    """

    __slots__ = ("crash", "hasher", "is_lost", "suspect_until")

    def __init__(self, hasher: RequestHasher):
        self.hasher = hasher
        self.suspect_until = float("inf")
        self.is_lost = False
        self.crash = ""


class RunRegistry:
    """The runs on one application.

    Does no I/O and reads no clock; times are monotonic, in seconds.
    """

    def __init__(self):
        self._running: dict[Run, None] = {}
        self._ended: dict[Run, None] = {}

    def __repr__(self) -> str:
        return f"<RunRegistry running={len(self._running)} ended={len(self._ended)}>"

    def begin(self, hasher: RequestHasher) -> Run:
        """Record that a request is passed on."""
        run = Run(hasher)
        self._running[run] = None
        return run

    def end(self, run: Run) -> None:
        """Record that the application answered or refused a run, which therefore did not crash it."""
        self._running.pop(run, None)

    def abandon(self, run: Run, is_lost: bool, now: float, deadline: float = float("-inf")) -> None:
        """Record that a run ends without an answer.

        Parameters
        ----------
        run : Run
        is_lost : bool
            Whether its connection broke; otherwise its answer is no longer awaited: its caller has left, its time
            is over, or another attempt was faster.
        now : float
        deadline : float
            Deadline of the request, until which the application may work on it in any case.
        """
        if run not in self._running:
            return
        del self._running[run]
        run.is_lost = is_lost
        works_until = max(now, deadline) + ABANDONED_SUSPECT_TIME
        run.suspect_until = now + LOST_SUSPECT_TIME if is_lost else works_until
        if run.crash:
            return
        self._ended[run] = None
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def has_ended_suspects(self, now: float) -> bool:
        """Return whether any run that has ended is still a suspect; forgets those that are not."""
        self._ended = {run: None for run in self._ended if now <= run.suspect_until}
        return bool(self._ended)

    def take_suspects(self, alive_at: float, has_restarted: bool) -> list[Run]:
        """Return the runs that were on the application when it crashed.

        The caller sets their `crash`, so that no run is returned for two crashes.

        Parameters
        ----------
        alive_at : float
            When the application was last seen running, so that runs which had ended too long before are not returned.
        has_restarted : bool
            Whether the crash was noticed only by the application's next start, on which
            the requests in progress run.
        """
        ended, self._ended = self._ended, {}
        runs = [run for run in ended if alive_at <= run.suspect_until]
        if not has_restarted:
            runs += self._running
        return runs
