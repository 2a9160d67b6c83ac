# SPDX-License-Identifier: BSD-3-Clause
"""The clocks that lanedock's processes measure time with.

An instance may be suspended for seconds: its processes don't run, and the steady clock of
the operating system does not count that time. To all others the time has passed. What is
believed of others follows it: leases, freshness, deadlines, windows, silence. Measured by a
clock that stands still meanwhile, a leader's lease would seem to run on while another one
leads, and a version to be fresh that was replaced.
"""

import time
from functools import partial

__all__ = ["awake", "monotonic"]


def _choose() -> int:
    """Return the clock that counts suspension, where the platform has one.

    Without it a suspension can't be seen: then a process that was suspended takes what it
    holds for as fresh as it was, until its source speaks again.
    """
    return getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


# Returns seconds that pass for everyone: they never go back, and count suspension. Not a
# function of its own: a request looks at the clock some twenty times.
monotonic = partial(time.clock_gettime, _choose())


def awake() -> float:
    """Return seconds in which this instance has run: suspension doesn't count.

    For what is suspended together with the process, such as the application beside it: it
    hasn't been silent while neither of them ran.
    """
    return time.monotonic()
