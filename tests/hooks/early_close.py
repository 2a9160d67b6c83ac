# SPDX-License-Identifier: BSD-3-Clause
"""A planted mistake: connections are closed as soon as their last answer is written."""

import os

__all__ = ["EARLY_CLOSE_VARIABLE", "install"]

# Environment variable; the mistake is planted if it is set.
EARLY_CLOSE_VARIABLE = "LANEDOCK_TEST_EARLY_CLOSE"


def install() -> None:
    """Make all written answers count as received if the environment demands it."""
    if EARLY_CLOSE_VARIABLE not in os.environ:
        return
    from lanedock_daemon.path.http.delivery import Delivery

    Delivery.is_complete = lambda self: True
    Delivery.is_in_progress = lambda self, now: False
    Delivery.linger = lambda self, timeout: True
