# SPDX-License-Identifier: BSD-3-Clause
"""Checks of links between control instances, shared by the tests of all transports."""

import gevent
from gevent import socket

from lanedock.clock import monotonic
from lanedock.kernel import TaskService
from lanedock.wire import messages
from lanedock_daemon.tests.proxies import SilencingProxy
from lanedock_daemon.transport import PeerLinks

__all__ = [
    "SLOW_RATE",
    "SLOW_SILENCE_LIMIT",
    "Owner",
    "check_full_link_is_replaced",
    "check_silent_link_is_replaced",
    "check_slow_link_delivers_long_message",
    "free_port",
]

# Bytes per second of a slow link.
SLOW_RATE = 500_000
# Seconds of silence after which a slow link is replaced.
SLOW_SILENCE_LIMIT = 1.0


class Owner(TaskService):
    """Records the messages that are posted to it."""

    name = "owner"

    def __init__(self):
        super().__init__(1.0)
        self.posted: list[object] = []

    def post(self, message: object) -> None:
        self.posted.append(message)

    def on_messages(self, batch: list[object]) -> None:
        raise NotImplementedError


def free_port() -> int:
    """Return a loopback port on which no process listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def check_silent_link_is_replaced(links: PeerLinks, name: str, peer: Owner, proxy: SilencingProxy) -> None:
    """Check that a silent link is replaced although messages arrive over the peer's own link.

    A follower that no longer hears its leader sends vote requests over its own link.

    Parameters
    ----------
    links : PeerLinks
    name : str
        The peer's name.
    peer : Owner
        Receives the messages that arrive at the peer.
    proxy : SilencingProxy
        Between the links and the peer.
    """

    def send() -> int:
        """Send a message just after the peer was heard; return how many messages have arrived."""
        links.note_heard(name, monotonic())
        links.send([messages.PeerMessage(sender="me", receiver=name)])
        gevent.sleep(0.02)
        return len(peer.posted)

    with gevent.Timeout(10):
        while not send():
            pass
        # The link is in use for longer than its silence limit, and stays open.
        for _ in range(30):
            send()
        assert proxy.accepted == 1
        proxy.silence()
        before = send()
        while send() <= before + 1:
            pass
    assert proxy.accepted == 2


def check_full_link_is_replaced(links: PeerLinks, name: str, peer: Owner, proxy: SilencingProxy) -> None:
    """Check that a silent link is replaced although its socket buffer is full.

    Parameters as in `check_silent_link_is_replaced`.
    """

    def send(size: int) -> int:
        message = messages.PeerMessage(sender="me", receiver=name)
        message.snapshot_request.state = bytes(size)
        links.send([message])
        gevent.sleep(0.02)
        return len(peer.posted)

    with gevent.Timeout(20):
        sent = 1
        # Waits for all of them: a late one would count as received over the new link.
        while send(1) < sent:
            sent += 1
            gevent.sleep(0.2)
        proxy.stop_reading()
        before = send(6 * 1024 * 1024)
        while send(1) <= before:
            pass
    assert proxy.accepted > 1


def check_slow_link_delivers_long_message(links: PeerLinks, name: str, peer: Owner, proxy: SilencingProxy) -> None:
    """Check that a link is not replaced while one message takes several silence limits to arrive.

    If the link were replaced, its queued messages and the unsent rest of the long one would be
    lost, and a replica without data would never receive its snapshot. Parameters as in
    `check_silent_link_is_replaced`.
    """
    short = messages.PeerMessage(sender="me", receiver=name)
    long = messages.PeerMessage(sender="me", receiver=name)
    long.snapshot_request.state = bytes(int(4 * SLOW_SILENCE_LIMIT * SLOW_RATE))

    def send(message: messages.PeerMessage) -> None:
        links.note_heard(name, monotonic())
        links.send([message])
        gevent.sleep(0.05)

    with gevent.Timeout(20):
        while not peer.posted:
            send(short)
        send(long)
        # Short messages follow, as a leader sends them all the time.
        while not any(item.message == long for item in peer.posted):
            send(short)
    assert proxy.accepted == 1
