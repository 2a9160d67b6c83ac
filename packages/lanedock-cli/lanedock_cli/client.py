# SPDX-License-Identifier: BSD-3-Clause
"""Calls to the control instances: finding the leader, and asking again."""

import asyncio
import ssl
import time

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lanedock.errors import ErrorCode, LanedockError
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock.wire.lanedock_grpc import OperatorsStub

__all__ = ["ControlClient", "Unreachable"]

CALL_TIMEOUT = 3.0
PAUSE = 0.2
_BROKEN = (OSError, GRPCError, ProtocolError, StreamTerminatedError, asyncio.TimeoutError)


class Unreachable(LanedockError):
    """No control instance that could be reached leads."""


class ControlClient:
    """Asks whichever control instance leads.

    Parameters
    ----------
    addresses : list of Address
    context : ssl.SSLContext or None
    patience : float
        Seconds to look for a leader.
    """

    def __init__(self, addresses: list[Address], context: ssl.SSLContext | None, patience: float):
        self._addresses = addresses
        self._context = context
        self._patience = patience
        self._leader: Address | None = None

    async def ask(self, method: str, request):
        """Make a call that changes nothing, at the leader if there is one.

        Returns
        -------
        message
            The leader's reply, or another instance's own knowledge where no
            leader could be found.

        Raises
        ------
        Unreachable
            Nobody answered.
        """
        until = time.monotonic() + self._patience
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
                if reply.code != ErrorCode.NO_LEADER.code:
                    return reply
                fallback = reply
            if time.monotonic() >= until or fallback is not None:
                break
            await asyncio.sleep(PAUSE)
        if fallback is None:
            raise Unreachable(ErrorCode.NO_LEADER)
        return fallback

    async def _ask_one(self, address: Address, method: str, request):
        channel = Channel(address.host, address.port, ssl=self._context)
        try:
            return await getattr(OperatorsStub(channel), method)(request, timeout=CALL_TIMEOUT)
        except _BROKEN:
            return None
        finally:
            channel.close()

    async def submit(self, request: messages.SubmitRequest, on_progress) -> messages.SubmitReply:
        """Submit a version, and again until its outcome is known or time is up.

        Submitting again is safe: an equal number with equal content gets the
        answer of the first submission.

        Parameters
        ----------
        request : SubmitRequest
        on_progress : callable
            Takes replies that are not final.

        Returns
        -------
        SubmitReply
            Final. Once an attempt's outcome was unknown, a refusal that
            another attempt got is not passed off as the outcome of the first.
        """
        until = time.monotonic() + self._patience
        was_ambiguous = False
        leader = self._leader
        position = 0
        reply = _make_unknown(request, ErrorCode.NO_LEADER)
        while True:
            address = leader or self._addresses[position % len(self._addresses)]
            leader = self._leader = None
            got, was_sent = await self._submit_one(address, request, on_progress)
            if got is None:
                was_ambiguous = was_ambiguous or was_sent
                position += 1
            elif got.code == ErrorCode.NOT_LEADER.code:
                leader = Address.parse(got.leader_address) if got.leader_address else None
                position += 1
            elif got.answer == messages.ANSWER_NOT_KNOWN:
                was_ambiguous = True
                reply = got
            else:
                self._leader = address
                return self._settle(request, got, was_ambiguous)
            if time.monotonic() >= until:
                return reply
            if leader is None:
                await asyncio.sleep(PAUSE)

    def _settle(self, request, reply: messages.SubmitReply, was_ambiguous: bool) -> messages.SubmitReply:
        # Busy is no outcome of the version: an earlier attempt may still be
        # on its way into the log.
        if was_ambiguous and reply.code == ErrorCode.SUBMISSION_BUSY.code:
            return _make_unknown(request, ErrorCode.OUTCOME_NOT_KNOWN)
        return reply

    async def _submit_one(self, address: Address, request, on_progress) -> tuple[messages.SubmitReply | None, bool]:
        """Submit to one instance; returns also whether the request may have arrived."""
        channel = Channel(address.host, address.port, ssl=self._context)
        was_sent = False
        try:
            async with OperatorsStub(channel).Submit.open() as stream:
                await asyncio.wait_for(stream.send_request(), CALL_TIMEOUT)
                was_sent = True
                await stream.send_message(request, end=True)
                while True:
                    # A control instance that is paused accepts connections
                    # all the same; one that works replies in time.
                    reply = await asyncio.wait_for(stream.recv_message(), CALL_TIMEOUT)
                    if reply is None:
                        return None, was_sent
                    if reply.answer != messages.ANSWER_IN_PROGRESS:
                        return reply, was_sent
                    on_progress(reply)
        except _BROKEN:
            return None, was_sent
        finally:
            channel.close()


def _make_unknown(request, code: ErrorCode) -> messages.SubmitReply:
    return messages.SubmitReply(
        answer=messages.ANSWER_NOT_KNOWN, code=code.code, message=code.meaning, version=request.version
    )
