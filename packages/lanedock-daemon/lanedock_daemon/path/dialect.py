# SPDX-License-Identifier: BSD-3-Clause
"""The headers by which callers and applications say what lanedock has to know.

Between daemons lanedock's own headers are spoken. Towards callers and
applications a dialect reads and writes whatever they speak; it decodes it once,
into `RequestFacts` and `AnswerFacts`, and decides nothing.
"""

from abc import ABC, abstractmethod

from lanedock.errors import ErrorCode
from lanedock.membership import UpstreamReport
from lanedock_daemon.path.headers import (
    ATTEMPT_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    HOP_HEADERS,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    TRACE_HEADER,
)
from lanedock_daemon.path.http import Answer, make_refusal

__all__ = ["AnswerFacts", "Dialect", "HealthFacts", "OwnDialect", "RequestFacts"]

# Of the answers by which an application reports that it drains.
DRAIN_HEADER = "x-upstream-draining"
# Requests a second that an application takes from all callers together, in its answers.
RATE_LIMIT_HEADER = "x-upstream-rate-limit"
# By which callers identify themselves (RFC 9110, 11.6.2).
CUSTOMER_HEADER = "authorization"


class RequestFacts:
    """What a caller's headers state of its request.

    Parameters
    ----------
    request_id : str
        Empty where it has none.
    deadline_ms : int or None
        Time for which the caller waits, in milliseconds.
    was_retried : bool
        Whether a hop before has sent the request again.
    customer : str
        What the caller identifies itself by; empty where it doesn't.
    """

    __slots__ = ("customer", "deadline_ms", "request_id", "was_retried")

    def __init__(
        self, request_id: str = "", deadline_ms: int | None = None, was_retried: bool = False, customer: str = ""
    ):
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.was_retried = was_retried
        self.customer = customer

    def __repr__(self) -> str:
        return f"<RequestFacts {self.request_id} deadline={self.deadline_ms}>"


class AnswerFacts:
    """What an application's answer states of its request, and of the application.

    Parameters
    ----------
    was_refused : bool
        Whether the application has not run the request and never will.
    is_foreign : bool
        Whether the answer belongs to another request.
    is_elsewhere : bool
        Whether another incarnation of an application has the address.
    report : UpstreamReport
        What it states of the application itself.
    """

    __slots__ = ("is_elsewhere", "is_foreign", "report", "was_refused")

    def __init__(self, was_refused=False, is_foreign=False, is_elsewhere=False, report: UpstreamReport | None = None):
        self.was_refused = was_refused
        self.is_foreign = is_foreign
        self.is_elsewhere = is_elsewhere
        self.report = report or UpstreamReport()

    def __repr__(self) -> str:
        return f"<AnswerFacts refused={self.was_refused} foreign={self.is_foreign}>"


class HealthFacts:
    """What an application's health check reports.

    Parameters
    ----------
    is_well : bool
    upstream : str
        Incarnation of the application; empty where it is not reported.
    slots : int
        Requests that it works on at once; 0 where it is not reported.
    report : UpstreamReport
        What any answer of it states.
    """

    __slots__ = ("is_well", "report", "slots", "upstream")

    def __init__(self, is_well: bool, upstream: str = "", slots: int = 0, report: UpstreamReport | None = None):
        self.report = report or UpstreamReport()
        self.is_well = is_well
        self.upstream = upstream
        self.slots = slots

    def __repr__(self) -> str:
        return f"<HealthFacts well={self.is_well} {self.upstream}>"


class Dialect(ABC):
    """How callers and applications put what lanedock has to know.

    Attributes
    ----------
    request_names : frozenset of str
        Headers that lanedock sets itself: not passed on as they came.
    answer_names : frozenset of str
        Headers of applications' answers that are not passed on.
    """

    request_names: frozenset = frozenset()
    answer_names: frozenset = frozenset()

    @abstractmethod
    def read_request(self, headers: list[tuple[str, str]]) -> RequestFacts:
        """Read a caller's headers, their names in lower case."""

    @abstractmethod
    def read_answer(self, status: int, headers: list[tuple[str, str]], request_id: str) -> AnswerFacts:
        """Read the headers of an application's answer."""

    @abstractmethod
    def request_headers(self, left_ms: int, upstream: str, caller: str, attempt: int) -> list[tuple[str, str]]:
        """Make the headers for an application.

        Parameters
        ----------
        left_ms : int
            Time left, in milliseconds.
        upstream : str
            Incarnation of the application that is meant; empty for any.
        caller : str
            Service where the request started; empty where none runs there.
        attempt : int
        """

    def read_health(self, status: int, headers: list[tuple[str, str]]) -> HealthFacts:
        """Read the answer to an application's health check."""
        return HealthFacts(status == 200)

    def make_refusal(self, code: ErrorCode, outcome: str, retry_after: float = 0.0, detail: str = "") -> Answer:
        """Make the answer to a request that lanedock answers itself."""
        return make_refusal(code, outcome, retry_after, detail)


class OwnDialect(Dialect):
    """lanedock's own headers."""

    request_names = frozenset((ATTEMPT_HEADER, DEADLINE_HEADER, TRACE_HEADER))
    # What only a daemon may say is taken out.
    answer_names = HOP_HEADERS | {OUTCOME_HEADER, CODE_HEADER, DRAIN_HEADER, RATE_LIMIT_HEADER}

    def read_request(self, headers: list[tuple[str, str]]) -> RequestFacts:
        facts = RequestFacts()
        for name, value in headers:
            if name == DEADLINE_HEADER and value.isascii() and value.isdigit():
                facts.deadline_ms = int(value)
            elif name == REQUEST_ID_HEADER:
                facts.request_id = value
            elif name == ATTEMPT_HEADER:
                facts.was_retried = value not in ("", "1")
            elif name == CUSTOMER_HEADER:
                facts.customer = value
        return facts

    def read_answer(self, status: int, headers: list[tuple[str, str]], request_id: str) -> AnswerFacts:
        return AnswerFacts(report=self._read_report(headers))

    def read_health(self, status: int, headers: list[tuple[str, str]]) -> HealthFacts:
        return HealthFacts(status == 200, report=self._read_report(headers))

    def _read_report(self, headers: list[tuple[str, str]]) -> UpstreamReport:
        report = UpstreamReport()
        for name, value in headers:
            if name == DRAIN_HEADER:
                report.is_draining = report.is_draining or bool(value)
            elif name == RATE_LIMIT_HEADER:
                report.note_rate(value)
        return report

    def request_headers(self, left_ms: int, upstream: str, caller: str, attempt: int) -> list[tuple[str, str]]:
        return [(ATTEMPT_HEADER, str(attempt)), (DEADLINE_HEADER, str(left_ms))]
