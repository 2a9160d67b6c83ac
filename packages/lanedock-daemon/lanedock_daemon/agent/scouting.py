# SPDX-License-Identifier: BSD-3-Clause
"""When a daemon looks for a fresher source than the one it has, and whom it asks. Pure.

A source that can't be reached by the leader serves its daemons on, with versions that
grow old. A daemon stays with it and asks the other control instances, one after the
other, how fresh they are; it moves once one of them has a leader. So nothing is lost
where no instance is better, and a daemon can look for one early.
"""

from random import Random

from lanedock.settings import Address
from lanedock_daemon.transport import SourceStream

__all__ = ["SCOUT_LIFETIME", "Scout", "ScoutRounds", "Scouts", "SourceFreshness"]

# Seconds after which the next instance is asked how fresh it is, beside the one before:
# many round trips between regions, and a lost packet's first retransmission (200 ms).
SCOUT_LIMIT = 0.25
# Seconds in which an instance may answer, its connection included. What it sends may wait
# behind bodies on the daemon's link; given up after 0.25 s, none ever answered over one on
# which 0.35 s of them stood (agent/tests/test_source_loss.py).
SCOUT_LIFETIME = 1.0
# Waits between two rounds in which no instance had a leader, in seconds. While there is
# none anywhere, 760 daemons ask each of 7 instances some 500 times a second so (virtual
# time), at 0.2 kB an answer and 0.36 ms of a core.
ROUND_WAIT_MIN = 0.25
ROUND_WAIT_MAX = 1.0


class SourceFreshness:
    """How long ago a leader was heard, as far as sources have reported.

    It grows between two reports: a source that has fallen silent reports nothing.

    Parameters
    ----------
    limit : float
        Seconds after which a fresher source is looked for. Longer than an election
        takes, and by so much shorter than the time within which a version has to be in
        force that a daemon can find a source, connect and catch up.
    now : float
        Monotonic, seconds.
    """

    def __init__(self, limit: float, now: float):
        self.limit = limit
        self._led_at = now

    def __repr__(self) -> str:
        return f"<SourceFreshness limit={self.limit} led_at={self._led_at:.2f}>"

    def note(self, staleness: float, now: float) -> None:
        """Take over what a source reports: for how long it has heard no leader, in seconds."""
        self._led_at = now - staleness

    def age(self, now: float) -> float:
        """Return for how long no leader is known to have been heard, in seconds."""
        return max(0.0, now - self._led_at)

    def is_over(self, now: float, patience: float = 0.0) -> bool:
        """Tell whether a fresher source is to be looked for, `patience` seconds past the limit."""
        return self.age(now) > self.limit + patience


class Scout:
    """One instance that is being asked how fresh it is.

    Attributes
    ----------
    stream : SourceStream
    address : Address
    is_failback : bool
        Whether it is asked because it is the own zone's, and not because the present
        source is too old.
    started_at : float
        Monotonic, seconds.
    """

    __slots__ = ("address", "is_failback", "started_at", "stream")

    def __init__(self, stream: SourceStream, address: Address, is_failback: bool, now: float):
        self.stream = stream
        self.address = address
        self.is_failback = is_failback
        self.started_at = now

    def __repr__(self) -> str:
        return f"<Scout {self.address} is_failback={self.is_failback}>"


class Scouts:
    """The instances that are being asked."""

    def __init__(self):
        self._scouts: list[Scout] = []

    def __repr__(self) -> str:
        return f"<Scouts {self._scouts}>"

    def add(self, scout: Scout) -> None:
        """Note one more."""
        self._scouts.append(scout)

    def find(self, stream: SourceStream) -> Scout | None:
        """Return the one that a stream belongs to, if any."""
        return next((scout for scout in self._scouts if scout.stream is stream), None)

    def end(self, scout: Scout) -> None:
        """Give one up."""
        self._scouts.remove(scout)
        scout.stream.close()

    def end_all(self) -> None:
        """Give all up."""
        for scout in list(self._scouts):
            self.end(scout)

    def may_add(self, now: float, is_failback: bool) -> bool:
        """Tell whether another instance may be asked; those that have taken too long are given up.

        Nobody waits for a return to the own zone: it is asked while no other is.
        """
        for scout in [scout for scout in self._scouts if now - scout.started_at > SCOUT_LIFETIME]:
            self.end(scout)
        if is_failback:
            return not self._scouts
        return all(now - scout.started_at > SCOUT_LIMIT for scout in self._scouts)


class ScoutRounds:
    """Whom to ask next, and when: all instances in turn, then a wait that grows.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._asked = 0
        self._rounds = 0
        self._due_at = 0.0

    def __repr__(self) -> str:
        return f"<ScoutRounds rounds={self._rounds} asked={self._asked}>"

    def reset(self) -> None:
        """Begin anew: the present source is fresh enough."""
        self._asked = self._rounds = 0
        self._due_at = 0.0

    def choose(self, candidates: list[Address], now: float) -> Address | None:
        """Return whom to ask now; None where nobody is to be asked yet."""
        if now < self._due_at or not candidates:
            return None
        if self._asked < len(candidates):
            self._asked += 1
            return candidates[self._asked - 1]
        self._asked = 0
        longest = min(ROUND_WAIT_MAX, ROUND_WAIT_MIN * 2**self._rounds)
        self._rounds += 1
        # Those that lost the same source together come back spread out.
        self._due_at = now + self._rng.uniform(0.5, 1.0) * longest
        return None
