# SPDX-License-Identifier: BSD-3-Clause
"""A budget of memory and descriptors that the connections of a process share.

Limits for each connection alone either multiply up to more than a machine has, or forbid a single client what the
limits of requests allow. Here a connection may hold as much as a single request may need, as long as the sum of all
fits into the budget; when it does not, those that hold much for long make room.
"""

__all__ = ["Holding", "ResourceBudget"]

_UNLIMITED = float("inf")
# Part of the memory above which connections read one request at a time.
PRESSURE_SHARE = 0.75
# A request needs room for this many of its kind to begin, so that large ones leave room for ordinary ones.
SIZE_MARGIN = 2
# Part of the budget to which an exceeded one is reduced, so that the next request does not exceed it again.
RELIEF_SHARE = 0.9


class Holding:
    """What one connection makes its process hold.

    Parameters
    ----------
    owner : object
        The connection.
    since : float
        See the attribute.

    Attributes
    ----------
    size : int
        Memory in bytes.
    descriptors : int
    has_requests : bool
        Whether requests of the connection are in progress.
    since : float
        Monotonic time, in seconds, of the last progress: when its oldest unanswered request was read, or, without
        one, its last answer or its begin.
    """

    __slots__ = ("descriptors", "has_requests", "owner", "since", "size")

    def __init__(self, owner: object, since: float):
        self.owner = owner
        self.size = 0
        self.descriptors = 0
        self.has_requests = False
        self.since = since

    def __repr__(self) -> str:
        return f"<Holding {self.size} bytes, {self.descriptors} descriptors>"


class ResourceBudget:
    """Sums up what the connections of a process hold, and selects those that make room for others.

    Parameters
    ----------
    max_size : float
        Bytes of memory.
    max_descriptors : float

    Attributes
    ----------
    size, descriptors : int
        What all connections hold.
    """

    def __init__(self, max_size: float = _UNLIMITED, max_descriptors: float = _UNLIMITED):
        self._max_size = max_size
        self._max_descriptors = max_descriptors
        self._holdings: dict[Holding, None] = {}
        self.size = 0
        self.descriptors = 0

    def __repr__(self) -> str:
        return f"<ResourceBudget {self.size}/{self._max_size} bytes, {self.descriptors}/{self._max_descriptors} fds>"

    @property
    def max_size(self) -> float:
        """Bytes that all connections may hold."""
        return self._max_size

    def add(self, holding: Holding) -> None:
        """Include a connection's holding."""
        self._holdings[holding] = None
        self.size += holding.size
        self.descriptors += holding.descriptors

    def remove(self, holding: Holding) -> None:
        """Remove a holding whose connection has ended or is about to end; no effect if it was removed before."""
        if holding in self._holdings:
            del self._holdings[holding]
            self.size -= holding.size
            self.descriptors -= holding.descriptors

    def update(self, holding: Holding, size: int, descriptors: int) -> None:
        """Set what a connection holds."""
        if holding in self._holdings:
            self.size += size - holding.size
            self.descriptors += descriptors - holding.descriptors
        holding.size = size
        holding.descriptors = descriptors

    def is_pressed(self) -> bool:
        """Return whether connections are to read one request at a time, which holds back memory."""
        return self.size > PRESSURE_SHARE * self._max_size

    def is_exceeded(self) -> bool:
        """Return whether the connections hold more than they may."""
        return self.size > self._max_size or self.descriptors > self._max_descriptors

    def has_room(self, size: int, descriptors: int) -> bool:
        """Return whether something that needs this much may begin."""
        return (
            self.size + SIZE_MARGIN * size <= self._max_size and self.descriptors + descriptors <= self._max_descriptors
        )

    def select_for(
        self, size: int, descriptors: int, now: float, min_age: float, requester: Holding | None = None
    ) -> list[Holding]:
        """Return the holdings to release so that something that needs this much may begin.

        Parameters
        ----------
        size, descriptors : int
        now : float
            Monotonic time in seconds.
        min_age : float
            Seconds without progress before which a holding is not released.
        requester : Holding, optional
            The holding of the connection that needs it, which is not released.

        Returns
        -------
        list of Holding
            Empty if releasing all of them would not suffice.
        """
        excess_size = self.size + SIZE_MARGIN * size - self._max_size
        excess_descriptors = self.descriptors + descriptors - self._max_descriptors
        holdings = [one for one in self._holdings if one is not requester and now - one.since >= min_age]
        return self._select(holdings, excess_size, excess_descriptors, now)

    def select_excess(self, now: float, spares_requests: bool = False) -> list[Holding]:
        """Return the holdings to release so that the budget is no longer exceeded.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        spares_requests : bool
            Whether connections with requests in progress are left out.

        Returns
        -------
        list of Holding
            Empty if releasing all of them would not suffice.
        """
        excess_size = self.size - RELIEF_SHARE * self._max_size
        excess_descriptors = self.descriptors - RELIEF_SHARE * self._max_descriptors
        holdings = [one for one in self._holdings if not (spares_requests and one.has_requests)]
        return self._select(holdings, excess_size, excess_descriptors, now)

    def _select(
        self, holdings: list[Holding], excess_size: float, excess_descriptors: float, now: float
    ) -> list[Holding]:
        """Select the holdings with the largest shares of the budget times their age."""
        selected = []
        for holding in sorted(holdings, key=lambda one: self._share(one) * (now - one.since), reverse=True):
            if excess_size <= 0 and excess_descriptors <= 0:
                break
            selected.append(holding)
            excess_size -= holding.size
            excess_descriptors -= holding.descriptors
        return selected if excess_size <= 0 and excess_descriptors <= 0 else []

    def _share(self, holding: Holding) -> float:
        return max(holding.size / self._max_size, holding.descriptors / self._max_descriptors)
