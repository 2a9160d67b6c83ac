# SPDX-License-Identifier: BSD-3-Clause
"""What runs on an application, and what was running when it ended."""

from lanedock.quarantine.fingerprint import RequestHasher

__all__ = ["Run", "RunRegistry"]

# Seconds for which a run whose connection broke is a suspect, should its application turn
# out to have ended: where that isn't seen at once, its next start shows it, and an
# application is back within this time or not soon.
LOST_KEPT = 10.0
# Seconds for which a run that nobody waits for any more is one: an application that
# minds that its caller has gone has dropped it by then.
ABANDONED_KEPT = 0.5
# Runs that have ended and are kept; more than an application has slots.
MAX_ENDED = 256


class Run:
    """A request that was passed on to an application.

    Parameters
    ----------
    hasher : RequestHasher
        Has what was passed on of the body.

    Attributes
    ----------
    kept_until : float
        Monotonic, seconds: until when it is a suspect, once it has ended.
    is_lost : bool
        Whether its connection broke before its answer was whole.
    crash : str
        The application's end that it is suspected of; empty for none.
    """

    __slots__ = ("crash", "hasher", "is_lost", "kept_until")

    def __init__(self, hasher: RequestHasher):
        self.hasher = hasher
        self.kept_until = float("inf")
        self.is_lost = False
        self.crash = ""


class RunRegistry:
    """The runs on one application. Pure; times are monotonic, in seconds."""

    def __init__(self):
        self._running: dict[Run, None] = {}
        self._ended: dict[Run, None] = {}

    def __repr__(self) -> str:
        return f"<RunRegistry running={len(self._running)} ended={len(self._ended)}>"

    def begin(self, hasher: RequestHasher) -> Run:
        """Note that a request is passed on."""
        run = Run(hasher)
        self._running[run] = None
        return run

    def end(self, run: Run) -> None:
        """Note that a run was answered, or refused by the application, which then has not ended of it."""
        self._running.pop(run, None)

    def abandon(self, run: Run, is_lost: bool, now: float) -> None:
        """Note that no answer will come of a run.

        Parameters
        ----------
        run : Run
        is_lost : bool
            Whether its connection broke; otherwise nobody waits for it any more.
        now : float
        """
        if run not in self._running:
            return
        del self._running[run]
        run.is_lost = is_lost
        run.kept_until = now + (LOST_KEPT if is_lost else ABANDONED_KEPT)
        if run.crash:
            return
        self._ended[run] = None
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def take_suspects(self, now: float, has_restarted: bool) -> list[Run]:
        """Return what ran on an application when it ended; each run once, whose `crash` is to be set.

        Parameters
        ----------
        now : float
        has_restarted : bool
            Whether that was noticed by its next start only, on which other requests
            may run already.
        """
        ended, self._ended = self._ended, {}
        runs = [run for run in ended if now <= run.kept_until and (run.is_lost or not has_restarted)]
        if not has_restarted:
            runs += self._running
        return runs
