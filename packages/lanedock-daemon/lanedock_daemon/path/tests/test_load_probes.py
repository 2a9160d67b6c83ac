# SPDX-License-Identifier: BSD-3-Clause
"""Tests of load probes between daemons: sent before a request, answered over UDP, lost or wrong."""

from collections import Counter

import gevent
import pytest
from gevent import socket

from lanedock.clock import monotonic, running_time
from lanedock.membership import Heartbeat, UpstreamRegistration
from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.path.tests.chain import HOST, Chain, Gate, wait_until
from lanedock_daemon.path.upstream.load_responder import LoadResponder

SERVICE = "s"


class _Responders:
    """The responders of a chain's upstreams, of which some can be silent."""

    def __init__(self, chain: Chain):
        self.silent: set[str] = set()
        self.asked: Counter = Counter()
        self.responders = []
        for upstream in chain.upstreams:
            responder = LoadResponder(Address(HOST, 0), self._make_check(upstream.name), upstream.side.measure_load)
            responder.start(None)
            self.responders.append(responder)

    def _make_check(self, name: str):
        def is_answering() -> bool:
            self.asked[name] += 1
            return name not in self.silent

        return is_answering

    def stop(self) -> None:
        for responder in self.responders:
            responder.stop()


@pytest.fixture
def make_probed_chain(make_chain):
    """Return a factory of chains whose upstreams answer load probes, with their responders."""
    made = []

    def make(*scripts):
        chain = make_chain(*scripts)
        responders = _Responders(chain)
        made.append(responders)
        update = messages.EndpointUpdate()
        for upstream, responder in zip(chain.upstreams, responders.responders, strict=True):
            update.changed.add(
                instance=upstream.name,
                service=SERVICE,
                zone="z",
                host=HOST,
                port=upstream.server.port,
                incarnation=1,
                load_port=responder.port,
            )
        chain.view.apply_endpoints(update)
        return chain, responders

    yield make
    for responders in made:
        responders.stop()


def _prober(chain: Chain):
    return chain.entry.side._load_prober


def _pass_through(conn, head: str, body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def test_requests_go_to_the_upstream_that_other_callers_do_not_load(make_probed_chain):
    # The entry's statistics know nothing of the requests that another caller has at the first upstream.
    gate = Gate()
    chain, _ = make_probed_chain(gate, _pass_through)
    limiter = chain.upstreams[0].limiter
    chain.upstreams[0].side._gate.configure(chain.upstreams[0].view.bind())
    for _ in range(3):
        limiter._shares.take("read", 0.0)
    assert {chain.request("GET")[0] for _ in range(10)} == {200}
    assert (chain.applications[0].runs["/x"], chain.applications[1].runs["/x"]) == (0, 10)


def test_request_is_sent_although_no_reply_comes(make_probed_chain):
    chain, responders = make_probed_chain(_pass_through, _pass_through)
    responders.silent = {"u0", "u1"}
    assert {chain.request("GET")[0] for _ in range(10)} == {200}
    choice = chain.view.balancer(SERVICE).probed_choice
    assert choice.compared == []
    # Probes of upstreams that do not answer are given up.
    assert sum(responders.asked.values()) < 10


def test_request_is_sent_although_datagrams_cannot_be(make_probed_chain, monkeypatch):
    chain, _ = make_probed_chain(_pass_through, _pass_through)

    def fail(host):
        raise OSError("network is unreachable")

    monkeypatch.setattr(_prober(chain), "_open", fail)
    assert {chain.request("GET")[0] for _ in range(5)} == {200}


def test_reply_from_another_address_than_the_probed_one_is_ignored(make_probed_chain):
    chain, responders = make_probed_chain(_pass_through, _pass_through)
    responders.silent = {"u0", "u1"}
    chain.request("GET")
    prober = _prober(chain)
    number = next(iter(prober._probes))
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    port = next(iter(prober._sockets.values())).getsockname()[1]
    stranger.sendto(messages.LoadReply(number=number, slots=1).SerializeToString(), (HOST, port))
    stranger.sendto(b"\xff\xff\xff", (HOST, port))
    gevent.sleep(0.05)
    stranger.close()
    assert number in prober._probes


def test_responder_ignores_datagrams_that_are_no_probes(make_probed_chain):
    _, responders = make_probed_chain(_pass_through, _pass_through)
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stranger.sendto(b"\xff" * 500, (HOST, responders.responders[0].port))
    stranger.settimeout(5)
    stranger.sendto(messages.LoadProbe(number=7).SerializeToString(), (HOST, responders.responders[0].port))
    reply = messages.LoadReply.FromString(stranger.recv(1024))
    stranger.close()
    assert (reply.number, reply.slots, reply.in_use, reply.pace_percent) == (7, 4, 0, 0)


def test_reply_states_the_load_the_pace_and_the_service_time(make_probed_chain):
    gate = Gate()
    gate.headers = "x-upstream-load: 1,0,4,250\r\n"
    chain, _ = make_probed_chain(gate)
    upstream = chain.upstreams[0]
    registration = UpstreamRegistration(SERVICE, True, 1.0)
    registration.process_heartbeat(Heartbeat("a1", SERVICE, 1, False, 4, 0.0), running_time())
    upstream.replace_registration(registration)
    first = gevent.spawn(chain.request, "GET")
    wait_until(lambda: upstream.limiter.in_use == 1)
    gevent.sleep(0.1)
    assert upstream.side.measure_load().in_use == 1
    gate.opened.set()
    first.join()
    reply = upstream.side.measure_load()
    assert (reply.upstream, reply.in_use, reply.slots, reply.pace_percent) == ("a1", 0, 4, 250)
    # The service time at the usual pace.
    assert 40 <= reply.service_ms < 100
    assert registration.has_stated_pace


def test_replies_that_came_while_the_process_was_busy_are_used(make_probed_chain):
    chain, _ = make_probed_chain(_pass_through, _pass_through)
    prober, choice = _prober(chain), chain.view.balancer(SERVICE).probed_choice
    plan = chain.view.balancer(SERVICE).plan_probes(monotonic())

    class _Replying:
        """Replies to all probes when the wait is over."""

        def wait(self, timeout: float) -> bool:
            gevent.sleep(0.05)
            return False

        def set(self) -> None:
            pass

    prober._open(HOST)
    for reader in prober._readers:
        reader.kill()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("lanedock_daemon.path.caller.load_prober.Signal", _Replying)
        prober.probe(choice, plan, 10.0)
    assert len(plan.targets) == 2
    assert all(stats.sample.reply is not None and not stats.sample.misses for stats in plan.targets)


def test_expired_probes_are_forgotten(make_probed_chain, monkeypatch):
    chain, responders = make_probed_chain(_pass_through, _pass_through)
    responders.silent = {"u0", "u1"}
    chain.request("GET")
    prober = _prober(chain)
    assert len(prober._probes) == 2
    monkeypatch.setattr("lanedock_daemon.path.caller.load_prober.REPLY_EXPIRY", 0.0)
    responders.silent = set()
    gevent.sleep(0.3)
    chain.request("GET")
    assert len(prober._probes) <= 2
