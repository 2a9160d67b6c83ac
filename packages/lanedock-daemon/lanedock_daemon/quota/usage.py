# SPDX-License-Identifier: BSD-3-Clause
"""Credits granted and refused, for operators. Does no I/O and reads no clock."""

from lanedock.wire import messages

__all__ = ["QuotaUsage"]

# Seconds over which granted credits are counted: shares of zones are smoothed over as long.
WINDOW = 10


class _RecentCount:
    """Count of the last `WINDOW` seconds, in steps of one second."""

    __slots__ = ("_counts", "_second")

    def __init__(self):
        self._counts = [0] * WINDOW
        self._second = 0

    def add(self, amount: int, now: float) -> None:
        """Add to the count."""
        self._advance(now)
        self._counts[self._second % WINDOW] += amount

    def total(self, now: float) -> int:
        """Return the count."""
        self._advance(now)
        return sum(self._counts)

    def _advance(self, now: float) -> None:
        second = int(now)
        for passed in range(max(self._second + 1, second - WINDOW + 1), second + 1):
            self._counts[passed % WINDOW] = 0
        self._second = max(self._second, second)


class _CustomerCounts:
    __slots__ = ("by_zone", "refused")

    def __init__(self):
        self.refused = 0
        self.by_zone: dict[str, _RecentCount] = {}


class QuotaUsage:
    """Recent use of each quota at a control instance that grants credits."""

    def __init__(self):
        self._customers: dict[str, _CustomerCounts] = {}

    def __repr__(self) -> str:
        return f"<QuotaUsage customers={len(self._customers)}>"

    def note(self, customer: str, zone: str, granted: int, refused: int, now: float) -> None:
        """Count credits granted to a zone's daemons, and requests for which there was none."""
        counts = self._customers.get(customer)
        if counts is None:
            counts = self._customers[customer] = _CustomerCounts()
        counts.refused += refused
        recent = counts.by_zone.get(zone)
        if recent is None:
            recent = counts.by_zone[zone] = _RecentCount()
        recent.add(granted, now)

    def reset(self) -> None:
        """Begin anew, as this instance begins to grant credits."""
        self._customers = {}

    def keep(self, customers) -> None:
        """Remove all customers but these."""
        self._customers = {name: counts for name, counts in self._customers.items() if name in customers}

    def fill(self, use: messages.CustomerUse, now: float) -> None:
        """Set the use of the customer that `use` names; `by_zone` holds the credits of the last `WINDOW` seconds."""
        counts = self._customers.get(use.customer)
        if counts is None:
            return
        use.refused = counts.refused
        total = 0
        for zone in sorted(counts.by_zone):
            credits = counts.by_zone[zone].total(now)
            total += credits
            if credits:
                use.by_zone.add(customer=use.customer, zone=zone, credits=credits)
        use.granted_per_s = total / WINDOW
