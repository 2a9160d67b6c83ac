# SPDX-License-Identifier: BSD-3-Clause
"""Tests of peers in the mesh that send frames or datagrams without end.

They guard against reads that leave no time to other greenlets, and against memory that grows with what is sent.
"""

import struct
import subprocess
import sys

import gevent
import pytest
from gevent import socket

from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon import frames
from lanedock_daemon.framed import FramedTransport
from lanedock_daemon.framed_links import PURPOSE_REPLICAS
from lanedock_daemon.framed_quotas import PURPOSE_QUOTAS
from lanedock_daemon.frames import MAX_DAEMON_FRAME, MAX_FRAME, read_frames
from lanedock_daemon.path.tests.flooding import Flood
from lanedock_daemon.path.upstream.load_responder import LoadResponder
from lanedock_daemon.tests.links import Owner, free_port

HOST = "127.0.0.1"
WAIT_LIMIT_S = 20.0
# A field that no message has, of 1,000 bytes.
PADDING = b"\xfa\x3f\xe8\x07" + bytes(1000)


def _make_frame(data: bytes) -> bytes:
    return struct.pack(">I", len(data)) + data


@pytest.fixture
def owner():
    """The task of a control instance to which messages are posted."""
    return Owner()


@pytest.fixture
def address(owner):
    """Address at which a control instance serves."""
    at = Address(HOST, free_port())
    listener = FramedTransport(None).serve_control(owner, at, owner)
    yield at
    listener.close()


@pytest.mark.parametrize("purpose", [b"D", PURPOSE_REPLICAS, PURPOSE_QUOTAS])
def test_other_greenlets_run_while_frames_come_without_end(owner, address, purpose):
    flood = Flood(purpose, _make_frame(PADDING))
    flood.start(socket.create_connection((address.host, address.port)))
    with gevent.Timeout(WAIT_LIMIT_S):
        while not owner.posted:
            gevent.sleep(0)
        for _ in range(10):
            gevent.sleep(0)
    assert not flood.has_ended
    flood.stop()


@pytest.mark.parametrize(
    ("purpose", "limit"), [(b"D", MAX_DAEMON_FRAME), (PURPOSE_QUOTAS, MAX_DAEMON_FRAME), (PURPOSE_REPLICAS, MAX_FRAME)]
)
def test_a_frame_that_is_longer_than_its_kind_of_message_ends_the_connection(address, purpose, limit):
    with socket.create_connection((address.host, address.port)) as conn, gevent.Timeout(WAIT_LIMIT_S):
        conn.sendall(purpose + struct.pack(">I", limit + 1) + b"." * 100)
        with pytest.raises(OSError):
            while True:
                conn.sendall(b"." * 1000)
                gevent.sleep(0.01)


def test_a_frame_that_trickles_ends_the_connection(monkeypatch):
    monkeypatch.setattr(frames, "FRAME_TIMEOUT", 0.1)
    near, far = socket.socketpair()
    sending = gevent.spawn(_trickle, far, _make_frame(bytes(1000)))
    with gevent.Timeout(WAIT_LIMIT_S), pytest.raises(ConnectionError, match="not complete"):
        read_frames(near, lambda data: None)
    sending.kill()
    near.close()
    far.close()


def test_frames_that_are_complete_in_time_are_read_for_any_time(monkeypatch):
    monkeypatch.setattr(frames, "FRAME_TIMEOUT", 0.2)
    near, far = socket.socketpair()
    received = []
    # Each read ends within a frame, so some frame is always incomplete.
    sending = gevent.spawn(_trickle, far, _make_frame(b"message") * 60, 7)
    with gevent.Timeout(WAIT_LIMIT_S):
        read_frames(near, received.append)
    sending.get()
    near.close()
    assert received == [b"message"] * 60


def _trickle(conn, data: bytes, size: int = 1) -> None:
    """Send data in small parts, and end the stream."""
    for start in range(0, len(data), size):
        conn.sendall(data[start : start + size])
        gevent.sleep(0.005)
    conn.close()


# Sends datagrams to a port of this machine until it is ended.
DATAGRAM_FLOOD = """
import socket, sys
sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
sock.connect(("127.0.0.1", int(sys.argv[1])))
while True:
    try:
        sock.send(b"\\x08\\x01")
    except OSError:
        pass
"""


def test_other_greenlets_run_while_load_probes_come_without_end():
    answered = 0

    def measure() -> messages.LoadReply:
        nonlocal answered
        answered += 1
        return messages.LoadReply()

    responder = LoadResponder(Address(HOST, free_port()), lambda: True, measure)
    responder.start(None)
    floods = [subprocess.Popen([sys.executable, "-c", DATAGRAM_FLOOD, str(responder.port)]) for _ in range(2)]
    try:
        with gevent.Timeout(WAIT_LIMIT_S):
            while answered < 1000:
                gevent.sleep(0)
        # While the datagrams keep coming, this greenlet runs between any two.
        before = answered
        gevent.sleep(0)
        assert answered - before < 100
    finally:
        for flood in floods:
            flood.kill()
            flood.wait()
        responder.stop()
