# SPDX-License-Identifier: BSD-3-Clause
"""Requests and answers as the request path sees them, whatever server reads them."""

import json
import re
from abc import ABC, abstractmethod
from collections.abc import Container, Iterable
from urllib.parse import quote, unquote

from lanedock.errors import ErrorCode, LanedockError

__all__ = [
    "ARRIVED_HEADER",
    "ASK_LIMIT",
    "ATTEMPT_HEADER",
    "CALLER_HEADER",
    "CHUNK",
    "CLASS_HEADER",
    "CRASHES_HEADER",
    "DEADLINE_HEADER",
    "HOP_HEADERS",
    "KNOWN_LIMIT_HEADER",
    "LOAD_HEADER",
    "NEVER",
    "OUTCOME_HEADER",
    "PARENT_HEADER",
    "PRIVATE_PREFIX",
    "REQUEST_ID_HEADER",
    "RETRY_AFTER",
    "RETURN_HEADER",
    "ROUTE_HEADER",
    "START_BY_HEADER",
    "SUSPECT_HEADER",
    "TARGET_HEADER",
    "TRACE_HEADER",
    "TURN_HEADER",
    "UPSTREAM_HEADER",
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
    "public_headers",
    "read_int",
    "read_name",
    "read_whole",
    "write_name",
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
# Visible ASCII but for the sign of quoting: written as it is.
_PLAIN_NAME = re.compile(r"[!-$&-~]*")

# Headers between lanedock's daemons; taken out of what comes from outside.
PRIVATE_PREFIX = "x-lanedock-"
SERVICE_HEADER = "x-lanedock-service"
CLASS_HEADER = "x-lanedock-class"
VERSION_HEADER = "x-lanedock-version"
LOAD_HEADER = "x-lanedock-load"
# Which of the two takes no new work: one of `Leaving`.
LEAVING_HEADER = "x-lanedock-leaving"
# The rate limit, requests a second, that the caller's daemon knows of the incarnation that is meant.
KNOWN_LIMIT_HEADER = "x-lanedock-known-limit"
# Milliseconds until the caller's next request to an upstream that limits their rate is worth
# sending; left out where any is.
TURN_HEADER = "x-lanedock-turn-ms"
# The incarnation of the application that is meant, and the service that calls.
UPSTREAM_HEADER = "x-lanedock-upstream"
# Milliseconds left to the target time, counted from the caller's first attempt; 0
# where it has passed.
TARGET_HEADER = "x-lanedock-target-ms"
# Bytes a second at which the body is to be sent that an interim answer asks for.
PACE_HEADER = "x-lanedock-pace"
# From a daemon that stops: milliseconds in which the request may be passed on to an
# application; later, its answer would find nobody. Its deadline stays as it is.
START_BY_HEADER = "x-lanedock-start-by-ms"
# The most urgent class of the requests that the caller's application works on.
PARENT_HEADER = "x-lanedock-parent-class"
ROUTE_HEADER = "x-lanedock-route"
CALLER_HEADER = "x-lanedock-caller"
# On a refusal: milliseconds after which the request may come back.
RETURN_HEADER = "x-lanedock-retry-after-ms"
# On an answer in place of the application's, which has ended: the request's fingerprint, and
# the ends of applications that it is suspected of.
SUSPECT_HEADER = "x-lanedock-suspect"
CRASHES_HEADER = "x-lanedock-crashes"
# On a refusal: the request was at the application, which has refused it.
ARRIVED_HEADER = "x-lanedock-arrived"
# These are for callers and applications, too: an application passes the
# deadline and the attempt on with the calls that it makes for a request.
ATTEMPT_HEADER = "x-request-attempt"
DEADLINE_HEADER = "x-request-deadline-ms"
OUTCOME_HEADER = "x-request-outcome"
CODE_HEADER = "x-request-code"
TRACE_HEADER = "traceparent"
# By which a request is found in the logs; passed on as it came.
REQUEST_ID_HEADER = "x-request-id"

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


def read_int(text: str) -> int | None:
    """Return the number that a header's value is; None where it is none, or negative."""
    return int(text) if text.isascii() and text.isdigit() else None


def write_name(name: str) -> str:
    """Return a name as the value of a header between daemons; what a header can't carry is quoted (RFC 3986, 2.1)."""
    return name if _PLAIN_NAME.fullmatch(name) else quote(name, safe="")


def read_name(value: str) -> str:
    """Return the name that `write_name` wrote."""
    return unquote(value) if "%" in value else value


def public_headers(headers: list[tuple[str, str]], dropped: Container[str]) -> list[tuple[str, str]]:
    """Return headers without those between daemons, and without some others."""
    return [pair for pair in headers if pair[0] not in dropped and not pair[0].startswith(PRIVATE_PREFIX)]


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
