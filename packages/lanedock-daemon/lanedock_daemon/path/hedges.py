# SPDX-License-Identifier: BSD-3-Clause
"""Two tries of one request at once: which of them counts, and what becomes of the other."""

import gevent

from lanedock_daemon.path.answer_writer import close_pieces
from lanedock_daemon.path.job import Try

__all__ = ["drop_unless", "first_of"]


def first_of(first: gevent.Greenlet, second: gevent.Greenlet) -> Try:
    """Return what became of two tries at once: the first that is final, or the one that says more."""
    done = gevent.wait([first, second], count=1)[0].get()
    if not done.is_final:
        made = (second if first.ready() else first).get()
        done = made if made.is_final or made.may_have_run else done
    # Both were sent: what an application may have seen counts twice.
    done.arrivals = 2
    return done


def drop_unless(outcome: Try | BaseException, chosen: Try | None) -> None:
    """Close the answer that a try has come to, unless it is the chosen one."""
    if isinstance(outcome, Try) and outcome is not chosen:
        close_pieces(outcome.answer.pieces)
