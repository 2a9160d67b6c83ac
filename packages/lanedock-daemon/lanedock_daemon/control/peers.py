# SPDX-License-Identifier: BSD-3-Clause
"""gRPC links to the other control replicas."""

import asyncio
import random

from grpclib.exceptions import GRPCError, StreamTerminatedError

from lanedock.clock import monotonic
from lanedock.consensus.core import replica_name
from lanedock.kernel.loop import LoopService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import ReplicationStub
from lanedock_daemon.network import make_channel
from lanedock_daemon.transport import CONFIRMATIONS, SILENCE_LIMIT, PeerLinks

__all__ = ["GrpcLinks"]

MAX_QUEUE = 512
RECONNECT_MIN = 0.05
RECONNECT_MAX = 1.0
# Seconds in which a link has to be made.
CONNECT_LIMIT = 3.0
# Seconds in which a message has to be handed to the connection, for a peer with so large a
# window that the socket fills, which hides its end: the largest version, 16 MB, takes a minute
# on a link of 2 Mbit/s.
SEND_LIMIT = 60.0


class _Link:
    """The link to one replica: a queue and the stream that empties it."""

    def __init__(self, address: Address, context):
        self.address = address
        self.context = context
        self.queue: asyncio.Queue = asyncio.Queue(MAX_QUEUE)

    def put(self, message: messages.PeerMessage) -> None:
        """Queue a message; the protocol bears the loss of the oldest."""
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(message)

    async def run(self) -> None:
        delay = RECONNECT_MIN
        while True:
            opened_at = monotonic()
            try:
                await self._stream()
            except (TimeoutError, OSError, GRPCError, StreamTerminatedError):
                pass
            delay = RECONNECT_MIN if monotonic() - opened_at > RECONNECT_MAX else min(delay * 2, RECONNECT_MAX)
            await asyncio.sleep(random.uniform(0, delay))

    async def _stream(self) -> None:
        # Only what the peer confirms over this connection counts: what it sends over its own
        # link, such as calls for votes since it hears no leader, says nothing of this one.
        channel = make_channel(self.address, self.context, SILENCE_LIMIT, CONFIRMATIONS)
        try:
            async with ReplicationStub(channel).Deliver.open() as stream:
                await asyncio.wait_for(stream.send_request(), CONNECT_LIMIT)
                while True:
                    message = await self.queue.get()
                    await asyncio.wait_for(stream.send_message(message), SEND_LIMIT)
        finally:
            channel.close()


class GrpcLinks(PeerLinks):
    """Links to all other replicas, by name.

    Parameters
    ----------
    loop : LoopService
    addresses : dict of str to Address
        The other replicas.
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
        """Nothing to note: every peer confirms over the link itself."""
