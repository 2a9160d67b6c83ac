# SPDX-License-Identifier: BSD-3-Clause
"""Chooses between two concurrent attempts at one request, and discards the other one."""

import gevent

from lanedock_daemon.path.caller.request_context import AttemptResult
from lanedock_daemon.path.http.answer_writer import close_pieces

__all__ = ["choose_result", "close_unless_chosen", "get_result"]


def choose_result(first: gevent.Greenlet, second: gevent.Greenlet) -> AttemptResult:
    """Return the better result of two concurrent attempts.

    Success is returned at once. A failure or refusal at one upstream says nothing about the other one, which may be
    working on the request, so the other attempt's result is awaited.
    """
    earlier = gevent.wait([first, second], count=1)[0]
    result = get_result(earlier)
    if not result.is_success:
        later = second if earlier is first else first
        result = max(result, get_result(later), key=_rank)
    # Both attempts were sent, so two applications may have received the request.
    result.arrivals = 2
    return result


def get_result(task: gevent.Greenlet) -> AttemptResult:
    """Wait for the result of an attempt in a greenlet of its own.

    Raises
    ------
    CallerDisconnected
        The attempt has found that the caller has left. gevent returns an exception that ends a greenlet as its value.
    """
    result = task.get()
    if isinstance(result, gevent.GreenletExit):
        raise result
    return result


def _rank(result: AttemptResult) -> tuple[bool, bool, bool]:
    """Return the sort key of a result: above a refusal an unknown outcome, an application's failure, and success."""
    return result.is_success, result.is_final and not result.is_refusal, result.may_have_run


def close_unless_chosen(outcome: AttemptResult | BaseException, chosen: AttemptResult | None) -> None:
    """Close the answer of an attempt, unless the attempt is the chosen one."""
    if isinstance(outcome, AttemptResult) and outcome is not chosen:
        close_pieces(outcome.answer.pieces)
