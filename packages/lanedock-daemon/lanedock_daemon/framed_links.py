# SPDX-License-Identifier: BSD-3-Clause
"""Links between control instances in the framed transport."""

import random

import gevent

from lanedock.clock import monotonic
from lanedock.consensus.core import replica_name
from lanedock.kernel import TaskService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.frames import EMPTY_FRAME, FrameWriter, connect, exchange_frames, read_frames, shut_down
from lanedock_daemon.transport import CONFIRMATIONS, SILENCE_LIMIT, PeerLinks, PeerMessageArrived

__all__ = ["PURPOSE_REPLICAS", "FramedLinks", "serve_replica"]

# First byte of a connection that carries a replica's messages.
PURPOSE_REPLICAS = b"R"
# Limits of the delay between two connection attempts, in seconds.
RECONNECT_MIN = 0.05
# Replicas that were killed together return within tenths of a second of each other, and
# there are at most seven of them.
RECONNECT_MAX = 0.2
# Seconds without a message to send after which a link is closed, because its replica
# was replaced: members are sent something every second.
IDLE_LIMIT = 30.0
# Messages queued for a replica that cannot be reached; older ones are dropped.
MAX_QUEUED = 256


class _Link:
    """The link to one replica: a message queue and the connection over which it is sent."""

    def __init__(self, address: Address, context):
        self._address = address
        self._context = context
        self._queue: list[bytes] = []
        self._writer: FrameWriter | None = None
        self.heard_at = monotonic()
        self.last_sent_at = monotonic()
        self._confirmed_at: float | None = None
        self.refused_at = float("-inf")
        self.task = None

    def put(self, data: bytes) -> None:
        """Send a message, or queue it while unconnected; the protocol tolerates the loss of the oldest."""
        self.last_sent_at = monotonic()
        if self._writer is not None:
            self._writer.put(data)
            return
        self._queue.append(data)
        del self._queue[:-MAX_QUEUED]

    def run(self) -> None:
        """Keep a connection open and reconnect when it breaks, until the link is unused for `IDLE_LIMIT`."""
        delay = RECONNECT_MIN
        while monotonic() - self.last_sent_at < IDLE_LIMIT:
            opened_at = monotonic()
            try:
                self._exchange(opened_at)
            except ConnectionRefusedError:
                self.refused_at = opened_at
            except OSError:
                pass  # the peer cannot be reached: retried below
            lifetime = monotonic() - opened_at
            delay = RECONNECT_MIN if lifetime > RECONNECT_MAX else min(delay * 2, RECONNECT_MAX)
            gevent.sleep(random.uniform(0, delay))

    def _exchange(self, opened_at: float) -> None:
        conn = connect(self._address, PURPOSE_REPLICAS, self._context)
        writer = FrameWriter(conn)
        for data in self._queue:
            writer.put(data)
        self._queue = []
        self._writer = writer
        watchdog = gevent.spawn(self._shut_down_if_silent, conn, opened_at)
        try:
            exchange_frames(conn, writer, self._note_confirmed)
        finally:
            self._writer = None
            watchdog.kill()

    def _note_confirmed(self, data: bytes) -> None:
        """Record that the peer receives what is sent over this connection."""
        self._confirmed_at = monotonic()

    def _shut_down_if_silent(self, conn, opened_at: float) -> None:
        """Shut the connection down if it is in use and the peer is silent.

        Once the peer has confirmed something, only its confirmations count. What it sends over
        its own link, such as vote requests because it hears no leader, does not show that this
        connection works.
        """
        while True:
            # As often as confirmations arrive: with only two checks per limit, a silent link is
            # replaced after up to 2.3 s instead of 1.8 s.
            gevent.sleep(SILENCE_LIMIT / CONFIRMATIONS)
            now = monotonic()
            heard_at = self.heard_at if self._confirmed_at is None else self._confirmed_at
            silent = now - max(heard_at, opened_at) > SILENCE_LIMIT
            if silent and now - self.last_sent_at < SILENCE_LIMIT:
                # Not closed: a writer that is blocked by a full socket buffer would not notice.
                shut_down(conn)
                return


class FramedLinks(PeerLinks):
    """Links to other replicas; a replica that is named by its address needs no entry in `addresses`."""

    def __init__(self, addresses: dict[str, Address], context):
        self._addresses = dict(addresses)
        self._context = context
        self._links: dict[str, _Link] = {}

    def start(self) -> None:
        for name in self._addresses:
            self._link(name)

    def _link(self, name: str) -> _Link | None:
        link = self._links.get(name)
        if link is not None:
            return link
        address = self._addresses.get(name)
        if address is None:
            try:
                address = Address.parse(name)
            except ValueError:
                return None
        link = self._links[name] = _Link(address, self._context)
        link.task = gevent.spawn(link.run)
        # The next message to the replica of an ended link creates a new link.
        link.task.link(lambda task: self._links.pop(name, None))
        return link

    def send(self, batch: list[messages.PeerMessage]) -> None:
        for message in batch:
            link = self._link(replica_name(message.receiver))
            if link is not None:
                link.put(message.SerializeToString())

    def refused_at(self, name: str) -> float:
        link = self._links.get(name)
        return link.refused_at if link is not None else float("-inf")

    def note_heard(self, sender: str, now: float) -> None:
        link = self._links.get(replica_name(sender))
        if link is not None:
            link.heard_at = now


def serve_replica(owner: TaskService, conn) -> None:
    """Post a replica's messages to the control task, and confirm the receipt of bytes.

    Bytes are confirmed rather than whole messages: over a slow link a snapshot takes longer
    than the peer's `SILENCE_LIMIT`, and the peer would replace the link during every snapshot.
    """
    confirmed_at = float("-inf")

    def handle_message(data: bytes) -> None:
        owner.post(PeerMessageArrived(messages.PeerMessage.FromString(data)))

    def confirm() -> None:
        nonlocal confirmed_at
        now = monotonic()
        if now - confirmed_at >= SILENCE_LIMIT / CONFIRMATIONS:
            confirmed_at = now
            conn.sendall(EMPTY_FRAME)

    read_frames(conn, handle_message, confirm)
