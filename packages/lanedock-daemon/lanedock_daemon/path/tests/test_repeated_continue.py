# SPDX-License-Identifier: BSD-3-Clause
"""Tests of `100 Continue` to a caller that sent a part of its body or receives nothing while the answer is polled for.

They guard against an interim answer that is begun again in the middle of itself at each look for an early answer.
"""

import gevent
import pytest

from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.shared.exchange import ANSWER_POLL
from lanedock_daemon.path.tests.chain import make_value

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
FITTING_BYTES = 9
TIMEOUT = 5.0


@pytest.mark.parametrize("polls", [0.5, 4])
@pytest.mark.parametrize("size", [4, 60_000])
def test_continue_is_written_once_while_an_early_answer_is_looked_for(make_chain, monkeypatch, size, polls):
    value = make_value()
    value["routes"][1]["deadline_ms"] = 4000
    chain = make_chain(None, value=value)
    write, taken = Channel._write, []
    has_room = gevent.event.Event()
    conn = chain.connect()
    port = conn.getsockname()[1]

    def write_part(channel, data):
        if has_room.is_set() or channel._sock.getpeername()[1] != port:
            return write(channel, data)
        if not taken:
            taken.append(1)
            return write(channel, data[:FITTING_BYTES])
        gevent.sleep(0.005)
        return write(channel, b"")

    monkeypatch.setattr(Channel, "_write", write_part)
    with conn, gevent.Timeout(TIMEOUT):
        conn.sendall(b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\nexpect: 100-continue\r\n\r\n" % size)
        while not taken:
            gevent.sleep(0.005)
        gevent.sleep(polls * ANSWER_POLL)
        has_room.set()
        received = b""
        while len(received) < len(CONTINUE):
            received += conn.recv(65536)
        conn.sendall(b"." * size)
        received += conn.recv(65536)
    assert received.startswith(CONTINUE + b"HTTP/1.1 200"), received
