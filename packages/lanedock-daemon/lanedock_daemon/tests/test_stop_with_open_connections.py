# SPDX-License-Identifier: BSD-3-Clause
"""Tests of a stop of the program, with gevent's patches, under callers that close while it ends."""

import subprocess
import sys

import gevent
from gevent import socket

from lanedock_daemon.path.tests.chain import HOST, wait_until
from lanedock_daemon.tests.stopping import LONG, free_ports, is_listening, make_request, write_entry_settings

CALLERS = 100
# Requests that can only end with the final answers of the stop.
PROGRAM = """
import time
from gevent import monkey
monkey.patch_all()
from lanedock_daemon.path.caller.caller import CallerSide
CallerSide.handle = lambda side, request: time.sleep(600)
from lanedock_daemon.app import run
run()
"""


def test_program_whose_callers_close_after_their_final_answers_stops_in_order(tmp_path):
    ready, entry = free_ports(2)
    path = write_entry_settings(tmp_path, ready, entry)
    process = subprocess.Popen([sys.executable, "-c", PROGRAM, "--settings", path], stdout=subprocess.PIPE)
    try:
        wait_until(lambda: is_listening(entry))

        def call(number: int) -> None:
            with socket.create_connection((HOST, entry)) as conn:
                conn.sendall(make_request("/x"))
                conn.recv(65536)
                # Some close before the server's connections are logged, some meanwhile, some after.
                gevent.sleep(0.15 + 0.001 * number)

        callers = [gevent.spawn(call, number) for number in range(CALLERS)]
        gevent.sleep(0.5)
        process.terminate()
        gevent.joinall(callers, timeout=LONG)
        output = process.communicate(timeout=LONG)[0].decode()
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 0, [line for line in output.splitlines() if "UNEXPECTED" in line or "STOPPED" in line]
