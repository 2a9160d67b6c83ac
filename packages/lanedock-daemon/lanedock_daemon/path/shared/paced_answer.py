# SPDX-License-Identifier: BSD-3-Clause
"""Sends long answers piece by piece, each when it is its turn on the daemon's narrow link."""

from collections.abc import Iterable, Iterator

import gevent
from gevent import get_hub
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.limits import LONG_ANSWER_BYTES, AnswerLink, AnswerTransfer
from lanedock.telemetry import Metric, Metrics, NullMetrics
from lanedock_daemon.path.http.answer_writer import close_pieces
from lanedock_daemon.path.http.channel import Channel
from lanedock_daemon.path.http.delivery import Delivery
from lanedock_daemon.path.http.headers import parse_int
from lanedock_daemon.path.shared.answer_pieces import AnswerCut

__all__ = ["LinkTurns", "PacedAnswer", "answer_length", "is_long_answer"]

# Bytes of an answer that are sent at once, together with its head. The receiver then knows that the
# application has answered: a head that waits for the link would look like a slow application and
# make the caller's daemon send the request to another upstream, too.
FIRST_PIECE_BYTES = 512
# Seconds between two looks at the kernel's send buffer; nothing notifies of acknowledgements.
_POLL = 0.01


def answer_length(headers: Iterable[tuple[str, str]]) -> int | None:
    """Return the length of an answer's body that its headers state, in bytes; None if they state none."""
    return next((parse_int(value) for name, value in headers if name == "content-length"), None)


def is_long_answer(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether an answer is over `LONG_ANSWER_BYTES` long, or of unknown length."""
    length = answer_length(headers)
    return length is None or length > LONG_ANSWER_BYTES


class LinkTurns:
    """Lets the long answers of a process wait for their turns on its link. One for each process.

    Parameters
    ----------
    link : AnswerLink
    metrics : Metrics, optional

    Attributes
    ----------
    link : AnswerLink
    """

    def __init__(self, link: AnswerLink, metrics: Metrics | None = None):
        self.link = link
        self._metrics: Metrics = metrics or NullMetrics()
        self._timer = None
        self._fires_at = float("inf")

    def __repr__(self) -> str:
        return f"<LinkTurns {self.link!r}>"

    def pace(
        self, pieces: Iterable[bytes], transfer: AnswerTransfer, length: int | None, on_whole=None
    ) -> "PacedAnswer":
        """Return the pieces of an answer so that they are sent by the turns of the link.

        Parameters
        ----------
        pieces : iterable of bytes
        transfer : AnswerTransfer
            Ended by the returned answer's `close`.
        length : int or None
            Length of the answer in bytes, if known.
        on_whole : callable, optional
            Called with the length, in bytes, once the whole answer has been handed out.
        """
        self.link.add(transfer)
        answer = PacedAnswer(pieces, transfer, length, self, on_whole)
        self._note_load()
        return answer

    def end(self, transfer: AnswerTransfer) -> None:
        """Remove an answer that was sent, or that is not wanted."""
        self.link.end(transfer)
        self._note_load()

    def _note_load(self) -> None:
        # An idle link is not occupied, though the last piece may still be on its way.
        wait = self.link.busy_time(monotonic()) if any(True for _ in self.link) else 0.0
        self._metrics.gauge(Metric.LINK_QUEUE, self.link.queued)
        self._metrics.gauge(Metric.LINK_WAIT, wait)

    def wait(self, transfer: AnswerTransfer, size: int, signal: Signal) -> int:
        """Wait for an answer's turn; return how many of the `size` bytes at hand may be sent."""
        signal.clear()
        self.link.ask(transfer, size, monotonic())
        self._poll()
        signal.wait()
        return transfer.granted

    def _poll(self) -> None:
        now = monotonic()
        next_at = self.link.poll(now)
        if next_at is None or (self._timer is not None and self._fires_at <= next_at):
            return
        self._stop_timer()
        self._fires_at = next_at
        self._timer = get_hub().loop.timer(max(0.0, next_at - now))
        self._timer.start(self._on_timer)

    def _on_timer(self) -> None:
        self._stop_timer()
        self._poll()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.close()
            self._timer = None


class PacedAnswer:
    """Iterator over the pieces of a long answer, each handed out when it may be sent.

    An answer whose receiver doesn't read asks for no turn, and so delays no other answer.

    Parameters
    ----------
    pieces : iterable of bytes
    transfer : AnswerTransfer
    length : int or None
        Length of the answer in bytes, if known.
    turns : LinkTurns
    on_whole : callable, optional
        See `LinkTurns.pace`.
    """

    def __init__(
        self,
        pieces: Iterable[bytes],
        transfer: AnswerTransfer,
        length: int | None,
        turns: LinkTurns,
        on_whole=None,
    ):
        self._on_whole = on_whole
        self._pieces: Iterator[bytes] = iter(pieces)
        self._transfer = transfer
        self._turns = turns
        self._has_turn = Signal()
        self._rest = b""
        self._is_first = True
        self._conn: Channel | None = None
        self._is_cut = False
        if hasattr(pieces, "on_cut"):
            pieces.on_cut = self._note_cut
        transfer.begin(length, self._has_turn.set, monotonic())

    def __repr__(self) -> str:
        return f"<PacedAnswer {self._transfer!r}>"

    def attach(self, conn: Channel) -> None:
        """Set the connection that the pieces are written to, which shows whether the receiver reads."""
        self._conn = conn

    def __iter__(self) -> "PacedAnswer":
        return self

    def __next__(self) -> bytes:
        try:
            while not self._rest:
                self._rest = self._read_next()
            if self._is_first:
                self._is_first = False
                size = min(FIRST_PIECE_BYTES, len(self._rest))
                self._turns.link.put(self._transfer, size, monotonic())
            else:
                self._wait_for_receiver()
                self._check_cut()
                size = self._turns.wait(self._transfer, len(self._rest), self._has_turn)
                self._check_cut()
        except BaseException:
            # Also at the end of the answer, and when the receiver disconnects during a wait.
            self._turns.end(self._transfer)
            raise
        piece, self._rest = self._rest[:size], self._rest[size:]
        return piece

    def _note_cut(self) -> None:
        """End the wait of an answer that was cut at its time limit."""
        self._is_cut = True
        self._has_turn.set()

    def _check_cut(self) -> None:
        if self._is_cut:
            raise AnswerCut("the answer was cut at its time limit")

    def _read_next(self) -> bytes:
        try:
            return next(self._pieces)
        except StopIteration:
            on_whole, self._on_whole = self._on_whole, None
            if on_whole is not None:
                on_whole(self._transfer.sent)
            raise

    def close(self) -> None:
        """Release what the answer holds: the receiver has disconnected, or has got the whole answer."""
        self._turns.end(self._transfer)
        self._rest = b""
        close_pieces(self._pieces)

    def _wait_for_receiver(self) -> None:
        """Wait until the receiver has acknowledged most of what was sent.

        Raises
        ------
        TimeoutError
            The receiver has acknowledged nothing for the time after which it is considered gone.
        """
        conn, limit = self._conn, self._turns.link.max_unacknowledged
        if conn is None or conn.count_unsent_bytes() <= limit:
            return
        delivery = Delivery(conn)
        while conn.count_unsent_bytes() > limit and not self._is_cut:
            if not delivery.is_in_progress(monotonic()):
                raise TimeoutError("the receiver acknowledges nothing")
            gevent.sleep(_POLL)
