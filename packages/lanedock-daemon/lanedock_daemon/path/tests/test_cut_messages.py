# SPDX-License-Identifier: BSD-3-Clause
"""Tests of messages that arrive in several reads, cut at any place.

They guard against limits that count what a read brings instead of what it is: a valid upload was
refused with 431 if a read brought the end of its head together with a long part of its body.
"""

from collections import deque
from itertools import pairwise

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lanedock_daemon.path.http.answer_reader import AnswerReader
from lanedock_daemon.path.http.parser import MAX_HEAD_BYTES, RECEIVE_SIZE, MalformedMessage, RequestReader
from lanedock_daemon.path.tests.chain import parse_answer

BODIES = [b"", b"." * 1000, b"." * 64 * 1024, b"." * 1024 * 1024]
STARTS = {
    RequestReader: b"POST /media/a HTTP/1.1\r\nHost: h\r\n",
    AnswerReader: b"HTTP/1.1 200 OK\r\nX-Name: value\r\n",
}


class _Conn:
    """A connection on which given pieces arrive, each in reads of its own.

    Attributes
    ----------
    read_bytes : int
        Bytes that were read.
    """

    def __init__(self, pieces):
        self._pieces = deque(pieces)
        self.read_bytes = 0

    def recv(self, size: int) -> bytes:
        if not self._pieces:
            return b""
        piece = self._pieces.popleft()
        if len(piece) > size:
            self._pieces.appendleft(piece[size:])
        self.read_bytes += len(piece[:size])
        return piece[:size]


def _make_message(kind, body: bytes, is_chunked: bool) -> tuple[bytes, bytes]:
    """Return the head and the encoded body of a message."""
    if is_chunked:
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        return STARTS[kind] + b"Transfer-Encoding: chunked\r\n\r\n", chunk + b"0\r\n\r\n"
    return STARTS[kind] + b"Content-Length: %d\r\n\r\n" % len(body), body


def _read_bodies(reader) -> list[bytes]:
    """Return the bodies of all messages."""
    bodies = []
    while (message := reader.next_head()) is not None:
        body = b""
        while piece := reader.next_piece(message):
            body += piece
        bodies.append(body)
    return bodies


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("body", BODIES, ids=len)
@pytest.mark.parametrize("kind", STARTS)
def test_messages_cut_at_every_byte_of_the_head_are_read_whole(kind, body, is_chunked):
    head, encoded = _make_message(kind, body, is_chunked)
    cuts = range(1, len(head) + 1)
    pieces = []
    for cut in cuts:
        pieces += [head[:cut], head[cut:] + encoded]
    assert _read_bodies(kind(_Conn(pieces))) == [body] * len(cuts)


@given(
    kind=st.sampled_from(list(STARTS)),
    messages=st.lists(st.tuples(st.integers(0, 200_000), st.booleans()), min_size=1, max_size=4),
    cuts=st.lists(st.floats(0, 1), max_size=12),
)
@settings(deadline=None, max_examples=200)
def test_messages_cut_at_random_places_are_read_as_the_uncut_ones(kind, messages, cuts):
    data = b"".join(part for size, chunked in messages for part in _make_message(kind, b"." * size, chunked))
    places = sorted({0, len(data), *(int(cut * len(data)) for cut in cuts)})
    pieces = [data[begin:end] for begin, end in pairwise(places)]
    assert _read_bodies(kind(_Conn(pieces))) == [b"." * size for size, _ in messages]


# Heads that are too long: what follows the start of a message, and how long one read is.
_LONG_HEADS = {
    "many headers": b"".join(b"X-%05d: %b\r\n" % (number, b"." * 90) for number in range(1000)),
    "a line without an end": b"X-Long: " + b"." * 100_000,
    "a name without an end": b"X" * 100_000,
}


@pytest.mark.parametrize("read_size", [1, 100, 5000, RECEIVE_SIZE])
@pytest.mark.parametrize("rest", _LONG_HEADS)
@pytest.mark.parametrize("kind", STARTS)
def test_long_head_is_refused_after_the_limit_and_one_read(kind, rest, read_size):
    data = STARTS[kind] + _LONG_HEADS[rest]
    conn = _Conn(data[begin : begin + read_size] for begin in range(0, len(data), read_size))
    with pytest.raises(MalformedMessage) as raised:
        kind(conn).next_head()
    assert raised.value.status == 431
    assert conn.read_bytes <= MAX_HEAD_BYTES + RECEIVE_SIZE


@pytest.mark.parametrize("kind", STARTS)
def test_endless_trailer_is_refused_after_the_limit_and_one_read(kind):
    head, _ = _make_message(kind, b"", True)
    conn = _Conn([head, b"0\r\nX-Long: ", *(b"." * 100 for _ in range(2000))])
    reader = kind(conn)
    with pytest.raises(MalformedMessage):
        reader.next_piece(reader.next_head())
    assert conn.read_bytes <= MAX_HEAD_BYTES + RECEIVE_SIZE


@pytest.mark.parametrize("size", [1000, 30_000, 60_000, 400_000])
def test_upload_whose_head_arrives_in_two_parts_is_served(make_chain, size):
    chain = make_chain(None)
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
    with chain.connect() as conn:
        conn.sendall(head[:30])
        gevent.sleep(0.05)
        conn.sendall(head[30:] + b"." * size)
        assert parse_answer(conn.recv(65536))[0] == 200


@pytest.mark.parametrize("size", [1000, 60_000, 400_000])
def test_answer_whose_head_arrives_in_two_parts_is_passed_on(make_chain, size):
    def answer(conn, head: str, body: bytes) -> bytes:
        conn.sendall(b"HTTP/1.1 200 OK\r\ncont")
        gevent.sleep(0.05)
        return b"ent-length: %d\r\n\r\n%b" % (size, b"." * size)

    chain = make_chain(answer)
    got = parse_answer(chain.send(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
    assert got[0] == 200
    assert len(got[-1]) == size
