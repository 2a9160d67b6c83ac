# SPDX-License-Identifier: BSD-3-Clause
"""What the log lines of a request state about the stop of the process during which it ended."""

from lanedock.kernel import StopPlan

__all__ = ["STOP_DEADLINE_REASON", "describe_stop"]

# Reason of a request that was interrupted because the deadline of the process's stop had come.
STOP_DEADLINE_REASON = "deadline of the stop"


def describe_stop(plan: StopPlan, started: float, ended: float) -> dict[str, int]:
    """Return when a request was read and when it ended, in milliseconds since the stop began; empty without a stop.

    Parameters
    ----------
    plan : StopPlan
        Stop plan of the process.
    started, ended : float
        Monotonic times, in seconds.
    """
    if not plan.is_begun:
        return {}
    return {"stop_read_ms": round(1000 * plan.elapsed(started)), "stop_ended_ms": round(1000 * plan.elapsed(ended))}
