# SPDX-License-Identifier: BSD-3-Clause
"""What makes two requests the same one, whoever sends them again and wherever."""

from hashlib import blake2b

__all__ = ["BODY_LIMIT", "Fingerprint", "RequestHasher"]

# Bytes of a digest: two requests of a mesh never share one by chance, and none can be
# made to share another's (2^64 tries for any pair).
_DIGEST_BYTES = 16
# Keeps these digests apart from those that others make of the same bytes (RFC 7693).
_PURPOSE = b"lanedock-request"
# Bytes of a body that count. All of them have to be held before a request that may be
# quarantined is passed on, so this bounds that memory; nearly all uploads are shorter.
BODY_LIMIT = 512 * 1024


class Fingerprint:
    """The identity of a request. Never changed once made.

    Parameters
    ----------
    head : bytes
        Digest of method, host, target and customer.
    whole : bytes
        Digest of the body, too; the same as `head` where there is none.
    """

    __slots__ = ("head", "whole")

    def __init__(self, head: bytes, whole: bytes):
        self.head = head
        self.whole = whole

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Fingerprint):
            return NotImplemented
        return self.whole == other.whole

    def __hash__(self) -> int:
        return hash(self.whole)

    def __str__(self) -> str:
        return self.whole.hex()

    def __repr__(self) -> str:
        return f"<Fingerprint {self}>"


class RequestHasher:
    """Makes a request's fingerprint as its body goes by, in pieces of any length.

    Parameters
    ----------
    method, host, target : str
        Target with its query.
    customer : str
        What the caller identifies itself by; empty where it doesn't.
    length : int, optional
        Of the body, in bytes; left out where its end alone shows it.

    Attributes
    ----------
    head : bytes
        Of the fingerprint.
    """

    __slots__ = ("_left", "_state", "head")

    def __init__(self, method: str, host: str, target: str, customer: str, length: int | None = None):
        # Heads hold no NUL (RFC 9110, 5.5), so no two lists of fields read the same.
        fields = "\0".join((method, host.lower(), target, customer))
        self._state = blake2b(fields.encode("utf-8", "surrogateescape"), digest_size=_DIGEST_BYTES, person=_PURPOSE)
        self._left = BODY_LIMIT if length is None else min(length, BODY_LIMIT)
        self.head = self._state.digest()

    @property
    def is_complete(self) -> bool:
        """Whether all that counts of the request was added."""
        return self._left <= 0

    def update(self, piece: bytes) -> None:
        """Add the next piece of the body; an empty one is its end."""
        if not piece:
            self._left = 0
        elif self._left > 0:
            self._state.update(piece[: self._left])
            self._left -= len(piece)

    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint by all that was added so far."""
        return Fingerprint(self.head, self._state.digest())
