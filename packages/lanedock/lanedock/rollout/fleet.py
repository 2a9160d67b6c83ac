# SPDX-License-Identifier: BSD-3-Clause
"""The leader's view of all daemons, merged from the control instances' reports."""

from lanedock.membership import Instance, InstanceState
from lanedock.wire import messages

__all__ = ["FleetView"]

# Voices of its zone that have to agree that an instance is dead, where its
# zone has so many others.
MIN_ATTESTERS = 2


class _Report:
    """What one control instance has reported."""

    __slots__ = ("daemons", "heard_at", "sequence")

    def __init__(self, now: float):
        self.daemons: dict[str, messages.DaemonState] = {}
        self.sequence = 0
        self.heard_at = now


class FleetView:
    """All daemons, as the control instances see them.

    Parameters
    ----------
    dead_after : float
        Seconds without a connection before an instance may count as dead.
    silent_after : float
        Seconds after which a silent control instance's report counts no more.
    """

    def __init__(self, dead_after: float, silent_after: float):
        self._dead_after = dead_after
        self._silent_after = silent_after
        self._reports: dict[str, _Report] = {}
        self._instances: dict[str, Instance] | None = None
        self._last_seen: dict[str, float] = {}
        self._attested: dict[str, dict[str, tuple[bool, float]]] = {}

    def __repr__(self) -> str:
        listed = "unknown" if self._instances is None else len(self._instances)
        return f"<FleetView replicas={len(self._reports)} listed={listed}>"

    # ------------------------------------------------------------------ inputs

    def take_list(self, instances: list[Instance], now: float) -> None:
        """Accept the platform's list."""
        self._instances = {instance.name: instance for instance in instances}
        for name in self._instances:
            self._last_seen.setdefault(name, now)

    def take_report(self, replica: str, report: messages.FleetReport, now: float) -> bool:
        """Accept a report.

        Returns
        -------
        bool
            False where reports before it are missing, so a whole one is wanted.
        """
        known = self._reports.get(replica)
        if report.whole:
            known = self._reports[replica] = _Report(now)
        elif known is None or report.sequence != known.sequence + 1:
            return False
        known.sequence = report.sequence
        known.heard_at = now
        for state in report.changed:
            known.daemons[state.daemon] = state
        for name in report.gone:
            state = known.daemons.pop(name, None)
            if state is not None:
                self._last_seen[name] = now
        for attestation in report.attestations:
            voices = self._attested.setdefault(attestation.instance, {})
            voices[attestation.attester] = (attestation.reachable, now)
        return True

    def drop_silent(self, now: float) -> None:
        """Forget what control instances reported that are silent now."""
        for replica, report in list(self._reports.items()):
            if now - report.heard_at > self._silent_after:
                for name in report.daemons:
                    self._last_seen[name] = report.heard_at
                del self._reports[replica]

    # ----------------------------------------------------------------- outputs

    @property
    def is_list_known(self) -> bool:
        """Whether the platform's list was ever read."""
        return self._instances is not None

    def replicas(self) -> set[str]:
        """Return the control instances that have reported lately."""
        return set(self._reports)

    def daemons(self) -> dict[str, messages.DaemonState]:
        """Return the connected daemons by id; the freshest state of each."""
        merged = {}
        for report in self._reports.values():
            for name, state in report.daemons.items():
                other = merged.get(name)
                if other is None or _freshness(state) > _freshness(other):
                    merged[name] = state
        return merged

    def required(self, allowed_zones: set[str], now: float) -> set[str]:
        """Return the daemons that a version has to reach.

        Parameters
        ----------
        allowed_zones : set of str
            Zones whose unconnected daemons the operator leaves out.

        Returns
        -------
        set of str
            All connected daemons, and the listed ones that are neither dead
            nor in an allowed zone.
        """
        connected = self.daemons()
        names = set(connected)
        for name, instance in (self._instances or {}).items():
            if name in names or instance.zone in allowed_zones:
                continue
            if not self._is_dead(instance, connected, now):
                names.add(name)
        return names

    def missing(self) -> list[str]:
        """Return the listed instances that are connected to nobody."""
        return sorted(set(self._instances or {}) - set(self.daemons()))

    def zone_of(self, name: str) -> str:
        """Return an instance's zone; empty where it is not listed."""
        instance = (self._instances or {}).get(name)
        return instance.zone if instance else ""

    def _is_dead(self, instance: Instance, connected: dict, now: float) -> bool:
        """Tell whether an unconnected instance holds no rules in force.

        Others of its zone have to have tried to reach it and failed. A zone
        of which nobody is connected is cut off, not dead.
        """
        if now - self._last_seen.get(instance.name, now) < self._dead_after:
            return False
        witnesses = [state.daemon for state in connected.values() if state.zone == instance.zone]
        if not witnesses:
            return False
        if instance.state is InstanceState.LEAVING:
            return True
        fresh = []
        for attester, (reachable, reported_at) in self._attested.get(instance.name, {}).items():
            if attester in witnesses and now - reported_at <= 2 * self._dead_after:
                fresh.append(reachable)
        return len(fresh) >= min(MIN_ATTESTERS, len(witnesses)) and not any(fresh)


def _freshness(state: messages.DaemonState) -> tuple[int, int, int]:
    return (state.incarnation, state.sequence, state.in_force_version)
