# SPDX-License-Identifier: BSD-3-Clause
"""gRPC handlers of quotas, which turn calls into messages to the task that grants credits."""

import asyncio

from lanedock.kernel import TaskService
from lanedock.kernel.loop import LoopService
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import QuotasBase
from lanedock_daemon.control.server import GrpcCall
from lanedock_daemon.quota.requests import CustomersRequested
from lanedock_daemon.transport import QUOTA_IDLE_LIMIT, CreditsRequested, QuotaSession

__all__ = ["QuotasServer"]


class _GrpcQuotaSession(QuotaSession):
    """A control instance's side of a daemon's stream for credits, over gRPC."""

    def __init__(self, loop: LoopService):
        self._loop = loop
        self._queue: asyncio.Queue = asyncio.Queue()

    def send(self, reply: messages.CreditReply) -> None:
        self._loop.call(self._queue.put_nowait, reply)

    async def pump(self, stream) -> None:
        """Send queued replies over the stream."""
        while True:
            await stream.send_message(await self._queue.get())


class QuotasServer(QuotasBase):
    """Handles daemons' requests for credits and operators' requests for the customers.

    Parameters
    ----------
    task : TaskService
        Receives CreditsRequested and CustomersRequested.
    loop : LoopService
    """

    def __init__(self, task: TaskService, loop: LoopService):
        self._task = task
        self._loop = loop

    async def Draw(self, stream) -> None:
        session = _GrpcQuotaSession(self._loop)
        pump = asyncio.ensure_future(session.pump(stream))
        reader = asyncio.ensure_future(self._read(stream, session))
        try:
            await asyncio.wait([pump, reader], return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (pump, reader):
                task.cancel()
            await asyncio.gather(pump, reader, return_exceptions=True)

    async def _read(self, stream, session: QuotaSession) -> None:
        while (request := await asyncio.wait_for(stream.recv_message(), QUOTA_IDLE_LIMIT)) is not None:
            self._task.post(CreditsRequested(session, request))

    async def Customers(self, stream) -> None:
        request = await stream.recv_message()
        call = GrpcCall(self._loop)
        self._task.post(CustomersRequested(call, request))
        await stream.send_message(await call.next_reply())
