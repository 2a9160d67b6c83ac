# SPDX-License-Identifier: BSD-3-Clause
"""Endpoints as daemons register them, merged from what control instances report.

Nobody lists the instances: an upstream registers itself at its daemon, the
daemon reports it to its control instance, and the control instances report to
each other. What is freshest by the daemon's incarnation and revision counts;
an incarnation of an application that leaves does so for good, whatever comes later of it. A
daemon that stops makes its upstream leave, too, until it is started again.
"""

from lanedock.membership.changes import EndpointChanges
from lanedock.membership.incarnation import Incarnation
from lanedock.wire import messages

__all__ = ["EndpointRegistry", "freshness", "incarnation_of"]

# Incarnations of applications that have left, remembered for late reports.
MAX_LEFT = 4096


class _Source:
    """What one control instance has reported."""

    __slots__ = ("endpoints", "sequence")

    def __init__(self):
        self.endpoints: dict[str, messages.Endpoint] = {}
        self.sequence = 0


class EndpointRegistry(EndpointChanges):
    """All registered endpoints. Pure.

    Parameters
    ----------
    window : float
        Seconds that changes are gathered.
    keep : float
        Seconds for which an endpoint is kept that nobody reports any more:
        its daemon may only have lost its control instance.
    """

    def __init__(self, window: float, keep: float):
        super().__init__(window)
        self._keep = keep
        self._own: dict[str, messages.Endpoint] = {}
        self._sources: dict[str, _Source] = {}
        self._missing_since: dict[str, float] = {}
        self._left: dict[Incarnation, None] = {}
        self._changed: set[str] = set()
        self._gone: set[str] = set()
        self._report_sequence = 0

    # ------------------------------------------------------------------ inputs

    def register(self, endpoint: messages.Endpoint, now: float) -> None:
        """Accept what a daemon connected here registers."""
        name = endpoint.instance
        known = self._own.get(name)
        if known is not None and freshness(endpoint) < freshness(known):
            return
        if known == endpoint:
            return
        self._own[name] = endpoint
        self._changed.add(name)
        self._gone.discard(name)
        self._merge(name, now)

    def unregister(self, name: str, now: float) -> None:
        """Note that a daemon is connected here no more."""
        if self._own.pop(name, None) is not None:
            self._changed.discard(name)
            self._gone.add(name)
            self._merge(name, now)

    def take_report(self, replica: str, report: messages.EndpointReport, now: float) -> bool:
        """Accept another control instance's report.

        Returns
        -------
        bool
            False where reports before it are missing, so a whole one is wanted.
        """
        source = self._sources.get(replica)
        touched = {endpoint.instance for endpoint in report.changed} | set(report.gone)
        if report.whole:
            if source is not None:
                touched |= set(source.endpoints)
            source = self._sources[replica] = _Source()
        elif source is None or report.sequence != source.sequence + 1:
            return False
        source.sequence = report.sequence
        for endpoint in report.changed:
            source.endpoints[endpoint.instance] = endpoint
        for name in report.gone:
            source.endpoints.pop(name, None)
        for name in touched:
            self._merge(name, now)
        return True

    def forget_source(self, replica: str, now: float) -> None:
        """Drop the reports of a control instance that is silent."""
        source = self._sources.pop(replica, None)
        for name in source.endpoints if source else ():
            self._merge(name, now)

    def expire(self, now: float) -> None:
        """Drop the endpoints that nobody has reported for too long."""
        for name, since in list(self._missing_since.items()):
            if now - since > self._keep:
                del self._missing_since[name]
                self._change(name, None, now)

    # ----------------------------------------------------------------- outputs

    def is_report_due(self) -> bool:
        """Tell whether there is something new for the other control instances."""
        return bool(self._changed or self._gone)

    def make_report(self) -> messages.EndpointReport:
        """Return what has changed here since the last report."""
        self._report_sequence += 1
        report = messages.EndpointReport(sequence=self._report_sequence)
        report.changed.extend(self._own[name] for name in sorted(self._changed))
        report.gone.extend(sorted(self._gone))
        self._changed = set()
        self._gone = set()
        return report

    def whole_report(self) -> messages.EndpointReport:
        """Return all that is registered here, for a control instance that missed a report."""
        report = messages.EndpointReport(sequence=self._report_sequence, whole=True)
        # What is still to be reported comes once more with the next report.
        report.changed.extend(self._own[name] for name in sorted(self._own))
        return report

    # ----------------------------------------------------------------- merging

    def _merge(self, name: str, now: float) -> None:
        """Bring one endpoint up to date with all that is reported of it."""
        reported = [source.endpoints[name] for source in self._sources.values() if name in source.endpoints]
        if name in self._own:
            reported.append(self._own[name])
        current = self._current(name)
        if not reported:
            if current is not None:
                self._missing_since.setdefault(name, now)
            return
        self._missing_since.pop(name, None)
        best = max(reported, key=freshness)
        if current is not None and freshness(best) < freshness(current):
            return
        merged = messages.Endpoint()
        merged.CopyFrom(best)
        self._note_left(merged)
        if merged != current:
            self._change(name, merged, now)

    def _note_left(self, endpoint: messages.Endpoint) -> None:
        """Keep an incarnation that has left from coming back; its id may, with another start."""
        if not endpoint.upstream:
            return
        incarnation = incarnation_of(endpoint)
        if endpoint.ended:
            # Its start may not be known to who reports it next: a daemon that was restarted.
            for left in (incarnation, Incarnation(endpoint.upstream)):
                self._left[left] = None
            while len(self._left) > MAX_LEFT:
                del self._left[next(iter(self._left))]
        elif incarnation in self._left:
            endpoint.ended = endpoint.leaving = True


def incarnation_of(endpoint: messages.Endpoint) -> Incarnation:
    """Return the incarnation of the application behind an endpoint."""
    return Incarnation(endpoint.upstream, endpoint.upstream_started)


def freshness(endpoint: messages.Endpoint) -> tuple[int, int]:
    """Return what grows with every change of an endpoint: its daemon's incarnation, and the revision under it."""
    return (endpoint.incarnation, endpoint.revision)
