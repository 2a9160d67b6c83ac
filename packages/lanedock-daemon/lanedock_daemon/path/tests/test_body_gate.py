# SPDX-License-Identifier: BSD-3-Clause
"""Tests that bodies are asked for when there is room for them, and refused unseen else."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from lanedock.errors import ErrorCode
from lanedock.wire import messages
from lanedock_daemon.path.headers import (
    CLASS_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    TARGET_HEADER,
)
from lanedock_daemon.path.http import ASK_LIMIT, Outcome
from lanedock_daemon.path.tests.chain import HOST, Gate, make_value, wait_until

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LONG = 200_000
# Bodies of that length that fill a link of an unknown rate.
FULL = 2


def _head(length: int, path: str = "/x", target_ms: int | None = None, deadline_ms: int = 10_000) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: h",
        f"Content-Length: {length}",
        "Expect: 100-continue",
        f"{SERVICE_HEADER}: s",
        f"{CLASS_HEADER}: write",
        f"{ROUTE_HEADER}: post",
        f"{DEADLINE_HEADER}: {deadline_ms}",
    ]
    if target_ms is not None:
        lines.append(f"{TARGET_HEADER}: {target_ms}")
    return "\r\n".join([*lines, "", ""]).encode()


class Sender:
    """A callers' side that sends its body when the test says so."""

    def __init__(self, upstream, length: int = LONG, **more):
        self.length = length
        self.conn = socket.create_connection((HOST, upstream.server.port), timeout=10)
        self.conn.sendall(_head(length, **more))

    def has_silence(self) -> bool:
        """Tell whether nothing has come."""
        self.conn.settimeout(0)
        try:
            return not self.conn.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        finally:
            self.conn.settimeout(10)

    def read_consent(self) -> None:
        data = b""
        while len(data) < len(CONTINUE):
            data += self.conn.recv(len(CONTINUE) - len(data))
        assert data == CONTINUE

    def send(self) -> None:
        self.conn.sendall(b"x" * self.length)

    def read_answer(self) -> str:
        data = b""
        while b"\r\n\r\n" not in data:
            data += self.conn.recv(65536)
        return data.decode("latin-1")


@pytest.fixture
def make_upstream(make_chain):
    def make(script=None, **service):
        return make_chain(script, value=make_value(**service)).upstreams[0]

    return make


def _fill(upstream) -> list[Sender]:
    """Let as many bodies in as the link takes, none of which comes."""
    senders = [Sender(upstream, path=f"/{number}") for number in range(FULL)]
    for sender in senders:
        sender.read_consent()
    return senders


def test_a_body_is_asked_for_once_a_slot_is_there(make_upstream):
    gate = Gate()
    upstream = make_upstream(gate, slots=1)
    first = Sender(upstream, ASK_LIMIT + 1, path="/first")
    first.read_consent()
    first.send()
    wait_until(lambda: gate.begun == ["/first"])
    second = Sender(upstream, path="/second")
    wait_until(lambda: upstream.limiter.waiting == 1)
    assert second.has_silence()
    gate.opened.set()
    assert first.read_answer().startswith("HTTP/1.1 200")
    second.read_consent()
    second.send()
    assert second.read_answer().startswith("HTTP/1.1 200")


def test_a_body_waits_while_others_come_and_takes_no_slot_meanwhile(make_upstream):
    upstream = make_upstream(slots=8)
    senders = _fill(upstream)
    last = Sender(upstream, path="/last")
    wait_until(lambda: upstream.side._gate.bodies.waiting == 1)
    assert last.has_silence()
    assert upstream.limiter.in_use == FULL
    assert upstream.side.in_progress == FULL + 1
    for sender in senders:
        sender.send()
        assert sender.read_answer().startswith("HTTP/1.1 200")
    last.read_consent()
    last.send()
    assert last.read_answer().startswith("HTTP/1.1 200")


def test_bodies_whose_requests_waited_for_slots_are_not_all_asked_for_at_once(make_upstream):
    """What users saw: after a cut versions were in force late on daemons beside uploads.

    Order of events: an application hangs, and requests with bodies wait for its slots.
    Their place on the link is free for others meanwhile, who then wait for slots, too. The
    slots come free together, and all those bodies are asked for at once.

    Cause: whether the link has room was judged before the wait for a slot, and not again.
    Evidence: in a model 18 bodies of 60 kB, 2.2 s of a link of 500 kB/s.
    """
    slots, gate = 6, Gate()
    upstream = make_upstream(gate, slots=slots, queue=24)
    held = [Sender(upstream, 0, path=f"/held/{number}") for number in range(slots)]
    wait_until(lambda: len(gate.begun) == slots)
    senders = [Sender(upstream, path=f"/{number}") for number in range(slots)]
    wait_until(lambda: upstream.limiter.waiting == slots)
    gate.opened.set()
    for sender in held:
        assert sender.read_answer().startswith("HTTP/1.1 200")
    wait_until(lambda: upstream.side._gate.bodies.waiting)
    for _ in range(slots):
        wait_until(lambda: not all(sender.has_silence() for sender in senders))
        asked = [sender for sender in senders if not sender.has_silence()]
        asked[0].read_consent()
        asked[0].send()
        assert asked[0].read_answer().startswith("HTTP/1.1 200")
        senders.remove(asked[0])
    wait_until(lambda: (upstream.limiter.in_use, upstream.side._gate.bodies.load()["body_bytes"]) == (0, 0))


def test_requests_without_a_body_and_with_a_small_one_pass_a_full_link(make_upstream):
    upstream = make_upstream(slots=8)
    senders = _fill(upstream)
    small = Sender(upstream, ASK_LIMIT, path="/small")
    small.read_consent()
    small.send()
    assert small.read_answer().startswith("HTTP/1.1 200")
    assert Sender(upstream, 0, path="/none").read_answer().startswith("HTTP/1.1 200")
    assert all(sender.has_silence() for sender in senders)


def test_what_cannot_come_in_time_is_refused_unseen(make_upstream):
    upstream = make_upstream(slots=8)
    senders = _fill(upstream)
    # Its target time has passed: it waits for nothing.
    answer = Sender(upstream, path="/late", target_ms=0).read_answer()
    assert answer.startswith("HTTP/1.1 503")
    assert f"{OUTCOME_HEADER}: {Outcome.NOT_RUN}" in answer
    assert f"{CODE_HEADER}: {ErrorCode.OVERLOADED.code}" in answer
    # This one waits as long as it may.
    answer = Sender(upstream, path="/short", deadline_ms=100).read_answer()
    assert f"{OUTCOME_HEADER}: {Outcome.NOT_RUN}" in answer
    assert not upstream.application.runs
    assert upstream.limiter.in_use == len(senders)


def test_whoever_goes_away_makes_room(make_upstream):
    upstream = make_upstream(slots=8)
    senders = _fill(upstream)
    waiting = [Sender(upstream, path=f"/waiting/{number}") for number in range(2)]
    wait_until(lambda: upstream.side._gate.bodies.waiting == len(waiting))
    waiting[0].conn.close()
    wait_until(lambda: upstream.side._gate.bodies.waiting == 1)
    for sender in senders:
        sender.conn.close()
    waiting[1].read_consent()
    waiting[1].send()
    assert waiting[1].read_answer().startswith("HTTP/1.1 200")
    wait_until(lambda: upstream.side._gate.bodies.load()["body_bytes"] == 0)
    wait_until(lambda: upstream.limiter.in_use == 0)


def test_a_slow_large_body_has_no_others_refused(make_upstream):
    upstream = make_upstream(slots=8)
    slow = Sender(upstream, 2_000_000, path="/slow", deadline_ms=60_000)
    slow.read_consent()

    def trickle() -> None:
        while True:
            slow.conn.sendall(b"x" * 2_500)
            gevent.sleep(0.05)

    sending = gevent.spawn(trickle)
    try:
        wait_until(lambda: upstream.side._gate.bodies.load()["bytes_per_s"] is not None)
        for number in range(4):
            quick = Sender(upstream, 100_000, path=f"/quick/{number}", target_ms=1_000, deadline_ms=5_000)
            quick.read_consent()
            quick.send()
            assert quick.read_answer().startswith("HTTP/1.1 200")
    finally:
        sending.kill()
    slow.conn.close()
    wait_until(lambda: upstream.limiter.in_use == 0)


class Scripted:
    """Two upstreams' daemons at one address: the first request is refused, the second answered.

    Attributes
    ----------
    heads, bodies : list of bytes
        As they came; a body that is asked for comes with the second request only.
    """

    def __init__(self):
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.server = StreamServer((HOST, 0), self._serve)
        self.server.start()

    def endpoints(self) -> messages.EndpointUpdate:
        update = messages.EndpointUpdate(whole=True)
        for name in ("first", "second"):
            update.changed.add(
                instance=name, service="s", zone="z", host=HOST, port=self.server.server_port, incarnation=1
            )
        return update

    def _serve(self, conn, address) -> None:
        with conn.makefile("rb") as stream:
            while head := _read_head(stream):
                self.heads.append(head)
                is_asked = b"expect: 100-continue" in head
                length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
                is_refused = len(self.heads) == 1
                if is_asked and not is_refused:
                    conn.sendall(CONTINUE)
                if not (is_asked and is_refused):
                    self.bodies.append(stream.read(length))
                conn.sendall(REFUSAL if is_refused else b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")


def _read_head(stream) -> bytes:
    """Return a request's head; empty at the end."""
    lines = []
    while (line := stream.readline()) not in (b"", b"\r\n"):
        lines.append(line)
    return b"".join(lines)


REFUSAL = (
    f"HTTP/1.1 503 Service Unavailable\r\n{OUTCOME_HEADER}: {Outcome.NOT_RUN}\r\ncontent-length: 0\r\n\r\n"
).encode()


@pytest.mark.parametrize("length", [ASK_LIMIT, ASK_LIMIT + 1, LONG])
def test_callers_sides_ask_before_they_send_a_body_that_is_not_small(make_chain, length):
    """What was refused goes elsewhere, whether its body was sent or not."""
    chain = make_chain(None)
    scripted = Scripted()
    chain.view.take_endpoints(scripted.endpoints())
    body = bytes(number % 251 for number in range(length))
    try:
        assert chain.request("POST", body=body)[0] == 200
    finally:
        scripted.server.stop(timeout=0)
    is_small = length <= ASK_LIMIT
    assert [b"expect: 100-continue" not in head for head in scripted.heads] == [is_small] * 2
    assert scripted.bodies == ([body, body] if is_small else [body])


def test_an_application_sees_nothing_of_a_request_whose_body_never_came(make_chain):
    """Its sender calls it not run, for it has sent nothing of the body."""
    chain = make_chain(None)
    upstream = chain.upstreams[0]
    lines = ["POST /x HTTP/1.1", "Host: h", "Transfer-Encoding: chunked", "X-Lanedock-Service: s"]
    with socket.create_connection((HOST, upstream.server.port)) as conn:
        conn.sendall("\r\n".join([*lines, "X-Lanedock-Class: write", "", ""]).encode())
        wait_until(lambda: upstream.limiter.in_use == 1)
    wait_until(lambda: not upstream.limiter.in_use)
    assert not upstream.application.runs


def test_what_waits_for_the_link_when_the_process_ends_is_refused_unseen(make_upstream):
    upstream = make_upstream(slots=8)
    senders = _fill(upstream)
    last = Sender(upstream, path="/last")
    wait_until(lambda: upstream.side._gate.bodies.waiting == 1)
    for connection in list(upstream.server._connections):
        connection.answer_all()
    answer = last.read_answer()
    assert f"{OUTCOME_HEADER}: {Outcome.NOT_RUN}" in answer
    assert f"{CODE_HEADER}: {ErrorCode.DRAINING.code}" in answer
    wait_until(lambda: upstream.side._gate.bodies.load()["body_bytes"] == 0)
    assert (upstream.side._gate.bodies.waiting, upstream.limiter.in_use) == (0, 0)
    assert all(f"{OUTCOME_HEADER}: " in sender.read_answer() for sender in senders)
    assert not upstream.application.runs


def test_what_breaks_off_before_its_body_was_asked_for_goes_elsewhere(make_chain):
    """A daemon that ends with requests in its queue: not run, also where they may not be repeated."""
    chain = make_chain(None)
    ended = StreamServer((HOST, 0), lambda conn, address: conn.recv(65536))
    ended.start()
    update = messages.EndpointUpdate(whole=True)
    for name, port in (("ended", ended.server_port), ("u0", chain.upstreams[0].server.port)):
        update.changed.add(instance=name, service="s", zone="z", host=HOST, port=port, incarnation=1)
    chain.view.take_endpoints(update)
    try:
        assert [chain.request("POST", body=bytes(LONG))[0] for _ in range(8)] == [200] * 8
    finally:
        ended.stop(timeout=0)
    assert chain.runs() == 8


def test_an_upstream_that_begins_to_leave_while_a_body_comes_does_not_get_it(make_upstream):
    upstream = make_upstream(slots=8)
    sender = Sender(upstream, path="/x")
    sender.read_consent()
    upstream.side._registration.leave("")
    sender.send()
    answer = sender.read_answer()
    assert f"{OUTCOME_HEADER}: {Outcome.NOT_RUN}" in answer
    assert f"{CODE_HEADER}: {ErrorCode.DRAINING.code}" in answer
    wait_until(lambda: not (upstream.limiter.in_use or upstream.side._gate.bodies.load()["body_bytes"]))
    assert not upstream.application.runs
