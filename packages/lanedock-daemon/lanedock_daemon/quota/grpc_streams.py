# SPDX-License-Identifier: BSD-3-Clause
"""The daemon's streams for credits in the gRPC transport."""

import asyncio

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lanedock.kernel.loop import LoopService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import QuotasStub
from lanedock_daemon.network import make_channel
from lanedock_daemon.transport import CONNECT_TIMEOUT, QuotaStream

__all__ = ["GrpcQuotaStream"]


class GrpcQuotaStream(QuotaStream):
    """A daemon's stream for credits, over gRPC.

    Parameters
    ----------
    loop : LoopService
    address : Address
    on_reply, on_end : callable
    context : ssl.SSLContext or None
    """

    def __init__(self, loop: LoopService, address: Address, on_reply, on_end, context):
        super().__init__(address, on_reply, on_end)
        self._loop = loop
        self._context = context
        self._queue: asyncio.Queue = asyncio.Queue()

    def open(self) -> None:
        self._loop.spawn(self._run())

    def send(self, request: messages.CreditRequest) -> None:
        self._loop.call(self._queue.put_nowait, request)

    def close(self) -> None:
        self._loop.call(self._queue.put_nowait, None)

    async def _run(self) -> None:
        channel = make_channel(self.address, self._context)
        reason = "closed"
        try:
            async with QuotasStub(channel).Draw.open() as stream:
                await asyncio.wait_for(stream.send_request(), CONNECT_TIMEOUT)
                await self._exchange(stream)
        except (TimeoutError, OSError, GRPCError, ProtocolError, StreamTerminatedError) as exc:
            reason = repr(exc)
        finally:
            channel.close()
            self._on_end(self, reason)

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
            self._on_reply(self, message)

    async def _write(self, stream) -> None:
        while (message := await self._queue.get()) is not None:
            await stream.send_message(message)
