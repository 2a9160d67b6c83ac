# SPDX-License-Identifier: BSD-3-Clause
"""A body that is read on behalf of its reader, before it asks."""

from abc import abstractmethod
from collections import deque

from lanedock_daemon.path.http import NEVER, Body

__all__ = ["HeldBody"]


class HeldBody(Body):
    """A body of which pieces may be held until they are read.

    Parameters
    ----------
    body : Body
        That it wraps.
    """

    def __init__(self, body: Body):
        self.length = body.length
        self._held: deque[bytes] = deque()

    def hold_piece(self, size: int, deadline: float) -> None:
        """Wait for the next piece, of `size` bytes at the most, and hold it; raises as `read`."""
        self._held.append(self._read_next(size, deadline))

    def read(self, size: int, deadline: float = NEVER) -> bytes:
        if not self._held:
            return self._read_next(size, deadline)
        # The last one held may be empty, which is the body's end.
        piece = self._held.popleft()
        if len(piece) > size:
            self._held.appendleft(piece[size:])
        return piece[:size]

    @abstractmethod
    def _read_next(self, size: int, deadline: float) -> bytes:
        """Read what comes behind the pieces that are held."""
