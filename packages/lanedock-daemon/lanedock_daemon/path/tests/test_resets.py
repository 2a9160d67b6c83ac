# SPDX-License-Identifier: BSD-3-Clause
"""Tests of connections that are reset: a part of an answer must never be taken for the whole one.

The kernel reports a reset once. A check or a write that was first to see it left the reader with the end of the
stream, which ends an answer without a length.
"""

import socket as plain_socket
import struct
import subprocess
import sys
from contextlib import nullcontext

import gevent
import pytest
from gevent import socket

from lanedock_daemon.path.http.answer_reader import AnswerReader
from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.shared.answer_pieces import AnswerPieces
from lanedock_daemon.path.shared.answers import UpstreamAnswer
from lanedock_daemon.path.shared.pool import ConnectionPool
from lanedock_daemon.path.tests.chain import HOST, Chain, make_value, wait_until

ABORTIVE = struct.pack("ii", 1, 0)
STATUS = b"HTTP/1.1 200 OK\r\n"
PART = b"1234567890"
# For each way in which an answer's body is delimited: the rest of the head, and a first part of the body.
FRAMINGS = {
    "none": (b"\r\n", PART),
    "length": (b"content-length: 100\r\n\r\n", PART),
    "chunked": (b"transfer-encoding: chunked\r\n\r\n", b"a\r\n" + PART + b"\r\n"),
}


def _ignore_errors(function, *arguments) -> None:
    try:
        function(*arguments)
    except OSError:
        pass


# What may look at a connection before its reader learns of a reset.
LOOKERS = {
    "nobody": lambda channel: None,
    "check": lambda channel: channel.is_clean(),
    "two checks": lambda channel: (channel.is_clean(), channel.is_clean()),
    "write": lambda channel: _ignore_errors(channel.sendall, b"x"),
    "two writes": lambda channel: (_ignore_errors(channel.sendall, b"x"), _ignore_errors(channel.sendall, b"x")),
    "long write": lambda channel: _ignore_errors(channel.sendall, b"x" * 10_000_000),
    "check and write": lambda channel: (channel.is_clean(), _ignore_errors(channel.sendall, b"x")),
    "sizes of queues": lambda channel: (channel.count_unsent_bytes(), channel.count_unread_bytes()),
}


@pytest.fixture
def pair():
    """A channel, and the plain socket at its other end."""
    listener = socket.create_server((HOST, 0))
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    channel = Channel(near)
    channel.settimeout(10.0)
    yield channel, far
    channel.close()
    far.close()
    listener.close()


def _reset(conn) -> None:
    """Reset a connection at once; gevent's sockets are closed later, by the loop."""
    plain = plain_socket.socket(fileno=conn.detach())
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTIVE)
    plain.close()


def _read_answer(reader: AnswerReader, pieces: list[bytes]) -> None:
    """Read an answer to its end, and collect the pieces of its body."""
    message = reader.next_head()
    if message is None:
        raise ConnectionError("no answer")
    while piece := reader.next_piece(message):
        pieces.append(piece)


@pytest.mark.parametrize("looker", LOOKERS)
@pytest.mark.parametrize("is_waiting", [True, False])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("position", ["before the head", "in the head", "in the body", "behind unread body"])
def test_a_reset_is_raised_to_the_reader_whoever_saw_it_first(pair, position, framing, is_waiting, looker):
    channel, far = pair
    rest_of_head, body = FRAMINGS[framing]
    sent = {"before the head": b"", "in the head": STATUS}.get(position, STATUS + rest_of_head + body)
    if sent:
        far.sendall(sent)
    reader, pieces = AnswerReader(channel), []
    reading = gevent.Greenlet(_read_answer, reader, pieces)
    if is_waiting:
        reading.start()
        wait_until(lambda: channel._reader is not None and ("body" not in position or pieces))
    if position == "behind unread body":
        unread = body if framing == "chunked" else PART
        far.sendall(unread)
    _reset(far)
    LOOKERS[looker](channel)
    if not is_waiting:
        reading.start()
    reading.join(2)
    assert isinstance(reading.exception, ConnectionError), reading.value
    if position == "behind unread body":
        assert b"".join(pieces) == 2 * PART
    # Whoever reads later learns of it, too.
    with pytest.raises(ConnectionError):
        channel.recv(1)


def test_a_check_of_a_connection_that_another_reads_leaves_its_data(pair):
    channel, far = pair
    assert channel.is_clean()
    far.sendall(PART)
    assert not channel.is_clean()
    assert channel.recv(100) == PART
    assert channel.is_clean()


def test_a_whole_answer_is_not_broken_by_a_later_write(pair):
    channel, far = pair
    far.sendall(STATUS + b"\r\n" + PART)
    far.close()
    # The first write is answered with a reset, which the second one meets: the stream had ended before.
    channel.sendall(b"x")
    gevent.sleep(0.05)
    with pytest.raises(BrokenPipeError):
        channel.sendall(b"x")
    pieces: list[bytes] = []
    _read_answer(AnswerReader(channel), pieces)
    assert b"".join(pieces) == PART


def test_an_answer_that_this_side_closes_does_not_look_whole(pair):
    channel, far = pair
    far.sendall(STATUS + b"\r\n" + PART)
    reader = AnswerReader(channel)
    pool = ConnectionPool()
    ends = []
    pieces = AnswerPieces(UpstreamAnswer(reader, reader.next_head(), pool, (HOST, 1)), ends.append, [], 1.0)
    assert next(pieces) == PART
    pieces.close()
    for _ in range(2):
        with pytest.raises(ConnectionError):
            next(pieces)
    assert ends == [None]


class _ResettingScript:
    """Answers without a length with `size` bytes; then resets the connection and has another look at it."""

    def __init__(self, size: int):
        self.size = size
        self.chain: Chain | None = None
        self.sent_all = gevent.event.Event()
        self.may_reset = gevent.event.Event()

    def __call__(self, conn, head: str, body: bytes) -> None:
        conn.sendall(STATUS + b"\r\n" + b"." * self.size)
        self.sent_all.set()
        self.may_reset.wait()
        _reset(conn)
        for upstream in self.chain.upstreams:
            upstream.pool.has_open(upstream.application.address)


def _is_waiting_in_body(reader: AnswerReader) -> bool:
    """Return whether everything that has come of an answer's body was read, and more is waited for."""
    conn = reader.conn
    return conn._reader is not None and reader._current is not None and not conn.count_unread_bytes()


def _request_and_reset(chain: Chain, script: _ResettingScript, version: str = "1.1") -> tuple[bytes, bool]:
    """Return what a caller receives, and whether its connection was reset."""
    script.chain = chain
    data, is_reset = b"", False
    with chain.connect() as conn:
        conn.sendall(b"GET /x HTTP/%b\r\nHost: h\r\nConnection: close\r\n\r\n" % version.encode())
        script.sent_all.wait()
        pool = chain.upstreams[0].pool
        wait_until(lambda: any(_is_waiting_in_body(reader) for reader in pool._addresses))
        script.may_reset.set()
        try:
            while more := conn.recv(65536):
                data += more
        except ConnectionResetError:
            is_reset = True
    return data, is_reset


@pytest.mark.parametrize("link_rate", [None, 250_000.0])
def test_a_short_answer_that_is_reset_is_not_passed_on_while_connections_are_checked(make_chain, link_rate):
    script = _ResettingScript(5_000)
    data, _ = _request_and_reset(make_chain(script, value=make_value(), link_rate=link_rate), script)
    assert data.startswith(b"HTTP/1.1 502 ")


@pytest.mark.parametrize("link_rate", [None, 2_500_000.0])
def test_a_long_answer_that_is_reset_has_no_last_chunk_while_connections_are_checked(make_chain, link_rate):
    script = _ResettingScript(300_000)
    data, _ = _request_and_reset(make_chain(script, value=make_value(), link_rate=link_rate), script)
    assert data.startswith(b"HTTP/1.1 200 ")
    assert not data.endswith(b"0\r\n\r\n")


def test_a_long_answer_that_is_reset_ends_with_a_reset_for_a_caller_without_chunks(make_chain):
    script = _ResettingScript(300_000)
    data, is_reset = _request_and_reset(make_chain(script), script, "1.0")
    assert data.startswith(b"HTTP/1.1 200 ")
    assert is_reset


def test_a_whole_answer_without_a_length_is_passed_on_whole(make_chain):
    def script(conn, head: str, body: bytes) -> None:
        conn.sendall(STATUS + b"\r\n" + b"." * 300_000)

    data = make_chain(script).send(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    assert data.startswith(b"HTTP/1.1 200 ")
    assert data.endswith(b"0\r\n\r\n")


# A server whose answers never end; it prints its port.
ENDLESS_SERVER = """
import gevent
from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.server import PathServer

class Side:
    def handle(self, request):
        return Answer(200, "OK", [], self.pieces())

    def pieces(self):
        while True:
            yield b"." * 100
            gevent.sleep(0.01)

server = PathServer("s", Address("127.0.0.1", 0), Side(), StopPlan(), EventLogger("s"))
server.start(None)
print(server.port, flush=True)
gevent.sleep(60)
"""


@pytest.mark.parametrize("version", ["1.0", "1.1"])
def test_an_answer_that_the_end_of_the_process_cuts_does_not_look_whole(version):
    process = subprocess.Popen([sys.executable, "-c", ENDLESS_SERVER], stdout=subprocess.PIPE)
    try:
        port = int(process.stdout.readline())
        with socket.create_connection((HOST, port), timeout=10) as conn:
            conn.sendall(f"GET / HTTP/{version}\r\nHost: h\r\n\r\n".encode())
            data = conn.recv(65536)
            process.kill()
            with pytest.raises(ConnectionResetError) if version == "1.0" else nullcontext():
                while more := conn.recv(65536):
                    data += more
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
    assert data.startswith(b"HTTP/1.1 200 ")
    assert not data.endswith(b"0\r\n\r\n")
