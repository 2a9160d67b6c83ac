# SPDX-License-Identifier: BSD-3-Clause
"""Zones' shares of a customer's use, by which control instances grant without a leader."""

__all__ = ["SMOOTHING_TIME", "RecentCount", "UseWindow", "ZoneShares", "least_share"]

# Time, in seconds, of the use from which shares follow. It is counted in sections of this length.
SMOOTHING_TIME = 10
_SECTION = 1.0
# Sections by which two instances' knowledge of the use may differ: as many as the seconds after which an
# instance without news takes its knowledge for outdated.
_MAX_LAG = 3
# Part of the whole that is shared equally, so that each zone has at least this part of an equal share.
_EQUAL_PART = 0.5


def least_share(zones: int) -> float:
    """Return the smallest share that any zone may have, for a number of zones."""
    return _EQUAL_PART / zones


class RecentCount:
    """Credits counted over the last seconds.

    Parameters
    ----------
    seconds : float
        Time for which each credit counts.
    """

    __slots__ = ("_entries", "_seconds", "_total")

    def __init__(self, seconds: float):
        self._seconds = seconds
        # A list, which takes less memory than a deque: there are many customers, most of them idle.
        self._entries: list[tuple[float, int]] = []
        self._total = 0

    def total(self, now: float) -> int:
        """Return the credits of the time before now."""
        while self._entries and self._entries[0][0] <= now - self._seconds:
            self._total -= self._entries.pop(0)[1]
        return self._total

    def add(self, credits: int, now: float) -> None:
        """Count credits; a negative number takes back credits counted before."""
        if credits:
            self._entries.append((now, credits))
            self._total += credits

    def take_back(self, credits: int, now: float) -> int:
        """Take back credits counted in the time before now, the newest first.

        Returns
        -------
        int
            Number of credits taken back, at most `credits`.
        """
        left = min(credits, self.total(now))
        taken = left
        while left:
            time, counted = self._entries.pop()
            part = min(left, counted)
            left -= part
            self._total -= part
            if counted > part:
                self._entries.append((time, counted - part))
        return taken

    def clear(self) -> None:
        """Forget all credits."""
        self._entries.clear()
        self._total = 0


class UseWindow:
    """Credits that the daemons of each zone got from the leader, over the last seconds."""

    __slots__ = ("_sections",)

    def __init__(self):
        # Number of the section and its credits by zone, oldest first.
        self._sections: list[tuple[int, dict[str, int]]] = []

    def add(self, zone: str, credits: int, now: float) -> None:
        """Count credits of a zone; a negative number for credits given back."""
        number = int(now / _SECTION)
        if not self._sections or self._sections[-1][0] < number:
            self._sections.append((number, {}))
            while self._sections[0][0] <= number - SMOOTHING_TIME - _MAX_LAG:
                self._sections.pop(0)
        section = self._sections[-1][1]
        section[zone] = section.get(zone, 0) + credits

    @property
    def is_empty(self) -> bool:
        """Whether there was no use for long."""
        return not self._sections

    def clear(self) -> None:
        """Forget all use."""
        self._sections.clear()

    def sums(self, now: float, lag: int = 0) -> dict[str, int]:
        """Return the credits by zone over the `SMOOTHING_TIME` that ended `lag` sections ago."""
        end = int(now / _SECTION) - lag
        result: dict[str, int] = {}
        for number, section in self._sections:
            if end - SMOOTHING_TIME < number <= end:
                for zone, credits in section.items():
                    result[zone] = result.get(zone, 0) + credits
        return {zone: credits for zone, credits in result.items() if credits > 0}


class ZoneShares:
    """Zones' shares of one customer's use.

    Shares add up to 1. While control instances of a zone may grant on their own, the zone's share
    is held at the value that it had when this began, and the other zones share the rest.

    Instances see the same use, but not at the same time. Each therefore considers the shares of the
    last seconds: who grants on its own uses the smallest of its shares, and the leader reserves the
    greatest. Shares in use together so add up to no more than 1.
    """

    __slots__ = ("_held", "window")

    def __init__(self):
        self.window = UseWindow()
        self._held: dict[str, tuple[float, float]] = {}

    def clear(self) -> None:
        """Forget all use and all shares."""
        self.window.clear()
        self._held = {}

    def hold(self, held_since: dict[str, float], zones: list[str]) -> None:
        """Hold the shares of these zones as of the given times, and those of no others.

        Called before the window changes.
        """
        if self._held.keys() == held_since.keys():
            return
        if not held_since:
            self._held = {}
            return
        self._held = {zone: bounds for zone, bounds in self._held.items() if zone in held_since}
        added = {zone: self.bounds(zone, held_since[zone], zones) for zone in held_since if zone not in self._held}
        self._held.update(added)

    def hold_equal(self, zone: str, zones: list[str]) -> None:
        """Hold an equal share for a zone whose share isn't known, until it is held no more."""
        self._held[zone] = (1 / len(zones), 1 / len(zones))

    def bounds(self, zone: str, now: float, zones: list[str]) -> tuple[float, float]:
        """Return the smallest and the greatest share of a zone over the last seconds before a time."""
        held = self._held.get(zone)
        if held is not None:
            return held
        if self.window.is_empty:
            share = self._share(zone, {}, zones)
            return share, share
        shares = [self._share(zone, self.window.sums(now, lag), zones) for lag in range(_MAX_LAG + 1)]
        return min(shares), max(shares)

    def _share(self, zone: str, sums: dict[str, int], zones: list[str]) -> float:
        free = [name for name in zones if name not in self._held]
        least = least_share(len(zones))
        rest = 1 - sum(greatest for _, greatest in self._held.values()) - least * len(free)
        total = sum(sums.get(name, 0) for name in free)
        part = sums.get(zone, 0) / total if total else 1 / max(1, len(free))
        return least + max(0.0, rest) * part
