# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the framed transport."""

import gevent
from gevent import socket

from lanedock.kernel import TaskService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon import framed
from lanedock_daemon.framed import FramedTransport
from lanedock_daemon.sessions import ChildArrived, ChildReported


class _Owner(TaskService):
    """Keeps what it is posted."""

    name = "owner"

    def __init__(self):
        super().__init__(1.0)
        self.posted: list[object] = []

    def post(self, message: object) -> None:
        self.posted.append(message)

    def on_messages(self, batch: list[object]) -> None:
        raise NotImplementedError


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_what_is_sent_while_a_stream_still_connects_arrives_behind_its_first_message():
    transport = FramedTransport(None)
    address = Address("127.0.0.1", _free_port())
    server = _Owner()
    listener = transport.serve_daemons(server, address)
    stream = transport.open_source(_Owner(), address)
    stream.open(messages.DaemonMessage(floor_token=1))
    # Nothing has run yet that could have connected.
    stream.send(messages.DaemonMessage(floor_token=2))
    with gevent.Timeout(5):
        while len(server.posted) < 2:
            gevent.sleep(0.01)
    stream.close()
    listener.close()
    first, second = server.posted[:2]
    assert isinstance(first, ChildArrived) and first.message.floor_token == 1
    assert isinstance(second, ChildReported) and second.message.floor_token == 2


def test_a_link_to_a_replica_that_was_replaced_ends(monkeypatch):
    monkeypatch.setattr(framed, "UNUSED_LIMIT", 0.1)
    monkeypatch.setattr(framed, "RECONNECT_MAX", 0.05)
    links = FramedTransport(None).peer_links({})
    gone = f"127.0.0.1:{_free_port()}"
    links.send([messages.PeerMessage(sender="me", receiver=gone)])
    assert list(links._links) == [gone]
    with gevent.Timeout(5):
        while links._links:
            gevent.sleep(0.01)
    # Should it take part again, it has a link again.
    links.send([messages.PeerMessage(sender="me", receiver=gone)])
    assert list(links._links) == [gone]
