# SPDX-License-Identifier: BSD-3-Clause
"""Fingerprints that identify a request by method, host, target, customer and body, whichever daemon handles it."""

from hashlib import blake2b

__all__ = ["HASHED_BODY_BYTES", "Fingerprint", "RequestHasher"]

# Length of a digest, in bytes. Two requests don't share one by chance, and nobody can construct
# a request with the digest of another (finding any colliding pair takes 2^64 tries).
_DIGEST_BYTES = 16
# BLAKE2 personalization (RFC 7693): keeps these digests distinct from other uses of the hash.
_PERSONALIZATION = b"lanedock-request"
# Leading bytes of a body that are hashed. They are buffered before a request that may be
# quarantined is passed on, so this bounds that memory. Nearly all uploads are shorter.
HASHED_BODY_BYTES = 512 * 1024


class Fingerprint:
    """The identity of a request. Immutable.

    Parameters
    ----------
    head : bytes
        Digest of method, host, target and customer.
    whole : bytes
        Digest of these and of the body's first `HASHED_BODY_BYTES` bytes; equal to `head` if there is no body.
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
    """Incremental hasher of a request, which takes the body in pieces of any length.

    Parameters
    ----------
    method, host, target : str
        Request line and host; the target includes the query.
    customer : str
        Identifier that the caller presents; empty if it presents none.
    length : int, optional
        Length of the body, in bytes; left out if it is not known in advance.

    Attributes
    ----------
    head : bytes
        Digest of the head, see `Fingerprint`.
    """

    __slots__ = ("_bytes_left", "_hash", "head")

    def __init__(self, method: str, host: str, target: str, customer: str, length: int | None = None):
        # Heads contain no NUL (RFC 9110, 5.5), so the joined fields are unambiguous.
        fields = "\0".join((method, host.lower(), target, customer))
        self._hash = blake2b(
            fields.encode("utf-8", "surrogateescape"), digest_size=_DIGEST_BYTES, person=_PERSONALIZATION
        )
        self._bytes_left = HASHED_BODY_BYTES if length is None else min(length, HASHED_BODY_BYTES)
        self.head = self._hash.digest()

    @property
    def is_complete(self) -> bool:
        """Whether all bytes to be hashed have been added."""
        return self._bytes_left <= 0

    def update(self, piece: bytes) -> None:
        """Add the next piece of the body; an empty piece marks its end."""
        if not piece:
            self._bytes_left = 0
        elif self._bytes_left > 0:
            self._hash.update(piece[: self._bytes_left])
            self._bytes_left -= len(piece)

    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint of the bytes added so far."""
        return Fingerprint(self.head, self._hash.digest())
