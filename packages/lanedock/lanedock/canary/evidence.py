# SPDX-License-Identifier: BSD-3-Clause
"""Counts of all daemons for a canary and for the stable version, collected by the leader.

Daemons report cumulative counts, so lost, repeated or reordered reports do not distort the sums.
"""

from lanedock.canary.counts import BUCKETS
from lanedock.wire import messages

__all__ = ["Evidence", "Increment"]


class Increment:
    """Increase of the counts of one route's requests to one upstream.

    Parameters
    ----------
    route : str
    upstream : str
        Instance of the canary upstream; empty for a stable one.

    Attributes
    ----------
    source : str
        Name of the daemon that counted the requests: the daemon of the upstream.
    sent : int
        Number of requests passed on to the upstream's application.
    answered : int
        Number of answered requests, including failures and lost answers.
    failed : int
        Failures and lost answers among `answered`.
    times : list of int
        Number of answers that did not fail in each time bucket.
    """

    __slots__ = ("answered", "failed", "route", "sent", "source", "times", "upstream")

    def __init__(self, route: str, upstream: str):
        self.route = route
        self.upstream = upstream
        self.source = ""
        self.sent = 0
        self.answered = 0
        self.failed = 0
        self.times = [0] * BUCKETS

    def __repr__(self) -> str:
        return f"<Increment {self.route} {self.upstream or 'stable'} answered={self.answered} failed={self.failed}>"

    def add(self, counts: messages.CanaryCounts, former: messages.CanaryCounts | None) -> None:
        """Add the difference between a daemon's counts and its former ones."""
        self.sent += counts.sent - (former.sent if former else 0)
        self.answered += counts.answered - (former.answered if former else 0)
        self.failed += counts.failed - (former.failed if former else 0)
        for bucket, count in enumerate(counts.times[:BUCKETS]):
            self.times[bucket] += count - (former.times[bucket] if former else 0)


class VersionTotals:
    """Sums over all routes and upstreams of one version."""

    __slots__ = ("answered", "failed", "sent")

    def __init__(self):
        self.sent = 0
        self.answered = 0
        self.failed = 0

    def __repr__(self) -> str:
        return f"<VersionTotals sent={self.sent} answered={self.answered} failed={self.failed}>"

    def add(self, increment: Increment) -> None:
        """Add an increment to the sums."""
        self.sent += increment.sent
        self.answered += increment.answered
        self.failed += increment.failed


class Evidence:
    """The counts of one canary.

    Parameters
    ----------
    number : int
        Number of the canary.

    Attributes
    ----------
    stable, canary : VersionTotals
        Sums of the stable version and of the canary.
    """

    def __init__(self, number: int):
        self._number = number
        # Incarnation and last counts by (route, upstream) of each daemon.
        self._last_counts: dict[str, tuple[int, dict[tuple[str, str], messages.CanaryCounts]]] = {}
        self.stable = VersionTotals()
        self.canary = VersionTotals()

    def __repr__(self) -> str:
        return f"<Evidence of {self._number}: stable={self.stable!r} canary={self.canary!r}>"

    def take(self, daemons: dict[str, messages.DaemonState]) -> list[Increment]:
        """Return the increments since the last call, and add them to the sums.

        Parameters
        ----------
        daemons : dict of str to DaemonState
            Latest known state of each daemon.
        """
        increments: list[Increment] = []
        for name, state in daemons.items():
            increments += self._take_daemon(name, state)
        for increment in increments:
            (self.canary if increment.upstream else self.stable).add(increment)
        return increments

    def _take_daemon(self, name: str, state: messages.DaemonState) -> list[Increment]:
        last = self._last_counts.get(name)
        if last is not None and last[0] > state.incarnation:
            return []
        increments = []
        rows = last[1] if last is not None and last[0] == state.incarnation else {}
        for counts in state.canary_counts:
            if counts.number != self._number:
                continue
            key = (counts.route, counts.upstream)
            former = rows.get(key)
            if former is not None and former.sent == counts.sent and former.answered == counts.answered:
                continue
            if former is not None and (former.sent > counts.sent or former.answered > counts.answered):
                # The report is older than the one that was taken last.
                continue
            increment = Increment(*key)
            increment.source = name
            increment.add(counts, former)
            increments.append(increment)
            rows[key] = counts
        self._last_counts[name] = (state.incarnation, rows)
        return increments
