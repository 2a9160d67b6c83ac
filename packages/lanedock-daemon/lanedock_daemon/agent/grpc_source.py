# SPDX-License-Identifier: BSD-3-Clause
"""Client side of the gRPC stream from a source of versions."""

import asyncio

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lanedock.kernel import TaskService
from lanedock.kernel.loop import LoopService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import DistributionStub
from lanedock_daemon.network import make_channel
from lanedock_daemon.transport import SourceEnded, SourceSent, SourceStream

__all__ = ["GrpcSource"]

# Longest time to connect and send the first message, in seconds.
CONNECT_TIMEOUT = 2.0


class GrpcSource(SourceStream):
    """A gRPC stream from a source of versions.

    Parameters
    ----------
    owner : TaskService
    loop : LoopService
    address : Address
    context : ssl.SSLContext or None
    """

    def __init__(self, owner: TaskService, loop: LoopService, address: Address, context):
        super().__init__(owner, address)
        self._loop = loop
        self._context = context
        self._queue: asyncio.Queue = asyncio.Queue()

    def open(self, first: messages.DaemonMessage) -> None:
        self._loop.spawn(self._run(first))

    def send(self, message: messages.DaemonMessage) -> None:
        self._loop.call(self._queue.put_nowait, message)

    def close(self) -> None:
        self._loop.call(self._queue.put_nowait, None)

    async def _run(self, first: messages.DaemonMessage) -> None:
        channel = make_channel(self.address, self._context)
        reason = "closed"
        try:
            stream = DistributionStub(channel).Watch.open()
            async with stream:
                await asyncio.wait_for(stream.send_message(first), CONNECT_TIMEOUT)
                await self._exchange(stream)
        except (TimeoutError, OSError, GRPCError, ProtocolError, StreamTerminatedError) as exc:
            reason = repr(exc)
        finally:
            channel.close()
            self._owner.post(SourceEnded(self, reason))

    async def _exchange(self, stream) -> None:
        reader = asyncio.ensure_future(self._read(stream))
        writer = asyncio.ensure_future(self._write(stream))
        try:
            await asyncio.wait([reader, writer], return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (reader, writer):
                task.cancel()
            results = await asyncio.gather(reader, writer, return_exceptions=True)
            await stream.cancel()
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _read(self, stream) -> None:
        async for message in stream:
            self._owner.post(SourceSent(self, message))

    async def _write(self, stream) -> None:
        while (message := await self._queue.get()) is not None:
            await stream.send_message(message)
