# SPDX-License-Identifier: BSD-3-Clause
"""Checks of streams for credits, shared by the tests of all transports."""

import gevent

from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.tests.links import Owner, free_port
from lanedock_daemon.transport import Transport

__all__ = ["check_credits_are_requested_and_granted", "check_unreachable_instance_ends_the_stream"]


def _wait_for(condition) -> None:
    with gevent.Timeout(5):
        while not condition():
            gevent.sleep(0.01)


def check_credits_are_requested_and_granted(transport: Transport) -> None:
    """Check that requests reach the task for quotas in order, and that its replies reach the daemon."""
    address = Address("127.0.0.1", free_port())
    control, quotas = Owner(), Owner()
    listener = transport.serve_control(control, address, quotas)
    replies, ends = [], []
    stream = transport.open_quota_stream(
        address, lambda stream, reply: replies.append(reply), lambda stream, reason: ends.append(reason)
    )
    stream.open()
    # Sent before the stream is connected.
    for number in (1, 2):
        stream.send(messages.CreditRequest(number=number, zone="z"))
    _wait_for(lambda: len(quotas.posted) == 2)
    assert [item.request.number for item in quotas.posted] == [1, 2]
    assert control.posted == []
    for item in quotas.posted:
        item.session.send(messages.CreditReply(number=item.request.number))
    _wait_for(lambda: len(replies) == 2)
    assert [reply.number for reply in replies] == [1, 2]
    stream.close()
    _wait_for(lambda: ends)
    listener.close()


def check_unreachable_instance_ends_the_stream(transport: Transport) -> None:
    """Check that a stream to an address where nothing listens ends at once, with its cause."""
    ends = []
    stream = transport.open_quota_stream(
        Address("127.0.0.1", free_port()), lambda stream, reply: None, lambda stream, reason: ends.append(reason)
    )
    stream.open()
    stream.send(messages.CreditRequest(number=1))
    _wait_for(lambda: ends)
    assert "ConnectionRefusedError" in ends[0]
