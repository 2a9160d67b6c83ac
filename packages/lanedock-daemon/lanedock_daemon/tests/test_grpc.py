# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the gRPC transport.

A link from a leader to a follower fell silent without a reset, while new connections between
the two worked. The follower heard no leader, called for votes over its own link several times a
second, and so was taken for heard by the leader, which never opened the silent link anew: the
follower stayed without a leader, and its daemons without versions. Shown by the first test
below, which sends for 10 s over a silent link while the peer is noted as heard.
"""

import asyncio
import threading

import pytest

from lanedock.kernel.loop import LoopService
from lanedock.settings import Address
from lanedock_daemon.control import peers
from lanedock_daemon.grpc_transport import GrpcTransport
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


class _ThreadedLoop(LoopService):
    """The loop in a thread of its own: in a test nothing is patched by gevent."""

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
        """End all tasks, those of servers, too: what is left would be collected in the middle of other tests."""
        while tasks := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in tasks:
                task.cancel()
            # Again: grpclib may turn a cancellation into its own error, after which a link goes on.
            await asyncio.wait(tasks, timeout=0.1)


class _Kernel:
    """Finds the loop."""

    def __init__(self, loop: LoopService):
        self._loop = loop

    def find(self, name: str) -> LoopService:
        return {"loop": self._loop}[name]


@pytest.fixture
def transport():
    loop = _ThreadedLoop()
    loop.start(None)
    made = GrpcTransport(None)
    made.start(_Kernel(loop))
    yield made
    loop.stop()


def _make_link(transport, rate: float = float("inf")):
    """Make a link through a proxy; yields the links, the peer's name, what it is sent, and the proxy."""
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
    monkeypatch.setattr(peers, "SILENCE_LIMIT", 0.2)
    yield from _make_link(transport)


@pytest.fixture
def narrow_link(monkeypatch, transport):
    monkeypatch.setattr(peers, "SILENCE_LIMIT", NARROW_SILENCE_LIMIT)
    yield from _make_link(transport, NARROW_RATE)


def test_a_silent_link_is_opened_anew_though_its_peer_is_heard_otherwise(proxied_link):
    check_a_silent_link_is_opened_anew(*proxied_link)


def test_a_silent_link_is_opened_anew_though_more_waits_than_its_socket_takes(proxied_link):
    check_a_full_link_is_opened_anew(*proxied_link)


def test_a_narrow_link_is_not_taken_for_silent_while_a_long_message_comes(narrow_link):
    check_a_narrow_link_brings_a_long_message(*narrow_link)
