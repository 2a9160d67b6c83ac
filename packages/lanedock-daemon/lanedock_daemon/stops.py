# SPDX-License-Identifier: BSD-3-Clause
"""How long a process's stop may take, from its settings."""

from lanedock.kernel import StopPlan
from lanedock.settings import Settings

__all__ = ["DRAIN_SETTLE", "make_stop_plan"]

# After a drain is announced, new work may still be on its way for this long, in seconds.
DRAIN_SETTLE = 0.3
# Part of the grace time for which callers are still served: they learn within two or
# three seconds of 6 s of grace that they have to go elsewhere.
LINGER_PART = 0.5
# Seconds before the end of the grace time at which everything gets its final answer:
# 0.2 s for writing these (ANSWER_TIME), and 0.6 s for being late and for the other
# services, the log and the interpreter to end, which is slow on a busy instance. Applications
# are waited for until then.
ANSWER_MARGIN = 0.8


def make_stop_plan(settings: Settings) -> StopPlan:
    """Make the plan of a process's stop."""
    grace = settings.stop_grace_s
    if grace is not None:
        return StopPlan(grace * LINGER_PART, grace - ANSWER_MARGIN)
    settle = DRAIN_SETTLE if settings.daemon is not None else 0.0
    return StopPlan(0.0, settle + settings.stop_timeout_ms / 1000)
