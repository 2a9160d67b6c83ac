# SPDX-License-Identifier: BSD-3-Clause
"""Registry of the endpoints that daemons register, merged from the control instances' reports.

It serves deployments without a platform list: an upstream registers at its daemon, the daemon
reports it to its control instance, and the control instances report to each other. Of several
reports on an endpoint, the one with the highest daemon incarnation and revision counts. An
incarnation of an application that has ended never takes requests again, whatever later reports
say. A daemon that stops makes its upstream leave, too, but only until the daemon is restarted.
"""

from lanedock.membership.changes import EndpointChanges
from lanedock.membership.incarnation import Incarnation
from lanedock.wire import messages

__all__ = ["EndpointRegistry", "freshness", "incarnation_of"]

# Number of ended application incarnations to remember, so that delayed reports do not restore them.
MAX_ENDED_INCARNATIONS = 4096


class _PeerEndpoints:
    """Endpoints that another control instance has reported so far."""

    __slots__ = ("endpoints", "sequence")

    def __init__(self):
        self.endpoints: dict[str, messages.Endpoint] = {}
        self.sequence = 0


class EndpointRegistry(EndpointChanges):
    """All registered endpoints of the mesh.

    Performs no I/O and reads no clock.

    Parameters
    ----------
    window : float
        Seconds for which changes are batched.
    retention : float
        Seconds for which an endpoint is retained after the last control instance has stopped
        reporting it: its daemon may only have lost the connection to its control instance.
    """

    def __init__(self, window: float, retention: float):
        super().__init__(window)
        self._retention = retention
        self._registered: dict[str, messages.Endpoint] = {}
        self._peer_endpoints: dict[str, _PeerEndpoints] = {}
        self._unreported_since: dict[str, float] = {}
        self._ended_incarnations: dict[Incarnation, None] = {}
        self._changed: set[str] = set()
        self._gone: set[str] = set()
        self._report_sequence = 0

    # ------------------------------------------------------------------ inputs

    def register(self, endpoint: messages.Endpoint, now: float) -> None:
        """Process the registration of a daemon that is connected to this control instance."""
        name = endpoint.instance
        known = self._registered.get(name)
        if known is not None and freshness(endpoint) < freshness(known):
            return
        if known == endpoint:
            return
        self._registered[name] = endpoint
        self._changed.add(name)
        self._gone.discard(name)
        self._update_endpoint(name, now)

    def unregister(self, name: str, now: float) -> None:
        """Remove the registration of a daemon that has disconnected from this control instance."""
        if self._registered.pop(name, None) is not None:
            self._changed.discard(name)
            self._gone.add(name)
            self._update_endpoint(name, now)

    def process_report(self, replica: str, report: messages.EndpointReport, now: float) -> bool:
        """Process another control instance's report.

        Returns
        -------
        bool
            False if an earlier report is missing, so that a complete report is needed.
        """
        source = self._peer_endpoints.get(replica)
        affected = {endpoint.instance for endpoint in report.changed} | set(report.gone)
        if report.whole:
            if source is not None:
                affected |= set(source.endpoints)
            source = self._peer_endpoints[replica] = _PeerEndpoints()
        elif source is None or report.sequence != source.sequence + 1:
            return False
        source.sequence = report.sequence
        for endpoint in report.changed:
            source.endpoints[endpoint.instance] = endpoint
        for name in report.gone:
            source.endpoints.pop(name, None)
        for name in affected:
            self._update_endpoint(name, now)
        return True

    def forget_control_instance(self, replica: str, now: float) -> None:
        """Discard the reports of a control instance that no longer responds."""
        source = self._peer_endpoints.pop(replica, None)
        for name in source.endpoints if source else ():
            self._update_endpoint(name, now)

    def expire(self, now: float) -> None:
        """Remove the endpoints that no control instance has reported for the retention period."""
        for name, since in list(self._unreported_since.items()):
            if now - since > self._retention:
                del self._unreported_since[name]
                self._queue_change(name, None, now)

    # ----------------------------------------------------------------- outputs

    def is_report_due(self) -> bool:
        """Return whether there are changes to report to the other control instances."""
        return bool(self._changed or self._gone)

    def make_report(self) -> messages.EndpointReport:
        """Return a report of the registrations that have changed since the last report."""
        self._report_sequence += 1
        report = messages.EndpointReport(sequence=self._report_sequence)
        report.changed.extend(self._registered[name] for name in sorted(self._changed))
        report.gone.extend(sorted(self._gone))
        self._changed = set()
        self._gone = set()
        return report

    def whole_report(self) -> messages.EndpointReport:
        """Return a report of all registrations, for a control instance that has missed a report."""
        report = messages.EndpointReport(sequence=self._report_sequence, whole=True)
        # Changes that are not yet reported are included here and again in the next report.
        report.changed.extend(self._registered[name] for name in sorted(self._registered))
        return report

    # ----------------------------------------------------------------- merging

    def _update_endpoint(self, name: str, now: float) -> None:
        """Update one endpoint from all registrations and reports of it."""
        reported = [source.endpoints[name] for source in self._peer_endpoints.values() if name in source.endpoints]
        if name in self._registered:
            reported.append(self._registered[name])
        current = self._latest(name)
        if not reported:
            if current is not None:
                self._unreported_since.setdefault(name, now)
            return
        self._unreported_since.pop(name, None)
        freshest = max(reported, key=freshness)
        if current is not None and freshness(freshest) < freshness(current):
            return
        merged = messages.Endpoint()
        merged.CopyFrom(freshest)
        self._apply_ended(merged)
        if merged != current:
            self._queue_change(name, merged, now)

    def _apply_ended(self, endpoint: messages.Endpoint) -> None:
        """Record an ended incarnation, or mark an endpoint as ended if its incarnation has ended before.

        Ids are reused, so an incarnation is identified by id and start time.
        """
        if not endpoint.upstream:
            return
        incarnation = incarnation_of(endpoint)
        if endpoint.ended:
            # Also without start time, as a restarted daemon may report the incarnation at first.
            for former in (incarnation, Incarnation(endpoint.upstream)):
                self._ended_incarnations[former] = None
            while len(self._ended_incarnations) > MAX_ENDED_INCARNATIONS:
                del self._ended_incarnations[next(iter(self._ended_incarnations))]
        elif incarnation in self._ended_incarnations:
            endpoint.ended = endpoint.leaving = True


def incarnation_of(endpoint: messages.Endpoint) -> Incarnation:
    """Return the incarnation of an endpoint's application."""
    return Incarnation(endpoint.upstream, endpoint.upstream_started)


def freshness(endpoint: messages.Endpoint) -> tuple[int, int]:
    """Return a sort key that increases with every change of an endpoint: daemon incarnation and revision."""
    return (endpoint.incarnation, endpoint.revision)
