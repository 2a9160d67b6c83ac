# SPDX-License-Identifier: BSD-3-Clause
"""Requests and answers as the request path sees them, whatever server reads them."""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterable

from lanedock.errors import ErrorCode

__all__ = [
    "ATTEMPT_HEADER",
    "CLASS_HEADER",
    "DEADLINE_HEADER",
    "HOP_HEADERS",
    "LOAD_HEADER",
    "OUTCOME_HEADER",
    "PRIVATE_PREFIX",
    "TRACE_HEADER",
    "Answer",
    "Body",
    "Outcome",
    "Request",
    "make_refusal",
]

# Headers between lanedock's daemons; taken out of what comes from outside.
PRIVATE_PREFIX = "x-lanedock-"
SERVICE_HEADER = "x-lanedock-service"
CLASS_HEADER = "x-lanedock-class"
ATTEMPT_HEADER = "x-lanedock-attempt"
VERSION_HEADER = "x-lanedock-version"
LOAD_HEADER = "x-lanedock-load"
LEAVING_HEADER = "x-lanedock-leaving"
# These two are for callers and applications, too.
DEADLINE_HEADER = "x-request-deadline-ms"
OUTCOME_HEADER = "x-request-outcome"
CODE_HEADER = "x-request-code"
TRACE_HEADER = "traceparent"

# Headers of one connection, never passed on (RFC 9110, 7.6.1).
HOP_HEADERS = frozenset(
    (
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Outcome:
    """What is known of a request that got no answer of its own."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Body(ABC):
    """A request's body, read once.

    Attributes
    ----------
    length : int or None
        In bytes; None where it comes in chunks.
    was_read : bool
        Whether any of it was read, so that it can't be sent again.
    """

    length: int | None = 0
    was_read = False

    @abstractmethod
    def read(self, size: int) -> bytes:
        """Return up to `size` bytes; empty at the end.

        Raises
        ------
        OSError
            The caller went away before the end.
        """


class Request:
    """A request, its target already split.

    Attributes
    ----------
    headers : list of tuple of (str, str)
        Names in lower case; without those of one connection.
    """

    __slots__ = ("body", "headers", "host", "method", "path", "target")

    def __init__(self, method: str, target: str, host: str, headers: list[tuple[str, str]], body: Body):
        self.method = method
        self.target = target
        self.path = target.partition("?")[0]
        self.host = host
        self.headers = headers
        self.body = body

    def __repr__(self) -> str:
        return f"<Request {self.method} {self.target}>"

    def header(self, name: str) -> str:
        """Return the first value of a header; empty where there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return ""


class Answer:
    """An answer; its body is read piece by piece.

    Parameters
    ----------
    status : int
    reason : str
    headers : list of tuple of (str, str)
    pieces : iterable of bytes
        Raises where the body broke off: the server then cuts its connection,
        so that nobody takes the part for the whole.
    """

    __slots__ = ("headers", "pieces", "reason", "status")

    def __init__(self, status: int, reason: str, headers: list[tuple[str, str]], pieces: Iterable[bytes]):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.pieces = pieces

    def __repr__(self) -> str:
        return f"<Answer {self.status}>"


_STATUS = {
    ErrorCode.NO_ROUTE: (404, "Not Found"),
    ErrorCode.BAD_REQUEST: (400, "Bad Request"),
    ErrorCode.DEADLINE: (504, "Gateway Timeout"),
    ErrorCode.ANSWER_TIMEOUT: (504, "Gateway Timeout"),
    ErrorCode.ANSWER_LOST: (502, "Bad Gateway"),
    ErrorCode.CONNECT_FAILED: (503, "Service Unavailable"),
}
_UNAVAILABLE = (503, "Service Unavailable")


def make_refusal(code: ErrorCode, outcome: str, retry_after: float = 0.0, detail: str = "") -> Answer:
    """Make the answer to a request that lanedock answers itself.

    Parameters
    ----------
    code : ErrorCode
    outcome : str
        One of `Outcome`.
    retry_after : float
        Seconds after which to come back; 0 for nothing to say.
    detail : str
    """
    status, reason = _STATUS.get(code, _UNAVAILABLE)
    text = {"code": code.code, "outcome": outcome, "message": detail or code.meaning}
    if retry_after > 0:
        text["retry_after_ms"] = max(1, int(retry_after * 1000))
    body = json.dumps(text).encode() + b"\n"
    headers = [
        ("content-type", "application/json"),
        ("content-length", str(len(body))),
        (OUTCOME_HEADER, outcome),
        (CODE_HEADER, code.code),
    ]
    if retry_after > 0:
        # Whole seconds are all that this header can say (RFC 9110, 10.2.3).
        headers.append(("retry-after", str(max(1, round(retry_after)))))
    return Answer(status, reason, headers, [body])
