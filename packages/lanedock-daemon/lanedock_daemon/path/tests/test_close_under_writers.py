# SPDX-License-Identifier: BSD-3-Clause
"""Tests that a channel which is closed while a greenlet waits to write ends the wait, and not the process.

They guard against a watcher that outlives its descriptor: the event loop aborts the process when it changes it, or
watches the connection that got the descriptor next. Each case runs in a process of its own, which it may end.
"""

import subprocess
import sys
import time

import gevent
import pytest
from gevent import socket

from lanedock_daemon.path.http.channel import Channel

# Much more than the socket buffers hold.
DATA = bytes(50_000_000)
# More callbacks than the event loop runs before it looks at its watchers, and the seconds that each takes.
CALLBACKS = 2_000
CALLBACK_TIME = 0.00005
# Seconds.
SETTLE_TIME = 0.05
END_TIMEOUT = 5.0
PROCESS_TIMEOUT = 60


def _send_all(channel: Channel) -> None:
    channel.sendall(DATA)


def _send_parts(channel: Channel) -> None:
    while True:
        channel.send_some(memoryview(DATA))


WRITES = {"sendall": _send_all, "send_some": _send_parts}


def _record_end(write, channel: Channel, ends: list) -> None:
    try:
        write(channel)
    except BaseException as exc:
        ends.append(repr(exc))
        raise


def run_case(name: str, is_killed: bool, is_reused: bool) -> None:
    """Close a channel that one greenlet reads from and another one writes to, and print how the writer ended.

    Parameters
    ----------
    name : str
        One of `WRITES`.
    is_killed : bool
        Whether the writer is killed before, while the event loop has more to do than it does in one pass.
    is_reused : bool
        Whether another connection gets the descriptor at once.
    """
    own, peer = socket.socketpair()
    channel = Channel(own)
    ends: list[str] = []
    reader = gevent.spawn(channel.recv, 100)
    writer = gevent.spawn(_record_end, WRITES[name], channel, ends)
    gevent.sleep(SETTLE_TIME)
    if is_killed:
        for _ in range(CALLBACKS):
            gevent.get_hub().loop.run_callback(time.sleep, CALLBACK_TIME)
        writer.kill(block=False)
    channel.close()
    others = socket.socketpair() if is_reused else ()
    gevent.joinall([reader, writer], END_TIMEOUT)
    has_ended = writer.dead and reader.dead
    gevent.killall([reader, writer])
    for sock in (peer, *others):
        sock.close()
    assert has_ended, "a greenlet still waits for the descriptor of the closed channel"
    print(ends)


@pytest.mark.parametrize("is_reused", [False, True], ids=["free", "reused"])
@pytest.mark.parametrize("is_killed", [False, True], ids=["closed", "killed"])
@pytest.mark.parametrize("name", WRITES)
def test_close_under_a_waiting_writer_does_not_abort_the_process(name, is_killed, is_reused):
    code = f"from {__name__} import run_case; run_case({name!r}, {is_killed}, {is_reused})"
    command = [sys.executable, "-c", code]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=PROCESS_TIMEOUT, check=False)
    assert ended.returncode == 0, ended.stderr
    assert ("GreenletExit" if is_killed else "the connection was closed") in ended.stdout
