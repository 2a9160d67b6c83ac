# SPDX-License-Identifier: BSD-3-Clause
"""Tests of applications that end under a request: what is noticed, suspected and refused."""

import gevent
import pytest

from lanedock.clock import monotonic
from lanedock.quarantine import MAX_CRASHES, Fingerprint, RequestHasher
from lanedock_daemon.agent import LocalView
from lanedock_daemon.path.tests.chain import Application, parse_answer, wait_until

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
LARGE = bytes(60_000)


def _fingerprint(method: str, path: str, body: bytes = b"", customer: str = "") -> Fingerprint:
    hasher = RequestHasher(method, "h", path, customer)
    hasher.update(body)
    return hasher.fingerprint()


def _end(application: Application) -> None:
    """End an application: its connections break, and it takes no new ones."""
    application.server.stop(timeout=0)
    for conn in application.connections:
        conn.close()


@pytest.fixture
def make_mesh(make_chain):
    """Make a chain whose applications end under requests for `/poison`."""

    def make(count: int = 2):
        chain = make_chain(*[None] * count)
        for application in chain.applications:
            application.script = _end_under_poison(application)
        return chain

    return make


def _end_under_poison(application: Application):
    """Make a script that ends its application under some requests."""

    def script(conn, head: str, body: bytes) -> bytes | None:
        return _end(application) if " /poison " in head else OK

    return script


def _quarantine(view: LocalView, fingerprint: Fingerprint) -> None:
    """Let a daemon know of three ends under a request."""
    for number in range(MAX_CRASHES):
        view.quarantine.note_crash(f"u{number}", [fingerprint], monotonic())


def _suspicions(chain, fingerprint: Fingerprint) -> list[int]:
    return [upstream.view.quarantine.count(fingerprint) for upstream in chain.upstreams]


def test_a_request_under_which_two_have_ended_is_not_sent_again(make_mesh):
    chain = make_mesh(3)
    status, head, _ = chain.request("GET", "/poison")
    assert status == 502 and "x-request-code: LD3015" in head
    assert chain.runs("/poison") == 2
    # The caller's daemon has learned it from the answers; its next try comes too soon.
    status, head, _ = chain.request("GET", "/poison")
    assert status == 503 and "x-request-code: LD3014" in head and "x-request-outcome: not-run" in head
    assert "retry-after: 10" in head
    assert chain.runs("/poison") == 2
    assert chain.view.quarantine.count(_fingerprint("GET", "/poison")) == 2


def test_what_ran_beside_it_is_served_elsewhere_and_cleared(make_chain):
    started = gevent.event.Event()

    def slow(conn, head: str, body: bytes) -> bytes | None:
        started.set()
        gevent.sleep(0.1)
        return OK

    chain = make_chain(slow, slow)
    beside = gevent.spawn(chain.request, "GET", "/beside")
    started.wait()
    ended = next(application for application in chain.applications if application.runs["/beside"])
    _end(ended)
    assert beside.get()[0] == 200
    fingerprint = _fingerprint("GET", "/beside")
    wait_until(lambda: sorted(_suspicions(chain, fingerprint)) in ([0, 0], [0, 1]))
    assert chain.runs("/beside") == 2


def test_a_connection_that_breaks_by_itself_is_no_end(make_chain):
    """The application goes on, and takes connections."""
    chain = make_chain(lambda conn, head, body: None)
    for _ in range(MAX_CRASHES):
        status, head, _ = chain.request("POST", "/x", b"1")
        assert status == 502 and "x-request-code: LD3008" in head
    gevent.sleep(0.3)
    assert _suspicions(chain, _fingerprint("POST", "/x", b"1")) == [0]


def test_an_application_that_refuses_connections_and_works_on_has_not_ended(make_chain):
    """It is full, and one of its connections broke."""
    opened = gevent.event.Event()

    def script(conn, head: str, body: bytes) -> bytes | None:
        if " /long " in head:
            opened.wait()
            return OK
        chain.applications[0].server.stop_accepting()
        chain.applications[0].server.close()
        return None

    chain = make_chain(script)
    long = gevent.spawn(chain.request, "POST", "/long", b"1")
    wait_until(lambda: chain.runs("/long") == 1)
    status, head, _ = chain.request("POST", "/x", b"1")
    assert status == 502 and "x-request-code: LD3008" in head
    gevent.sleep(0.3)
    opened.set()
    assert long.get()[0] == 200
    assert _suspicions(chain, _fingerprint("POST", "/x", b"1")) == [0]


def test_an_end_is_noticed_beside_an_upload_whose_caller_is_slow(make_mesh):
    """Found by reading: the upload counted as still running, as nothing was read from its connection."""
    chain = make_mesh(1)
    conn = chain.connect()
    conn.sendall(b"POST /upload HTTP/1.1\r\nhost: h\r\ncontent-length: 100000\r\n\r\n" + bytes(1000))
    wait_until(lambda: chain.upstreams[0].limiter.in_use == 1 and chain.applications[0].connections)
    # The application has the first piece of the body, and nothing more of it comes.
    assert chain.request("GET", "/poison")[0] == 502
    wait_until(lambda: _suspicions(chain, _fingerprint("GET", "/poison")) == [1])


def test_an_end_is_noticed_beside_an_answer_whose_caller_is_slow(make_chain):
    """The same of a long answer: its connection is not read from while the caller takes nothing."""

    def script(conn, head: str, body: bytes) -> bytes | None:
        if " /poison " in head:
            return _end(chain.applications[0])
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 50000000\r\n\r\n" + bytes(100_000))
        begun.set()
        conn.sendall(bytes(49_900_000))
        return b""

    begun = gevent.event.Event()
    chain = make_chain(script)
    conn = chain.connect()
    conn.sendall(b"GET /long HTTP/1.1\r\nhost: h\r\n\r\n")
    begun.wait()
    gevent.sleep(0.2)
    assert chain.request("GET", "/poison")[0] == 502
    wait_until(lambda: _suspicions(chain, _fingerprint("GET", "/poison")) == [1])


def test_an_application_that_was_leaving_has_ended_as_it_was_to(make_chain):
    chain = make_chain(None)
    registration = chain.upstreams[0].side._registration
    chain.applications[0].script = lambda conn, head, body: (registration.leave(""), _end(chain.applications[0]))[1]
    assert chain.request("POST", "/x", b"1")[0] == 502
    gevent.sleep(0.3)
    assert _suspicions(chain, _fingerprint("POST", "/x", b"1")) == [0]


def test_what_an_application_has_served_lately_is_not_suspected(make_chain):
    chain = make_chain(None)
    assert chain.request("GET", "/popular")[0] == 200
    chain.applications[0].script = lambda conn, head, body: _end(chain.applications[0])
    assert chain.request("GET", "/popular")[0] >= 500
    gevent.sleep(0.3)
    assert _suspicions(chain, _fingerprint("GET", "/popular")) == [0]


def _send(chain, body: bytes, is_chunked: bool) -> tuple[int, str, bytes]:
    if not is_chunked:
        return chain.request("POST", "/x", body)
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    pieces = [body[start : start + 7000] for start in range(0, len(body), 7000)]
    text = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return parse_answer(chain.send(head + text + b"0\r\n\r\n"))


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("body", [b"12", LARGE])
def test_a_body_is_told_from_one_that_differs_in_its_last_byte(make_chain, body, is_chunked):
    chain = make_chain(None)
    upstream = chain.upstreams[0]
    _quarantine(upstream.view, _fingerprint("POST", "/x", body))

    status, head, _ = _send(chain, body, is_chunked)
    assert status == 503 and "x-request-code: LD3014" in head and "x-request-outcome: not-run" in head
    assert chain.runs() == 0
    assert _send(chain, body[:-1] + b"z", is_chunked)[0] == 200
    assert chain.runs() == 1
    assert upstream.limiter.in_use == 0 and upstream.side._gate.bodies.load()["body_bytes"] == 0


def test_another_customers_request_is_another_one(make_chain):
    chain = make_chain(None)
    _quarantine(chain.upstreams[0].view, _fingerprint("GET", "/x", customer="a"))
    assert chain.request("GET", headers="Authorization: a\r\n")[0] == 503
    assert chain.request("GET", headers="Authorization: b\r\n")[0] == 200


@pytest.mark.parametrize("crashes, runs", [(0, 2), (1, 1)])
def test_a_suspect_is_not_sent_to_a_second_upstream_because_it_is_late(make_chain, crashes, runs):
    """The first answer is later than nearly all; the one that is hedged has two runs."""

    def script(conn, head: str, body: bytes) -> bytes:
        gevent.sleep(0.7)
        return OK

    chain = make_chain(script, script)
    for number in range(crashes):
        chain.view.quarantine.note_crash(f"u{number}", [_fingerprint("GET", "/x")], monotonic())
    assert chain.request("GET")[0] == 200
    assert chain.runs() == runs


class _HeadReader(Application):
    """Ends once it has the head of a request and the first piece of its body."""

    def _serve_one(self, conn) -> bool:
        data = conn.recv(65536)
        if data:
            self.runs["begun"] += 1
            _end(self)
        return False


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_of_which_only_a_part_had_come_is_known_again(make_chain, is_chunked):
    """Found by reading: the digest was that of the part, which differs each time."""
    chain = make_chain(None, None)
    body = bytes(300_000)
    ending = [_HeadReader(), _HeadReader()]
    for upstream, application in zip(chain.upstreams, ending, strict=True):
        upstream.side._application = application.address
        upstream.side._crashes._application = application.address
    while sum(application.runs["begun"] for application in ending) < 2:
        # Not run where it comes to the one that has ended already.
        assert _send(chain, body, is_chunked)[0] in (502, 503)
    assert chain.view.quarantine.count(_fingerprint("POST", "/x", body)) == 2


def test_what_may_have_run_is_not_said_to_be_not_run_by_a_later_refusal(make_mesh):
    """Found by reading: a refusal that ended the tries was the answer, whatever the ones before had come to."""
    chain = make_mesh()
    first, other = chain.upstreams
    _quarantine(other.view, _fingerprint("GET", "/poison"))
    while not chain.runs("/poison"):
        # Where the one that has it quarantined is chosen first it is not run, and that is said.
        status, head, _ = chain.request("GET", "/poison")
    assert first.application.runs["/poison"] == 1
    assert status == 502 and "x-request-outcome: unknown" in head
