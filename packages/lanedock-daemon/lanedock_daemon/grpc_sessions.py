# SPDX-License-Identifier: BSD-3-Clause
"""The server side of daemons' gRPC streams, shared by control instances and relays."""

import asyncio

from lanedock.kernel import TaskService
from lanedock.kernel.loop import LoopService
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import DistributionBase
from lanedock_daemon.sessions import ChildArrived, ChildLeft, ChildReported
from lanedock_daemon.transport import Session

__all__ = ["DistributionServer", "GrpcSession"]

# Messages queued for a daemon above which its stream is closed. The daemon reconnects and is
# then sent only what it lacks.
MAX_BACKLOG = 256


class GrpcSession(Session):
    """The server's side of a daemon's stream, over gRPC.

    Parameters
    ----------
    loop : LoopService
    """

    def __init__(self, loop: LoopService):
        super().__init__()
        self._loop = loop
        self._queue: asyncio.Queue = asyncio.Queue()
        self._closed = False

    def send(self, batch: list[messages.ControlMessage]) -> None:
        if batch and not self._closed:
            self._loop.call(self._enqueue, batch)

    def _enqueue(self, batch: list) -> None:
        if self._queue.qsize() > MAX_BACKLOG:
            self.close()
            return
        for message in batch:
            self._queue.put_nowait(message)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._loop.call(self._queue.put_nowait, None)

    async def pump(self, stream) -> None:
        """Send queued messages over the stream until the session is closed."""
        while (message := await self._queue.get()) is not None:
            self.bytes_sent += message.ByteSize()
            await stream.send_message(message)


class DistributionServer(DistributionBase):
    """Posts the messages of daemons' streams to the task that owns the sessions.

    Parameters
    ----------
    task : TaskService
        Receives ChildArrived, ChildReported and ChildLeft.
    loop : LoopService
    """

    def __init__(self, task: TaskService, loop: LoopService):
        self._task = task
        self._loop = loop

    async def Watch(self, stream) -> None:
        first = await stream.recv_message()
        if first is None:
            return
        session = GrpcSession(self._loop)
        self._task.post(ChildArrived(session, first))
        pump = asyncio.ensure_future(session.pump(stream))
        reader = asyncio.ensure_future(self._read(stream, session))
        try:
            await asyncio.wait([pump, reader], return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (pump, reader):
                task.cancel()
            await asyncio.gather(pump, reader, return_exceptions=True)
            self._task.post(ChildLeft(session))

    async def _read(self, stream, session: GrpcSession) -> None:
        async for message in stream:
            self._task.post(ChildReported(session, message))
