# SPDX-License-Identifier: BSD-3-Clause
"""Tests of stops of processes that get no processor time for a while, or whose services fail to stop.

They guard against requests that are cut without an answer. A process that is starved or suspended across the
deadline of its stop notices the deadline and the end of the time for final answers at the same moment. An exception
of one service would end the stop of all.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time

import gevent
import pytest
from gevent import socket

from lanedock.clock import monotonic
from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, wait_until
from lanedock_daemon.tests.stopping import (
    GRACE,
    LONG,
    SentRequests,
    free_ports,
    is_listening,
    make_request,
    read_outcomes,
    write_entry_settings,
)

# Seconds from the start of a stop to its deadline.
LIMIT = 0.3


class _ApplicationSide:
    """A request handler whose attempt, a greenlet, waits for an application's data on a connection."""

    def __init__(self):
        self.requests = 0
        self.application, self._conn = socket.socketpair()

    def handle(self, request) -> Answer:
        self.requests += 1
        data = gevent.spawn(self._conn.recv, 100).get()
        return Answer(200, "OK", [("content-length", str(len(data)))], [data])


def _begin(server: PathServer) -> SentRequests:
    sent = SentRequests((HOST, server.port), make_request("/x"))
    wait_until(lambda: server.side.requests)
    return sent


@pytest.mark.parametrize("is_in_begin", [False, True])
def test_final_answer_is_given_although_the_process_gets_no_time_at_the_deadline(is_in_begin):
    plan = StopPlan(0.0, LIMIT)
    server = PathServer("s", Address(HOST, 0), _ApplicationSide(), plan, EventLogger("d"))
    server.start(None)
    sent = _begin(server)
    if is_in_begin:
        plan.begin(monotonic())
    else:
        server.begin_stop()
    time.sleep(4 * LIMIT)
    server.stop()
    sent.join(timeout=LONG)
    assert read_outcomes(sent.received) == ["unknown"]


def test_answer_that_arrives_while_the_process_gets_no_time_is_passed_on_after_the_deadline():
    side = _ApplicationSide()
    server = PathServer("s", Address(HOST, 0), side, StopPlan(0.0, LIMIT), EventLogger("d"))
    server.start(None)
    sent = _begin(server)
    stopping = gevent.spawn(server.stop)
    gevent.sleep(LIMIT / 3)
    side.application.sendall(b"done")
    time.sleep(4 * LIMIT)
    stopping.join(timeout=LONG)
    sent.join(timeout=LONG)
    assert sent.received.startswith(b"HTTP/1.1 200")
    assert sent.received.endswith(b"done")


_PROGRAM = """
import time
from gevent import monkey
monkey.patch_all()
from lanedock_daemon.path.caller.caller import CallerSide
CallerSide.handle = lambda side, request: time.sleep(600)
{change}
from lanedock_daemon.app import run
run()
"""


def _start(folder, change: str = "", output: int = subprocess.PIPE) -> tuple[subprocess.Popen, SentRequests]:
    """Start an entry daemon whose requests take longer than its stop, and send a request."""
    ready, entry = free_ports(2)
    path = write_entry_settings(folder, ready, entry)
    program = _PROGRAM.format(change=change)
    process = subprocess.Popen([sys.executable, "-c", program, "--settings", path], stdout=output)
    try:
        wait_until(lambda: is_listening(entry))
        sent = SentRequests((HOST, entry), make_request("/x"))
        gevent.sleep(0.2)
    except BaseException:
        process.kill()
        process.wait()
        raise
    return process, sent


@pytest.mark.parametrize("is_serving", [True, False])
def test_final_answer_is_given_by_a_process_that_is_suspended_across_the_deadline(tmp_path, is_serving):
    process, sent = _start(tmp_path)
    try:
        process.send_signal(signal.SIGTERM)
        # The first moment is before the servers close, the second after it.
        suspended_after = GRACE * (0.4 if is_serving else 0.6)
        gevent.sleep(suspended_after)
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(0.9 * GRACE - suspended_after)
        process.send_signal(signal.SIGCONT)
        output = process.communicate(timeout=LONG)[0].decode()
    finally:
        process.kill()
        process.wait()
    sent.join(timeout=LONG)
    assert read_outcomes(sent.received) == ["unknown"], output
    assert process.returncode == 0


@pytest.mark.parametrize("step", ["begin_stop", "stop"])
def test_failure_of_one_service_to_stop_cuts_no_request_and_is_logged(tmp_path, step):
    change = f"""
from lanedock_daemon.roles import DrainService
def fail(service):
    raise OSError("refused")
DrainService.{step} = fail
"""
    process, sent = _start(tmp_path, change)
    try:
        process.terminate()
        output = process.communicate(timeout=LONG)[0].decode()
    finally:
        process.kill()
        process.wait()
    sent.join(timeout=LONG)
    assert read_outcomes(sent.received) == ["unknown"], output
    assert "OSError('refused')" in output
    assert process.returncode == 1


def test_stop_counts_from_a_signal_that_comes_while_the_event_loop_is_blocked(tmp_path):
    change = """
import os, signal
from gevent.monkey import get_original
def block(side, request):
    os.kill(os.getpid(), signal.SIGTERM)
    get_original("time", "sleep")(0.5)
    time.sleep(600)
CallerSide.handle = block
"""
    process, sent = _start(tmp_path, change)
    try:
        output = process.communicate(timeout=LONG)[0].decode()
    finally:
        process.kill()
        process.wait()
    sent.join(timeout=LONG)
    lines = {line["message"]: line for line in map(json.loads, output.splitlines())}
    assert lines["STOPPING"]["after_ms"] >= 500
    assert read_outcomes(sent.received) == ["unknown"]
    assert process.returncode == 0


def test_log_that_nobody_reads_does_not_hold_a_stop(tmp_path):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"." * 4096)
    os.set_blocking(writer, True)
    process, sent = _start(tmp_path, output=writer)
    try:
        process.terminate()
        process.wait(timeout=GRACE)
    finally:
        process.kill()
        process.wait()
        os.close(reader)
        os.close(writer)
    sent.join(timeout=LONG)
    assert read_outcomes(sent.received) == ["unknown"]
    assert process.returncode == 0
