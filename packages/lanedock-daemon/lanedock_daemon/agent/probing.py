# SPDX-License-Identifier: BSD-3-Clause
"""Probes of control instances for a fresher source than the present one. Does no I/O but closing streams.

A source that is cut off from the leader continues to serve its daemons with versions
that become outdated. A daemon stays connected to it while it probes the other control
instances, and switches once one of them has a leader. Probing early is therefore safe:
where no instance is fresher, the daemon keeps its source.
"""

from random import Random

from lanedock.settings import Address
from lanedock_daemon.transport import SourceStream

__all__ = ["PROBE_TIMEOUT", "FreshnessProbe", "FreshnessProbes", "ProbeSchedule", "SourceFreshness"]

# Seconds after which the next instance is probed although the previous probe is unanswered:
# covers several round trips between regions and the first retransmission of a lost packet (200 ms).
PROBE_INTERVAL = 0.25
# Seconds until a probe is abandoned, connecting included. The answer may queue behind request bodies
# on the daemon's link: with a limit of 0.25 s, no probe succeeds on a link with 0.35 s of queued data.
PROBE_TIMEOUT = 1.0
# Shortest and longest wait between two rounds of probes in which no instance had a leader, in seconds.
# While no control instance has a leader, 760 daemons together send some 500 probes per second to each
# of 7 instances. A probe costs 0.2 kB of answer and 0.36 ms of CPU time.
ROUND_WAIT_MIN = 0.25
ROUND_WAIT_MAX = 1.0


class SourceFreshness:
    """Time since the leader was last heard, according to the reports of sources.

    It grows between two reports, so a silent source becomes stale, too.

    Parameters
    ----------
    limit : float
        Age in seconds above which the daemon probes for a fresher source. Longer than an
        election, and short enough that a daemon can find a source, connect and catch up
        within the time in which a version has to be in force.
    now : float
        Monotonic time, in seconds.
    """

    def __init__(self, limit: float, now: float):
        self.limit = limit
        self._leader_heard_at = now

    def __repr__(self) -> str:
        return f"<SourceFreshness limit={self.limit} leader_heard_at={self._leader_heard_at:.2f}>"

    def note(self, staleness: float, now: float) -> None:
        """Record a report of the source: seconds for which it has not heard the leader."""
        self._leader_heard_at = now - staleness

    def age(self, now: float) -> float:
        """Return the time since the leader was last known to be heard, in seconds."""
        return max(0.0, now - self._leader_heard_at)

    def is_exceeded(self, now: float, grace: float = 0.0) -> bool:
        """Return whether the age exceeds the limit by more than `grace` seconds."""
        return self.age(now) > self.limit + grace


class FreshnessProbe:
    """A probe of one control instance: a stream that awaits a heartbeat.

    Attributes
    ----------
    stream : SourceStream
    address : Address
    is_failback : bool
        Whether the probe is for a return to the own zone's instance, and not because the
        present source is stale.
    started_at : float
        Monotonic time, in seconds.
    """

    __slots__ = ("address", "is_failback", "started_at", "stream")

    def __init__(self, stream: SourceStream, address: Address, is_failback: bool, now: float):
        self.stream = stream
        self.address = address
        self.is_failback = is_failback
        self.started_at = now

    def __repr__(self) -> str:
        return f"<FreshnessProbe {self.address} is_failback={self.is_failback}>"


class FreshnessProbes:
    """The probes that await an answer."""

    def __init__(self):
        self._probes: list[FreshnessProbe] = []

    def __repr__(self) -> str:
        return f"<FreshnessProbes {self._probes}>"

    def add(self, probe: FreshnessProbe) -> None:
        """Add a probe that was started."""
        self._probes.append(probe)

    def find(self, stream: SourceStream) -> FreshnessProbe | None:
        """Return the probe that uses a stream, or None."""
        return next((probe for probe in self._probes if probe.stream is stream), None)

    def end(self, probe: FreshnessProbe) -> None:
        """Remove a probe and close its stream."""
        self._probes.remove(probe)
        probe.stream.close()

    def end_all(self) -> None:
        """End all probes."""
        for probe in list(self._probes):
            self.end(probe)

    def may_add(self, now: float, is_failback: bool) -> bool:
        """Return whether another probe may start; ends the probes that have timed out.

        A return to the own zone is not urgent: its probe starts only when no other is in progress.
        """
        for probe in [probe for probe in self._probes if now - probe.started_at > PROBE_TIMEOUT]:
            self.end(probe)
        if is_failback:
            return not self._probes
        return all(now - probe.started_at > PROBE_INTERVAL for probe in self._probes)


class ProbeSchedule:
    """Order and times of probes: each instance in turn, then a wait that grows exponentially.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng: Random):
        self._rng = rng
        self._position = 0
        self._completed_rounds = 0
        self._due_at = 0.0

    def __repr__(self) -> str:
        return f"<ProbeSchedule rounds={self._completed_rounds} asked={self._position}>"

    def reset(self) -> None:
        """Start again with the first instance and without a wait."""
        self._position = self._completed_rounds = 0
        self._due_at = 0.0

    def choose(self, candidates: list[Address], now: float) -> Address | None:
        """Return the address to probe now, or None during the wait between two rounds."""
        if now < self._due_at or not candidates:
            return None
        if self._position < len(candidates):
            self._position += 1
            return candidates[self._position - 1]
        self._position = 0
        max_wait = min(ROUND_WAIT_MAX, ROUND_WAIT_MIN * 2**self._completed_rounds)
        self._completed_rounds += 1
        # Jitter spreads the probes of daemons that lost the same source at the same time.
        self._due_at = now + self._rng.uniform(0.5, 1.0) * max_wait
        return None
