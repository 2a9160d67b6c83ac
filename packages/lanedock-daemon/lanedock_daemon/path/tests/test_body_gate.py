# SPDX-License-Identifier: BSD-3-Clause
"""Tests that bodies are requested only when the link has capacity, and refused before they are sent otherwise."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from lanedock.errors import ErrorCode
from lanedock.wire import messages
from lanedock_daemon.path.http.headers import (
    CLASS_HEADER,
    CODE_HEADER,
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    TARGET_HEADER,
)
from lanedock_daemon.path.http.messages import MAX_UNSOLICITED_BODY_BYTES, Outcome
from lanedock_daemon.path.tests.chain import HOST, Gate, make_value, wait_until

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LONG = 200_000
# Number of bodies of that length that fill a link of unknown rate.
BODIES_FILLING_LINK = 2


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
    """The caller's side of a request, which sends its body when the test calls `send`."""

    def __init__(self, upstream, length: int = LONG, **more):
        self.length = length
        self.conn = socket.create_connection((HOST, upstream.server.port), timeout=10)
        self.conn.sendall(_head(length, **more))

    def has_silence(self) -> bool:
        """Tell whether nothing has been received."""
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
    """Have the link's capacity taken by requested bodies that are not sent yet."""
    senders = [Sender(upstream, path=f"/{number}") for number in range(BODIES_FILLING_LINK)]
    for sender in senders:
        sender.read_consent()
    return senders


def test_a_body_is_requested_only_when_a_slot_is_free(make_upstream):
    gate = Gate()
    upstream = make_upstream(gate, slots=1)
    first = Sender(upstream, MAX_UNSOLICITED_BODY_BYTES + 1, path="/first")
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


def test_a_body_that_waits_for_the_link_takes_no_slot(make_upstream):
    upstream = make_upstream(slots=8)
    senders = _fill(upstream)
    last = Sender(upstream, path="/last")
    wait_until(lambda: upstream.side._gate.bodies.waiting == 1)
    assert last.has_silence()
    assert upstream.limiter.in_use == BODIES_FILLING_LINK
    assert upstream.side.in_progress == BODIES_FILLING_LINK + 1
    for sender in senders:
        sender.send()
        assert sender.read_answer().startswith("HTTP/1.1 200")
    last.read_consent()
    last.send()
    assert last.read_answer().startswith("HTTP/1.1 200")


def test_bodies_of_requests_that_waited_for_slots_are_not_all_requested_at_once(make_upstream):
    """Guards against a burst of bodies that fills the link and delays new versions to the daemon.

    While an application hangs, requests with bodies wait for slots, and their capacity on the link
    goes to other requests, which then wait for slots, too. When the slots become free together,
    the link's capacity has to be checked again before each body is requested. Without that check,
    18 bodies of 60 kB were requested at once, which occupy a link of 500 kB/s for 2.2 s.
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


def test_requests_without_a_body_or_with_a_small_one_are_admitted_when_the_link_is_full(make_upstream):
    upstream = make_upstream(slots=8)
    senders = _fill(upstream)
    small = Sender(upstream, MAX_UNSOLICITED_BODY_BYTES, path="/small")
    small.read_consent()
    small.send()
    assert small.read_answer().startswith("HTTP/1.1 200")
    assert Sender(upstream, 0, path="/none").read_answer().startswith("HTTP/1.1 200")
    assert all(sender.has_silence() for sender in senders)


def test_a_body_that_cannot_come_in_time_is_refused_before_it_is_sent(make_upstream):
    upstream = make_upstream(slots=8)
    senders = _fill(upstream)
    # The target time has passed, so this request doesn't wait.
    answer = Sender(upstream, path="/late", target_ms=0).read_answer()
    assert answer.startswith("HTTP/1.1 503")
    assert f"{OUTCOME_HEADER}: {Outcome.NOT_RUN}" in answer
    assert f"{CODE_HEADER}: {ErrorCode.OVERLOADED.code}" in answer
    # This request waits until its deadline.
    answer = Sender(upstream, path="/short", deadline_ms=100).read_answer()
    assert f"{OUTCOME_HEADER}: {Outcome.NOT_RUN}" in answer
    assert not upstream.application.runs
    assert upstream.limiter.in_use == len(senders)


def test_requests_whose_senders_disconnect_release_the_link_and_their_slots(make_upstream):
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


def test_a_slow_large_body_does_not_cause_refusals_of_others(make_upstream):
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
    """Stands for two upstreams' daemons at one address; refuses the first request, answers the second.

    Attributes
    ----------
    heads, bodies : list of bytes
        In the order received. A body that has to be requested comes with the second request only.
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
                is_body_requested = b"expect: 100-continue" in head
                length = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
                is_refused = len(self.heads) == 1
                if is_body_requested and not is_refused:
                    conn.sendall(CONTINUE)
                if not (is_body_requested and is_refused):
                    self.bodies.append(stream.read(length))
                conn.sendall(REFUSAL if is_refused else b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")


def _read_head(stream) -> bytes:
    """Return the head of the next request; empty at the end of the stream."""
    lines = []
    while (line := stream.readline()) not in (b"", b"\r\n"):
        lines.append(line)
    return b"".join(lines)


REFUSAL = (
    f"HTTP/1.1 503 Service Unavailable\r\n{OUTCOME_HEADER}: {Outcome.NOT_RUN}\r\ncontent-length: 0\r\n\r\n"
).encode()


@pytest.mark.parametrize("length", [MAX_UNSOLICITED_BODY_BYTES, MAX_UNSOLICITED_BODY_BYTES + 1, LONG])
def test_the_callers_side_sends_a_body_above_the_ask_limit_only_on_request(make_chain, length):
    """The refused request is retried at another upstream, whether its body was sent or not."""
    chain = make_chain(None)
    scripted = Scripted()
    chain.view.apply_endpoints(scripted.endpoints())
    body = bytes(number % 251 for number in range(length))
    try:
        assert chain.request("POST", body=body)[0] == 200
    finally:
        scripted.server.stop(timeout=0)
    is_small = length <= MAX_UNSOLICITED_BODY_BYTES
    assert [b"expect: 100-continue" not in head for head in scripted.heads] == [is_small] * 2
    assert scripted.bodies == ([body, body] if is_small else [body])


def test_a_request_whose_body_never_came_does_not_reach_the_application(make_chain):
    """The sending daemon reports the request as not run, because it has sent nothing of the body."""
    chain = make_chain(None)
    upstream = chain.upstreams[0]
    lines = ["POST /x HTTP/1.1", "Host: h", "Transfer-Encoding: chunked", "X-Lanedock-Service: s"]
    with socket.create_connection((HOST, upstream.server.port)) as conn:
        conn.sendall("\r\n".join([*lines, "X-Lanedock-Class: write", "", ""]).encode())
        wait_until(lambda: upstream.limiter.in_use == 1)
    wait_until(lambda: not upstream.limiter.in_use)
    assert not upstream.application.runs


def test_a_request_that_waits_for_the_link_when_the_process_stops_is_refused_as_not_run(make_upstream):
    upstream = make_upstream(slots=8)
    senders = _fill(upstream)
    last = Sender(upstream, path="/last")
    wait_until(lambda: upstream.side._gate.bodies.waiting == 1)
    for connection in list(upstream.server._connections):
        connection.force_answers()
    answer = last.read_answer()
    assert f"{OUTCOME_HEADER}: {Outcome.NOT_RUN}" in answer
    assert f"{CODE_HEADER}: {ErrorCode.DRAINING.code}" in answer
    wait_until(lambda: upstream.side._gate.bodies.load()["body_bytes"] == 0)
    assert (upstream.side._gate.bodies.waiting, upstream.limiter.in_use) == (0, 0)
    assert all(f"{OUTCOME_HEADER}: " in sender.read_answer() for sender in senders)
    assert not upstream.application.runs


def test_a_request_that_breaks_off_before_its_body_was_requested_is_retried_at_another_upstream(make_chain):
    """A daemon that ends has not run the requests in its queue, so any of them may be retried."""
    chain = make_chain(None)
    ended = StreamServer((HOST, 0), lambda conn, address: conn.recv(65536))
    ended.start()
    update = messages.EndpointUpdate(whole=True)
    for name, port in (("ended", ended.server_port), ("u0", chain.upstreams[0].server.port)):
        update.changed.add(instance=name, service="s", zone="z", host=HOST, port=port, incarnation=1)
    chain.view.apply_endpoints(update)
    try:
        assert [chain.request("POST", body=bytes(LONG))[0] for _ in range(8)] == [200] * 8
    finally:
        ended.stop(timeout=0)
    assert chain.runs() == 8


def test_an_application_that_begins_to_leave_before_a_body_comes_does_not_get_the_request(make_upstream):
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
