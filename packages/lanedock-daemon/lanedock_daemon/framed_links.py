# SPDX-License-Identifier: BSD-3-Clause
"""Links between control instances in the framed transport."""

import random

import gevent

from lanedock.clock import monotonic
from lanedock.consensus.core import replica_name
from lanedock.kernel import TaskService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.frames import EMPTY_FRAME, FrameWriter, connect, end_connection, read_frames, run_both
from lanedock_daemon.transport import CONFIRMATIONS, SILENCE_LIMIT, PeerLinks, PeerMessageArrived

__all__ = ["FOR_REPLICAS", "FramedLinks", "serve_replica"]

# What a connection's first byte says that it is for.
FOR_REPLICAS = b"R"
RECONNECT_MIN = 0.05
# Replicas that were killed together come back within tenths of a second of each
# other; there are seven of them at the most.
RECONNECT_MAX = 0.2
# A link that nothing was sent over for this long, in seconds, is to a replica that
# was replaced: those that take part are sent something every second.
UNUSED_LIMIT = 30.0
# Messages to a replica that can't be reached now; older ones are dropped.
MAX_QUEUED = 256


class _Link:
    """The link to one replica: a queue and the connection that empties it."""

    def __init__(self, address: Address, context):
        self._address = address
        self._context = context
        self._queue: list[bytes] = []
        self._writer: FrameWriter | None = None
        self.heard_at = monotonic()
        self.used_at = monotonic()
        self._confirmed_at: float | None = None
        self.task = None

    def put(self, data: bytes) -> None:
        """Send a message, or keep it; the protocol bears the loss of the oldest."""
        self.used_at = monotonic()
        if self._writer is not None:
            self._writer.put(data)
            return
        self._queue.append(data)
        del self._queue[:-MAX_QUEUED]

    def run(self) -> None:
        """Keep a connection, and open it anew when it breaks; ends where the link is not used any more."""
        delay = RECONNECT_MIN
        while monotonic() - self.used_at < UNUSED_LIMIT:
            opened_at = monotonic()
            try:
                self._exchange(opened_at)
            except OSError:
                pass  # the peer is away: tried again below
            lasted = monotonic() - opened_at
            delay = RECONNECT_MIN if lasted > RECONNECT_MAX else min(delay * 2, RECONNECT_MAX)
            gevent.sleep(random.uniform(0, delay))

    def _exchange(self, opened_at: float) -> None:
        conn = connect(self._address, FOR_REPLICAS, self._context)
        writer = FrameWriter(conn)
        for data in self._queue:
            writer.put(data)
        self._queue = []
        self._writer = writer
        watching = gevent.spawn(self._watch, conn, opened_at)
        try:
            run_both(conn, writer, self._note_confirmed)
        finally:
            self._writer = None
            watching.kill()

    def _note_confirmed(self, data: bytes) -> None:
        """Note that the peer receives what is sent over this connection."""
        self._confirmed_at = monotonic()

    def _watch(self, conn, opened_at: float) -> None:
        """End the connection when it is used and nothing is heard from the peer.

        A peer that confirms counts as heard by that alone: what it sends over its own
        link, such as calls for votes since it hears no leader, says nothing of this one.
        """
        while True:
            # As often as confirmations come: looked at twice within the limit, links were opened
            # anew up to 2.3 s after they had fallen silent instead of 1.8 s (40 on loopback).
            gevent.sleep(SILENCE_LIMIT / CONFIRMATIONS)
            now = monotonic()
            heard_at = self.heard_at if self._confirmed_at is None else self._confirmed_at
            silent = now - max(heard_at, opened_at) > SILENCE_LIMIT
            if silent and now - self.used_at < SILENCE_LIMIT:
                # A writer that waits for room in the socket would not see that it is closed.
                end_connection(conn)
                return


class FramedLinks(PeerLinks):
    """Links to other replicas; one that is named by its address needs no entry."""

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
        # One that has ended is made anew should it be wanted again.
        link.task.link(lambda task: self._links.pop(name, None))
        return link

    def send(self, batch: list[messages.PeerMessage]) -> None:
        for message in batch:
            link = self._link(replica_name(message.receiver))
            if link is not None:
                link.put(message.SerializeToString())

    def note_heard(self, sender: str, now: float) -> None:
        link = self._links.get(replica_name(sender))
        if link is not None:
            link.heard_at = now


def serve_replica(owner: TaskService, conn) -> None:
    """Turn a replica's stream into messages to the control task, and confirm that they come.

    Bytes are confirmed, not messages: a snapshot takes longer than the limit to come over a
    narrow link, which would be opened anew in the middle of each.
    """
    confirmed_at = float("-inf")

    def take(data: bytes) -> None:
        owner.post(PeerMessageArrived(messages.PeerMessage.FromString(data)))

    def confirm() -> None:
        nonlocal confirmed_at
        now = monotonic()
        if now - confirmed_at >= SILENCE_LIMIT / CONFIRMATIONS:
            confirmed_at = now
            conn.sendall(EMPTY_FRAME)

    read_frames(conn, take, confirm)
