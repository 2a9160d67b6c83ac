# SPDX-License-Identifier: BSD-3-Clause
"""A request while its upstream's application works on it."""

from lanedock.quarantine import Fingerprint, RequestHasher
from lanedock_daemon.path.crashes import CrashDetector
from lanedock_daemon.path.http import Body, Outcome
from lanedock_daemon.path.pool import ExchangeError
from lanedock_daemon.path.service import StopTimeout
from lanedock_daemon.path.slot_gate import Slot

__all__ = ["Work"]


class Work:
    """A request that the application works on: a run, and the slot that it holds. Given up once.

    Parameters
    ----------
    crashes : CrashDetector
    hasher : RequestHasher
    slot : Slot
    body : Body
        As it is passed on.
    deadline : float
        Monotonic, seconds: of the request.
    """

    __slots__ = ("_body", "_crashes", "_deadline", "_run", "_slot")

    def __init__(self, crashes: CrashDetector, hasher: RequestHasher, slot: Slot, body: Body, deadline: float):
        self._body = body
        self._deadline = deadline
        self._crashes = crashes
        self._run = crashes.begin(hasher)
        self._slot = slot

    def end_served(self) -> None:
        """The whole answer has come."""
        self._slot.release()
        self._crashes.note_served(self._run)

    def end_refused(self) -> None:
        """The application does not run it."""
        self._slot.release()
        self._crashes.note_refused(self._run)

    def end_abandoned(self) -> None:
        """Nobody waits for it any more."""
        self._slot.release()
        self._crashes.note_abandoned(self._run)

    def end_lost(self) -> Fingerprint | None:
        """Its connection broke; returns what it is suspected under, where the application has ended."""
        self._slot.release()
        hasher = self._run.hasher
        if not self._crashes.note_lost(self._run):
            return None
        if not hasher.is_complete:
            try:
                self._body.finish(self._deadline)
            except (OSError, StopTimeout):
                return None  # the rest doesn't come in time: it isn't known which request it was
            self._crashes.note_body(self._run)
        return hasher.fingerprint()

    def end_failed(self, exc: ExchangeError) -> Fingerprint | None:
        """No answer has come; returns as `end_lost`."""
        if exc.is_broken:
            return self.end_lost()
        if exc.outcome == Outcome.NOT_RUN:
            self.end_refused()
        else:
            self.end_abandoned()
        return None
