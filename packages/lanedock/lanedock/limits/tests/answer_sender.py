# SPDX-License-Identifier: BSD-3-Clause
"""A simulated daemon that sends long answers over a narrow link in virtual time, for tests of their order."""

import heapq
from itertools import count

from lanedock.limits import AnswerLink, AnswerTransfer

__all__ = ["RATE", "AnswerSender", "SentAnswer"]

# Rate of a link of 2 Mbit/s, in bytes per second.
RATE = 250_000.0
# Time from the arrival of bytes at a receiver until their acknowledgement, in seconds.
ROUND_TRIP = 0.004
# Interval, in seconds, at which the wait of a short message is measured.
MESSAGE_INTERVAL = 0.0013
# Interval, in seconds, at which an answer looks whether its receiver has taken what was sent.
LOOK_INTERVAL = 0.01


class SentAnswer:
    """One answer that is being sent.

    Attributes
    ----------
    ended_at : float or None
        When its last byte had arrived; None if it hasn't.
    """

    def __init__(self, transfer: AnswerTransfer, size: int, reader_rate: float, window: float):
        self.transfer = transfer
        self.size = size
        self.reader_rate = reader_rate
        self.window = window
        # Bytes that may still be handed out, that wait in the socket, and that are not acknowledged.
        self.remaining = size
        self.buffered = 0
        self.unacknowledged = 0
        self.read_at = 0.0
        self.is_cut = False
        self.ended_at: float | None = None

    @property
    def is_in_time(self) -> bool:
        return self.ended_at is not None and self.ended_at <= self.transfer.target_time


class AnswerSender:
    """A daemon whose link is one queue. Receivers have windows and read at rates of their own.

    Attributes
    ----------
    message_waits : list of float
        Times that short messages would have waited on the link, in seconds.
    answers : list of SentAnswer
    lateness : float
        Seconds by which the daemon is late when it wakes for a turn.
    rate : float
        Real rate of the link, in bytes per second.
    """

    def __init__(self, link: AnswerLink, rate: float = RATE, lateness: float = 0.001):
        self.link = link
        self.rate = rate
        self.lateness = lateness
        self.now = 0.0
        self.message_waits: list[float] = []
        self.answers: list[SentAnswer] = []
        self._free_at = 0.0
        self._events: list = []
        self._sequence = count()
        self._poll_at = float("inf")

    def schedule(self, time: float, action, *args) -> None:
        heapq.heappush(self._events, (time, next(self._sequence), action, args))

    def send(
        self,
        size: int,
        target: float,
        order: tuple = (0,),
        reader_rate: float = float("inf"),
        window: float = float("inf"),
        transfer: AnswerTransfer | None = None,
    ) -> SentAnswer:
        """Begin to send an answer; its receiver reads at `reader_rate` and has a window of `window` bytes."""
        transfer = transfer or AnswerTransfer(order, target, size, self.now)
        answer = SentAnswer(transfer, size, reader_rate, window)
        self.answers.append(answer)
        self.link.add(transfer)
        transfer.begin(size, lambda: self._on_turn(answer), self.now)
        self._ask(answer)
        return answer

    def cut(self, answer: SentAnswer) -> None:
        """End an answer whose receiver has disconnected."""
        answer.is_cut = True
        self.link.end(answer.transfer)

    def _ask(self, answer: SentAnswer) -> None:
        if answer.is_cut:
            return
        if answer.unacknowledged > self.link.max_unacknowledged:
            self.schedule(self.now + LOOK_INTERVAL, self._ask, answer)
            return
        self.link.ask(answer.transfer, answer.remaining, self.now)
        self._poll()

    def _poll(self) -> None:
        next_at = self.link.poll(self.now)
        if next_at is not None and not self.now < self._poll_at <= next_at + self.lateness:
            self._poll_at = next_at + self.lateness
            self.schedule(self._poll_at, self._poll)

    def _on_turn(self, answer: SentAnswer) -> None:
        size = answer.transfer.granted
        answer.remaining -= size
        answer.buffered += size
        answer.unacknowledged += size
        self._put(answer)
        if answer.remaining:
            self.schedule(self.now, self._ask, answer)
        else:
            self.link.end(answer.transfer)

    def _put(self, answer: SentAnswer) -> None:
        """Put onto the link what the receiver's window allows."""
        in_flight = answer.unacknowledged - answer.buffered
        size = int(min(answer.buffered, answer.window - in_flight))
        if size <= 0:
            return
        answer.buffered -= size
        self._free_at = max(self._free_at, self.now) + size / self.rate
        self.schedule(self._free_at, self._receive, answer, size)

    def _receive(self, answer: SentAnswer, size: int) -> None:
        answer.read_at = max(answer.read_at, self.now) + size / answer.reader_rate
        self.schedule(answer.read_at + ROUND_TRIP, self._acknowledge, answer, size)

    def _acknowledge(self, answer: SentAnswer, size: int) -> None:
        answer.unacknowledged -= size
        if not (answer.remaining or answer.unacknowledged):
            answer.ended_at = self.now - ROUND_TRIP
        self._put(answer)

    def _measure(self, until: float) -> None:
        self.message_waits.append(max(0.0, self._free_at - self.now))
        if self.now + MESSAGE_INTERVAL < until:
            self.schedule(self.now + MESSAGE_INTERVAL, self._measure, until)

    def run(self, until: float) -> None:
        self.schedule(self.now, self._measure, until)
        while self._events and self._events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = until

    def message_wait(self, quantile: float) -> float:
        """Return a quantile of the waits of short messages, in seconds."""
        return sorted(self.message_waits)[int(quantile * (len(self.message_waits) - 1))]

    def bytes_in_time(self, since: float = 0.0) -> int:
        """Return the bytes of the answers that came in time, from one time on."""
        return sum(answer.size for answer in self.answers if answer.is_in_time and answer.ended_at > since)
