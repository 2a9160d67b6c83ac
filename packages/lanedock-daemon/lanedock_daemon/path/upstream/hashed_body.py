# SPDX-License-Identifier: BSD-3-Clause
"""A request body whose data updates the request's fingerprint as it is read."""

from lanedock.quarantine import RequestHasher
from lanedock_daemon.path.http.messages import MAX_PIECE_BYTES, Body, Request
from lanedock_daemon.path.upstream.buffered_body import BufferedBody

__all__ = ["HashedBody", "hash_body"]


class HashedBody(BufferedBody):
    """A body that updates its request's fingerprint with each piece read.

    Parameters
    ----------
    body : Body
    hasher : RequestHasher
        Computes the request's fingerprint.
    """

    def __init__(self, body: Body, hasher: RequestHasher):
        super().__init__(body)
        self._body = body
        self._hasher = hasher

    def buffer_hashed_part(self, deadline: float) -> None:
        """Read the part that the fingerprint covers, and buffer it for later reads.

        Parameters
        ----------
        deadline : float
            Monotonic, seconds.

        Raises
        ------
        BodyTimeout
        OSError
            The sender disconnected.
        """
        while not self._hasher.is_complete:
            self.buffer_piece(MAX_PIECE_BYTES, deadline)

    def discard_hashed_part(self, deadline: float) -> None:
        """Read the rest of the part that the fingerprint covers, and discard it. Raises as `buffer_hashed_part`."""
        while not self._hasher.is_complete:
            self._read_next(MAX_PIECE_BYTES, deadline)

    def _read_next(self, size: int, deadline: float) -> bytes:
        piece = self._body.read(size, deadline)
        self._hasher.update(piece)
        return piece


def hash_body(request: Request, hasher: RequestHasher) -> Request:
    """Return a copy of the request with a `HashedBody`; the request itself if its body is empty."""
    if request.body.length == 0:
        return request
    body = HashedBody(request.body, hasher)
    return Request(
        request.method, request.target, request.host, request.headers, body, request.trace, request.check_caller
    )
