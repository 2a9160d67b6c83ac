# SPDX-License-Identifier: BSD-3-Clause
"""Streams to daemons below: the server side, shared by control and relays."""

import asyncio

from lanedock.kernel import LoopService, TaskService
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import DistributionBase

__all__ = [
    "HEARTBEAT_INTERVAL",
    "SILENCE_LIMIT",
    "ChildArrived",
    "ChildLeft",
    "ChildTold",
    "DistributionServer",
    "Session",
]

# Both ends of a stream send something at least this often, in seconds, and take
# the other for lost after this silence.
HEARTBEAT_INTERVAL = 1.0
SILENCE_LIMIT = 3.5
# A daemon that has not read this many messages is cut off; it comes back and
# is then sent only what it lacks.
MAX_BACKLOG = 256


class Session:
    """One stream to a daemon.

    Attributes
    ----------
    child : Child or None
        Set by the task that owns the session.
    heard_at : float
        Monotonic; when the daemon last sent something.
    bytes_sent : int
        Of messages, without framing.
    """

    def __init__(self, loop: LoopService):
        self._loop = loop
        self._queue: asyncio.Queue = asyncio.Queue()
        self._closed = False
        self.child = None
        self.heard_at = 0.0
        self.bytes_sent = 0

    def send(self, batch: list[messages.ControlMessage]) -> None:
        """Send messages, soon; from any greenlet."""
        if batch and not self._closed:
            self._loop.call(self._enqueue, batch)

    def _enqueue(self, batch: list) -> None:
        if self._queue.qsize() > MAX_BACKLOG:
            self.close()
            return
        for message in batch:
            self._queue.put_nowait(message)

    def close(self) -> None:
        """End the stream; from any greenlet."""
        if not self._closed:
            self._closed = True
            self._loop.call(self._queue.put_nowait, None)

    async def pump(self, stream) -> None:
        """Write what is queued to the stream, until it is closed."""
        while (message := await self._queue.get()) is not None:
            self.bytes_sent += message.ByteSize()
            await stream.send_message(message)


class _SessionMessage:
    __slots__ = ("message", "session")

    def __init__(self, session: Session, message: messages.DaemonMessage | None = None):
        self.session = session
        self.message = message


class ChildArrived(_SessionMessage):
    """A daemon has connected, with its first message."""


class ChildTold(_SessionMessage):
    """A connected daemon sent a message."""


class ChildLeft(_SessionMessage):
    """A daemon's stream has ended."""


class DistributionServer(DistributionBase):
    """Turns streams into messages to the task that owns them.

    Parameters
    ----------
    task : TaskService
        Takes ChildArrived, ChildTold and ChildLeft.
    loop : LoopService
    """

    def __init__(self, task: TaskService, loop: LoopService):
        self._task = task
        self._loop = loop

    async def Watch(self, stream) -> None:
        first = await stream.recv_message()
        if first is None:
            return
        session = Session(self._loop)
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

    async def _read(self, stream, session: Session) -> None:
        async for message in stream:
            self._task.post(ChildTold(session, message))
