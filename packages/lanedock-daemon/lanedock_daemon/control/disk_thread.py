# SPDX-License-Identifier: BSD-3-Clause
"""Disk calls in a thread, so that a slow disk does not block the greenlets of the process."""

import gevent

from lanedock.consensus import StorageError

__all__ = ["run_in_thread"]


def run_in_thread(function, *args):
    """Run a function in a thread of gevent's pool, and return its result.

    Raises
    ------
    StorageError
        Raised by the function. The thread returns the error instead of raising
        it, as the pool would print the traceback.
    """
    result = gevent.get_hub().threadpool.apply(_return_error, (function, *args))
    if isinstance(result, StorageError):
        raise result
    return result


def _return_error(function, *args):
    try:
        return function(*args)
    except StorageError as exc:
        return exc
