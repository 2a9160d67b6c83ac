# SPDX-License-Identifier: BSD-3-Clause
"""Requests and answers as the request path sees them, whatever server reads them."""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterable

from lanedock.errors import ErrorCode, LanedockError
from lanedock_daemon.path.headers import CODE_HEADER, OUTCOME_HEADER, RETURN_HEADER

__all__ = [
    "ASK_LIMIT",
    "CHUNK",
    "NEVER",
    "RETRY_AFTER",
    "Answer",
    "Body",
    "BodyBroken",
    "BodyTimeout",
    "EmptyBody",
    "HeadersByName",
    "Leaving",
    "Outcome",
    "ReplayBody",
    "Request",
    "describe_end",
    "make_refusal",
    "read_whole",
]

# Bytes of a body that are read at once.
CHUNK = 64 * 1024

# Bodies over this many bytes are sent between daemons only once the other side wants
# them. They take 16 ms of a link of 4 Mbit/s, more than a round trip between zones; for
# shorter ones asking costs more than the bytes.
ASK_LIMIT = 8 * 1024
# The time after which callers may come back where nothing better is known, in seconds.
RETRY_AFTER = 1.0

# A deadline, monotonic seconds, for none.
NEVER = float("inf")


class Outcome:
    """What is known of a request that got no answer of its own."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Leaving:
    """Which part of an upstream takes no new work any more."""

    DAEMON = "daemon"
    APPLICATION = "application"


class BodyTimeout(TimeoutError):
    """A request's body has not come by its deadline: whoever sends it is slow, not who is to have it."""


class BodyBroken(ConnectionError):
    """A request's body broke off: whoever sends it has gone, which is not the fault of who is to have it."""


class Body(ABC):
    """A request's body, read once.

    Attributes
    ----------
    length : int or None
        In bytes; None where it comes in chunks.
    pace : float
        Bytes a second at which its sender is asked to send it; infinite for any.
    """

    length: int | None = 0
    pace: float = NEVER

    @property
    def is_asked_for(self) -> bool:
        """Whether it is sent between daemons only once the other side wants it."""
        return self.length is None or self.length > ASK_LIMIT

    @abstractmethod
    def read(self, size: int, deadline: float = NEVER) -> bytes:
        """Return up to `size` bytes; empty at the end.

        Parameters
        ----------
        size : int
        deadline : float
            Monotonic, seconds: until when they are waited for.

        Raises
        ------
        BodyTimeout
        OSError
            The caller went away before the end.
        """


class EmptyBody(Body):
    """A body of no bytes."""

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        return b""


def read_whole(body: Body, limit: int) -> bytes:
    """Read a body to its end, in however many pieces it comes.

    Parameters
    ----------
    body : Body
    limit : int
        Bytes that it may have.

    Raises
    ------
    LanedockError
        `ErrorCode.BODY_TOO_LONG`.
    OSError
        The caller went away before the end.
    """
    pieces, size = [], 0
    while piece := body.read(CHUNK):
        pieces.append(piece)
        size += len(piece)
        if size > limit:
            raise LanedockError(ErrorCode.BODY_TOO_LONG, f"the body has more than {limit} bytes")
    return b"".join(pieces)


class ReplayBody(Body):
    """A body that keeps what was read, so that it can be sent again while it is short.

    Parameters
    ----------
    body : Body
    limit : int
        Bytes that are kept at most.
    """

    def __init__(self, body: Body, limit: int):
        self.length = body.length
        self.is_long = body.length is None or body.length > limit
        self._body = body
        self._kept: list[bytes] = []
        self._position = 0
        self._was_read = False

    @property
    def can_rewind(self) -> bool:
        """Whether all of it can still be sent again."""
        return not (self.is_long and self._was_read)

    def rewind(self) -> None:
        """Start again at the beginning."""
        self._position = 0

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        if self._position < len(self._kept):
            self._position += 1
            return self._kept[self._position - 1]
        piece = self._body.read(size, deadline)
        self._was_read = True
        if piece and not self.is_long:
            self._kept.append(piece)
            self._position += 1
        return piece


class HeadersByName:
    """Finds headers by their names, which are in lower case.

    Attributes
    ----------
    headers : list of tuple of (str, str)
        Complete before the first look-up.
    """

    __slots__ = ("_by_name", "headers")

    def __init__(self, headers: list[tuple[str, str]]):
        self.headers = headers
        self._by_name: dict[str, str] | None = None

    def header(self, name: str) -> str:
        """Return the first value of a header; empty where there is none."""
        if self._by_name is None:
            self._by_name = dict(reversed(self.headers))
        return self._by_name.get(name, "")


class Request(HeadersByName):
    """A request, its target already split.

    Attributes
    ----------
    headers : list of tuple of (str, str)
        Names in lower case; without those of one connection.
    """

    __slots__ = ("body", "host", "method", "path", "target")

    def __init__(self, method: str, target: str, host: str, headers: list[tuple[str, str]], body: Body):
        super().__init__(headers)
        self.method = method
        self.target = target
        self.path = target.partition("?")[0]
        self.host = host
        self.body = body

    def __repr__(self) -> str:
        return f"<Request {self.method} {self.target}>"


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

    Attributes
    ----------
    ends_connection : bool
        Whether its caller is to go elsewhere: no request follows on its connection.
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
    ErrorCode.DEADLINE: (504, "Gateway Timeout"),
    ErrorCode.ANSWER_TIMEOUT: (504, "Gateway Timeout"),
    ErrorCode.ANSWER_LOST: (502, "Bad Gateway"),
    ErrorCode.UPSTREAM_CRASHED: (502, "Bad Gateway"),
    ErrorCode.CONNECT_FAILED: (503, "Service Unavailable"),
    ErrorCode.BODY_TOO_LONG: (413, "Content Too Large"),
}
_UNAVAILABLE = (503, "Service Unavailable")


def describe_end(answer: Answer, answered: str) -> str:
    """Return how a request ended, as totals count it.

    Parameters
    ----------
    answer : Answer
    answered : str
        What counts where it is neither a refusal nor a failure.
    """
    named = {name: value for name, value in answer.headers if name in (OUTCOME_HEADER, CODE_HEADER)}
    if named:
        return "_".join(named.values())
    return "failed" if answer.status >= 500 else answered


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
        headers.append((RETURN_HEADER, str(text["retry_after_ms"])))
        # Whole seconds are all that this header can say (RFC 9110, 10.2.3).
        headers.append(("retry-after", str(max(1, round(retry_after)))))
    return Answer(status, reason, headers, [body])
