# SPDX-License-Identifier: BSD-3-Clause
"""Reports of daemons to the leader, and the leader's decisions on rollouts."""

import time

from lanedock.clock import monotonic
from lanedock.consensus import RaftReplica
from lanedock.membership import Instance
from lanedock.rollout import FleetView, RolloutCoordinator, RolloutPolicy
from lanedock.wire import messages
from lanedock_daemon.control.distribution import DaemonSessions
from lanedock_daemon.control.replicated_log import ReplicatedLog
from lanedock_daemon.control.submissions import SubmissionQueue

__all__ = ["SILENCE_TIMEOUT", "FleetReporter", "RolloutLeader"]

# Minimum interval between two reports to the leader, in seconds: the changes of daemons that
# activate a version together are batched into one message.
REPORT_INTERVAL = 0.01
# Maximum interval between two reports, in seconds: without changes an empty report is sent, so that
# the leader does not consider this control instance silent.
KEEPALIVE_INTERVAL = 1.0
# Seconds of silence after which the leader discards the reports of a control instance: three
# keep-alive reports in a row were lost.
SILENCE_TIMEOUT = 3.0


class FleetReporter:
    """Schedules the reports to the leader about the daemons connected to this control instance."""

    def __init__(self):
        self._reported_to = ("", 0)
        self._next_report_at = 0.0
        self._next_keepalive_at = 0.0

    def __repr__(self) -> str:
        return f"<FleetReporter reported_to={self._reported_to}>"

    def restart(self) -> None:
        """Make the next report name all daemons, after the leader has missed an earlier report."""
        self._reported_to = ("", 0)

    def take_due(self, sessions: DaemonSessions, replica: RaftReplica, now: float) -> messages.FleetReport | None:
        """Return the report to send to the leader now, or None where no report is due."""
        target = (replica.leader, replica.term)
        if not replica.leader or now < self._next_report_at:
            return None
        is_new = target != self._reported_to
        if not (is_new or sessions.is_report_due() or now >= self._next_keepalive_at):
            return None
        self._reported_to = target
        self._next_report_at = now + REPORT_INTERVAL
        self._next_keepalive_at = now + KEEPALIVE_INTERVAL
        return sessions.make_report(whole=is_new)


class RolloutLeader:
    """Collects reports, decides on the candidate and answers operators while its replica leads.

    Parameters
    ----------
    log : ReplicatedLog
    policy : RolloutPolicy
    submissions : SubmissionQueue

    Attributes
    ----------
    fleet : FleetView or None
        The daemons of the mesh; None while another replica leads.
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

    def apply_instance_list(self, instances: list[Instance], now: float) -> None:
        """Store the platform's list of instances, and pass it to the fleet view."""
        self._instances = instances
        if self.fleet is not None:
            self.fleet.apply_instance_list(instances, now)

    def apply_own_report(self, report: messages.FleetReport, now: float) -> None:
        """Apply this control instance's own report of daemons."""
        if self.fleet is None:
            self._start_leading(now)
        self.fleet.process_report(self._log.replica.me, report, now)

    def process_report(self, message: messages.PeerMessage, now: float) -> bool:
        """Apply another control instance's report; returns False where it has to report all its daemons again."""
        if self.fleet is None or message.term != self._log.replica.term:
            return True
        return self.fleet.process_report(message.sender, message.fleet_report, now)

    def refresh(self, now: float) -> bool:
        """Start or stop leading to match the replica's role; returns whether this replica leads."""
        if self._log.is_current_leader:
            if self.fleet is None:
                self._start_leading(now)
            return True
        if self._log.replica.leader != self._log.replica.me:
            self.fleet = self._coordinator = None
            if not self._submissions.is_empty():
                self._submissions.abandon_all()
        return False

    def _start_leading(self, now: float) -> None:
        self.fleet = FleetView(self._policy.dead_after, SILENCE_TIMEOUT)
        if self._instances is not None:
            self.fleet.apply_instance_list(self._instances, now)
        self._coordinator = RolloutCoordinator(self._log.state, self.fleet, self._policy)

    def decide(self, now: float) -> bool:
        """Propose the decision on the candidate, if there is one; returns whether there was one."""
        self.fleet.drop_silent(now)
        command = self._coordinator.decide(now, time.time())
        if command is None:
            return False
        if self._log.propose(command) is None:
            self._coordinator.retry()
        return True

    def answer(self) -> None:
        """Report the progress of their versions to waiting operators."""
        if not self._submissions.is_empty():
            self._submissions.advance(self._log.state.records, self._find_progress)

    def _find_progress(self, version: int, exempt_zones: set[str]):
        progress = self._coordinator.progress(version, exempt_zones, monotonic())
        cut_off = [name for name in self.fleet.missing() if self.fleet.zone_of(name) in exempt_zones]
        return progress, cut_off
