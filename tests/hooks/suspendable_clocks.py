# SPDX-License-Identifier: BSD-3-Clause
"""Makes a stopped process see the clocks that a suspended machine has.

While a process is stopped by a signal its steady clock runs on; on a machine that is
suspended it does not, and only the clock that counts suspension does. A process that looks
at its clock many times a second, as lanedock's do, was stopped where it hasn't for a while.
"""

import time

__all__ = ["install"]

# Seconds between two looks that are taken for a stop.
_STOPPED = 0.7
_steady, _gettime = time.monotonic, time.clock_gettime
_seen_at = _steady()
_stopped_for = 0.0


def _monotonic() -> float:
    global _seen_at, _stopped_for
    now = _steady()
    if now - _seen_at > _STOPPED:
        _stopped_for += now - _seen_at
    _seen_at = now
    return now - _stopped_for


def _clock_gettime(clock: int) -> float:
    return _monotonic() if clock == time.CLOCK_MONOTONIC else _gettime(clock)


def install() -> None:
    """Replace this process's clocks."""
    time.monotonic = _monotonic
    time.clock_gettime = _clock_gettime
