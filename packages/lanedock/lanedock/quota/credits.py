# SPDX-License-Identifier: BSD-3-Clause
"""Credits that a daemon holds for customers' requests."""

import math
from collections import deque
from collections.abc import Collection

from lanedock.quota.core import Quota
from lanedock.quota.ledger import CREDIT_LIFETIME
from lanedock.wire import messages

__all__ = ["ANSWER_TIMEOUT", "CreditAccount", "Exhausted", "MustWait", "Taken"]

# A daemon asks ahead for the credits that it uses in this time, in seconds.
AHEAD_TIME = 0.1
# Time, in seconds, over which the use of credits is averaged.
_USE_TIME = 0.5
# Credits that end within this time, in seconds, are given back, so that they reach the granter before they end.
_RETURN_MARGIN = 0.12
# Seconds after which a request for credits counts as unanswered, and more may be asked ahead.
ANSWER_TIMEOUT = 0.25
# Longest retry time of a refusal, in seconds, beyond the time at which the first credit is due.
_MAX_RETRY_DELAY = 5.0
# An account without credits whose use has fallen below this, in credits per second, is removed.
_MIN_USE = 0.01


class Taken:
    """A credit was taken.

    Parameters
    ----------
    expires_at : float
        Time until which the credit may be given back; monotonic, seconds.
    """

    __slots__ = ("expires_at",)

    def __init__(self, expires_at: float):
        self.expires_at = expires_at

    def __repr__(self) -> str:
        return f"<Taken expires_at={self.expires_at:.3f}>"


class MustWait:
    """No credit is at hand; one is asked for with the next `CreditAccount.make_needs`."""

    __slots__ = ()


class Exhausted:
    """The quota is used up.

    Parameters
    ----------
    retry_after : float
        Seconds until a credit is due for this request.
    """

    __slots__ = ("retry_after",)

    def __init__(self, retry_after: float):
        self.retry_after = retry_after

    def __repr__(self) -> str:
        return f"<Exhausted retry_after={self.retry_after:.3f}>"


class _Holding:
    """Credits of one customer."""

    __slots__ = (
        "ahead_asked",
        "ahead_until",
        "asked_until",
        "batches",
        "needed",
        "noted_at",
        "refused_until",
        "retry_at",
        "returned",
        "use",
    )

    def __init__(self, now: float):
        # Pairs of expiry and number of credits, in the order of their arrival.
        self.batches: deque[list] = deque()
        self.needed = self.returned = 0
        # Credits asked ahead, and the time until which an answer is expected.
        self.ahead_asked, self.ahead_until = 0, now
        # Time until which the answer to the last need may come; the holding is kept until then.
        self.asked_until = now
        # Time until which requests are refused without asking, and the retry time of the next refusal.
        self.refused_until = self.retry_at = float("-inf")
        # Credits used per second, and the time of this average.
        self.use, self.noted_at = 0.0, now

    def count(self, now: float) -> int:
        """Return the credits at hand, without those that have ended."""
        # A batch may end before an earlier one, as batches are granted by several instances.
        if any(batch[0] <= now for batch in self.batches):
            self.batches = deque(batch for batch in self.batches if batch[0] > now)
        return sum(batch[1] for batch in self.batches)

    def pop(self) -> float:
        """Take the credit that ends first; return its expiry."""
        batch = min(self.batches, key=lambda item: item[0])
        batch[1] -= 1
        if not batch[1]:
            self.batches.remove(batch)
        return batch[0]

    def note_use(self, now: float) -> None:
        self.use = self.mean_use(now) + 1 / _USE_TIME
        self.noted_at = now

    def mean_use(self, now: float) -> float:
        """Return the credits used per second, recent mean."""
        return self.use * math.exp((self.noted_at - now) / _USE_TIME)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is held, expected or known of the customer."""
        if self.batches or now < max(self.asked_until, self.refused_until):
            return False
        return self.mean_use(now) < _MIN_USE

    def return_ending(self, now: float) -> None:
        """Set credits aside for the granter that end soon."""
        for batch in list(self.batches):
            if batch[0] <= now + _RETURN_MARGIN:
                self.batches.remove(batch)
                self.returned += batch[1]

    def ahead(self, now: float) -> int:
        """Return the number of credits to ask ahead for; 0 while half of them are at hand or asked for."""
        if now < self.refused_until:
            return 0
        asked = self.ahead_asked if now < self.ahead_until else 0
        target = int(self.mean_use(now) * AHEAD_TIME)
        held = self.count(now) + asked
        return target - held if 2 * held < target else 0


class CreditAccount:
    """Credits that a daemon holds, by customer.

    Does no I/O and reads no clock; times are monotonic, in seconds, by a clock that counts
    suspension, as credits end by it.

    A credit ends `CREDIT_LIFETIME` after it was asked for. The daemon doesn't know when it was
    granted, only that this was later. An answer that comes so late that its credits have ended is
    therefore without effect.
    """

    def __init__(self):
        self._holdings: dict[str, _Holding] = {}
        self._quotas: dict[str, Quota] = {}
        self._has_needs = False

    def __repr__(self) -> str:
        return f"<CreditAccount customers={len(self._holdings)}>"

    @property
    def has_needs(self) -> bool:
        """Whether credits are wanted since the last `make_needs`, which should then be called soon."""
        return self._has_needs

    def configure(self, quotas: dict[str, Quota]) -> None:
        """Apply the quotas of the version in force: void the credits of other customers.

        Parameters
        ----------
        quotas : dict of str to Quota
            Customers with a rate, by name.
        """
        self._quotas = quotas
        self.clear_unknown(quotas)

    def clear_unknown(self, names: Collection[str]) -> None:
        """Void the credits of customers other than these."""
        for name in [name for name in self._holdings if name not in names]:
            del self._holdings[name]

    def held(self, customer: str, now: float) -> int:
        """Return the number of credits at hand."""
        holding = self._holdings.get(customer)
        return holding.count(now) if holding is not None else 0

    # ---------------------------------------------------------------- requests

    def take(self, customer: str, now: float) -> Taken | MustWait | Exhausted:
        """Take a credit for a request.

        A request that must wait takes again after the answer to the next `make_needs`, or once that
        answer is overdue.
        """
        holding = self._holdings.get(customer)
        if holding is None:
            holding = self._holdings[customer] = _Holding(now)
        if holding.count(now):
            expires_at = holding.pop()
            holding.note_use(now)
            self._has_needs = self._has_needs or holding.ahead(now) > 0
            return Taken(expires_at)
        if now < holding.refused_until:
            return Exhausted(self._next_retry(customer, holding, now))
        holding.needed += 1
        self._has_needs = True
        return MustWait()

    def _next_retry(self, customer: str, holding: _Holding, now: float) -> float:
        """Return the retry time of a refusal, in seconds; those of further ones follow at the customer's rate."""
        retry_at = max(holding.retry_at, holding.refused_until)
        quota = self._quotas.get(customer)
        interval = 1 / quota.rate if quota is not None else 0.0
        holding.retry_at = min(retry_at + interval, holding.refused_until + _MAX_RETRY_DELAY)
        return retry_at - now

    def give_back(self, customer: str, now: float, taken: Taken) -> None:
        """Return the credit of a request that ended not run.

        A credit that has ended isn't returned, as the granter has counted it in an earlier time.
        """
        holding = self._holdings.get(customer)
        if holding is not None and now < taken.expires_at:
            holding.batches.append([taken.expires_at, 1])

    # ---------------------------------------------------------------- messages

    def make_needs(self, now: float) -> list[messages.CreditNeed]:
        """Return the needs to send now; empty if there are none.

        Called once requests wait or `has_needs`, and at short intervals, as credits that end soon are
        given back. Each need is returned once: after an answer that did not come, the requests that wait
        take again.
        """
        needs = []
        for customer, holding in list(self._holdings.items()):
            holding.count(now)
            holding.return_ending(now)
            ahead = holding.ahead(now)
            if holding.needed or ahead or holding.returned:
                needs.append(_make_need(customer, holding, ahead, now))
            elif holding.is_idle(now):
                del self._holdings[customer]
        self._has_needs = False
        return needs

    def add_grants(self, grants: list[messages.CreditGrant], now: float, asked_at: float) -> None:
        """Add the credits of an answer.

        Parameters
        ----------
        grants : list of CreditGrant
        now : float
        asked_at : float
            Time of the `make_needs` whose needs are answered. The credits end `CREDIT_LIFETIME` later.
        """
        expires_at = asked_at + CREDIT_LIFETIME
        if now >= expires_at:
            return
        for grant in grants:
            holding = self._holdings.get(grant.customer)
            if holding is None:
                continue
            holding.ahead_asked = 0
            if grant.credits:
                holding.batches.append([expires_at, grant.credits])
            refused_until = now + grant.retry_after_ms / 1000 if grant.retry_after_ms else float("-inf")
            if refused_until != holding.refused_until:
                holding.refused_until = holding.retry_at = refused_until


def _make_need(customer: str, holding: _Holding, ahead: int, now: float) -> messages.CreditNeed:
    need = messages.CreditNeed(customer=customer, needed=holding.needed, ahead=ahead, returned=holding.returned)
    holding.needed = holding.returned = 0
    holding.asked_until = now + CREDIT_LIFETIME
    if ahead:
        holding.ahead_asked, holding.ahead_until = ahead, now + ANSWER_TIMEOUT
    return need
