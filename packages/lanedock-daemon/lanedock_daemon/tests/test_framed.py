# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the framed transport."""

import gevent
import pytest
from gevent import socket

from lanedock.clock import monotonic
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon import framed_links
from lanedock_daemon.framed import FramedTransport
from lanedock_daemon.sessions import ChildArrived, ChildReported
from lanedock_daemon.tests.links import (
    SLOW_RATE,
    SLOW_SILENCE_LIMIT,
    Owner,
    check_full_link_is_replaced,
    check_silent_link_is_replaced,
    check_slow_link_delivers_long_message,
    free_port,
)
from lanedock_daemon.tests.proxies import SilencingProxy
from lanedock_daemon.tests.quota_streams import (
    check_credits_are_requested_and_granted,
    check_unreachable_instance_ends_the_stream,
)
from lanedock_daemon.transport import SourceEnded


def test_messages_sent_while_a_stream_connects_arrive_after_its_first_message():
    transport = FramedTransport(None)
    address = Address("127.0.0.1", free_port())
    server = Owner()
    listener = transport.serve_daemons(server, address)
    stream = transport.open_source(Owner(), address)
    stream.open(messages.DaemonMessage(floor_token=1))
    # No other greenlet has run yet, so there is no connection.
    stream.send(messages.DaemonMessage(floor_token=2))
    with gevent.Timeout(5):
        while len(server.posted) < 2:
            gevent.sleep(0.01)
    stream.close()
    listener.close()
    first, second = server.posted[:2]
    assert isinstance(first, ChildArrived) and first.message.floor_token == 1
    assert isinstance(second, ChildReported) and second.message.floor_token == 2


def test_a_link_to_a_replaced_replica_is_removed_and_made_again_on_demand(monkeypatch):
    monkeypatch.setattr(framed_links, "IDLE_LIMIT", 0.1)
    monkeypatch.setattr(framed_links, "RECONNECT_MAX", 0.05)
    links = FramedTransport(None).peer_links({})
    replaced = f"127.0.0.1:{free_port()}"
    links.send([messages.PeerMessage(sender="me", receiver=replaced)])
    assert list(links._links) == [replaced]
    with gevent.Timeout(5):
        while links._links:
            gevent.sleep(0.01)
    # If the replica takes part again, a new link is made.
    links.send([messages.PeerMessage(sender="me", receiver=replaced)])
    assert list(links._links) == [replaced]


def _fill_queue(address: Address) -> list:
    """Connect until a listener's queue is full; return the connections."""
    queued = []
    while True:
        try:
            queued.append(socket.create_connection((address.host, address.port), timeout=0.3))
        except TimeoutError:
            return queued


def test_a_stream_to_a_machine_that_drops_syn_packets_ends_before_the_retransmission():
    """A listener whose queue is full drops SYN packets, as a machine without power does."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = Address(*listener.getsockname())
        queued = _fill_queue(address)
        owner = Owner()
        stream = FramedTransport(None).open_source(owner, address)
        stream.open(messages.DaemonMessage(floor_token=1))
        # The kernel retransmits the SYN packet after a second.
        with gevent.Timeout(0.8):
            while not owner.posted:
                gevent.sleep(0.01)
        ended = owner.posted[0]
        assert isinstance(ended, SourceEnded) and "timed out" in ended.reason
        for conn in queued:
            conn.close()


def _make_link(rate: float = float("inf")):
    """Make a link through a proxy; yield the links, the peer's name, its messages and the proxy."""
    transport = FramedTransport(None)
    peer, target = Owner(), Address("127.0.0.1", free_port())
    listener = transport.serve_control(peer, target)
    proxy = SilencingProxy((target.host, target.port), rate)
    yield transport.peer_links({}), f"127.0.0.1:{proxy.address[1]}", peer, proxy
    listener.close()
    proxy.server.stop(timeout=0)


@pytest.fixture
def proxied_link(monkeypatch):
    monkeypatch.setattr(framed_links, "SILENCE_LIMIT", 0.2)
    yield from _make_link()


@pytest.fixture
def slow_link(monkeypatch):
    monkeypatch.setattr(framed_links, "SILENCE_LIMIT", SLOW_SILENCE_LIMIT)
    yield from _make_link(SLOW_RATE)


def test_a_silent_link_is_replaced_though_messages_arrive_over_the_peers_own_link(proxied_link):
    check_silent_link_is_replaced(*proxied_link)


def test_a_silent_link_is_replaced_though_its_socket_buffer_is_full(proxied_link):
    check_full_link_is_replaced(*proxied_link)


def test_a_slow_link_is_not_replaced_while_a_long_message_arrives(slow_link):
    """Guards against a peer that confirms whole messages only, and is silent during a long one.

    A replica whose disk was lost receives appends, which it confirms, and then a snapshot. On a
    link of 2 Mbit/s a snapshot of 400 kB takes longer than the limit, and the link would be closed
    in the middle of it.
    """
    check_slow_link_delivers_long_message(*slow_link)


def test_links_tell_when_a_host_refuses_connections():
    """Guards against a leader that takes an ended process for one that is cut off, and leaves it a part of quotas."""
    listening, ended = (Address("127.0.0.1", free_port()) for _ in range(2))
    listener = FramedTransport(None).serve_control(Owner(), listening)
    links = FramedTransport(None).peer_links({})
    attempted_at = monotonic()
    names = [str(listening), str(ended)]
    with gevent.Timeout(5):
        while links.refused_at(names[1]) < attempted_at:
            links.send([messages.PeerMessage(sender="me", receiver=name) for name in names])
            gevent.sleep(0.01)
    assert links.refused_at(names[0]) == links.refused_at("127.0.0.1:1") == float("-inf")
    listener.close()


def test_credits_are_requested_and_granted():
    check_credits_are_requested_and_granted(FramedTransport(None))


def test_unreachable_instance_ends_the_quota_stream():
    check_unreachable_instance_ends_the_stream(FramedTransport(None))
