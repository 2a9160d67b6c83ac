# SPDX-License-Identifier: BSD-3-Clause
"""Requests, answers and bodies of the request path, independent of the HTTP server in use."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

import gevent

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode, LanedockError
from lanedock_daemon.path.http.headers import CODE_HEADER, OUTCOME_HEADER, RETRY_AFTER_MS_HEADER
from lanedock_daemon.path.http.request_trace import RequestTrace

__all__ = [
    "DEFAULT_RETRY_AFTER",
    "MAX_PIECE_BYTES",
    "MAX_UNSOLICITED_BODY_BYTES",
    "NEVER",
    "Answer",
    "Body",
    "BodyBroken",
    "BodyTimeout",
    "CallerDisconnected",
    "EmptyBody",
    "HeadersByName",
    "Leaving",
    "Outcome",
    "ReplayBody",
    "Request",
    "make_refusal",
    "outcome_label",
    "read_whole",
]

# Maximum bytes of a body per read.
MAX_PIECE_BYTES = 64 * 1024

# Bodies longer than this, in bytes, are sent between daemons only after the receiver has asked
# for them. Sending 8 KiB takes 16 ms on a 4 Mbit/s link, more than a round trip between zones;
# for shorter bodies the round trip costs more than the transfer.
MAX_UNSOLICITED_BODY_BYTES = 8 * 1024
# Seconds after which callers may retry if no better estimate is available.
DEFAULT_RETRY_AFTER = 1.0

# Seconds for a body that is collected, however steadily it comes.
WHOLE_BODY_TIMEOUT = 30.0

# A deadline, in monotonic seconds, that never passes.
NEVER = float("inf")


class CallerDisconnected(gevent.GreenletExit):
    """Raised in a greenlet that works on a request to cancel it, because the caller has ended its connection."""


def _assume_caller() -> None:
    """Take the caller to be there, of a request that has none or whose connection can't be looked at."""


class Outcome:
    """Whether a request that the application didn't answer may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Leaving:
    """The part of an upstream that accepts no new work."""

    DAEMON = "daemon"
    APPLICATION = "application"


class BodyTimeout(TimeoutError):
    """A request's body was not received by its deadline. The sender is slow; the receiver is not at fault."""


class BodyBroken(ConnectionError):
    """A request's body broke off because the sender disconnected; the receiver is not at fault."""


class Body(ABC):
    """A request's body, which can be read once.

    Attributes
    ----------
    length : int or None
        In bytes; None for a chunked body.
    pace : float
        Bytes per second at which the sender is asked to send the body; infinite for no limit.
    """

    length: int | None = 0
    pace: float = NEVER

    @property
    def needs_continue(self) -> bool:
        """Whether the body is sent between daemons only after the receiver has asked for it."""
        return self.length is None or self.length > MAX_UNSOLICITED_BODY_BYTES

    @abstractmethod
    def read(self, size: int, deadline: float = NEVER) -> bytes:
        """Wait for data and return up to `size` bytes; empty at the end of the body.

        Parameters
        ----------
        size : int
        deadline : float
            Monotonic seconds until which to wait for data.

        Raises
        ------
        BodyTimeout
        OSError
            The caller disconnected before the end of the body.
        """

    def keep(self, size: int) -> None:
        """Record that the reader keeps `size` bytes that it has read, until the request's answer."""


class EmptyBody(Body):
    """A body of zero bytes."""

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        return b""


def read_whole(body: Body, limit: int) -> bytes:
    """Read a body to its end and return it as one byte string.

    Parameters
    ----------
    body : Body
    limit : int
        Maximum length of the body, in bytes.

    Raises
    ------
    LanedockError
        `ErrorCode.BODY_TOO_LONG`: the body is longer than `limit`. `ErrorCode.BODY_LATE`: it has not come whole
        within `WHOLE_BODY_TIMEOUT`.
    OSError
        The caller disconnected before the end of the body.
    """
    deadline = monotonic() + WHOLE_BODY_TIMEOUT
    pieces, size = [], 0
    try:
        while piece := body.read(MAX_PIECE_BYTES, deadline):
            if monotonic() >= deadline:
                raise BodyTimeout(f"the body has not come whole within {WHOLE_BODY_TIMEOUT:g} s")
            pieces.append(piece)
            size += len(piece)
            body.keep(len(piece))
            if size > limit:
                raise LanedockError(ErrorCode.BODY_TOO_LONG, f"the body is longer than the allowed {limit} bytes")
    except BodyTimeout as exc:
        raise LanedockError(ErrorCode.BODY_LATE, str(exc)) from exc
    return b"".join(pieces)


class ReplayBody(Body):
    """A body that keeps the data read, so that a short body can be sent again.

    Parameters
    ----------
    body : Body
    limit : int
        Length in bytes up to which a body is kept.
    """

    def __init__(self, body: Body, limit: int):
        self.length = body.length
        self.is_long = body.length is None or body.length > limit
        self._body = body
        self._pieces: list[bytes] = []
        self._position = 0
        self._was_read = False

    @property
    def can_rewind(self) -> bool:
        """Whether the whole body can be read again from its beginning."""
        return not (self.is_long and self._was_read)

    def rewind(self) -> None:
        """Make the next `read` return the beginning of the body."""
        self._position = 0

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        if self._position < len(self._pieces):
            self._position += 1
            return self._pieces[self._position - 1]
        piece = self._body.read(size, deadline)
        self._was_read = True
        if piece and not self.is_long:
            self._pieces.append(piece)
            self._position += 1
            self._body.keep(len(piece))
        return piece


class HeadersByName:
    """A list of headers with look-up by lower-case name.

    Attributes
    ----------
    headers : list of tuple of (str, str)
        Must not change after the first look-up.
    """

    __slots__ = ("_by_name", "headers")

    def __init__(self, headers: list[tuple[str, str]]):
        self.headers = headers
        self._by_name: dict[str, str] | None = None

    def header(self, name: str) -> str:
        """Return the first value of a header; empty if the header is absent."""
        if self._by_name is None:
            self._by_name = dict(reversed(self.headers))
        return self._by_name.get(name, "")


class Request(HeadersByName):
    """A request with its parsed target.

    Attributes
    ----------
    headers : list of tuple of (str, str)
        Names in lower case; without hop-by-hop headers.
    read_at : float
        Monotonic time, in seconds, at which the request was read; it may have waited since then.
    trace : RequestTrace
    check_caller : callable
        Raises `CallerDisconnected` if the caller has left, also where nobody has read that yet. To be called before
        work for the request begins, and before it is sent: a process that was suspended, or got too little
        processor time, finds requests and their callers' ends at once.
    """

    __slots__ = ("body", "check_caller", "host", "method", "path", "read_at", "target", "trace")

    def __init__(
        self,
        method: str,
        target: str,
        host: str,
        headers: list[tuple[str, str]],
        body: Body,
        trace: RequestTrace | None = None,
        check_caller: Callable[[], None] = _assume_caller,
    ):
        super().__init__(headers)
        self.method = method
        self.target = target
        self.path = target.partition("?")[0]
        self.host = host
        self.body = body
        self.read_at = monotonic()
        self.trace = trace or RequestTrace()
        self.check_caller = check_caller

    def __repr__(self) -> str:
        return f"<Request {self.method} {self.target}>"


class Answer:
    """An answer whose body is read piece by piece.

    Parameters
    ----------
    status : int
    reason : str
    headers : list of tuple of (str, str)
    pieces : iterable of bytes
        Raises if the body broke off: the server then cuts the caller's connection,
        so that a partial answer isn't taken for a complete one.

    Attributes
    ----------
    ends_connection : bool
        Whether the connection closes after this answer, so that the caller connects to another instance.
    """

    __slots__ = ("ends_connection", "headers", "pieces", "reason", "status")

    def __init__(self, status: int, reason: str, headers: list[tuple[str, str]], pieces: Iterable[bytes]):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.pieces = pieces
        self.ends_connection = False

    def __repr__(self) -> str:
        return f"<Answer {self.status}>"


_STATUS = {
    ErrorCode.NO_ROUTE: (404, "Not Found"),
    ErrorCode.BAD_REQUEST: (400, "Bad Request"),
    ErrorCode.KEY_UNKNOWN: (401, "Unauthorized"),
    ErrorCode.DEADLINE: (504, "Gateway Timeout"),
    ErrorCode.ANSWER_TIMEOUT: (504, "Gateway Timeout"),
    ErrorCode.ANSWER_LOST: (502, "Bad Gateway"),
    ErrorCode.UPSTREAM_CRASHED: (502, "Bad Gateway"),
    ErrorCode.CONNECT_FAILED: (503, "Service Unavailable"),
    ErrorCode.BODY_TOO_LONG: (413, "Content Too Large"),
    ErrorCode.BODY_LATE: (408, "Request Timeout"),
    ErrorCode.QUOTA_EXCEEDED: (429, "Too Many Requests"),
}
_UNAVAILABLE = (503, "Service Unavailable")


def outcome_label(answer: Answer, answered: str) -> str:
    """Return the label under which totals count how a request ended.

    Parameters
    ----------
    answer : Answer
    answered : str
        The label of an answer that is neither a refusal nor a failure.
    """
    refusal_fields = {name: value for name, value in answer.headers if name in (OUTCOME_HEADER, CODE_HEADER)}
    if refusal_fields:
        return "_".join(refusal_fields.values())
    return "failed" if answer.status >= 500 else answered


def make_refusal(code: ErrorCode, outcome: str, retry_after: float = 0.0, detail: str = "") -> Answer:
    """Make the answer to a request that lanedock refuses or fails itself.

    Parameters
    ----------
    code : ErrorCode
    outcome : str
        One of `Outcome`.
    retry_after : float
        Seconds after which to retry; 0 to state none.
    detail : str
        Message for the caller; the code's meaning if empty.
    """
    status, reason = _STATUS.get(code, _UNAVAILABLE)
    fields = {"code": code.code, "outcome": outcome, "message": detail or code.meaning}
    if retry_after > 0:
        fields["retry_after_ms"] = max(1, int(retry_after * 1000))
    body = json.dumps(fields).encode() + b"\n"
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        (OUTCOME_HEADER, outcome),
        (CODE_HEADER, code.code),
    ]
    if retry_after > 0:
        headers.append((RETRY_AFTER_MS_HEADER, str(fields["retry_after_ms"])))
        # This header holds whole seconds only (RFC 9110, 10.2.3).
        headers.append(("retry-after", str(max(1, round(retry_after)))))
    return Answer(status, reason, headers, [body])
