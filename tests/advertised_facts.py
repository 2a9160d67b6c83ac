# SPDX-License-Identifier: BSD-3-Clause
"""Checks that applications receive no more requests than the limits and drains they advertise allow."""

from itertools import pairwise

from crashing_application import CrashingApplication

__all__ = ["find_arrivals_after_drain", "find_rate_violations"]

# Seconds after the first request under a limit from which the limit is enforced, and the length in
# seconds of the sliding window in which arrivals are counted.
ENFORCED_AFTER = 3.0
WINDOW = 4.0
# Tolerance per window: a multiple of the advertised rate, plus a constant number of requests.
RATE_FACTOR, COUNT_SLACK = 1.5, 5
# Seconds after an application advertises draining from which no request may arrive.
DRAIN_GRACE = 2.0


def find_rate_violations(app: CrashingApplication, until: float) -> list[str]:
    """Find windows in which an application received more requests than its advertised limit allows.

    Parameters
    ----------
    app : CrashingApplication
    until : float
        Monotonic time of the end of the run in seconds.

    Returns
    -------
    list of str
        One text per incarnation and limit that was exceeded.
    """
    findings = []
    ends = [*app.advertised_limits, (until, "", None)]
    for (advertised_at, _, rate), (end, _, _) in pairwise(ends):
        if rate is None:
            continue
        for incarnation in {incarnation for _, _, incarnation in app.arrivals}:
            arrival_times = [
                at for at, _, receiver in app.arrivals if receiver == incarnation and advertised_at <= at < end
            ]
            if not arrival_times:
                continue
            # Daemons learn of the limit from the first response, which follows the first arrival.
            counted_times = [at for at in arrival_times if at >= arrival_times[0] + ENFORCED_AFTER]
            peak = max(
                (sum(first <= at < first + WINDOW for at in counted_times) for first in counted_times), default=0
            )
            if peak > RATE_FACTOR * rate * WINDOW + COUNT_SLACK:
                findings.append(
                    f"{incarnation} advertised {rate:.2f} requests per second and received {peak} in {WINDOW:g} s"
                )
    return findings


def find_arrivals_after_drain(app: CrashingApplication) -> list[str]:
    """Count, for each incarnation, the requests received more than `DRAIN_GRACE` after it advertised draining."""
    late = {}
    for at, _, incarnation in app.arrivals:
        drain_advertised_at = app.drain_advertised_at.get(incarnation)
        if drain_advertised_at is not None and at > drain_advertised_at + DRAIN_GRACE:
            late[incarnation] = late.get(incarnation, 0) + 1
    return [
        f"{incarnation} received {count} requests more than {DRAIN_GRACE:g} s after advertising draining"
        for incarnation, count in late.items()
    ]
