# SPDX-License-Identifier: BSD-3-Clause
"""Tests that answers on their way to slow callers survive the end of the process.

The kernel delivers what was written after the end of a process, unless the connection had unread input then.
"""

import subprocess
import sys

import gevent
import pytest
from gevent import socket
from gevent import subprocess as gevent_subprocess

from lanedock_daemon.path.tests.chain import HOST

BODY_LENGTH = 60_000
RECEIVE_BUFFER = 4096
# A server with long answers: prints its port, and a line once it has written an answer; stops when its input ends.
SERVER = f"""
import os
import sys
import gevent
from gevent.fileobject import FileObject
from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.server import PathServer

class Side:
    def handle(self, request):
        return Answer(200, "OK", [("content-length", "{BODY_LENGTH}")], Pieces())

class Pieces(list):
    def __init__(self):
        super().__init__([b"." * {BODY_LENGTH}])

    def close(self):
        print("written", flush=True)

server = PathServer("s", Address("{HOST}", 0), Side(), StopPlan(0.0, 0.3), EventLogger("s"))
server.start(None)
print(server.port, flush=True)
FileObject(sys.stdin).read()
server.stop()
os._exit(0)
"""
# A request whose body is longer than what is read of it while it waits.
UPLOAD = b"POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\n"
# How a caller goes on while its answer is on its way.
CALLERS = {
    "waits": lambda conn: None,
    "ends its sending side": lambda conn: conn.shutdown(socket.SHUT_WR),
    "uploads behind it": lambda conn: _send_in_parts(conn, UPLOAD, b"." * 100, b"." * 100),
    "sends requests behind it": lambda conn: _send_in_parts(conn, *40 * [b"GET /b HTTP/1.1\r\nhost: h\r\n\r\n"]),
}


def _send_in_parts(conn, *parts: bytes) -> None:
    """Send parts at intervals that let the server read each."""
    for part in parts:
        conn.sendall(part)
        gevent.sleep(0.005)


@pytest.mark.parametrize("caller", CALLERS)
def test_written_answer_survives_the_end_of_the_process(caller):
    process = gevent_subprocess.Popen([sys.executable, "-c", SERVER], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        port = int(process.stdout.readline())
        with socket.socket() as conn:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            conn.settimeout(10)
            conn.connect((HOST, port))
            conn.sendall(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n")
            assert process.stdout.readline() == b"written\n"
            process.stdin.close()
            gevent.sleep(0.1)
            CALLERS[caller](conn)
            assert process.wait(timeout=10) == 0
            data = b""
            while len(data) < BODY_LENGTH and (more := conn.recv(RECEIVE_BUFFER)):
                data += more
            while more := conn.recv(RECEIVE_BUFFER):
                data += more
    finally:
        if process.poll() is None:
            process.kill()
            process.wait()
        process.stdout.close()
    assert data.endswith(b"\r\n\r\n" + b"." * BODY_LENGTH)
