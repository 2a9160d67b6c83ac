# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the framed transport."""

import gevent
import pytest
from gevent import socket

from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon import framed_links
from lanedock_daemon.framed import FramedTransport
from lanedock_daemon.sessions import ChildArrived, ChildReported
from lanedock_daemon.tests.links import (
    NARROW_RATE,
    NARROW_SILENCE_LIMIT,
    Owner,
    check_a_full_link_is_opened_anew,
    check_a_narrow_link_brings_a_long_message,
    check_a_silent_link_is_opened_anew,
    free_port,
)
from lanedock_daemon.tests.proxies import SilencingProxy
from lanedock_daemon.transport import SourceEnded


def test_what_is_sent_while_a_stream_still_connects_arrives_behind_its_first_message():
    transport = FramedTransport(None)
    address = Address("127.0.0.1", free_port())
    server = Owner()
    listener = transport.serve_daemons(server, address)
    stream = transport.open_source(Owner(), address)
    stream.open(messages.DaemonMessage(floor_token=1))
    # Nothing has run yet that could have connected.
    stream.send(messages.DaemonMessage(floor_token=2))
    with gevent.Timeout(5):
        while len(server.posted) < 2:
            gevent.sleep(0.01)
    stream.close()
    listener.close()
    first, second = server.posted[:2]
    assert isinstance(first, ChildArrived) and first.message.floor_token == 1
    assert isinstance(second, ChildReported) and second.message.floor_token == 2


def test_a_link_to_a_replica_that_was_replaced_ends(monkeypatch):
    monkeypatch.setattr(framed_links, "UNUSED_LIMIT", 0.1)
    monkeypatch.setattr(framed_links, "RECONNECT_MAX", 0.05)
    links = FramedTransport(None).peer_links({})
    gone = f"127.0.0.1:{free_port()}"
    links.send([messages.PeerMessage(sender="me", receiver=gone)])
    assert list(links._links) == [gone]
    with gevent.Timeout(5):
        while links._links:
            gevent.sleep(0.01)
    # Should it take part again, it has a link again.
    links.send([messages.PeerMessage(sender="me", receiver=gone)])
    assert list(links._links) == [gone]


def _fill_queue(address: Address) -> list:
    """Connect until a listener's queue takes no more connections."""
    queued = []
    while True:
        try:
            queued.append(socket.create_connection((address.host, address.port), timeout=0.3))
        except TimeoutError:
            return queued


def test_a_stream_to_a_machine_that_drops_opening_packets_ends_soon():
    """A listener whose queue of new connections is full drops them, as a machine without power does."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = Address(*listener.getsockname())
        queued = _fill_queue(address)
        owner = Owner()
        stream = FramedTransport(None).open_source(owner, address)
        stream.open(messages.DaemonMessage(floor_token=1))
        # The kernel retransmits the SYN after 1 s.
        with gevent.Timeout(0.8):
            while not owner.posted:
                gevent.sleep(0.01)
        ended = owner.posted[0]
        assert isinstance(ended, SourceEnded) and "timed out" in ended.reason
        for conn in queued:
            conn.close()


def _make_link(rate: float = float("inf")):
    """Make a link through a proxy; yields the links, the peer's name, what it is sent, and the proxy."""
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
def narrow_link(monkeypatch):
    monkeypatch.setattr(framed_links, "SILENCE_LIMIT", NARROW_SILENCE_LIMIT)
    yield from _make_link(NARROW_RATE)


def test_a_silent_link_is_opened_anew_though_its_peer_is_heard_otherwise(proxied_link):
    check_a_silent_link_is_opened_anew(*proxied_link)


def test_a_silent_link_is_opened_anew_though_more_waits_than_its_socket_takes(proxied_link):
    check_a_full_link_is_opened_anew(*proxied_link)


def test_a_narrow_link_is_not_taken_for_silent_while_a_long_message_comes(narrow_link):
    """Found by reading: a peer that confirms whole messages only is silent while a long one comes.

    A replica whose disk was lost is sent appends first, which it confirms, and then its snapshot.
    On a link of 2 Mbit/s one of 400 kB takes longer than the limit, and the link is ended in its middle.
    """
    check_a_narrow_link_brings_a_long_message(*narrow_link)
