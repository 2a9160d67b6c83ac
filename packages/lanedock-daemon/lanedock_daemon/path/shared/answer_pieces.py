# SPDX-License-Identifier: BSD-3-Clause
"""The body of an answer as it is passed on, and the time limit for what its sender sends."""

from collections import deque

import gevent
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock_daemon.path.http.messages import NEVER
from lanedock_daemon.path.http.parser import MalformedMessage
from lanedock_daemon.path.shared.answers import UpstreamAnswer, is_own_timeout

__all__ = ["AnswerCut", "AnswerPieces"]

# Seconds after the time limit of an answer in which its sender may still hand over what waits in the system's buffers.
LATE_READ_TIME = 0.1
# Bytes of an answer that are read ahead of its receiver after the time limit.
MAX_LATE_BYTES = 1024 * 1024


class AnswerCut(ConnectionError):
    """An answer that its sender had not sent whole by its time limit; what came of it is not delivered."""


class AnswerPieces:
    """Iterator over the pieces of an answer's body, as they come.

    The head is passed on with the first piece, which has been read before the request's deadline.
    From then on an answer is ended by a silent connection, and by the time limit for sending all of it. At that time
    limit, what the sender has sent is read ahead of a slower receiver, and delivered without a limit if it is whole.

    Parameters
    ----------
    response : UpstreamAnswer
    on_end : callable
        Called exactly once at the end: with the exception if the body broke off, else with None.
    first : list of bytes
        Pieces that have been read already.
    silence : float
        Seconds without a piece after which the answer counts as broken off.
    ends_at : float
        Monotonic time, in seconds, by which the sender has to have sent the whole answer.

    Attributes
    ----------
    on_cut : callable or None
        Called without arguments when the answer is cut at its time limit, for receivers that don't read then.
    """

    def __init__(self, response: UpstreamAnswer, on_end, first: list[bytes], silence: float, ends_at: float = NEVER):
        response.limit_pieces(silence, ends_at)
        self.on_cut = None
        self._response = response
        self._on_end = on_end
        self._held = deque(first)
        self._silence = silence
        self._ends_at = ends_at
        self._failure: Exception | None = None
        self._is_reading = False
        # Set at the end of the reading ahead at the time limit; None before it begins.
        self._late_end: Signal | None = None
        self._timer: gevent.Greenlet | None = None
        if ends_at != NEVER:
            self._timer = gevent.spawn_later(max(0.0, ends_at - monotonic()), self._read_late)

    def __iter__(self) -> "AnswerPieces":
        return self

    def __next__(self) -> bytes:
        if self._late_end is not None:
            self._late_end.wait()
        if self._held:
            return self._held.popleft()
        if self._failure is not None:
            raise self._failure
        self._is_reading = True
        try:
            piece = self._response.read()
        except (OSError, MalformedMessage) as exc:
            self._fail(exc)
            raise self._failure from exc
        finally:
            self._is_reading = False
        if not piece:
            self._finish()
            raise StopIteration
        return piece

    def _read_late(self) -> None:
        """Read what the sender has sent by the time limit, and cut the answer if that is not all of it."""
        if self._is_reading or self._on_end is None:
            return  # The reader waits for the sender, and its read ends now.
        self._late_end = Signal()
        self._response.limit_pieces(self._silence, self._ends_at + LATE_READ_TIME)
        try:
            self._held.extend(self._response.read_prefix(MAX_LATE_BYTES))
            if not self._response.message.is_complete:
                raise TimeoutError
        except (OSError, MalformedMessage) as exc:
            self._fail(exc)
        else:
            self._finish()
        finally:
            self._late_end.set()

    def _fail(self, exc: Exception) -> None:
        """End the answer with a failure, which the receiver gets behind the pieces that came before."""
        if not is_own_timeout(exc):
            self._failure = ConnectionError(f"the answer broke off: {exc}")
            self._finish(exc)
            return
        if monotonic() < self._ends_at:
            reason = f"no data for {self._silence:.1f} s"
            self._failure = ConnectionError(f"the answer broke off: {reason}")
        else:
            reason = "not whole by its time limit"
            self._failure = AnswerCut(f"the answer was cut: {reason}")
            self._held.clear()
        self._finish(TimeoutError(reason))
        if isinstance(self._failure, AnswerCut) and self.on_cut is not None:
            self.on_cut()

    def close(self) -> None:
        """Stop reading: the receiver has disconnected, or has got the whole answer."""
        self._finish()

    def _finish(self, exc: Exception | None = None) -> None:
        if self._timer is not None and self._timer is not gevent.getcurrent():
            self._timer.kill(block=False)
        self._response.close()
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(exc)
