# SPDX-License-Identifier: BSD-3-Clause
"""gRPC links to the other control instances, with reconnection."""

import asyncio
import random

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lanedock.clock import monotonic
from lanedock.consensus.core import replica_name
from lanedock.kernel.loop import LoopService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import ReplicationStub
from lanedock_daemon.network import make_channel
from lanedock_daemon.transport import CONFIRMATIONS, SILENCE_LIMIT, PeerLinks

__all__ = ["GrpcLinks"]

# Messages queued for one replica; when the queue is full, the oldest is dropped.
MAX_QUEUED_MESSAGES = 512
# Bounds of the longest delay before a reconnection, in seconds; the delay is random from 0 to that.
RECONNECT_MIN = 0.05
RECONNECT_MAX = 1.0
# Timeout for opening a link, in seconds.
OPEN_TIMEOUT = 3.0
# Timeout for writing one message to the connection, in seconds. With a large flow-control window,
# a write blocks only once the socket buffer is full, so until then it doesn't show that the peer is
# gone. The largest version, 16 MB, takes a minute on a link of 2 Mbit/s.
SEND_TIMEOUT = 60.0


class _Link:
    """The link to one replica: a queue of messages and the stream that sends them."""

    def __init__(self, address: Address, context):
        self.address = address
        self.context = context
        self.queue: asyncio.Queue = asyncio.Queue(MAX_QUEUED_MESSAGES)

    def put(self, message: messages.PeerMessage) -> None:
        """Queue a message; a full queue drops its oldest, a loss that the consensus protocol tolerates."""
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(message)

    async def run(self) -> None:
        delay = RECONNECT_MIN
        while True:
            opened_at = monotonic()
            try:
                await self._send_queued()
            except (TimeoutError, OSError, GRPCError, ProtocolError, StreamTerminatedError):
                pass
            delay = RECONNECT_MIN if monotonic() - opened_at > RECONNECT_MAX else min(delay * 2, RECONNECT_MAX)
            await asyncio.sleep(random.uniform(0, delay))

    async def _send_queued(self) -> None:
        # Only confirmations over this connection show that it works. Messages from the peer,
        # such as vote requests because it hears no leader, arrive over its own link and prove
        # nothing about this one.
        channel = make_channel(self.address, self.context, SILENCE_LIMIT, CONFIRMATIONS)
        try:
            async with ReplicationStub(channel).Deliver.open() as stream:
                await asyncio.wait_for(stream.send_request(), OPEN_TIMEOUT)
                while True:
                    message = await self.queue.get()
                    await asyncio.wait_for(stream.send_message(message), SEND_TIMEOUT)
        finally:
            channel.close()


class GrpcLinks(PeerLinks):
    """Links to all other replicas.

    Parameters
    ----------
    loop : LoopService
    addresses : dict of str to Address
        Addresses of the other replicas, by name.
    context : ssl.SSLContext or None
    """

    def __init__(self, loop: LoopService, addresses: dict[str, Address], context):
        self._loop = loop
        self._links = {name: _Link(address, context) for name, address in addresses.items()}

    def start(self) -> None:
        for link in self._links.values():
            self._loop.spawn(link.run())

    def send(self, batch: list[messages.PeerMessage]) -> None:
        if batch:
            self._loop.call(self._enqueue, batch)

    def _enqueue(self, batch: list[messages.PeerMessage]) -> None:
        for message in batch:
            link = self._links.get(replica_name(message.receiver))
            if link is not None:
                link.put(message)

    def note_heard(self, sender: str, now: float) -> None:
        """Do nothing: confirmations on each link already show that the peer is alive."""
