# SPDX-License-Identifier: BSD-3-Clause
"""What links between control instances have to bear, over any transport."""

import gevent
from gevent import socket

from lanedock.clock import monotonic
from lanedock.kernel import TaskService
from lanedock.wire import messages
from lanedock_daemon.tests.proxies import SilencingProxy
from lanedock_daemon.transport import PeerLinks

__all__ = [
    "NARROW_RATE",
    "NARROW_SILENCE_LIMIT",
    "Owner",
    "check_a_full_link_is_opened_anew",
    "check_a_narrow_link_brings_a_long_message",
    "check_a_silent_link_is_opened_anew",
    "free_port",
]

# Bytes a second of a narrow link, and the silence after which it is opened anew, in seconds.
NARROW_RATE = 500_000
NARROW_SILENCE_LIMIT = 1.0


class Owner(TaskService):
    """Keeps what it is posted."""

    name = "owner"

    def __init__(self):
        super().__init__(1.0)
        self.posted: list[object] = []

    def post(self, message: object) -> None:
        self.posted.append(message)

    def on_messages(self, batch: list[object]) -> None:
        raise NotImplementedError


def free_port() -> int:
    """Return a port of loopback that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def check_a_silent_link_is_opened_anew(links: PeerLinks, name: str, peer: Owner, proxy: SilencingProxy) -> None:
    """Check that a link that falls silent is opened anew though its peer is heard over its own link.

    A follower that hears its leader no more calls for votes, over its own link, and so is heard.

    Parameters
    ----------
    links : PeerLinks
    name : str
        The peer's.
    peer : Owner
        Is posted what arrives there.
    proxy : SilencingProxy
        Between the two.
    """

    def send() -> int:
        """Send, with the peer heard just before; returns how many messages have come."""
        links.note_heard(name, monotonic())
        links.send([messages.PeerMessage(sender="me", receiver=name)])
        gevent.sleep(0.02)
        return len(peer.posted)

    with gevent.Timeout(10):
        while not send():
            pass
        # The link is busy for longer than its limit, and stays open.
        for _ in range(30):
            send()
        assert proxy.accepted == 1
        proxy.silence()
        before = send()
        while send() <= before + 1:
            pass
    assert proxy.accepted == 2


def check_a_full_link_is_opened_anew(links: PeerLinks, name: str, peer: Owner, proxy: SilencingProxy) -> None:
    """Check that a silent link is opened anew though more waits than its socket takes; see above."""

    def send(size: int) -> int:
        message = messages.PeerMessage(sender="me", receiver=name)
        message.snapshot_request.state = bytes(size)
        links.send([message])
        gevent.sleep(0.02)
        return len(peer.posted)

    with gevent.Timeout(20):
        sent = 1
        # All of them: one that comes later would be taken for one over the new link.
        while send(1) < sent:
            sent += 1
            gevent.sleep(0.2)
        proxy.stop_reading()
        before = send(6 * 1024 * 1024)
        while send(1) <= before:
            pass
    assert proxy.accepted > 1


def check_a_narrow_link_brings_a_long_message(links: PeerLinks, name: str, peer: Owner, proxy: SilencingProxy) -> None:
    """Check that a link isn't taken for silent while a message takes several limits to come; see above.

    Its messages would be lost with it, and the long one with all that kernels don't hold of it: a
    replica without a past would wait for its snapshot without end.
    """
    short = messages.PeerMessage(sender="me", receiver=name)
    long = messages.PeerMessage(sender="me", receiver=name)
    long.snapshot_request.state = bytes(int(4 * NARROW_SILENCE_LIMIT * NARROW_RATE))

    def send(message: messages.PeerMessage) -> None:
        links.note_heard(name, monotonic())
        links.send([message])
        gevent.sleep(0.05)

    with gevent.Timeout(20):
        while not peer.posted:
            send(short)
        send(long)
        # Beside it what leaders send all the while.
        while not any(item.message == long for item in peer.posted):
            send(short)
    assert proxy.accepted == 1
