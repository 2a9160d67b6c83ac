# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the gRPC links between control instances."""

import asyncio

import pytest
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from lanedock.settings import Address
from lanedock_daemon.control.grpc_links import _Link

ERRORS = [
    ConnectionRefusedError(),
    TimeoutError(),
    GRPCError(Status.UNAVAILABLE),
    StreamTerminatedError(),
    ProtocolError("the stream has ended"),
]


@pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
def test_a_link_is_opened_again_after_any_error_of_a_call(error):
    # A link whose call was ended in the middle of a message was never opened again.
    link = _Link(Address("127.0.0.1", 1), None)
    calls = []

    async def send_queued() -> None:
        calls.append(error)
        if len(calls) == 1:
            raise error
        await asyncio.sleep(60)

    link._send_queued = send_queued

    async def run() -> None:
        task = asyncio.ensure_future(link.run())
        while len(calls) < 2 and not task.done():
            await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(run())
    assert len(calls) == 2
