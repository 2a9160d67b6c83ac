# SPDX-License-Identifier: BSD-3-Clause
"""Admission of requests by the time at which a narrow link can deliver their long answers."""

from lanedock.averages import MeansByKind
from lanedock.errors import ErrorCode
from lanedock.limits.answer_link import DEFAULT_ANSWER_BYTES, LONG_ANSWER_BYTES, AnswerLink, AnswerTransfer
from lanedock.limits.queue import AdmissionRequest
from lanedock.limits.slots import Refused

__all__ = ["AnswerAdmission"]

# Weight of the newest length in a kind's moving average: lengths of one route differ by a factor of
# ten, so the average is taken over some twenty answers.
_SMOOTHING = 0.05
# Length with which a longer answer counts in the average, in bytes. One answer of 50 MB would
# otherwise make all others of its route be refused unless they are alone on the link.
_MAX_COUNTED_BYTES = 1024 * 1024
# Shortest retry time, in seconds: about that of one long answer on the widest of narrow links.
# Callers that came back after less would be refused again and again.
_MIN_RETRY_TIME = 0.05


class AnswerAdmission:
    """Decides whether the answer to a request can be delivered by its target time.

    Does no I/O and reads no clock; times are monotonic, in seconds. An admitted answer counts as
    load of the link from then on: with the average length of its kind until its head states its own.

    Parameters
    ----------
    link : AnswerLink
    """

    def __init__(self, link: AnswerLink):
        self._link = link
        self._lengths = MeansByKind(_SMOOTHING)
        self._download_kinds: frozenset[str] = frozenset()

    def __repr__(self) -> str:
        return f"<AnswerAdmission {self._lengths!r} {self._link!r}>"

    def configure(self, download_kinds: frozenset[str]) -> None:
        """Set the kinds of requests whose answers are long according to the configuration."""
        self._download_kinds = download_kinds

    def note_length(self, kind: str, length: int) -> None:
        """Record the length of an answer, in bytes."""
        # One answer doesn't decide: the average begins with what was expected before any.
        self._lengths.note(kind, min(length, _MAX_COUNTED_BYTES), self.expected_length(kind))

    def expected_length(self, kind: str) -> float:
        """Return the average length of a kind's answers, in bytes; 0 if it is unknown and not marked as long."""
        length = self._lengths.get(kind)
        if length is None:
            return DEFAULT_ANSWER_BYTES if kind in self._download_kinds else 0
        return length

    def admit(
        self, order: tuple, request: AdmissionRequest, ready_at: float, now: float
    ) -> AnswerTransfer | Refused | None:
        """Ask whether the answer to a request can be delivered in time.

        Parameters
        ----------
        order : tuple
            See `AnswerTransfer`.
        request : AdmissionRequest
        ready_at : float
            Time at which the application is expected to have answered.
        now : float

        Returns
        -------
        AnswerTransfer
            Counts as load of the link; `AnswerLink.end` must be called in the end.
        Refused
            The answer would be late, or would make another one of its order late; `retry_after` is
            the time by which, `_MIN_RETRY_TIME` at least.
        None
            The answer isn't expected to be long.
        """
        length = self.expected_length(request.kind)
        if length <= LONG_ANSWER_BYTES:
            return None
        transfer = AnswerTransfer(order, request.target_or_deadline, int(length), ready_at, request.kind)
        lateness = self._lateness(transfer, now)
        if lateness > 0:
            return Refused(ErrorCode.OVERLOADED, max(lateness, _MIN_RETRY_TIME), "link")
        self._link.add(transfer)
        return transfer

    def _lateness(self, new: AnswerTransfer, now: float) -> float:
        """Return by how much a new answer, or one that it would delay, would be late, in seconds."""
        link, others = self._link, list(self._link)
        if not others:
            # Alone on the link. An estimate must not refuse it: its length is observed by it.
            return 0.0
        if now >= new.target_time:
            return sum(other.remaining for other in others) / link.rate
        horizon = new.target_time - now
        # Those that come late in any case are sent after the others of their order.
        useful = sorted((other for other in others if not other.is_hopeless(now, link.rate)), key=_sort_key)
        ahead = sum(other.bytes_within(horizon, now) for other in useful if other.key <= new.key)
        wait = link.occupied_time(now) + ahead / link.rate
        duration = new.remaining / link.rate
        lateness = max(wait, new.ready_at - now) + duration - horizon
        end = now + wait + duration
        for other in useful:
            if other.key <= new.key or other.order != new.order:
                continue
            end += other.bytes_within(horizon, now) / link.rate
            if end - duration <= other.target_time:
                lateness = max(lateness, end - other.target_time)
        return lateness


def _sort_key(transfer: AnswerTransfer) -> tuple:
    return transfer.key
