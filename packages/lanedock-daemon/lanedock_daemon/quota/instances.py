# SPDX-License-Identifier: BSD-3-Clause
"""Choice of the control instance that a daemon asks for credits. Does no I/O and reads no clock."""

from lanedock.settings import Address

__all__ = ["InstanceChoice"]

# Shortest and longest time, in seconds, for which an instance that did not answer is asked after all others;
# doubled with each failure in a row, as a request that is sent to it first waits for a whole time limit.
AVOIDANCE_MIN = 1.0
AVOIDANCE_MAX = 8.0


class _Failures:
    """Failures of one instance since its last answer."""

    __slots__ = ("avoided_until", "count")

    def __init__(self):
        self.count = 0
        self.avoided_until = 0.0


class InstanceChoice:
    """Decides which control instance to ask: the leader, then the own zone's, then the others.

    Instances that failed to answer recently come last.
    """

    def __init__(self):
        self.leader: Address | None = None
        self._failures: dict[Address, _Failures] = {}

    def __repr__(self) -> str:
        return f"<InstanceChoice leader={self.leader} failed={len(self._failures)}>"

    def choose(self, known: list[Address], asked: set[Address], now: float) -> Address | None:
        """Return the instance to ask next, or None if all have been asked.

        Parameters
        ----------
        known : list of Address
            The control instances, those of the own zone first.
        asked : set of Address
            Instances that have failed or declined to answer this request.
        now : float
            Monotonic time, in seconds.
        """
        order = [*known]
        if self.leader is not None:
            order.insert(0, self.leader)
        left = [address for address in order if address not in asked]
        return next((address for address in left if not self._is_avoided(address, now)), left[0] if left else None)

    def _is_avoided(self, address: Address, now: float) -> bool:
        failures = self._failures.get(address)
        return failures is not None and now < failures.avoided_until

    def note_reply(self, address: Address, leader: Address | None) -> None:
        """Record an answer and the leader that it names, if any."""
        self._failures.pop(address, None)
        self.leader = leader

    def note_failure(self, address: Address, now: float) -> None:
        """Record that an instance didn't answer in time, or that its stream ended."""
        failures = self._failures.setdefault(address, _Failures())
        avoidance = min(AVOIDANCE_MAX, AVOIDANCE_MIN * 2 ** min(failures.count, 16))
        failures.count += 1
        failures.avoided_until = now + avoidance
        if address == self.leader:
            self.leader = None

    def keep(self, known: list[Address]) -> None:
        """Remove the failures of instances that are no longer known."""
        for address in self._failures.keys() - set(known):
            del self._failures[address]
