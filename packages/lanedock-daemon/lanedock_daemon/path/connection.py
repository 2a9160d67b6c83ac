# SPDX-License-Identifier: BSD-3-Clause
"""One caller's connection."""

import socket as plain_socket
from collections import deque

import gevent
from gevent import getcurrent
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock_daemon.agent.attest import ALIVE_PATH
from lanedock_daemon.path.answer_writer import close_pieces, write_pieces
from lanedock_daemon.path.headers import HOP_HEADERS, PACE_HEADER
from lanedock_daemon.path.http import NEVER, RETRY_AFTER, Answer, Body, Outcome, Request, make_refusal
from lanedock_daemon.path.incoming import Exchange
from lanedock_daemon.path.parser import MalformedMessage, Message, RequestReader
from lanedock_daemon.path.service import StopTimeout

__all__ = ["Connection"]

IDLE_TIMEOUT = 300.0
BODY_TIMEOUT = 30.0
# Requests of one connection that are worked on at once; later ones wait unread.
MAX_PIPELINED = 32
# Bytes of a body that are read ahead of whoever takes them.
READ_AHEAD = 256 * 1024
# After the last answer the rest that a caller still sends is read for this
# long, in seconds: what comes to a closed socket would reset the answer, too. 40 kB
# sent after a refusal met a broken pipe without it.
LINGER = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n"
_REASONS = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
}


class _Expired(gevent.GreenletExit):
    """The connection's time is over."""


class Connection:
    """One caller's connection: requests are worked on at once, and answered in order.

    Parameters
    ----------
    server : PathServer
    conn : Channel

    Attributes
    ----------
    expires_at : float
        Monotonic; when the server's sweep ends it. Cheaper than a timer for
        each wait.
    """

    def __init__(self, server, conn):
        self.expires_at = monotonic() + IDLE_TIMEOUT
        self._server = server
        self._conn = conn
        self._reader = RequestReader(conn)
        self._greenlet = getcurrent()
        self._exchanges: deque[Exchange] = deque()
        self._open: Exchange | None = None
        self._has_room = Signal()
        # An answer has said in its head that it is the last one.
        self._is_ending = False
        self._is_closing = False
        # An answer is being written that ends with the connection.
        self._ends_by_close = False

    # ------------------------------------------------------------------ reading

    def run(self) -> None:
        """Read requests until the connection ends."""
        try:
            self._read()
        except MalformedMessage as exc:
            # What came before it, maybe in the same packet, has answers of its own.
            self._begin_whole()
            self._finish_exchanges()
            self._refuse(exc)
        except _Expired:
            # It may have read a request between being found idle and being ended.
            self._begin_whole()
            self._finish_exchanges()
            if self._reader.is_in_head and not (self._exchanges or self._is_closing):
                self._refuse(MalformedMessage("the request came too slowly", 408))
        except (OSError, gevent.GreenletExit):
            # The caller is gone, or must not take a part for the whole.
            pass
        finally:
            if self._ends_by_close:
                self._conn.reset_on_close()
            self._abandon()
            self._conn.close()

    def expire(self) -> None:
        """End the connection: its caller has taken too long."""
        self._greenlet.kill(_Expired, block=False)

    def is_idle(self) -> bool:
        """Tell whether no request is in progress or being read, and no last answer on its way."""
        return not (self._exchanges or self._reader.is_in_head or self._reader.has_head() or self._is_closing)

    def end_if_idle(self) -> None:
        """End the connection of a server that stops, unless a request is in progress."""
        if self.is_idle() or (self._is_closing and self.expires_at <= monotonic()):
            self.expire()

    def answer_all(self) -> int:
        """Have all requests answered that have no answer yet; return how many."""
        waiting = [exchange for exchange in self._exchanges if not exchange.is_answered]
        for exchange in waiting:
            exchange.end_wait()
        return len(waiting)

    def _read(self) -> None:
        reader = self._reader
        self._note_time()
        while reader.receive_first():
            if self._is_closing:
                self._drop_rest()
                continue
            # First, for the next request may have a body that is to come, too.
            if self._open is not None:
                self._note_body()
            self._begin_read()
            self._note_time()
            while not self._is_closing and self._is_full():
                self._has_room.clear()
                self._has_room.wait()
                self._begin_read()
                self._note_time()
        if reader.is_in_head:
            raise ConnectionError("the connection ended within a head")

    def _begin_read(self) -> None:
        """Begin the requests whose heads were read, as far as they may begin."""
        reader = self._reader
        while reader.has_head() and self._may_begin():
            self._begin(reader.next_head())
        if self._is_ending:
            self._drop_rest()

    def _drop_rest(self) -> None:
        """Forget what came behind the last answer: it counts as not read.

        Begun, it would be run and never answered. The open body is still taken until
        the answer has ended.
        """
        is_taken = self._open is not None and not self._is_closing
        self._reader.drop(self._open.message if is_taken else None)

    def _may_begin(self) -> bool:
        if self._is_ending:
            return False
        # The answer before it may be cut when the process ends, and its own with it.
        return not (self._exchanges and self._server.is_in_stop)

    def _note_body(self) -> None:
        """Note that more of the open body may have come."""
        self._open.body.wake()
        if self._open.message.is_complete:
            self._open = None

    def _begin_whole(self) -> None:
        """Begin the requests that were read whole, of a connection on which no more is read."""
        if self._open is not None:
            self._note_body()
        while self._reader.has_head() and not self._is_ending:
            message = self._reader.next_head()
            if message.is_complete:
                self._begin(message)

    def _is_full(self) -> bool:
        if len(self._exchanges) >= MAX_PIPELINED or self._reader.has_head():
            return True
        # The reader goes on once the body's pieces were taken.
        return self._open is not None and self._open.message.size_ahead() > READ_AHEAD

    def _note_time(self) -> None:
        if self._is_closing:
            return  # it lingers for a set time
        now = monotonic()
        header_timeout, idle_timeout = self._server.read_timeouts()
        if self._open is not None:
            self.expires_at = now + BODY_TIMEOUT
        elif self._reader.is_in_head:
            self.expires_at = now + header_timeout
        elif self._exchanges:
            self.expires_at = NEVER
        else:
            self.expires_at = now + idle_timeout

    def _begin(self, message: Message) -> None:
        """Start to work on a request."""
        exchange = Exchange(self, message)
        if not message.is_complete:
            self._open = exchange
        self._exchanges.append(exchange)
        self._server.take_worker().assign(exchange)

    def note_taken(self) -> None:
        """Note that a piece of a body was taken: there is room for more."""
        self._has_room.set()

    def ask_for_body(self) -> None:
        """Ask for the body of the request whose turn it is, if it is wanted.

        Earlier, the line would stand within the answer to a request before it.
        """
        if self._exchanges and self._exchanges[0].wants_body:
            self._exchanges[0].wants_body = False
            pace = self._exchanges[0].body.pace
            header = b"" if pace == NEVER else b"%b: %d\r\n" % (PACE_HEADER.encode(), pace)
            self._conn.sendall(_CONTINUE + header + b"\r\n")

    # ---------------------------------------------------------------- answering

    def work(self, exchange: Exchange) -> None:
        """Find a request's answer, and write it when its turn has come."""
        message = exchange.message
        self._server.in_progress += 1
        answer = None
        try:
            answer = self._find_answer(message, exchange.body)
            exchange.is_answered = True
            if self._exchanges and self._exchanges[0] is not exchange:
                exchange.turn = Signal()
                exchange.turn.wait()
            # The connection may have ended meanwhile.
            if self._exchanges and not self._is_closing:
                self._write(answer, message, self._may_keep(exchange, answer))
        except (OSError, gevent.GreenletExit):
            # Nobody reads, or the answer has broken off: cut, so that no part
            # is taken for the whole.
            self._is_closing = True
            self._greenlet.kill(block=False)
        except Exception as exc:
            self._is_closing = True
            self._greenlet.kill(block=False)
            self._server.report(exc)
        finally:
            if answer is not None:
                # Also where its turn never came: what its body holds is let go.
                close_pieces(answer.pieces)
            self._server.in_progress -= 1
            self._end(exchange)
            if exchange.done is not None:
                exchange.done.set()

    def _find_answer(self, message: Message, body: Body) -> Answer:
        if message.target == ALIVE_PATH:
            return Answer(200, "OK", [("content-length", "0")], [])
        limits = self._server.limits
        if limits is not None and body.length is not None and body.length > limits.body_bytes:
            return make_refusal(ErrorCode.BODY_TOO_LONG, Outcome.NOT_RUN)
        if self._server.is_over():
            # Read after the final answers were given: none would come any more.
            return make_refusal(ErrorCode.DRAINING, Outcome.NOT_RUN, RETRY_AFTER)
        try:
            return self._server.side.handle(_make_request(message, body))
        except StopTimeout:
            # The side doesn't say what it has come to: it may have run.
            return make_refusal(ErrorCode.ANSWER_LOST, Outcome.UNKNOWN)

    def _may_keep(self, exchange: Exchange, answer: Answer) -> bool:
        """Tell whether the connection stays open after a request's answer."""
        if not exchange.message.keep_alive:
            return False
        # A body that has not come to its end stands in the next request's way.
        if not exchange.message.is_complete:
            return False
        # Those behind it are being worked on; the last one closes.
        ends = answer.ends_connection or self._server.is_stopping or self._server.is_crowded()
        return not ends or len(self._exchanges) > 1

    def _end(self, exchange: Exchange) -> None:
        """Let the next request be answered."""
        try:
            self._exchanges.remove(exchange)
        except ValueError:
            return  # the connection has ended
        if self._exchanges and self._exchanges[0].turn is not None:
            self._exchanges[0].turn.set()
        self._has_room.set()
        try:
            self.ask_for_body()
        except OSError:
            pass  # the caller is gone, as the connection's reader finds, too
        if not self._exchanges:
            self._note_time()

    def _finish_exchanges(self) -> None:
        """Let the requests be answered that were read whole."""
        for exchange in list(self._exchanges):
            if exchange is not self._open:
                exchange.done = Signal()
                exchange.done.wait(timeout=BODY_TIMEOUT)

    def _abandon(self) -> None:
        """Cancel what is in progress."""
        exchanges, self._exchanges = self._exchanges, deque()
        if self._open is not None:
            self._open.body.break_off()
        for exchange in exchanges:
            exchange.cancel()

    def _write(self, answer: Answer, message: Message, keep_alive: bool) -> None:
        """Write an answer; its head goes with the first piece of its body."""
        lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
        has_length = False
        for name, value in answer.headers:
            has_length = has_length or name == "content-length"
            lines.append(f"{name}: {value}")
        has_body = message.method != "HEAD" and answer.status not in (204, 304)
        is_chunked = has_body and not has_length and message.version == "1.1"
        if is_chunked:
            lines.append("transfer-encoding: chunked")
        elif not has_length and has_body:
            keep_alive = False
            self._ends_by_close = True
        if not keep_alive:
            self._is_ending = True
            lines.append("connection: close")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        pieces = iter(answer.pieces)
        try:
            if has_body:
                write_pieces(self._conn, head, pieces, is_chunked)
            else:
                self._conn.sendall(head)
        finally:
            close_pieces(pieces)
        self._ends_by_close = False
        if not keep_alive:
            self._close_politely()

    def _close_politely(self) -> None:
        """End the connection for the caller; the reader takes what is still on its way.

        It ends when the caller has closed its side, or has taken too long.
        """
        self._is_closing = True
        self._has_room.set()
        self.expires_at = monotonic() + LINGER
        self._conn.shutdown(plain_socket.SHUT_WR)
        if self._open is None and self._server.is_crowded() and not self._server.is_stopping:
            # Its place is wanted for another caller, and hardly anything is on its way.
            self._greenlet.kill(_Expired, block=False)

    def _refuse(self, exc: MalformedMessage) -> None:
        """Answer what is malformed, and take nothing more from this connection."""
        # Of an open body a part may have been passed on.
        outcome = Outcome.NOT_RUN if self._open is None else Outcome.UNKNOWN
        answer = make_refusal(exc.code, outcome, 0.0, str(exc))
        answer.status, answer.reason = exc.status, _REASONS[exc.status]
        message = Message()
        message.version = "1.1"
        try:
            self._conn.settimeout(LINGER)
            if not self._is_ending:
                self._write(answer, message, keep_alive=False)
            while self._conn.recv(65536):
                pass
        except (OSError, gevent.GreenletExit):
            pass  # the caller has gone: nobody reads the refusal


def _make_request(message: Message, body: Body) -> Request:
    listed = message.header("connection").lower()
    dropped = {name.strip() for name in listed.split(",")} if listed else ()
    headers = [pair for pair in message.headers if pair[0] not in HOP_HEADERS and pair[0] not in dropped]
    host = message.header("host").rpartition(":")[0] or message.header("host")
    return Request(message.method, message.target, host.lower(), headers, body)
