# SPDX-License-Identifier: BSD-3-Clause
"""What has happened to one request of a caller, as far as the lines about its end state it."""

__all__ = ["RequestTrace", "Stage"]


class Stage:
    """How far a request has come."""

    NOT_BEGUN = "not begun"
    WAITING = "waiting"
    SENT = "sent"
    ANSWERED = "answered"


class RequestTrace:
    """The way of one request from its arrival until its caller has the answer.

    Parameters
    ----------
    request_id : str
        Empty if the request has none.
    read_at : float
        Monotonic time, in seconds, at which the request's head was read.

    Attributes
    ----------
    begun_at, answered_at, written_at : float or None
        Monotonic times, in seconds, at which its processing began, its answer was made and its answer was written
        whole; None before.
    end : int
        Number of bytes that were written to its connection up to the end of its answer.
    stage : str
        One of `Stage`. From `SENT` on, an application may work on the request.
    status : int or None
        Status of its answer; 0 without one.
    outcome : str
        Outcome that an answer of a daemon states; empty if an application gave the answer.
    upstream : str
        Instance to which it was sent last; empty if to none.
    attempts : int
        How often it was sent.
    caller_left_at : float or None
        Monotonic time, in seconds, at which it was noticed that the caller had ended the connection before the answer.
    is_reported : bool
        Whether its end has been logged.
    """

    __slots__ = (
        "answered_at",
        "attempts",
        "begun_at",
        "caller_left_at",
        "end",
        "is_reported",
        "outcome",
        "read_at",
        "request_id",
        "stage",
        "status",
        "upstream",
        "written_at",
    )

    def __init__(self, request_id: str = "", read_at: float = 0.0):
        self.request_id = request_id
        self.read_at = read_at
        self.begun_at: float | None = None
        self.answered_at: float | None = None
        self.written_at: float | None = None
        self.caller_left_at: float | None = None
        self.attempts = 0
        self.end = 0
        self.stage = Stage.WAITING
        self.status: int | None = None
        self.outcome = ""
        self.upstream = ""
        self.is_reported = False

    def __repr__(self) -> str:
        return f"<RequestTrace {self.request_id} {self.stage}>"

    def note_sent(self, upstream: str) -> None:
        """Record that the request is sent to an upstream's daemon, or to the application beside this one."""
        self.stage = Stage.SENT
        self.upstream = upstream
        self.attempts += 1

    def note_answer(self, status: int, outcome: str, now: float) -> None:
        """Record that the answer was made; `now` is a monotonic time, in seconds."""
        self.stage = Stage.ANSWERED
        self.status = status
        self.outcome = outcome
        self.answered_at = now
