# SPDX-License-Identifier: BSD-3-Clause
"""Admits requests by their long answers on a narrow link, and lets these answers wait for their turns."""

from lanedock.clock import monotonic
from lanedock.limits import (
    LONG_ANSWER_BYTES,
    AdmissionRequest,
    AnswerAdmission,
    AnswerTransfer,
    Refused,
    SlotLimiter,
)
from lanedock_daemon.agent.view import Binding
from lanedock_daemon.path.http.messages import Answer, Request
from lanedock_daemon.path.shared.paced_answer import LinkTurns, answer_length

__all__ = ["AnswerGate"]


class AnswerGate:
    """Admits requests whose long answers the link can deliver in time, and paces these answers.

    Without turns it admits all requests and leaves their answers as they are.

    Parameters
    ----------
    limiter : SlotLimiter
        Slot limiter of the same upstream; estimates when an application has answered.
    turns : LinkTurns, optional
        Turns on the daemon's link, if it is narrow.
    """

    def __init__(self, limiter: SlotLimiter, turns: LinkTurns | None = None):
        self._limiter = limiter
        self._turns = turns
        self._admission = AnswerAdmission(turns.link) if turns is not None else None
        self._priorities: dict[str, int] = {}
        # Answers of the requests that have been admitted and whose answers have not begun.
        self._expected: dict[Request, AnswerTransfer] = {}

    def __repr__(self) -> str:
        return f"<AnswerGate {self._admission!r}>"

    @property
    def is_active(self) -> bool:
        """Whether the daemon's link is known to be narrow."""
        return self._turns is not None

    def link_wait(self, now: float) -> float:
        """Return the seconds for which the admitted long answers occupy the link."""
        return 0.0 if self._turns is None else self._turns.link.busy_time(now)

    def load(self) -> dict[str, int]:
        """Return the load of a narrow link by long answers, as fields of a log line; empty for other links."""
        if self._turns is None:
            return {}
        return {"answer_bytes": self._turns.link.queued, "link_ms": round(1000 * self.link_wait(monotonic()))}

    def configure(self, binding: Binding | None) -> None:
        """Apply a version of the configuration: the priorities of classes, and the routes with long answers."""
        if self._turns is None or binding is None:
            return
        self._priorities = {name: item.priority for name, item in binding.config.traffic_classes.items()}
        self._admission.configure(frozenset(route.name for route in binding.config.routes if route.download))

    def enter(self, request: Request, traffic_class: str, admission: AdmissionRequest) -> Refused | None:
        """Return the refusal of a request whose long answer can't be delivered in time, or None if it is admitted.

        The answer counts as load of the link until it has been sent, or until `leave`.
        """
        now = monotonic()
        if self._turns is None or now >= admission.deadline:
            return None
        ready_at = self._limiter.expected_end(traffic_class, admission, now)
        transfer = self._admission.admit(self._order(traffic_class, admission), admission, ready_at, now)
        if isinstance(transfer, Refused):
            delay = self._limiter.retry_delay(admission, now, transfer.retry_after)
            return Refused(transfer.code, max(delay, transfer.retry_after), transfer.limit)
        if transfer is not None:
            self._expected[request] = transfer
        return None

    def leave(self, request: Request) -> None:
        """Record that a request has been answered; from now on its answer only counts while it is being sent."""
        transfer = self._expected.pop(request, None)
        if transfer is not None and not transfer.has_begun:
            self._turns.end(transfer)

    def pace(self, answer: Answer, request: Request, traffic_class: str, admission: AdmissionRequest) -> Answer:
        """Let a long answer of the application wait for its turns on a narrow link, and record its length."""
        if self._turns is None or request.method == "HEAD":
            return answer
        is_whole = isinstance(answer.pieces, list)
        length = sum(map(len, answer.pieces)) if is_whole else answer_length(answer.headers)
        kind = admission.kind if 200 <= answer.status < 300 else ""
        if length is not None:
            self._note_length(kind, length)
            if length <= LONG_ANSWER_BYTES:
                return answer
        transfer = self._expected.get(request) or self._make_transfer(traffic_class, admission)
        answer.pieces = self._turns.pace(
            answer.pieces, transfer, length, None if length is not None else lambda sent: self._note_length(kind, sent)
        )
        return answer

    def _note_length(self, kind: str, length: int) -> None:
        # Failures are short; they say nothing about the lengths of answers.
        if kind:
            self._admission.note_length(kind, length)

    def _make_transfer(self, traffic_class: str, admission: AdmissionRequest) -> AnswerTransfer:
        order = self._order(traffic_class, admission)
        return AnswerTransfer(order, admission.target_or_deadline, LONG_ANSWER_BYTES, monotonic(), admission.kind)

    def _order(self, traffic_class: str, admission: AdmissionRequest) -> tuple:
        return (admission.customer_priority, self._priorities.get(traffic_class, float("inf")))
