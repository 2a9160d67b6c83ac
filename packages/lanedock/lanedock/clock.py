# SPDX-License-Identifier: BSD-3-Clause
"""The clocks that lanedock's processes measure time with.

An instance may be suspended for seconds. Its processes don't run meanwhile, and
CLOCK_MONOTONIC does not count that time, while time passes for all other instances. Whatever
concerns other instances is therefore measured by a clock that counts suspension: leases,
freshness, deadlines, windows and silence. Otherwise a suspended leader's lease would seem
valid while another instance leads, and a replaced version would seem fresh.
"""

import time
from functools import partial

__all__ = ["monotonic", "running_time"]


def _choose_clock_id() -> int:
    """Return the id of the clock that counts suspension, or of CLOCK_MONOTONIC if there is none.

    Without such a clock a process can't notice its suspension: it takes its data to be as
    fresh as before the suspension until the data's source sends the next message.
    """
    return getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


# Returns the time in seconds: it never goes back and includes suspension. A partial object
# instead of a Python function, because each request reads the clock some twenty times.
monotonic = partial(time.clock_gettime, _choose_clock_id())


def running_time() -> float:
    """Return the time that this instance has been running, in seconds, without suspension.

    Used for whatever is suspended together with this process, such as the application on the
    same instance: the application's silence does not include time in which neither ran.
    """
    return time.monotonic()
