# SPDX-License-Identifier: BSD-3-Clause
"""Reports between control instances of disks that refuse writes."""

from lanedock.consensus.core import replica_name
from lanedock.wire import messages
from lanedock_daemon.control.replicated_log import ReplicatedLog
from lanedock_daemon.control.storage_recovery import StorageRecovery
from lanedock_daemon.transport import PeerLinks

__all__ = ["DiskReporter", "DiskReports"]

# Seconds after which a report counts no more: several were lost, or the instance has ended.
REPORT_RETENTION = 3.0


class DiskReports:
    """The newest report of each control instance, as received by this one."""

    def __init__(self):
        self._reports: dict[str, tuple[messages.DiskReport, float]] = {}

    def __repr__(self) -> str:
        return f"<DiskReports {list(self._reports)}>"

    def receive(self, sender: str, report: messages.DiskReport, now: float) -> None:
        """Record the report of a replica; one without an error ends its outage."""
        name = replica_name(sender)
        if report.error:
            self._reports[name] = (report, now)
        else:
            self._reports.pop(name, None)

    def find(self, name: str, now: float) -> messages.DiskReport | None:
        """Return the report of a control instance whose disk refuses writes; None for any other."""
        report, received_at = self._reports.get(name, (None, now))
        if report is None or now - received_at > REPORT_RETENTION:
            return None
        since = round(1000 * (now - received_at))
        return messages.DiskReport(error=report.error, outage_ms=report.outage_ms + since)


class DiskReporter:
    """Reports the outage of this control instance's disk to the other ones.

    Parameters
    ----------
    recovery : StorageRecovery
    reports : DiskReports
        Gets the report, too, for the status of this instance.
    log : ReplicatedLog
    links : PeerLinks
    """

    def __init__(self, recovery: StorageRecovery, reports: DiskReports, log: ReplicatedLog, links: PeerLinks):
        self._recovery = recovery
        self._reports = reports
        self._log = log
        self._links = links

    def __repr__(self) -> str:
        return f"<DiskReporter {self._recovery!r}>"

    def report(self, now: float) -> None:
        """Send the next report if it is due."""
        report = self._recovery.take_report(now)
        if report is not None:
            self._send(report, now)

    def report_end(self, now: float) -> None:
        """Report that the disk can be written again."""
        self._send(messages.DiskReport(), now)

    def _send(self, report: messages.DiskReport, now: float) -> None:
        replica = self._log.replica
        self._reports.receive(replica.me, report, now)
        batch = []
        for receiver in (*replica.membership.voters, *replica.membership.learners):
            if receiver != replica.me:
                message = messages.PeerMessage(sender=replica.me, receiver=receiver, term=replica.term)
                message.disk_report.CopyFrom(report)
                batch.append(message)
        self._links.send(batch)
