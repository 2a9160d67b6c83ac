# SPDX-License-Identifier: BSD-3-Clause
"""What a control instance reports to the leader of its daemons, and what it does with such reports as the leader."""

import time

from lanedock.clock import monotonic
from lanedock.consensus import RaftReplica
from lanedock.membership import Instance
from lanedock.rollout import FleetView, RolloutCoordinator, RolloutPolicy
from lanedock.wire import messages
from lanedock_daemon.control.distribution import DaemonSessions
from lanedock_daemon.control.log import ReplicatedLog
from lanedock_daemon.control.submissions import SubmissionQueue

__all__ = ["SILENT_AFTER", "FleetReporter", "RolloutLeader"]

# Changes of daemons are gathered for this long, in seconds, before the leader is sent
# them: daemons that activate a version together take one message.
REPORT_INTERVAL = 0.01
# A report, empty if need be, at least this often, in seconds: the leader would take an
# instance that sends none for silent.
KEEPALIVE_INTERVAL = 1.0
# What a control instance has reported counts no more when it has been silent for this
# long, in seconds: three reports that must come were lost.
SILENT_AFTER = 3.0


class FleetReporter:
    """Decides when the leader is sent a report of the daemons that are connected here."""

    def __init__(self):
        self._reported_to = ("", 0)
        self._report_at = 0.0
        self._keepalive_at = 0.0

    def __repr__(self) -> str:
        return f"<FleetReporter reported_to={self._reported_to}>"

    def restart(self) -> None:
        """Have the next report name all daemons: the leader lacks one before."""
        self._reported_to = ("", 0)

    def take_due(self, sessions: DaemonSessions, replica: RaftReplica, now: float) -> messages.FleetReport | None:
        """Return the report that the leader is to be sent now; None where none is due."""
        target = (replica.leader, replica.term)
        if not replica.leader or now < self._report_at:
            return None
        is_new = target != self._reported_to
        if not (is_new or sessions.is_report_due() or now >= self._keepalive_at):
            return None
        self._reported_to = target
        self._report_at = now + REPORT_INTERVAL
        self._keepalive_at = now + KEEPALIVE_INTERVAL
        return sessions.take_report(whole=is_new)


class RolloutLeader:
    """Gathers reports, decides on the candidate and answers operators, while its replica leads.

    Parameters
    ----------
    log : ReplicatedLog
    policy : RolloutPolicy
    submissions : SubmissionQueue

    Attributes
    ----------
    fleet : FleetView or None
        None while another replica leads.
    """

    def __init__(self, log: ReplicatedLog, policy: RolloutPolicy, submissions: SubmissionQueue):
        self.fleet: FleetView | None = None
        self._log = log
        self._policy = policy
        self._submissions = submissions
        self._coordinator: RolloutCoordinator | None = None
        self._instances: list[Instance] | None = None

    def __repr__(self) -> str:
        return f"<RolloutLeader {self.fleet!r}>"

    def take_list(self, instances: list[Instance], now: float) -> None:
        """Accept the platform's list."""
        self._instances = instances
        if self.fleet is not None:
            self.fleet.take_list(instances, now)

    def take_own_report(self, report: messages.FleetReport, now: float) -> None:
        """Accept the report of the daemons that are connected here."""
        if self.fleet is None:
            self._begin(now)
        self.fleet.take_report(self._log.replica.me, report, now)

    def take_report(self, message: messages.PeerMessage, now: float) -> bool:
        """Accept another instance's report; False where it has to report all daemons anew."""
        if self.fleet is None or message.term != self._log.replica.term:
            return True
        return self.fleet.take_report(message.sender, message.fleet_report, now)

    def refresh(self, now: float) -> bool:
        """Begin or end to lead, as the replica does; returns whether it leads."""
        if self._log.is_current_leader:
            if self.fleet is None:
                self._begin(now)
            return True
        if self._log.replica.leader != self._log.replica.me:
            self.fleet = self._coordinator = None
            if not self._submissions.is_empty():
                self._submissions.abandon_all()
        return False

    def _begin(self, now: float) -> None:
        self.fleet = FleetView(self._policy.dead_after, SILENT_AFTER)
        if self._instances is not None:
            self.fleet.take_list(self._instances, now)
        self._coordinator = RolloutCoordinator(self._log.state, self.fleet, self._policy)

    def decide(self, now: float) -> bool:
        """Decide on the candidate; returns whether there is a decision for the log to carry out."""
        self.fleet.drop_silent(now)
        command = self._coordinator.decide(now, time.time())
        if command is None:
            return False
        if self._log.propose(command) is None:
            self._coordinator.retry()
        return True

    def answer(self) -> None:
        """Let operators who wait know how far their versions have come."""
        if not self._submissions.is_empty():
            self._submissions.advance(self._log.state.records, self._look_up)

    def _look_up(self, version: int, allowed_zones: set[str]):
        progress = self._coordinator.progress(version, allowed_zones, monotonic())
        cut_off = [name for name in self.fleet.missing() if self.fleet.zone_of(name) in allowed_zones]
        return progress, cut_off
