# SPDX-License-Identifier: BSD-3-Clause
"""Choice of the next source to connect to and of the time to do so. Does no I/O."""

from random import Random

from lanedock.settings import Address

__all__ = ["SourceSearch"]

# Base of the exponential backoff between two connection attempts, in seconds.
BACKOFF_BASE = 0.1
# Longest backoff, in seconds. 760 daemons that each reconnect at a random time within it make 760
# attempts per second, and the wait adds less than one second to the time without a source.
BACKOFF_MAX = 1.0
# Longest backoff, in seconds, of a daemon that can serve nothing before it has a source. While no
# instance is up, an attempt costs one packet that is dropped or refused; 760 daemons send each of
# 7 control instances 870 of them per second.
URGENT_BACKOFF_MAX = 0.25
# Seconds for which a failed relay is reported to control instances, which then redirect to another
# one. A relay is a daemon, which restarts within seconds; avoiding it longer than needed costs the
# other relay one session.
FAILED_RELAY_RETENTION = 30.0
# Smallest and largest backoff between two probes of the own zone's control instance, in seconds. The
# backoff doubles with each probe; each wait is a random 50 to 100 % of it. The smallest lets a restarted
# instance catch up; with the largest, 760 daemons away from their zones send 3.4 probes per second in
# total (760 / 225).
FAILBACK_WAIT_MIN = 4.0
FAILBACK_WAIT_MAX = 300.0


class SourceSearch:
    """Search for a source among control instances, tried one by one, and the relays that they redirect to.

    Waits grow exponentially with full jitter, which spreads the attempts of daemons that
    lost their source at the same time.

    Parameters
    ----------
    control : list of Address
        Addresses from the settings; the own zone's control instance comes first.
    rng : random.Random
    zone : str, optional
        Availability zone of the daemon; control instances in it are preferred.
    """

    def __init__(self, control: list[Address], rng: Random, zone: str = ""):
        self._zone = zone
        self._seeds = list(control)
        self._members: list[tuple[Address, str]] = []
        self._control = list(control)
        self._rng = rng
        self._position = 0
        self._failures = 0
        self._failback_wait = FAILBACK_WAIT_MIN
        self._failback_at: float | None = None
        self._relay: tuple[str, Address] | None = None
        self._failed_relays: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"<SourceSearch failures={self._failures} relay={self._relay}>"

    def set_seeds(self, seeds: list[Address]) -> None:
        """Replace the control instances from the settings; those named by a source are kept."""
        self._seeds = list(seeds)
        self._sort_control()

    def set_members(self, members: list[tuple[str, str]]) -> None:
        """Replace the control instances named by a source; each is an address and its zone."""
        self._members = [(Address.parse(address), zone) for address, zone in members]
        self._sort_control()

    def _sort_control(self) -> None:
        """Order the known control instances, the own zone's first, and keep the current position."""
        current = self._control[self._position % len(self._control)]
        zones = dict(self._members)
        known = list(dict.fromkeys([*(address for address, _ in self._members), *self._seeds]))
        self._control = sorted(known, key=lambda address: zones.get(address, "") != self._zone)
        self._position = self._control.index(current) if current in self._control else 0

    def control_instances(self) -> list[Address]:
        """Return the known control instances, the own zone's first."""
        return self._control

    def address(self) -> Address:
        """Return the address of the source to connect to."""
        if self._relay is not None:
            return self._relay[1]
        return self._control[self._position % len(self._control)]

    def failback_target(self) -> Address:
        """Return the address of the preferred control instance: one of the own zone, if known."""
        return self._control[0]

    def probe_order(self, current: Address) -> list[Address]:
        """Return the control instances to probe, in order, starting after the current source.

        The current source comes last: its stream may have become silent while new streams work.
        """
        if current not in self._control:
            return list(self._control)
        position = self._control.index(current)
        return self._control[position + 1 :] + self._control[: position + 1]

    @property
    def failures(self) -> int:
        """Number of failures since a source last served."""
        return self._failures

    def relay_name(self) -> str:
        """Return the name of the relay to connect to; empty for a control instance."""
        return self._relay[0] if self._relay else ""

    def failed_relays(self, now: float) -> list[str]:
        """Return the names of relays that failed within the last `FAILED_RELAY_RETENTION` seconds."""
        self._failed_relays = {name: until for name, until in self._failed_relays.items() if until > now}
        return sorted(self._failed_relays)

    def note_success(self, now: float) -> None:
        """Record that the source serves."""
        self._failures = 0
        if self.is_preferred():
            self._failback_wait = FAILBACK_WAIT_MIN
            self._failback_at = None
        elif self._failback_at is None:
            self._failback_at = now + self._rng.uniform(0.5, 1.0) * self._failback_wait

    def is_preferred(self) -> bool:
        """Return whether the source is a relay or the own zone's control instance."""
        return self._relay is not None or self._position % len(self._control) == 0

    def is_failback_due(self, now: float) -> bool:
        """Return whether to probe the own zone's control instance now; if so, schedules the next probe."""
        if self.is_preferred() or self._failback_at is None or now < self._failback_at:
            return False
        self._failback_wait = min(2 * self._failback_wait, FAILBACK_WAIT_MAX)
        self._failback_at = now + self._rng.uniform(0.5, 1.0) * self._failback_wait
        return True

    def move_to(self, address: Address, now: float) -> None:
        """Select a control instance as the next source; a relay that is abandoned for it counts as failed."""
        if self._relay is not None:
            self._failed_relays[self._relay[0]] = now + FAILED_RELAY_RETENTION
            self._relay = None
        self._position = self._control.index(address) if address in self._control else 0

    def note_redirect(self, relay: str, address: Address) -> float:
        """Record a redirect to a relay; returns the wait before connecting, in seconds."""
        self._relay = (relay, address)
        return 0.0

    def wait_after_refusal(self, retry_after: float) -> float:
        """Return the wait before reconnecting, in seconds: the time that the source gave and up to 10% jitter."""
        return retry_after * self._rng.uniform(1.0, 1.1)

    def note_failure(self, now: float, is_urgent: bool = False) -> float:
        """Record that the source failed, and select the next one.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        is_urgent : bool
            Whether the daemon can serve nothing before it finds a source.

        Returns
        -------
        float
            Wait before the next attempt, in seconds.
        """
        if self._relay is not None:
            # All daemons of a relay lose it at the same time, so the wait below applies to them, too.
            self._failed_relays[self._relay[0]] = now + FAILED_RELAY_RETENTION
            self._relay = None
        else:
            self._position += 1
        self._failures += 1
        max_backoff = URGENT_BACKOFF_MAX if is_urgent else BACKOFF_MAX
        max_wait = min(max_backoff, BACKOFF_BASE * 2 ** min(self._failures, 16))
        return self._rng.uniform(0, max_wait)
