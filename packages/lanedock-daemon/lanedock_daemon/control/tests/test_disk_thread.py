# SPDX-License-Identifier: BSD-3-Clause
"""Tests of disk calls in a thread."""

import time

import gevent
import pytest

from lanedock.consensus import StorageError
from lanedock.errors import ErrorCode
from lanedock_daemon.control.disk_thread import run_in_thread


def test_other_greenlets_run_while_a_disk_call_takes_long():
    counted = []
    counter = gevent.spawn(lambda: [(counted.append(number), gevent.sleep(0.01)) for number in range(5)])
    assert run_in_thread(lambda: time.sleep(0.5) or "done") == "done"
    assert len(counted) == 5
    counter.join()


def test_a_refused_call_is_raised_where_it_was_made():
    def refuse() -> None:
        raise StorageError(ErrorCode.DISK_FAILED, "full")

    with pytest.raises(StorageError) as raised:
        run_in_thread(refuse)
    assert raised.value.code is ErrorCode.DISK_FAILED
