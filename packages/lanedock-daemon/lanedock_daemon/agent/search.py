# SPDX-License-Identifier: BSD-3-Clause
"""Which source a daemon tries next, and when. Pure."""

from random import Random

from lanedock.settings import Address

__all__ = ["SourceSearch"]

BACKOFF_MIN = 0.1
# 760 daemons that look for a source at random within this time, in seconds, knock
# 760 times a second, which costs less than a second more without a source.
BACKOFF_MAX = 1.0
# The same for a daemon that can't serve before it has found one, in seconds: each
# knock is one packet that is dropped or refused as long as nobody is there, and
# 760 daemons at 7 control instances send each of them 870 a second.
URGENT_BACKOFF_MAX = 0.25
# Seconds for which a relay that failed is named to control instances, which then refer to
# another: a daemon is restarted in seconds, and being wrong costs the other relay one
# session.
RELAY_MEMORY = 30.0
# Seconds between two looks whether the own zone's control instance has a leader again,
# doubled with each: not before one that was restarted can have caught up, and at the
# longest, 760 daemons away from their zones ask 2.5 times a second together (760 / 300).
FAILBACK_WAIT_MIN = 4.0
FAILBACK_WAIT_MAX = 300.0


class SourceSearch:
    """The search for a source: control instances in turn, and relays they name.

    Waits grow exponentially with full jitter, so that daemons which lost their
    source together come back spread out.

    Parameters
    ----------
    control : list of Address
        The own zone's first.
    rng : random.Random
    zone : str, optional
        The daemon's own, by which members are ordered.
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
        """Take over other control instances from the settings; those learned stay."""
        self._seeds = list(seeds)
        self._order()

    def set_members(self, members: list[tuple[str, str]]) -> None:
        """Take over the control instances, with their zones, that a source has named."""
        self._members = [(Address.parse(address), zone) for address, zone in members]
        self._order()

    def _order(self) -> None:
        """Put those of the own zone first, and go on from the present one."""
        current = self._control[self._position % len(self._control)]
        zones = dict(self._members)
        known = list(dict.fromkeys([*(address for address, _ in self._members), *self._seeds]))
        self._control = sorted(known, key=lambda address: zones.get(address, "") != self._zone)
        self._position = self._control.index(current) if current in self._control else 0

    def address(self) -> Address:
        """Return the address to try now."""
        if self._relay is not None:
            return self._relay[1]
        return self._control[self._position % len(self._control)]

    def failback_target(self) -> Address:
        """Return the address of the own zone's control instance."""
        return self._control[0]

    def scouted(self, present: Address) -> list[Address]:
        """Return the control instances to ask for a fresher source, the ones after the present source first.

        The present one comes last: its stream may have fallen silent while new ones work.
        """
        if present not in self._control:
            return list(self._control)
        position = self._control.index(present)
        return self._control[position + 1 :] + self._control[: position + 1]

    @property
    def failures(self) -> int:
        """How many sources have failed since one served."""
        return self._failures

    def relay_name(self) -> str:
        """Return the name of the relay to try; empty where it is a control instance."""
        return self._relay[0] if self._relay else ""

    def failed_relays(self, now: float) -> list[str]:
        """Return the relays that failed lately."""
        self._failed_relays = {name: until for name, until in self._failed_relays.items() if until > now}
        return sorted(self._failed_relays)

    def note_success(self, now: float) -> None:
        """Note that the source serves."""
        self._failures = 0
        if self.is_preferred():
            self._failback_wait = FAILBACK_WAIT_MIN
            self._failback_at = None
        elif self._failback_at is None:
            self._failback_at = now + self._rng.uniform(0.5, 1.0) * self._failback_wait

    def is_preferred(self) -> bool:
        """Tell whether the source is the own zone's control instance, or a relay."""
        return self._relay is not None or self._position % len(self._control) == 0

    def is_failback_due(self, now: float) -> bool:
        """Tell, once in a while, that the own zone's control instance is worth a try."""
        if self.is_preferred() or self._failback_at is None or now < self._failback_at:
            return False
        self._failback_wait = min(2 * self._failback_wait, FAILBACK_WAIT_MAX)
        self._failback_at = now + self._rng.uniform(0.5, 1.0) * self._failback_wait
        return True

    def move_to(self, address: Address, now: float) -> None:
        """Take versions from this control instance next; a relay that is left for it counts as failed."""
        if self._relay is not None:
            self._failed_relays[self._relay[0]] = now + RELAY_MEMORY
            self._relay = None
        self._position = self._control.index(address) if address in self._control else 0

    def note_redirect(self, relay: str, address: Address) -> float:
        """Note that a control instance refers to a relay; returns the wait in seconds."""
        self._relay = (relay, address)
        return 0.0

    def note_refusal(self, retry_after: float) -> float:
        """Note that the source named a time to come back; returns the wait in seconds."""
        return retry_after * self._rng.uniform(1.0, 1.1)

    def note_failure(self, now: float, is_urgent: bool = False) -> float:
        """Note that the source failed.

        Parameters
        ----------
        now : float
            Monotonic, seconds.
        is_urgent : bool
            Whether nothing can be served before a source is found.

        Returns
        -------
        float
            How long to wait, in seconds.
        """
        if self._relay is not None:
            # A relay takes its daemons along when it goes: they spread out too.
            self._failed_relays[self._relay[0]] = now + RELAY_MEMORY
            self._relay = None
        else:
            self._position += 1
        self._failures += 1
        most = URGENT_BACKOFF_MAX if is_urgent else BACKOFF_MAX
        longest = min(most, BACKOFF_MIN * 2 ** min(self._failures, 16))
        return self._rng.uniform(0, longest)
