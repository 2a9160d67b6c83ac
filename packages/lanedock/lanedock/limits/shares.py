# SPDX-License-Identifier: BSD-3-Clause
"""The slots of an upstream that each traffic class may use."""

import math

from lanedock.config import TrafficClass

__all__ = ["SlotShares"]

# Mean service time up to which a class may use slots reserved for other classes, in seconds;
# slots that are held for longer are not free again soon enough.
_SHORT_REQUEST_TIME = 0.25
# Time constant with which a class's peak use decays, in seconds.
_PEAK_DECAY_TIME = 5.0
# Decayed peak use below which a class counts as absent, in slots.
_MIN_PEAK = 0.2


class SlotShares:
    """Slots in use and slots reserved, by traffic class.

    Does no I/O and reads no clock.

    A class may exceed its own share while more slots are free than are reserved for the
    other classes. A class of long requests must leave free all unused slots of their shares.
    A class of short requests frees its slots soon, so it must leave free only what
    each of the others used at its recent peak, plus one slot, and doesn't use now.

    Parameters
    ----------
    slots : int
    classes : dict of str to TrafficClass

    Attributes
    ----------
    slots : int
        Requests that may be in progress at once.
    in_use : int
        Requests in progress.
    """

    def __init__(self, slots: int, classes: dict[str, TrafficClass]):
        self.in_use = 0
        self._by_class: dict[str, int] = {}
        # Peak use of each class, in slots, and the time at which it was seen.
        self._peaks: dict[str, tuple[float, float]] = {}
        self.configure(slots, classes)

    def __repr__(self) -> str:
        return f"<SlotShares {self.in_use}/{self.slots}>"

    def configure(self, slots: int, classes: dict[str, TrafficClass]) -> None:
        """Apply the limits of another configuration version; slots in use are kept."""
        self.slots = slots
        self._shares = {name: int(item.share * slots) for name, item in classes.items()}

    def take(self, traffic_class: str, now: float) -> None:
        """Note that a request takes a slot."""
        used = self._by_class.get(traffic_class, 0) + 1
        self._by_class[traffic_class] = used
        self.in_use += 1
        if used >= self._decayed_peak(traffic_class, now):
            self._peaks[traffic_class] = (used, now)

    def release(self, traffic_class: str) -> None:
        """Note that a request releases its slot."""
        self._by_class[traffic_class] -= 1
        self.in_use -= 1

    def classes_in_use(self) -> list[str]:
        """Return the classes that hold slots."""
        return [name for name, used in self._by_class.items() if used]

    def has_room(self, traffic_class: str, mean_time: float, now: float) -> bool:
        """Return whether a class may take a slot.

        Parameters
        ----------
        traffic_class : str
        mean_time : float
            Mean time for which requests of the class hold a slot, in seconds.
        now : float
            Monotonic, seconds.
        """
        if self.in_use >= self.slots:
            return False
        if self._by_class.get(traffic_class, 0) < self._shares.get(traffic_class, 0):
            return True
        return self.slots - self.in_use > self._reserved_for_others(
            traffic_class, mean_time <= _SHORT_REQUEST_TIME, now
        )

    def _reserved_for_others(self, traffic_class: str, is_short: bool, now: float) -> int:
        reserved = 0
        for name, share in self._shares.items():
            if name == traffic_class:
                continue
            if is_short:
                peak = self._decayed_peak(name, now)
                share = min(share, math.ceil(peak) + 1) if peak >= _MIN_PEAK else 0
            reserved += max(0, share - self._by_class.get(name, 0))
        return reserved

    def _decayed_peak(self, traffic_class: str, now: float) -> float:
        value, seen_at = self._peaks.get(traffic_class, (0.0, now))
        return value * math.exp((seen_at - now) / _PEAK_DECAY_TIME)
