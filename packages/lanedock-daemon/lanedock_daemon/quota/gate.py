# SPDX-License-Identifier: BSD-3-Clause
"""Admits requests of customers with a quota: each takes a credit, and waits for it if none is at hand."""

from lanedock.clock import monotonic
from lanedock.config import Customer
from lanedock.errors import ErrorCode
from lanedock.quota import CreditAccount, Exhausted, Taken
from lanedock.telemetry import Metric, Metrics
from lanedock_daemon.path.http.messages import DEFAULT_RETRY_AFTER
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.quota.client import WAIT_LIMIT, QuotaClient

__all__ = ["QuotaGate", "QuotaRefusal"]

# Seconds after which a request may come back for which no control instance answered.
UNAVAILABLE_RETRY_AFTER = 0.5
# Customers that have a metrics label of their own; further ones are counted as `other`.
MAX_LABELS = 100


class QuotaRefusal:
    """Refusal of a request before an upstream is chosen.

    Parameters
    ----------
    code : ErrorCode
    retry_after : float
        Seconds after which the caller may come back; 0 if none is stated.
    """

    __slots__ = ("code", "retry_after")

    def __init__(self, code: ErrorCode, retry_after: float):
        self.code = code
        self.retry_after = retry_after

    def __repr__(self) -> str:
        return f"<QuotaRefusal {self.code.code} retry_after={self.retry_after:.3f}>"


class QuotaGate:
    """Admits requests by their customers' quotas.

    Parameters
    ----------
    account : CreditAccount
    client : QuotaClient
        Requests the credits of the same account.
    metrics : Metrics
    """

    def __init__(self, account: CreditAccount, client: QuotaClient, metrics: Metrics):
        self._account = account
        self._client = client
        self._metrics = metrics
        self._labels: dict[str, tuple[str]] = {}

    def __repr__(self) -> str:
        return f"<QuotaGate {self._account!r}>"

    def admit(self, customer: Customer, deadline: float) -> Taken | QuotaRefusal:
        """Take a credit, or wait for one for at most `WAIT_LIMIT`; blocks the calling greenlet.

        Parameters
        ----------
        customer : Customer
            A customer with a rate.
        deadline : float
            The request's deadline; monotonic, seconds.

        Returns
        -------
        Taken or QuotaRefusal
            The credit, for `give_back`.
        """
        started = now = monotonic()
        result = self._account.take(customer.name, now)
        if not isinstance(result, (Taken, Exhausted)):
            until = min(deadline, started + WAIT_LIMIT)
            try:
                result = self._take_until(customer.name, until)
            except StopTimeout:
                return QuotaRefusal(ErrorCode.DRAINING, DEFAULT_RETRY_AFTER)
            now = monotonic()
            self._metrics.time(Metric.QUOTA_WAIT, now - started)
        elif self._account.has_needs:
            self._client.request_soon()
        if isinstance(result, Taken):
            self._metrics.count(Metric.QUOTA_GRANTED, 1, self._label(customer.name))
            return result
        if isinstance(result, Exhausted):
            self._metrics.count(Metric.QUOTA_REFUSED, 1, self._label(customer.name))
            return QuotaRefusal(ErrorCode.QUOTA_EXCEEDED, result.retry_after)
        if now >= deadline:
            return QuotaRefusal(ErrorCode.DEADLINE, 0.0)
        self._client.note_unanswered()
        return QuotaRefusal(ErrorCode.QUOTA_UNAVAILABLE, UNAVAILABLE_RETRY_AFTER)

    def _take_until(self, customer: str, until: float) -> Taken | Exhausted | None:
        """Take a credit from the answers that come by a time; None if there is none."""
        while self._client.wait(until):
            now = monotonic()
            result = self._account.take(customer, now)
            if isinstance(result, (Taken, Exhausted)):
                return result
            if now >= until:
                return None
        return None

    def give_back(self, customer: Customer, credit: Taken) -> None:
        """Return the credit of a request that ended not run."""
        self._account.give_back(customer.name, monotonic(), credit)

    def _label(self, customer: str) -> tuple[str]:
        label = self._labels.get(customer)
        if label is None:
            if len(self._labels) >= MAX_LABELS:
                return ("other",)
            label = self._labels[customer] = (customer,)
        return label
