# SPDX-License-Identifier: BSD-3-Clause
"""The state of a request while the application of its upstream runs it."""

from lanedock.quarantine import Fingerprint, RequestHasher
from lanedock_daemon.path.http.messages import Body, Outcome
from lanedock_daemon.path.http.parser import MalformedMessage
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.path.shared.answers import is_own_timeout
from lanedock_daemon.path.shared.pool import ExchangeError
from lanedock_daemon.path.upstream.crashes import CrashDetector
from lanedock_daemon.path.upstream.slot_gate import Slot

__all__ = ["Work"]


class Work:
    """A request that the application runs, with the slot that it holds.

    Exactly one of the ``end_*`` methods has to be called when the run ends: when the application's
    answer has ended. Where long answers are read ahead, their receivers may get them later; what
    becomes of an answer after the application has sent it says nothing about the application.

    Parameters
    ----------
    crashes : CrashDetector
    hasher : RequestHasher
    slot : Slot
    body : Body
        Body of the request as it is passed on.
    deadline : float
        Deadline of the request: a monotonic time, in seconds.
    """

    __slots__ = ("_body", "_crashes", "_deadline", "_run", "_slot")

    def __init__(self, crashes: CrashDetector, hasher: RequestHasher, slot: Slot, body: Body, deadline: float):
        self._body = body
        self._deadline = deadline
        self._crashes = crashes
        self._run = crashes.begin(hasher)
        self._slot = slot

    def end_served(self) -> None:
        """End the run after the complete answer."""
        self._slot.release()
        self._crashes.note_served(self._run)

    def end_refused(self) -> None:
        """End a run that the application refused."""
        self._slot.release()
        self._crashes.note_refused(self._run)

    def end_abandoned(self) -> None:
        """End a run whose answer is no longer awaited."""
        self._slot.release()
        self._crashes.note_abandoned(self._run, self._deadline)

    def end_lost(self) -> Fingerprint | None:
        """End a run whose connection broke.

        Returns
        -------
        Fingerprint or None
            The request's fingerprint if the request is suspected of having crashed the
            application, else None.
        """
        self._slot.release()
        hasher = self._run.hasher
        if not self._crashes.note_lost(self._run):
            return None
        if not hasher.is_complete:
            try:
                self._body.discard_hashed_part(self._deadline)
            except (OSError, StopTimeout):
                return None  # the rest of the body doesn't come in time, so the fingerprint isn't known
            self._crashes.report_suspect(self._run)
        return hasher.fingerprint()

    def end_broken_off(self, exc: Exception) -> None:
        """End a run whose answer broke off after its head was passed on."""
        if isinstance(exc, MalformedMessage) or is_own_timeout(exc):
            # This side closes the connection; that says nothing about the application's process.
            self.end_abandoned()
        else:
            self.end_lost()

    def end_failed(self, exc: ExchangeError) -> Fingerprint | None:
        """End a run that got no answer.

        Returns
        -------
        Fingerprint or None
            As for `end_lost`.
        """
        if exc.is_broken:
            return self.end_lost()
        if exc.outcome == Outcome.NOT_RUN:
            self.end_refused()
        else:
            self.end_abandoned()
        return None
