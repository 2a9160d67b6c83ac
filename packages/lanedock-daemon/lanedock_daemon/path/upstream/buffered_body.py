# SPDX-License-Identifier: BSD-3-Clause
"""A request body that can be buffered before its consumer reads it."""

from abc import abstractmethod
from collections import deque

from lanedock_daemon.path.http.messages import NEVER, Body

__all__ = ["BufferedBody"]


class BufferedBody(Body):
    """A body whose pieces can be buffered until they are read.

    Parameters
    ----------
    body : Body
        The wrapped body.
    """

    def __init__(self, body: Body):
        self.length = body.length
        self._held: deque[bytes] = deque()

    def buffer_piece(self, size: int, deadline: float) -> None:
        """Wait for the next piece, of at most `size` bytes, and buffer it. Raises as `read`."""
        self._held.append(self._read_next(size, deadline))

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        if not self._held:
            return self._read_next(size, deadline)
        # The last buffered piece may be empty, which marks the end of the body.
        piece = self._held.popleft()
        if len(piece) > size:
            self._held.appendleft(piece[size:])
        return piece[:size]

    @abstractmethod
    def _read_next(self, size: int, deadline: float) -> bytes:
        """Read the next piece after the buffered ones from the wrapped body."""
