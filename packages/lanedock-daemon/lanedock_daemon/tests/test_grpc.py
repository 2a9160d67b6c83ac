# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the gRPC transport.

The first test guards against a silent link that is never replaced. A link from a leader to a
follower falls silent without a reset, while new connections between the two work. The follower
hears no leader, and sends vote requests over its own link several times a second. If these count
as signs of life of the silent link, the leader never replaces it: the follower has no leader, and
its daemons receive no versions. The test sends over a silent link for up to 10 s while the peer is
recorded as heard.
"""

import asyncio
import threading

import pytest

from lanedock.kernel.loop import LoopService
from lanedock.settings import Address
from lanedock_daemon.control import grpc_links
from lanedock_daemon.grpc_transport import GrpcTransport
from lanedock_daemon.tests.links import (
    SLOW_RATE,
    SLOW_SILENCE_LIMIT,
    Owner,
    check_full_link_is_replaced,
    check_slow_link_delivers_long_message,
    check_silent_link_is_replaced,
    free_port,
)
from lanedock_daemon.tests.quota_streams import (
    check_credits_are_requested_and_granted,
    check_unreachable_instance_ends_the_stream,
)
from lanedock_daemon.tests.proxies import SilencingProxy


class _ThreadedLoop(LoopService):
    """The loop in a separate thread, because gevent patches nothing in tests."""

    def start(self, kernel) -> None:
        running = threading.Event()
        self._task = threading.Thread(target=self._run, args=(running,), daemon=True)
        self._task.start()
        running.wait()

    def wait(self, coroutine, timeout: float | None = None):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(timeout)

    def stop(self) -> None:
        self.wait(self._end_all(), 10)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._task.join(10)

    async def _end_all(self) -> None:
        """End all tasks, also of servers: any left would be garbage-collected during other tests."""
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            # Repeated: grpclib may turn a cancellation into its own error, after which a link continues.
            await asyncio.wait(tasks, timeout=0.1)


class _Kernel:
    """A kernel whose only service is the loop."""

    def __init__(self, loop: LoopService):
        self._loop = loop

    def find(self, name: str) -> LoopService:
        return {"loop": self._loop}[name]


@pytest.fixture
def transport():
    loop = _ThreadedLoop()
    loop.start(None)
    grpc_transport = GrpcTransport(None)
    grpc_transport.start(_Kernel(loop))
    yield grpc_transport
    loop.stop()


def _make_link(transport, rate: float = float("inf")):
    """Make a link through a proxy; yield the links, the peer's name, its messages and the proxy."""
    peer, target = Owner(), Address("127.0.0.1", free_port())
    listener = transport.serve_control(peer, target)
    proxy = SilencingProxy((target.host, target.port), rate)
    links = transport.peer_links({"peer": Address(*proxy.address)})
    links.start()
    yield links, "peer", peer, proxy
    listener.close()
    proxy.server.stop(timeout=0)


@pytest.fixture
def proxied_link(monkeypatch, transport):
    monkeypatch.setattr(grpc_links, "SILENCE_LIMIT", 0.2)
    yield from _make_link(transport)


@pytest.fixture
def slow_link(monkeypatch, transport):
    monkeypatch.setattr(grpc_links, "SILENCE_LIMIT", SLOW_SILENCE_LIMIT)
    yield from _make_link(transport, SLOW_RATE)


def test_a_silent_link_is_replaced_though_messages_arrive_over_the_peers_own_link(proxied_link):
    check_silent_link_is_replaced(*proxied_link)


def test_a_silent_link_is_replaced_though_its_socket_buffer_is_full(proxied_link):
    check_full_link_is_replaced(*proxied_link)


def test_a_slow_link_is_not_replaced_while_a_long_message_arrives(slow_link):
    check_slow_link_delivers_long_message(*slow_link)


def test_credits_are_requested_and_granted(transport):
    check_credits_are_requested_and_granted(transport)


def test_unreachable_instance_ends_the_quota_stream(transport):
    check_unreachable_instance_ends_the_stream(transport)
