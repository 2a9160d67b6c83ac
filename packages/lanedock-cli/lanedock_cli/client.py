# SPDX-License-Identifier: BSD-3-Clause
"""Client of the control instances: finds the leader and retries calls."""

import asyncio
import ssl
import time

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import OperatorsStub, QuotasStub

__all__ = ["ControlClient", "LeaderUnreachableError"]

# Seconds for a unary call, and for each message of a streamed one.
CALL_TIMEOUT = 3.0
# Seconds between two attempts to find a leader.
RETRY_INTERVAL = 0.2
# Services of the read-only calls, by method; those that are not named belong to `OperatorsStub`.
_STUBS = {"Customers": QuotasStub}
# Codes of an instance that answers from its own state, as there is no leader or as its disk refuses writes.
_UNCONFIRMED = (ErrorCode.NO_LEADER.code, ErrorCode.DISK_FAILED.code)
_CALL_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, asyncio.TimeoutError)


class LeaderUnreachableError(LanedockError):
    """No control instance answered, so the leader is unknown."""


class ControlClient:
    """Sends operators' requests to the control instance that is the leader.

    Parameters
    ----------
    addresses : list of Address
        Of the control instances, in the order in which they are tried.
    context : ssl.SSLContext or None
        Plain TCP if None.
    retry_timeout : float
        Seconds during which a call is retried.
    """

    def __init__(self, addresses: list[Address], context: ssl.SSLContext | None, retry_timeout: float):
        self._addresses = addresses
        self._context = context
        self._retry_timeout = retry_timeout
        self._leader: Address | None = None

    async def ask(self, method: str, request):
        """Make a read-only call to the leader, or to another instance if there is none.

        Parameters
        ----------
        method : str
            Name of a method of the ``Operators`` service, or ``Customers`` of the ``Quotas`` service.
        request : message

        Returns
        -------
        message
            The leader's reply. Without a leader, the reply of another instance,
            which holds the state that this instance last knew.

        Raises
        ------
        LeaderUnreachableError
            No control instance answered.
        """
        deadline = time.monotonic() + self._retry_timeout
        fallback = None
        while True:
            for address in list(self._addresses):
                reply = await self._ask_one(address, method, request)
                while reply is not None and reply.code == ErrorCode.NOT_LEADER.code and reply.leader_address:
                    leader = Address.parse(reply.leader_address)
                    reply = await self._ask_one(leader, method, request)
                    if reply is not None and reply.leader_address == str(leader):
                        break
                if reply is None or reply.code == ErrorCode.NOT_LEADER.code:
                    continue
                if reply.code not in _UNCONFIRMED:
                    return reply
                fallback = reply
            if time.monotonic() >= deadline or fallback is not None:
                break
            await asyncio.sleep(RETRY_INTERVAL)
        if fallback is None:
            raise LeaderUnreachableError(ErrorCode.NO_LEADER)
        return fallback

    async def _ask_one(self, address: Address, method: str, request):
        channel = Channel(address.host, address.port, ssl=self._context)
        try:
            stub = _STUBS.get(method, OperatorsStub)(channel)
            return await getattr(stub, method)(request, timeout=CALL_TIMEOUT)
        except _CALL_ERRORS:
            return None
        finally:
            channel.close()

    async def submit(self, request: messages.SubmitRequest, on_progress) -> messages.SubmitReply:
        """Submit a version, and retry until its outcome is known or the time is up.

        Retries are safe: the same version number with the same content gets
        the answer of the first submission.

        Parameters
        ----------
        request : SubmitRequest
        on_progress : callable
            Called with each reply that is not final.

        Returns
        -------
        SubmitReply
            The final reply. After an attempt with an unknown outcome, a
            "busy" refusal of a later attempt is reported as unknown, too.
        """
        deadline = time.monotonic() + self._retry_timeout
        may_have_run = False
        leader = self._leader
        position = 0
        reply = _make_unknown_reply(request, ErrorCode.NO_LEADER)
        while True:
            address = leader or self._addresses[position % len(self._addresses)]
            leader = self._leader = None
            attempt, was_sent = await self._submit_one(address, request, on_progress)
            if attempt is None:
                may_have_run = may_have_run or was_sent
                position += 1
            elif attempt.code == ErrorCode.NOT_LEADER.code:
                leader = Address.parse(attempt.leader_address) if attempt.leader_address else None
                position += 1
            elif attempt.code == ErrorCode.DISK_FAILED.code:
                reply = attempt
                position += 1
            elif attempt.answer == messages.ANSWER_NOT_KNOWN:
                may_have_run = True
                reply = attempt
            else:
                self._leader = address
                return self._resolve_outcome(request, attempt, may_have_run)
            if time.monotonic() >= deadline:
                return reply
            if leader is None:
                await asyncio.sleep(RETRY_INTERVAL)

    def _resolve_outcome(self, request, reply: messages.SubmitReply, may_have_run: bool) -> messages.SubmitReply:
        # A busy leader says nothing about this version: an earlier attempt may
        # still be committed to the log.
        if may_have_run and reply.code == ErrorCode.SUBMISSION_BUSY.code:
            return _make_unknown_reply(request, ErrorCode.OUTCOME_NOT_KNOWN)
        return reply

    async def _submit_one(self, address: Address, request, on_progress) -> tuple[messages.SubmitReply | None, bool]:
        """Submit to one instance.

        Returns
        -------
        SubmitReply or None
            None if the connection failed.
        bool
            Whether the request may have arrived.
        """
        channel = Channel(address.host, address.port, ssl=self._context)
        was_sent = False
        try:
            async with OperatorsStub(channel).Submit.open() as stream:
                await asyncio.wait_for(stream.send_request(), CALL_TIMEOUT)
                was_sent = True
                await stream.send_message(request, end=True)
                while True:
                    # The kernel accepts connections for a suspended process, too;
                    # a running control instance replies within the timeout.
                    reply = await asyncio.wait_for(stream.recv_message(), CALL_TIMEOUT)
                    if reply is None:
                        return None, was_sent
                    if reply.answer != messages.ANSWER_IN_PROGRESS:
                        return reply, was_sent
                    on_progress(reply)
        except _CALL_ERRORS:
            return None, was_sent
        finally:
            channel.close()


def _make_unknown_reply(request, code: ErrorCode) -> messages.SubmitReply:
    return messages.SubmitReply(
        answer=messages.ANSWER_NOT_KNOWN, code=code.code, message=code.meaning, version=request.version
    )
