# SPDX-License-Identifier: BSD-3-Clause
"""The client side of a stream from a source of versions."""

import asyncio

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lanedock.kernel import LoopService, TaskService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import DistributionStub
from lanedock_daemon.network import make_channel

__all__ = ["SourceEnded", "SourceStream", "SourceTold"]

CONNECT_TIMEOUT = 2.0


class SourceTold:
    """The source sent a message."""

    __slots__ = ("message", "stream")

    def __init__(self, stream: "SourceStream", message: messages.ControlMessage):
        self.stream = stream
        self.message = message


class SourceEnded:
    """The stream has ended."""

    __slots__ = ("reason", "stream")

    def __init__(self, stream: "SourceStream", reason: str):
        self.stream = stream
        self.reason = reason


class SourceStream:
    """One stream from a source; it tells its owner what it receives.

    Parameters
    ----------
    owner : TaskService
        Takes SourceTold and SourceEnded.
    loop : LoopService
    address : Address
    context : ssl.SSLContext or None

    Attributes
    ----------
    heard_at : float
        Monotonic; when the source last sent something.
    is_serving : bool
        Whether it has taken this daemon in.
    """

    def __init__(self, owner: TaskService, loop: LoopService, address: Address, context):
        self.address = address
        self.heard_at = 0.0
        self.is_serving = False
        self._owner = owner
        self._loop = loop
        self._context = context
        self._queue: asyncio.Queue = asyncio.Queue()

    def __repr__(self) -> str:
        return f"<SourceStream {self.address}>"

    def open(self, first: messages.DaemonMessage) -> None:
        """Start to connect, and send a first message."""
        self._loop.spawn(self._run(first))

    def send(self, message: messages.DaemonMessage) -> None:
        """Send a message, soon; from any greenlet."""
        self._loop.call(self._queue.put_nowait, message)

    def close(self) -> None:
        """End the stream; SourceEnded follows."""
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
            self._owner.post(SourceTold(self, message))

    async def _write(self, stream) -> None:
        while (message := await self._queue.get()) is not None:
            await stream.send_message(message)
