# SPDX-License-Identifier: BSD-3-Clause
"""The slots that requests of each customer hold, and the priorities of the requests that hold slots."""

from collections import Counter

from lanedock.limits.queue import AdmissionRequest

__all__ = ["CustomerUse"]


class CustomerUse:
    """Counts the requests that hold slots, by customer and by customers' priority. Reads no clock.

    Requests of no customer that have the priority 0 aren't counted, so that a mesh without customers
    pays nothing for it.
    """

    def __init__(self):
        self._by_customer: Counter[str] = Counter()
        self._by_priority: Counter[int] = Counter()

    def __repr__(self) -> str:
        return f"<CustomerUse customers={len(self._by_customer)}>"

    def most_urgent_priority(self, in_use: int) -> int | None:
        """Return the most urgent priority among all requests that hold slots; None if there are none.

        Parameters
        ----------
        in_use : int
            All slots in use, including those of requests that aren't counted.
        """
        if in_use > self._by_priority.total():
            return 0
        return min(self._by_priority, default=None)

    def count(self, customer: str) -> int:
        """Return the number of slots that a customer's requests hold."""
        return self._by_customer[customer]

    def take(self, request: AdmissionRequest) -> None:
        """Note that a request takes a slot."""
        if request.customer or request.customer_priority:
            self._by_priority[request.customer_priority] += 1
            if request.customer:
                self._by_customer[request.customer] += 1

    def release(self, request: AdmissionRequest) -> None:
        """Note that a request releases its slot."""
        if request.customer or request.customer_priority:
            _decrease(self._by_priority, request.customer_priority)
            if request.customer:
                _decrease(self._by_customer, request.customer)


def _decrease(counts: Counter, key: object) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
