# SPDX-License-Identifier: BSD-3-Clause
"""What applications have seen, against what they stated in their answers: rate limits, and that they leave."""

from itertools import pairwise

from crashing_application import CrashingApplication

__all__ = ["find_excess", "find_late_arrivals"]

# Seconds after a limit was stated from which it binds, and the span in which arrivals are counted.
BINDS_AFTER = 3.0
WINDOW = 4.0
# What may come in a span: so many times the rate, and requests beside.
FACTOR, SLACK = 1.5, 5
# Seconds after an application has stated that it leaves from which nothing may come.
DRAIN_LIMIT = 2.0


def find_excess(app: CrashingApplication, until: float) -> list[str]:
    """Return the spans in which an application got more than the limit that it stated allows.

    Parameters
    ----------
    app : CrashingApplication
    until : float
        Monotonic, seconds: the end of the run.
    """
    findings = []
    ends = [*app.stated_limits, (until, "", None)]
    for (stated_at, _, rate), (end, _, _) in pairwise(ends):
        if rate is None:
            continue
        for start in {start for _, _, start in app.arrivals}:
            came = [at for at, _, ran in app.arrivals if ran == start and stated_at <= at < end]
            if not came:
                continue
            # It stands in the first answer, after the first arrival.
            judged = [at for at in came if at >= came[0] + BINDS_AFTER]
            most = max((sum(first <= at < first + WINDOW for at in judged) for first in judged), default=0)
            if most > FACTOR * rate * WINDOW + SLACK:
                findings.append(f"{start} stated {rate:.2f} a second and got {most} requests in {WINDOW:g} s")
    return findings


def find_late_arrivals(app: CrashingApplication) -> list[str]:
    """Return the requests that reached an application long after it had stated that it leaves."""
    late = {}
    for at, _, start in app.arrivals:
        left_at = app.left_at.get(start)
        if left_at is not None and at > left_at + DRAIN_LIMIT:
            late[start] = late.get(start, 0) + 1
    return [f"{start} had stated that it leaves and got {count} requests later" for start, count in late.items()]
