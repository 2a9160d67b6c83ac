# SPDX-License-Identifier: BSD-3-Clause
"""Which of an upstream's slots a traffic class may use."""

import math

from lanedock.config import TrafficClass

__all__ = ["SlotShares"]

# A class whose requests hold a slot longer than this, in seconds, uses no slots
# reserved for other classes: they would not be free again soon.
_SHORT_REQUEST = 0.25
# Time constant, in seconds, by which a class's highest use is forgotten.
_PEAK_AGE = 5.0
# Highest use below which a class counts as absent, in slots.
_PRESENT = 0.2


class SlotShares:
    """Slots in use by class, and those reserved for each. Pure.

    A class may use slots beyond its own share as long as what is free covers
    what is reserved for the other classes. For a class of long requests that is
    the whole of their unused shares. A class of short requests gives a slot
    back soon, so for it only as much is reserved as the others have used lately,
    and one more.

    Parameters
    ----------
    slots : int
    classes : dict of str to TrafficClass

    Attributes
    ----------
    in_use : int
    """

    def __init__(self, slots: int, classes: dict[str, TrafficClass]):
        self.in_use = 0
        self._by_class: dict[str, int] = {}
        self._peaks: dict[str, tuple[float, float]] = {}
        self.configure(slots, classes)

    def __repr__(self) -> str:
        return f"<SlotShares {self.in_use}/{self.slots}>"

    def configure(self, slots: int, classes: dict[str, TrafficClass]) -> None:
        """Take over another version's numbers; what is in use stays so."""
        self.slots = slots
        self._shares = {name: int(item.share * slots) for name, item in classes.items()}

    def take(self, traffic_class: str, now: float) -> None:
        """Note that a request has a slot from now on."""
        used = self._by_class.get(traffic_class, 0) + 1
        self._by_class[traffic_class] = used
        self.in_use += 1
        if used >= self._peak(traffic_class, now):
            self._peaks[traffic_class] = (used, now)

    def give_back(self, traffic_class: str) -> None:
        """Note that a slot is free again."""
        self._by_class[traffic_class] -= 1
        self.in_use -= 1

    def classes_in_use(self) -> list[str]:
        """Return the classes that have slots."""
        return [name for name, used in self._by_class.items() if used]

    def has_room(self, traffic_class: str, mean_time: float, now: float) -> bool:
        """Tell whether a class may take a slot.

        Parameters
        ----------
        traffic_class : str
        mean_time : float
            For which its requests hold one, in seconds.
        now : float
            Monotonic, seconds.
        """
        if self.in_use >= self.slots:
            return False
        if self._by_class.get(traffic_class, 0) < self._shares.get(traffic_class, 0):
            return True
        return self.slots - self.in_use > self._reserved_for_others(traffic_class, mean_time <= _SHORT_REQUEST, now)

    def _reserved_for_others(self, traffic_class: str, is_short: bool, now: float) -> int:
        reserved = 0
        for name, share in self._shares.items():
            if name == traffic_class:
                continue
            if is_short:
                peak = self._peak(name, now)
                share = min(share, math.ceil(peak) + 1) if peak >= _PRESENT else 0
            reserved += max(0, share - self._by_class.get(name, 0))
        return reserved

    def _peak(self, traffic_class: str, now: float) -> float:
        value, seen_at = self._peaks.get(traffic_class, (0.0, now))
        return value * math.exp((seen_at - now) / _PEAK_AGE)
