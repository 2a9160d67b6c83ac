# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the line and the gauge that state how late the event loop runs."""

import json
import time

import gevent
import pytest

from lanedock.telemetry import EventLogger, TextMetrics, configure_logging
from lanedock_daemon.loop_watch import LoopWatch
from lanedock_daemon.path.tests.chain import wait_until


@pytest.fixture
def watched(tmp_path):
    """Run a watch; yields the metrics, and a function that returns its log lines."""
    path, metrics = tmp_path / "log", TextMetrics()
    with open(path, "wb") as file:
        configure_logging("info", file.fileno())
        greenlet = gevent.spawn(LoopWatch(EventLogger("p"), metrics).run)
        gevent.sleep(0)
        yield metrics, lambda: [json.loads(line) for line in path.read_text().splitlines()]
        greenlet.kill()


def _block(seconds: float, is_busy: bool) -> None:
    """Block the loop, either waiting or using so much processor time."""
    if not is_busy:
        time.sleep(seconds)
        return
    until = time.process_time() + seconds
    while time.process_time() < until:
        pass


@pytest.mark.parametrize("is_busy", [False, True])
def test_loop_that_stood_for_half_a_second_is_reported_with_the_processor_time_it_got(watched, is_busy):
    metrics, read_lines = watched
    _block(0.5, is_busy)
    wait_until(read_lines)
    (line,) = read_lines()
    assert (line["message"], line["late_ms"] >= 250) == ("LOOP_LATE", True)
    assert (line["cpu_ms"] > 250) == is_busy
    assert "lanedock_process_loop_delay 0." in metrics.render()
