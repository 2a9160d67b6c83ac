# SPDX-License-Identifier: BSD-3-Clause
"""Simulates the clocks of a suspended machine in a process that is stopped by a signal.

The monotonic clock runs on while a process is stopped, but stands still while a machine is
suspended; only the boot-time clock counts suspension. Lanedock processes read their clock many
times a second, so a long gap between two reads indicates that the process was stopped.
"""

import os
import time

__all__ = ["KEEP_CLOCKS_VARIABLE", "install"]

# Environment variable; if it is set, clocks run on in a process that is stopped.
KEEP_CLOCKS_VARIABLE = "LANEDOCK_TEST_KEEP_CLOCKS"

# Seconds between two clock reads above which the process is considered to have been stopped.
_SUSPENSION_THRESHOLD = 0.7
_original_monotonic, _original_gettime = time.monotonic, time.clock_gettime
_last_read = _original_monotonic()
_suspended_time = 0.0


def _monotonic() -> float:
    global _last_read, _suspended_time
    now = _original_monotonic()
    if now - _last_read > _SUSPENSION_THRESHOLD:
        _suspended_time += now - _last_read
    _last_read = now
    return now - _suspended_time


def _clock_gettime(clock: int) -> float:
    return _monotonic() if clock == time.CLOCK_MONOTONIC else _original_gettime(clock)


def install() -> None:
    """Patch the monotonic clock functions of this process, unless the environment forbids it."""
    if KEEP_CLOCKS_VARIABLE in os.environ:
        return
    time.monotonic = _monotonic
    time.clock_gettime = _clock_gettime
