# SPDX-License-Identifier: BSD-3-Clause
"""The order of the long answers that one daemon sends over a narrow link.

Everything that a daemon sends shares one link. If its long answers are sent at once, they come
later than one after the other would, and each short message waits behind all of them in the
kernel's buffers. So pieces of long answers are put onto the link one by one, at slightly less
than its rate, and always of the most urgent answer whose receiver reads.
"""

from lanedock.limits.bodies import MAX_PACED_RATE, PACED_FRACTION

__all__ = ["LONG_ANSWER_BYTES", "MAX_ANSWER_PIECE_BYTES", "AnswerLink", "AnswerTransfer", "is_narrow_link"]

# Length in bytes above which an answer counts as long. Sending 16 kB takes 64 ms on a link of
# 2 Mbit/s, as long as the shortest calls work.
LONG_ANSWER_BYTES = 16 * 1024
# Length assumed of an answer that doesn't state it, and of one whose kind was never observed, in bytes.
DEFAULT_ANSWER_BYTES = 64 * 1024
MAX_ANSWER_PIECE_BYTES = 8 * 1024
# Time that a piece takes at the answers' rate, in seconds, if it is shorter than the largest one.
# A short message waits behind at most one piece, half of one on average.
_PIECE_TIME = 0.02
# Time by which a turn may be late without loss for the link, in seconds: the event loop wakes some
# milliseconds late on a busy machine. After an idle time this lets one more piece onto the link.
_MAX_CATCH_UP = 0.02
# Longest time without a piece, in seconds, of an answer that its receiver passes on already, and the
# bytes that it gets then before its turn. Daemons keep an answer until they have 64 kB of it; from
# then on they end it, as a fault of its upstream, if it is silent for 1 s.
_MAX_SILENCE = 0.5
_KEEP_ALIVE_BYTES = 512
_PASSED_ON_BYTES = 64 * 1024
# An answer that isn't acknowledged gets no further turn while this much of it is on its way: some
# pieces, and what the link carries within this time, in seconds. The time covers a round trip
# between zones and the 40 ms for which receivers delay acknowledgements.
_UNACKNOWLEDGED_PIECES = 2
_ACKNOWLEDGEMENT_TIME = 0.05
# Time in which no piece of an answer was ready, in seconds, from which on its receiver's rate counts.
_MIN_UNREADY_TIME = 0.1
# Time ahead, in seconds, for which a slow receiver's answer counts in `AnswerLink.busy_time`.
_BUSY_HORIZON = 1.0


def is_narrow_link(rate: float | None) -> bool:
    """Return whether bodies and long answers are paced on a link of this rate, in bytes per second; None: unknown."""
    return rate is not None and rate <= MAX_PACED_RATE


class AnswerTransfer:
    """One long answer that is expected, waits for the link, or is being sent.

    Parameters
    ----------
    order : tuple
        Priority of the customer, then that of the traffic class; lower values are sent first.
    target_time : float
        Monotonic, seconds; among answers of the same order the one with the earliest goes first.
    length : int
        In bytes, known or estimated.
    ready_at : float
        Monotonic time, in seconds, at which the answer is expected to begin.
    kind : str
        Kind of the request, such as its route's name.

    Attributes
    ----------
    on_turn : callable or None
        Called without arguments when `granted` bytes may be sent; None before the answer has begun.
    granted : int
        Bytes that may be sent now.
    has_begun : bool
        Whether the application's answer has begun.
    is_length_known : bool
    """

    __slots__ = (
        "_length",
        "_sent",
        "_served_at",
        "_unready_since",
        "_unready_time",
        "_wanted",
        "granted",
        "has_begun",
        "is_length_known",
        "kind",
        "on_turn",
        "order",
        "ready_at",
        "target_time",
    )

    def __init__(self, order: tuple, target_time: float, length: int, ready_at: float, kind: str = ""):
        self.order = order
        self.kind = kind
        self.target_time = target_time
        self.ready_at = ready_at
        self.on_turn = None
        self.granted = 0
        self.has_begun = False
        self.is_length_known = False
        self._length = length
        self._sent = 0
        self._wanted = 0
        self._served_at = float("inf")
        # Time in which no piece was ready: the receiver had not taken the former one, or the
        # application had not sent the next one.
        self._unready_time = 0.0
        self._unready_since = 0.0

    def __repr__(self) -> str:
        return f"<AnswerTransfer {self.order} sent={self._sent}/{self._length} wanted={self._wanted}>"

    @property
    def key(self) -> tuple:
        """Order and target time; `AnswerLink` also puts answers that can no longer be in time last of their order."""
        return (self.order, self.target_time)

    @property
    def sent(self) -> int:
        """Bytes that were sent."""
        return self._sent

    @property
    def remaining(self) -> int:
        """Bytes that remain to be sent; one more piece if the length is unknown and was exceeded."""
        if self.is_length_known:
            return max(0, self._length - self._sent)
        return max(MAX_ANSWER_PIECE_BYTES, self._length - self._sent)

    @property
    def is_waiting(self) -> bool:
        """Whether a piece waits for its turn."""
        return self._wanted > 0

    def begin(self, length: int | None, on_turn, now: float) -> None:
        """Record that the application's answer has begun; its length in bytes is known unless it is None."""
        self.has_begun = True
        self.on_turn = on_turn
        self._served_at = self._unready_since = now
        if length is not None:
            self._length = length
            self.is_length_known = True

    def is_hopeless(self, now: float, rate: float) -> bool:
        """Return whether the rest can't be sent by the target time, even if nothing else is sent."""
        return now + self.remaining / rate > self.target_time

    def is_silent(self, now: float) -> bool:
        """Return whether the answer has got no piece for so long that its receiver would soon end it."""
        return self._sent > _PASSED_ON_BYTES and now - self._served_at >= _MAX_SILENCE

    def bytes_within(self, horizon: float, now: float) -> float:
        """Return the bytes that the link carries of this answer within `horizon` seconds, if nothing else is sent.

        A receiver that is slower than the link takes the link no longer than it reads. All
        remaining bytes of one that reads slowly would make others be refused on an idle link.
        """
        unready = self._unready_time + (0.0 if self.is_waiting else now - self._unready_since)
        if not self.has_begun or unready < _MIN_UNREADY_TIME:
            return self.remaining
        return min(self.remaining, MAX_ANSWER_PIECE_BYTES + horizon * self._sent / unready)

    def ask(self, size: int, now: float) -> None:
        """Record that a piece of `size` bytes is ready to be sent."""
        self._wanted = size
        self._unready_time += now - self._unready_since

    def grant(self, limit: int, now: float) -> int:
        """Grant up to `limit` bytes of the piece that waits, and return their number."""
        self.granted = min(limit, self._wanted)
        self._wanted = 0
        self.note_sent(self.granted, now)
        return self.granted

    def note_sent(self, size: int, now: float) -> None:
        """Record that bytes are sent."""
        self._sent += size
        self._served_at = self._unready_since = now

    def withdraw(self) -> None:
        """Record that the piece that was ready is no longer to be sent."""
        self._wanted = 0


class AnswerLink:
    """Decides which long answer a link carries next.

    Does no I/O and reads no clock; times are monotonic, in seconds. Answers are sent by their order
    and then by their target time. Answers that can no longer come in time go last of their order. An
    answer has a turn only while one of its pieces is ready to be sent, so a receiver that doesn't
    read delays no other answer, and an answer that ends anywhere leaves no turn taken.

    Parameters
    ----------
    rate : float
        Rate of the link, in bytes per second.
    """

    def __init__(self, rate: float):
        self._transfers: dict[AnswerTransfer, None] = {}
        self._free_at = float("-inf")
        self.configure(rate)

    def __repr__(self) -> str:
        return f"<AnswerLink rate={self.rate} queued={self.queued}>"

    def configure(self, rate: float) -> None:
        """Set the rate of the link, in bytes per second; what was sent before stays as it was."""
        # Rate of all long answers together.
        self.rate = PACED_FRACTION * rate
        self.piece_bytes = max(1, min(MAX_ANSWER_PIECE_BYTES, int(self.rate * _PIECE_TIME)))

    @property
    def max_unacknowledged(self) -> int:
        """Bytes of one answer that may be sent and not acknowledged when it asks for its next turn."""
        return _UNACKNOWLEDGED_PIECES * self.piece_bytes + int(_ACKNOWLEDGEMENT_TIME * self.rate)

    @property
    def queued(self) -> int:
        """Bytes of the long answers that wait or are being sent."""
        return sum(transfer.remaining for transfer in self._transfers if transfer.has_begun)

    def __iter__(self):
        """Iterate over the answers that are expected, wait, or are being sent."""
        return iter(self._transfers)

    def busy_time(self, now: float) -> float:
        """Return the seconds for which the answers, those that are expected included, occupy the link.

        Answers that can't come in time don't count: others are sent before them.
        """
        useful = (transfer for transfer in self._transfers if not transfer.is_hopeless(now, self.rate))
        remaining = sum(transfer.bytes_within(_BUSY_HORIZON, now) for transfer in useful)
        return self.occupied_time(now) + remaining / self.rate

    def occupied_time(self, now: float) -> float:
        """Return the seconds until the next piece may be sent."""
        return max(0.0, self._free_at - now)

    def add(self, transfer: AnswerTransfer) -> None:
        """Add an answer; `end` must be called in the end."""
        self._transfers[transfer] = None

    def end(self, transfer: AnswerTransfer) -> None:
        """Remove an answer that was sent, or that is not wanted; a second call has no effect."""
        transfer.withdraw()
        self._transfers.pop(transfer, None)

    def ask(self, transfer: AnswerTransfer, size: int, now: float) -> None:
        """Record that a piece of an answer is ready; `poll` must be called next."""
        transfer.ask(size, now)

    def put(self, transfer: AnswerTransfer, size: int, now: float) -> None:
        """Record that bytes of an answer are sent without a turn."""
        transfer.note_sent(size, now)
        self._occupy(size, now)

    def poll(self, now: float) -> float | None:
        """Give turns to the answers whose pieces may be sent now.

        Returns
        -------
        float or None
            Time at which to call again; None if no piece waits.
        """
        while True:
            waiting = [transfer for transfer in self._transfers if transfer.is_waiting]
            if not waiting:
                return None
            if now < self._free_at:
                return self._free_at
            self._serve(waiting, now)

    def _serve(self, waiting: list[AnswerTransfer], now: float) -> None:
        silent = [transfer for transfer in waiting if transfer.is_silent(now)]
        first = min(silent or waiting, key=lambda transfer: self._sort_key(transfer, now))
        size = first.grant(_KEEP_ALIVE_BYTES if silent else self.piece_bytes, now)
        self._occupy(size, now)
        first.on_turn()

    def _occupy(self, size: int, now: float) -> None:
        self._free_at = max(self._free_at, now - _MAX_CATCH_UP) + size / self.rate

    def _sort_key(self, transfer: AnswerTransfer, now: float) -> tuple:
        return (transfer.order, transfer.is_hopeless(now, self.rate), transfer.target_time)
