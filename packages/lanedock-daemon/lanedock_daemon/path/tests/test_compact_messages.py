# SPDX-License-Identifier: BSD-3-Clause
"""Tests that messages of very many parts are held in few objects, and read as they were sent.

They guard against heads of short lines, and bodies of small chunks, that take a hundred times their size.
"""

import sys

import pytest
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st

from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.http.parsed_message import MAX_DECODED_LINES
from lanedock_daemon.path.http.parser import MAX_HEAD_BYTES, MalformedMessage, RequestReader

LINES = 4_000
# None of them is a header that the parser looks at itself.
NAMES = st.text("abcdefghijklmnopqrstuvwxyz0123456789-", max_size=12).map("x-".__add__)
VALUES = st.text("abc:; =\t", max_size=20).map(str.strip)
# Bytes for which `LINES` lines of four bytes may stand in memory while their message waits.
MAX_HELD_BYTES = 64 * 1024


class _Sent:
    """A connection whose peer has sent some bytes."""

    def __init__(self, data: bytes):
        own, self._peer = socket.socketpair()
        self.reader = RequestReader(Channel(own))
        self._peer.sendall(data)
        self._peer.shutdown(socket.SHUT_WR)

    def receive_all(self) -> None:
        while self.reader.receive():
            pass


def _make_request(headers: list[tuple[str, str]], rest: bytes = b"") -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return b"POST / HTTP/1.1\r\nhost: h\r\n" + lines.encode() + rest


def _count_bytes(message) -> int:
    decoded = [sys.getsizeof(pair) + sys.getsizeof(pair[1]) for pair in message._decoded]
    return sys.getsizeof(message._decoded) + sum(decoded) + sys.getsizeof(message._packed)


def test_waiting_head_of_short_lines_takes_little_more_than_its_bytes():
    sent = _Sent(b"GET / HTTP/1.1\r\nhost: h\r\n" + b"a:\r\n" * LINES + b"\r\n")
    sent.receive_all()
    assert _count_bytes(sent.reader.first_head()) <= MAX_HELD_BYTES


def test_look_at_one_header_of_a_waiting_head_decodes_no_others():
    sent = _Sent(b"GET / HTTP/1.1\r\nhost: h\r\n" + b"a:\r\n" * LINES + b"last: value\r\n\r\n")
    sent.receive_all()
    message = sent.reader.first_head()
    assert message.find_header("last") == "value"
    assert _count_bytes(message) <= MAX_HELD_BYTES


@given(st.lists(st.tuples(NAMES, VALUES), max_size=3 * MAX_DECODED_LINES))
def test_headers_are_the_same_whether_they_were_kept_decoded_or_not(headers):
    sent = _Sent(_make_request(headers, b"content-length: 0\r\n\r\n"))
    sent.receive_all()
    message = sent.reader.next_head()
    expected = [("host", "h"), *headers, ("content-length", "0")]
    assert list(message.iterate_headers()) == expected
    assert message.find_header("content-length") == message.header("content-length") == "0"
    assert message.headers == list(message.iterate_headers()) == expected


def test_framing_headers_behind_many_lines_are_checked():
    lines = b"a:\r\n" * (2 * MAX_DECODED_LINES)
    sent = _Sent(_make_request([], lines + b"host: other\r\ncontent-length: 0\r\n\r\n"))
    with pytest.raises(MalformedMessage, match="exactly one host"):
        sent.receive_all()


def test_body_in_small_chunks_is_held_in_few_pieces():
    body = b"".join(b"2\r\n%02d\r\n" % (number % 100) for number in range(20_000)) + b"0\r\n\r\n"
    sent = _Sent(_make_request([("transfer-encoding", "chunked")], b"\r\n" + body[:60_000]))
    sent.receive_all()
    message = sent.reader.next_head()
    assert len(message.pieces) <= 16
    assert message.count_unread_bytes() == sum(map(len, message.pieces))
    taken = b"".join(message.take_piece() for _ in range(len(message.pieces)))
    assert taken.startswith(b"000102")
    assert message.count_unread_bytes() == 0


def test_small_arrivals_of_a_body_are_joined():
    own, peer = socket.socketpair()
    reader = RequestReader(Channel(own))
    peer.sendall(_make_request([("transfer-encoding", "chunked")], b"\r\n"))
    reader.receive()
    for _ in range(1_000):
        peer.sendall(b"2\r\nab\r\n")
        reader.receive()
    message = reader.next_head()
    assert list(message.pieces) == [b"ab" * 1_000]


def test_heads_are_read_in_parts_that_leave_time_to_other_connections():
    own, peer = socket.socketpair()
    reader = RequestReader(Channel(own))
    peer.sendall((b"GET / HTTP/1.1\r\nhost: h\r\n" + b"a:\r\n" * 200 + b"\r\n") * 60)
    reader.receive()
    assert reader.count_heads() * 800 <= MAX_HEAD_BYTES // 2
