# SPDX-License-Identifier: BSD-3-Clause
"""Streams for credits in the framed transport."""

import gevent

from lanedock.kernel import TaskService
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.frames import MAX_DAEMON_FRAME, FrameWriter, connect, exchange_frames
from lanedock_daemon.transport import QUOTA_IDLE_LIMIT, CreditsRequested, QuotaSession, QuotaStream

__all__ = ["PURPOSE_QUOTAS", "FramedQuotaStream", "serve_quotas"]

# First byte of a connection that carries a daemon's requests for credits.
PURPOSE_QUOTAS = b"Q"


class FramedQuotaStream(QuotaStream):
    """A daemon's stream for credits, over frames."""

    def __init__(self, address: Address, on_reply, on_end, context):
        super().__init__(address, on_reply, on_end)
        self._context = context
        self._writer: FrameWriter | None = None
        self._unsent: list[bytes] = []
        self._is_closed = False

    def open(self) -> None:
        gevent.spawn(self._run)

    def _run(self) -> None:
        reason = "closed"
        try:
            conn = connect(self.address, PURPOSE_QUOTAS, self._context)
            self._writer = FrameWriter(conn)
            for data in self._unsent:
                self._writer.put(data)
            if self._is_closed:
                conn.close()
            else:
                reason = exchange_frames(conn, self._writer, self._handle_message)
        except OSError as exc:
            reason = repr(exc)
        self._on_end(self, reason)

    def _handle_message(self, data: bytes) -> None:
        self._on_reply(self, messages.CreditReply.FromString(data))

    def send(self, request: messages.CreditRequest) -> None:
        data = request.SerializeToString()
        if self._writer is None:
            self._unsent.append(data)
        else:
            self._writer.put(data)

    def close(self) -> None:
        self._is_closed = True
        if self._writer is not None:
            self._writer.close()


class _FramedQuotaSession(QuotaSession):
    """A control instance's side of a daemon's stream for credits, over frames."""

    def __init__(self, writer: FrameWriter):
        self._writer = writer

    def send(self, reply: messages.CreditReply) -> None:
        if not self._writer.put(reply.SerializeToString()):
            self._writer.close()


def serve_quotas(owner: TaskService, conn) -> None:
    """Post a daemon's requests for credits to the task that grants them."""
    conn.settimeout(QUOTA_IDLE_LIMIT)
    writer = FrameWriter(conn)
    session = _FramedQuotaSession(writer)

    def handle_message(data: bytes) -> None:
        owner.post(CreditsRequested(session, messages.CreditRequest.FromString(data)))

    exchange_frames(conn, writer, handle_message, MAX_DAEMON_FRAME)
