# SPDX-License-Identifier: BSD-3-Clause
"""Translation between lanedock and the headers that callers and applications use.

Daemons use lanedock's own headers among each other. For callers and applications, a dialect
decodes the headers once, into `RequestFacts`, `AnswerFacts` and `HealthFacts`, and writes those
that they expect. It makes no decisions.
"""

from abc import ABC, abstractmethod

from lanedock.errors import ErrorCode
from lanedock.membership import UpstreamReport
from lanedock_daemon.path.http.headers import (
    ATTEMPT_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    HOP_HEADERS,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    TRACE_HEADER,
    encode_name,
)
from lanedock_daemon.path.http.messages import Answer, make_refusal

__all__ = ["AnswerFacts", "Dialect", "HealthFacts", "OwnDialect", "RequestFacts"]

# Set in answers of an application that is draining.
DRAIN_HEADER = "x-upstream-draining"
# In answers of an application: requests per second that it accepts from all callers together.
RATE_LIMIT_HEADER = "x-upstream-rate-limit"
# Identifies the customer who sends a request (RFC 9110, section 11.6.2).
CREDENTIALS_HEADER = "authorization"
# Scheme of credentials that are a customer's key (RFC 6750); schemes are not case-sensitive.
KEY_SCHEME = "bearer"
# Names the customer to the application.
CUSTOMER_NAME_HEADER = "x-request-customer"


class RequestFacts:
    """Information about a request from its caller's headers.

    Parameters
    ----------
    request_id : str
        Empty if the request has none.
    deadline_ms : int or None
        Time for which the caller waits, in milliseconds; None if not stated.
    was_retried : bool
        Whether an earlier hop has retried the request.
    customer : str
        Credentials that identify the customer; empty if there are none.
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
    """Information about a request and the application from the application's answer.

    Parameters
    ----------
    was_refused : bool
        Whether the application has not run the request and never will.
    is_foreign : bool
        Whether the answer belongs to another request.
    is_other_incarnation : bool
        Whether another incarnation of an application uses the address.
    report : UpstreamReport
        Statements about the application itself.
    """

    __slots__ = ("is_foreign", "is_other_incarnation", "report", "was_refused")

    def __init__(
        self, was_refused=False, is_foreign=False, is_other_incarnation=False, report: UpstreamReport | None = None
    ):
        self.was_refused = was_refused
        self.is_foreign = is_foreign
        self.is_other_incarnation = is_other_incarnation
        self.report = report or UpstreamReport()

    def __repr__(self) -> str:
        return f"<AnswerFacts refused={self.was_refused} foreign={self.is_foreign}>"


class HealthFacts:
    """Information from the answer to an application's health check.

    Parameters
    ----------
    is_healthy : bool
    upstream : str
        Incarnation of the application; empty if not reported.
    slots : int
        Number of requests that the application runs concurrently; 0 if not reported.
    report : UpstreamReport
        Statements about the application that any of its answers may contain.
    """

    __slots__ = ("is_healthy", "report", "slots", "upstream")

    def __init__(self, is_healthy: bool, upstream: str = "", slots: int = 0, report: UpstreamReport | None = None):
        self.report = report or UpstreamReport()
        self.is_healthy = is_healthy
        self.upstream = upstream
        self.slots = slots

    def __repr__(self) -> str:
        return f"<HealthFacts healthy={self.is_healthy} {self.upstream}>"


class Dialect(ABC):
    """Reads and writes the headers that callers and applications use.

    Attributes
    ----------
    request_names : frozenset of str
        Request headers that lanedock sets itself and doesn't pass on as received.
    answer_names : frozenset of str
        Headers of applications' answers that are not passed on to callers.
    key_names : frozenset of str
        Request headers with a customer's key.
    customer_names : frozenset of str
        Request headers that name a customer to the application. These and those of `key_names`
        are not passed on as received where the version has customers.
    """

    request_names: frozenset = frozenset()
    answer_names: frozenset = frozenset()
    key_names: frozenset = frozenset()
    customer_names: frozenset = frozenset()

    @abstractmethod
    def read_request(self, headers: list[tuple[str, str]]) -> RequestFacts:
        """Decode the headers of a request; their names are in lower case."""

    @abstractmethod
    def read_answer(self, status: int, headers: list[tuple[str, str]], request_id: str) -> AnswerFacts:
        """Decode the headers of an application's answer."""

    def read_key(self, credentials: str) -> str:
        """Return the key in the credentials of a request; empty if there is none."""
        return credentials

    @abstractmethod
    def request_headers(
        self, left_ms: int, upstream: str, caller: str, attempt: int, customer: str = ""
    ) -> list[tuple[str, str]]:
        """Make the headers for an application.

        Parameters
        ----------
        left_ms : int
            Time left, in milliseconds.
        upstream : str
            Incarnation of the application for which the request is meant; empty for any.
        caller : str
            Service that sent the request; empty if the caller is no service of the mesh.
        attempt : int
            Number of the attempt, starting at 1.
        customer : str
            Name of the customer who sent the request; empty if it is from none.
        """

    def read_health(self, status: int, headers: list[tuple[str, str]]) -> HealthFacts:
        """Decode the answer to an application's health check."""
        return HealthFacts(status == 200)

    def make_refusal(self, code: ErrorCode, outcome: str, retry_after: float = 0.0, detail: str = "") -> Answer:
        """Make the answer to a request that lanedock answers itself."""
        return make_refusal(code, outcome, retry_after, detail)


class OwnDialect(Dialect):
    """lanedock's own headers."""

    request_names = frozenset((ATTEMPT_HEADER, DEADLINE_HEADER, TRACE_HEADER))
    # Headers that only a daemon may set are removed from applications' answers.
    answer_names = HOP_HEADERS | {OUTCOME_HEADER, CODE_HEADER, DRAIN_HEADER, RATE_LIMIT_HEADER}
    key_names = frozenset((CREDENTIALS_HEADER,))
    customer_names = frozenset((CUSTOMER_NAME_HEADER,))

    def read_request(self, headers: list[tuple[str, str]]) -> RequestFacts:
        facts = RequestFacts()
        for name, value in headers:
            if name == DEADLINE_HEADER and value.isascii() and value.isdigit():
                facts.deadline_ms = int(value)
            elif name == REQUEST_ID_HEADER:
                facts.request_id = value
            elif name == ATTEMPT_HEADER:
                facts.was_retried = value not in ("", "1")
            elif name == CREDENTIALS_HEADER:
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

    def read_key(self, credentials: str) -> str:
        scheme, _, key = credentials.partition(" ")
        return key.strip() if scheme.lower() == KEY_SCHEME else ""

    def request_headers(
        self, left_ms: int, upstream: str, caller: str, attempt: int, customer: str = ""
    ) -> list[tuple[str, str]]:
        headers = [(ATTEMPT_HEADER, str(attempt)), (DEADLINE_HEADER, str(left_ms))]
        if customer:
            headers.append((CUSTOMER_NAME_HEADER, encode_name(customer)))
        return headers

    def make_refusal(self, code: ErrorCode, outcome: str, retry_after: float = 0.0, detail: str = "") -> Answer:
        answer = make_refusal(code, outcome, retry_after, detail)
        if code is ErrorCode.KEY_UNKNOWN:
            # Required in an answer with this status (RFC 9110, section 15.5.2).
            answer.headers.append(("www-authenticate", "Bearer"))
        return answer
