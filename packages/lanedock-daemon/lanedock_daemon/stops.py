# SPDX-License-Identifier: BSD-3-Clause
"""The time limits of a process's stop, derived from its settings."""

from lanedock.kernel import StopPlan
from lanedock.settings import Settings

__all__ = ["DRAIN_SETTLE", "make_stop_plan"]

# Seconds after the announcement of a drain during which new requests may still arrive.
DRAIN_SETTLE = 0.3
# Fraction of the grace time during which callers are still served: with 6 s of grace,
# they take two or three seconds to learn that they have to use another instance.
LINGER_FRACTION = 0.5
# Seconds before the end of the grace time at which every request in progress gets its final
# answer: 0.2 s for writing the answers (FINAL_ANSWER_TIME), and 0.6 s for delays and for ending the
# other services, the log and the interpreter, which is slow on a busy instance. Applications
# have until then to answer.
ANSWER_MARGIN = 0.8


def make_stop_plan(settings: Settings) -> StopPlan:
    """Make the plan of a process's stop: how long callers are served, and the deadline for answers."""
    grace = settings.stop_grace_s
    if grace is not None:
        return StopPlan(grace * LINGER_FRACTION, grace - ANSWER_MARGIN)
    settle = DRAIN_SETTLE if settings.daemon is not None else 0.0
    return StopPlan(0.0, settle + settings.stop_timeout_ms / 1000)
