# SPDX-License-Identifier: BSD-3-Clause
"""Chooses between two concurrent attempts at one request, and discards the other one."""

import gevent

from lanedock_daemon.path.caller.request_context import AttemptResult
from lanedock_daemon.path.http.answer_writer import close_pieces

__all__ = ["choose_result", "close_unless_chosen"]


def choose_result(first: gevent.Greenlet, second: gevent.Greenlet) -> AttemptResult:
    """Return the result of the attempt that ends first with a final result.

    If neither result is final, the one whose request may have run is preferred.
    """
    result = gevent.wait([first, second], count=1)[0].get()
    if not result.is_final:
        other = (second if first.ready() else first).get()
        result = other if other.is_final or other.may_have_run else result
    # Both attempts were sent, so two applications may have received the request.
    result.arrivals = 2
    return result


def close_unless_chosen(outcome: AttemptResult | BaseException, chosen: AttemptResult | None) -> None:
    """Close the answer of an attempt, unless the attempt is the chosen one."""
    if isinstance(outcome, AttemptResult) and outcome is not chosen:
        close_pieces(outcome.answer.pieces)
