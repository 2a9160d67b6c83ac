# SPDX-License-Identifier: BSD-3-Clause
"""gRPC handlers of the control instance, which turn calls into messages to the control task."""

import asyncio

from lanedock.config import check_document
from lanedock.findings import FindingsError, read_text
from lanedock.kernel import TaskService
from lanedock.kernel.loop import LoopService
from lanedock.rollout import make_finding_record
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import OperatorsBase, ReplicationBase
from lanedock_daemon.control.requests import (
    Call,
    CanaryRequested,
    HistoryRequested,
    QuarantineRequested,
    ShowRequested,
    StatusRequested,
    SubmitRequested,
)
from lanedock_daemon.transport import PeerMessageArrived

__all__ = ["OperatorsServer", "ReplicationServer"]


class GrpcCall(Call):
    """A call whose replies a gRPC handler awaits.

    Parameters
    ----------
    loop : LoopService
    """

    def __init__(self, loop: LoopService):
        super().__init__()
        self._loop = loop
        self._queue: asyncio.Queue = asyncio.Queue()

    def reply(self, message: object) -> None:
        self._loop.call(self._queue.put_nowait, message)

    async def next_reply(self) -> object:
        """Wait for the next reply; returns None after the last one. Runs on the event loop."""
        return await self._queue.get()


class ReplicationServer(ReplicationBase):
    """Handles messages from other replicas.

    Parameters
    ----------
    task : TaskService
    """

    def __init__(self, task: TaskService):
        self._task = task

    async def Deliver(self, stream) -> None:
        async for message in stream:
            self._task.post(PeerMessageArrived(message))
        await stream.send_message(messages.PeerAck())


class OperatorsServer(OperatorsBase):
    """Handles operators' calls.

    Parameters
    ----------
    task : TaskService
    loop : LoopService
    """

    def __init__(self, task: TaskService, loop: LoopService):
        self._task = task
        self._loop = loop

    async def Submit(self, stream) -> None:
        request = await stream.recv_message()
        refusal = self._task.refuse_unless_leading(request)
        if refusal is not None:
            # Refuse before the check of the document, the slowest step of this handler.
            await stream.send_message(refusal)
            return
        try:
            tree = check_document(read_text(request.content.decode(errors="replace"), request.file or "submission"))
        except FindingsError as exc:
            await stream.send_message(_make_refusal(exc))
            return
        call = GrpcCall(self._loop)
        self._task.post(SubmitRequested(call, request, tree))
        try:
            while (reply := await call.next_reply()) is not None:
                await stream.send_message(reply)
        finally:
            call.is_abandoned = True

    async def Status(self, stream) -> None:
        await self._ask(stream, StatusRequested)

    async def History(self, stream) -> None:
        await self._ask(stream, HistoryRequested)

    async def Show(self, stream) -> None:
        await self._ask(stream, ShowRequested)

    async def Quarantine(self, stream) -> None:
        await self._ask(stream, QuarantineRequested)

    async def Canary(self, stream) -> None:
        await self._ask(stream, CanaryRequested)

    async def _ask(self, stream, kind) -> None:
        request = await stream.recv_message()
        call = GrpcCall(self._loop)
        self._task.post(kind(call, request))
        await stream.send_message(await call.next_reply())


def _make_refusal(exc: FindingsError) -> messages.SubmitReply:
    reply = messages.SubmitReply(answer=messages.ANSWER_NOT_RUN, code=exc.code.code, message=str(exc))
    reply.findings.extend(make_finding_record(finding) for finding in exc.findings)
    return reply
