# SPDX-License-Identifier: BSD-3-Clause
"""The leader's view of all daemons, merged from the reports of the control instances."""

from lanedock.membership import Instance, InstanceState
from lanedock.wire import messages

__all__ = ["FleetView"]

# Number of connected daemons of its availability zone that must report an instance as
# unreachable before it counts as dead. If fewer are connected, all of them must.
MIN_ATTESTERS = 2


class _ReplicaReport:
    """Daemons that one control instance has reported as connected."""

    __slots__ = ("daemons", "heard_at", "sequence")

    def __init__(self, now: float):
        self.daemons: dict[str, messages.DaemonState] = {}
        self.sequence = 0
        self.heard_at = now


class FleetView:
    """All daemons and their states, as reported by the control instances.

    Parameters
    ----------
    dead_after : float
        Seconds without a connection after which an instance counts as dead if daemons of its
        zone report that they can't reach it.
    silent_after : float
        Seconds after which the reports of a silent control instance are discarded.
    """

    def __init__(self, dead_after: float, silent_after: float):
        self._dead_after = dead_after
        self._silent_after = silent_after
        self._reports: dict[str, _ReplicaReport] = {}
        self._instances: dict[str, Instance] | None = None
        self._last_seen: dict[str, float] = {}
        self._attestations: dict[str, dict[str, tuple[bool, float]]] = {}

    def __repr__(self) -> str:
        listed = "unknown" if self._instances is None else len(self._instances)
        return f"<FleetView replicas={len(self._reports)} listed={listed}>"

    # ------------------------------------------------------------------ inputs

    def apply_instance_list(self, instances: list[Instance], now: float) -> None:
        """Replace the listed instances with the platform's list."""
        self._instances = {instance.name: instance for instance in instances}
        for name in self._instances:
            self._last_seen.setdefault(name, now)

    def process_report(self, replica: str, report: messages.FleetReport, now: float) -> bool:
        """Process a control instance's report.

        Returns
        -------
        bool
            False if an earlier report is missing, so that a complete report is needed.
        """
        replica_report = self._reports.get(replica)
        if report.whole:
            replica_report = self._reports[replica] = _ReplicaReport(now)
        elif replica_report is None or report.sequence != replica_report.sequence + 1:
            return False
        replica_report.sequence = report.sequence
        replica_report.heard_at = now
        for state in report.changed:
            replica_report.daemons[state.daemon] = state
        for name in report.gone:
            state = replica_report.daemons.pop(name, None)
            if state is not None:
                self._last_seen[name] = now
        for attestation in report.attestations:
            by_attester = self._attestations.setdefault(attestation.instance, {})
            by_attester[attestation.attester] = (attestation.reachable, now)
        return True

    def drop_silent(self, now: float) -> None:
        """Discard the reports of control instances that have become silent."""
        for replica, report in list(self._reports.items()):
            if now - report.heard_at > self._silent_after:
                for name in report.daemons:
                    self._last_seen[name] = report.heard_at
                del self._reports[replica]

    # ----------------------------------------------------------------- outputs

    @property
    def is_list_known(self) -> bool:
        """Whether the platform's list of instances has ever been read."""
        return self._instances is not None

    def replicas(self) -> set[str]:
        """Return the control instances whose reports are not discarded."""
        return set(self._reports)

    def daemons(self) -> dict[str, messages.DaemonState]:
        """Return the latest state of each connected daemon, by id."""
        merged = {}
        for report in self._reports.values():
            for name, state in report.daemons.items():
                other = merged.get(name)
                if other is None or _freshness(state) > _freshness(other):
                    merged[name] = state
        return merged

    def required(self, exempt_zones: set[str], now: float) -> set[str]:
        """Return the daemons that a version has to reach.

        Parameters
        ----------
        exempt_zones : set of str
            Availability zones whose unconnected daemons the operator has excluded.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        set of str
            Ids of all connected daemons, and of listed ones that are neither dead nor in an
            excluded zone.
        """
        connected = self.daemons()
        names = set(connected)
        for name, instance in (self._instances or {}).items():
            if name in names or instance.zone in exempt_zones:
                continue
            if not self._is_dead(instance, connected, now):
                names.add(name)
        return names

    def missing(self) -> list[str]:
        """Return the listed instances that no control instance reports as connected."""
        return sorted(set(self._instances or {}) - set(self.daemons()))

    def zone_of(self, name: str) -> str:
        """Return an instance's availability zone, or an empty string if it is not listed."""
        instance = (self._instances or {}).get(name)
        return instance.zone if instance else ""

    def _is_dead(self, instance: Instance, connected: dict, now: float) -> bool:
        """Return whether an unconnected instance is dead, so that it no longer applies any version.

        Connected daemons of its availability zone must have tried and failed to reach it,
        unless the platform lists it as leaving. If no daemon of the zone is connected, the
        zone counts as cut off and its instances do not count as dead.
        """
        if now - self._last_seen.get(instance.name, now) < self._dead_after:
            return False
        zone_daemons = [state.daemon for state in connected.values() if state.zone == instance.zone]
        if not zone_daemons:
            return False
        if instance.state is InstanceState.LEAVING:
            return True
        recent = []
        for attester, (reachable, reported_at) in self._attestations.get(instance.name, {}).items():
            if attester in zone_daemons and now - reported_at <= 2 * self._dead_after:
                recent.append(reachable)
        return len(recent) >= min(MIN_ATTESTERS, len(zone_daemons)) and not any(recent)


def _freshness(state: messages.DaemonState) -> tuple[int, int, int]:
    return (state.incarnation, state.sequence, state.in_force_version)
