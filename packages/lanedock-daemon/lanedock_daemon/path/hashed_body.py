# SPDX-License-Identifier: BSD-3-Clause
"""A request's body that is added to its fingerprint on its way."""

from lanedock.quarantine import RequestHasher
from lanedock_daemon.path.held_body import HeldBody
from lanedock_daemon.path.http import CHUNK, Body, Request

__all__ = ["HashedBody", "hash_body"]


class HashedBody(HeldBody):
    """Adds each piece to its request's fingerprint as it is read.

    Parameters
    ----------
    body : Body
    hasher : RequestHasher
        Of the request.
    """

    def __init__(self, body: Body, hasher: RequestHasher):
        super().__init__(body)
        self._body = body
        self._hasher = hasher

    def hold(self, deadline: float) -> None:
        """Read all that counts for the fingerprint, and keep it to be passed on.

        Parameters
        ----------
        deadline : float
            Monotonic, seconds.

        Raises
        ------
        BodyTimeout
        OSError
            Its sender went away.
        """
        while not self._hasher.is_complete:
            self.hold_piece(CHUNK, deadline)

    def finish(self, deadline: float) -> None:
        """Read the rest of what counts for the fingerprint, and drop it; raises as `hold`."""
        while not self._hasher.is_complete:
            self._read_next(CHUNK, deadline)

    def _read_next(self, size: int, deadline: float) -> bytes:
        piece = self._body.read(size, deadline)
        self._hasher.update(piece)
        return piece


def hash_body(request: Request, hasher: RequestHasher) -> Request:
    """Return a request whose body is added to its fingerprint as it is read; itself where it has none."""
    if request.body.length == 0:
        return request
    body = HashedBody(request.body, hasher)
    return Request(request.method, request.target, request.host, request.headers, body)
