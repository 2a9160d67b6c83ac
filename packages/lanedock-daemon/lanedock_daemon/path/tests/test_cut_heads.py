# SPDX-License-Identifier: BSD-3-Clause
"""Tests that an answer whose sender stops within its head and closes never looks whole to the caller."""

import socket as plain_socket
import struct

import pytest
from gevent import socket

from lanedock.wire import messages
from lanedock_daemon.path.tests.chain import HOST, parse_answer, read_all

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
_FIELDS = b"Server: s\r\n"
# Heads of answers, each with its body.
ANSWERS = {
    "length": (b"HTTP/1.1 200 OK\r\n" + _FIELDS + b"content-length: 2\r\n\r\n", b"ok"),
    "empty": (b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n" + _FIELDS + b"\r\n", b""),
    "chunked": (b"HTTP/1.1 200 OK\r\n" + _FIELDS + b"transfer-encoding: chunked\r\n\r\n", b"2\r\nok\r\n0\r\n\r\n"),
    "until the close": (b"HTTP/1.1 200 OK\r\n" + _FIELDS + b"\r\n", b"ok"),
    "close": (b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n" + _FIELDS + b"\r\n", b"ok"),
    "HTTP/1.0": (b"HTTP/1.0 200 OK\r\n" + _FIELDS + b"\r\n", b"ok"),
    "no content": (b"HTTP/1.1 204 No Content\r\n" + _FIELDS + b"\r\n", b""),
    "no reason": (b"HTTP/1.1 200 \r\n" + _FIELDS + b"content-length: 0\r\n\r\n", b""),
    "interim": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + _FIELDS + b"content-length: 2\r\n\r\n", b"ok"),
}
RESET_KINDS = ("length", "chunked", "until the close", "interim")


class _CutAnswers:
    """Script that answers paths `/whole` whole and `/N` with the first N bytes of an answer, and closes then."""

    def __init__(self, answer: bytes, is_reset: bool):
        self.answer = answer
        self.is_reset = is_reset

    def __call__(self, conn, head: str, body: bytes) -> bytes | None:
        path = head.split(" ")[1]
        if path == "/whole":
            return WHOLE
        conn.sendall(self.answer[: int(path[1:])])
        if self.is_reset:
            conn.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, RESET_ON_CLOSE)
        return None


@pytest.fixture(params=["application", "daemon"])
def make_cutting_chain(make_chain, request):
    """Return a factory of chains in which the application, or the upstream's daemon, runs a script."""

    def make(script):
        chain = make_chain(script)
        if request.param == "daemon":
            update = messages.EndpointUpdate(whole=True)
            port = chain.applications[0].address[1]
            update.changed.add(instance="u0", service="s", zone="z", host=HOST, port=port, incarnation=1)
            chain.view.apply_endpoints(update)
        return chain

    return make


@pytest.mark.parametrize(
    "kind,is_reset", [*((kind, False) for kind in ANSWERS), *((kind, True) for kind in RESET_KINDS)]
)
def test_answer_cut_at_any_byte_of_its_head_is_not_passed_on_as_whole(make_cutting_chain, kind, is_reset):
    _check_cut_answers(make_cutting_chain, kind, is_reset, is_behind_another=True)


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_first_answer_of_a_connection_cut_at_any_byte_of_its_head_is_not_passed_on(make_cutting_chain, is_reset):
    _check_cut_answers(make_cutting_chain, "length", is_reset, is_behind_another=False)


def _check_cut_answers(make_cutting_chain, kind: str, is_reset: bool, is_behind_another: bool) -> None:
    head, body = ANSWERS[kind]
    chain = make_cutting_chain(_CutAnswers(head + body, is_reset))
    for cut in range(len(head)):
        if is_behind_another:
            assert chain.request("POST", "/whole")[0] == 200
        assert chain.request("POST", f"/{cut}")[0] == 502, head[:cut]
    if not is_reset:
        assert chain.request("POST", f"/{len(head + body)}")[0] in (200, 204)


@pytest.mark.parametrize("kind", ["length", "until the close"])
def test_head_of_an_answer_to_head_that_is_cut_at_any_byte_is_not_passed_on(make_cutting_chain, kind):
    head, _ = ANSWERS[kind]
    chain = make_cutting_chain(_CutAnswers(head, is_reset=False))
    for cut in range(len(head)):
        assert (
            parse_answer(chain.send(f"HEAD /{cut} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n".encode()))[0] == 502
        )


@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_pipelined_answers_around_a_cut_head_are_their_own(make_cutting_chain, is_reset):
    head, body = ANSWERS["length"]
    chain = make_cutting_chain(_CutAnswers(head + body, is_reset))
    for cut in range(0, len(head), 3):
        with socket.create_connection((HOST, chain.entry.port), timeout=10) as conn:
            paths = ["/whole", f"/{cut}", "/whole"]
            conn.sendall(b"".join(f"GET {path} HTTP/1.1\r\nhost: h\r\n\r\n".encode() for path in paths[:2]))
            conn.sendall(f"GET {paths[2]} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n".encode())
            answers = read_all(conn).split(b"HTTP/1.1 ")[1:]
        assert [answer[:3] for answer in answers] == [b"200", b"502", b"200"], cut
        assert [answer.endswith(b"\r\n\r\nok") for answer in answers] == [True, False, True], cut
