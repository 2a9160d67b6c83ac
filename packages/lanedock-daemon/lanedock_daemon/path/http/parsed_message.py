# SPDX-License-Identifier: BSD-3-Clause
"""A message that is being received: its head, and the parts of its body."""

from collections import deque
from collections.abc import Iterator

from lanedock_daemon.path.http.messages import HeadersByName

__all__ = ["MESSAGE_BYTES", "Message"]

# Cache of header names as received, mapped to lower-case strings; its size is bounded.
_MAX_CACHED_NAMES = 256
# Header lines that are kept as decoded strings. Those after them stand in one byte string until they are needed: a line
# of four bytes takes some hundred and fifty as strings.
MAX_DECODED_LINES = 64
# Parts of a body up to this size together, in bytes, are joined: as much as is copied for a small one.
MAX_JOINED_BYTES = 4 * 1024
# Memory of a message that waits to be begun, with its first header lines, without the bytes of its head.
MESSAGE_BYTES = 8 * 1024
_HEADER_NAMES: dict[bytes, str] = {}


def _decode_name(name: bytes) -> str:
    text = name.decode("latin-1").lower()
    if len(_HEADER_NAMES) < _MAX_CACHED_NAMES:
        _HEADER_NAMES[name] = text
    return text


class Message(HeadersByName):
    """A message, as far as it has been received.

    Attributes
    ----------
    headers : list of tuple of (str, str)
        Names in lower case. The first look at it decodes all lines.
    line_count, head_bytes : int
        Number of header lines, and bytes of the head, that have been received.
    pieces : deque of bytes
        Parts of the body that were received but not consumed yet.
    kept_bytes : int
        Number of bytes of the body that its consumer keeps while it works on the message.
    is_complete : bool
        Whether the body was received to its end.
    read_at : float
        Monotonic time, in seconds, at which the head was read.
    is_reported : bool
        Whether the log of a stop states that the request was not begun.
    """

    __slots__ = (
        "_decoded",
        "_packed",
        "_unread_bytes",
        "head_bytes",
        "is_complete",
        "is_reported",
        "keep_alive",
        "kept_bytes",
        "line_count",
        "method",
        "pieces",
        "read_at",
        "reason",
        "status",
        "target",
        "version",
    )

    def __init__(self):
        self._decoded: list[tuple[str, str]] = []
        self._packed = bytearray()
        self._by_name = None
        self.line_count = 0
        self.head_bytes = 0
        self.pieces: deque[bytes] = deque()
        self._unread_bytes = 0
        self.kept_bytes = 0
        self.is_complete = False
        self.keep_alive = True
        self.method = ""
        self.target = ""
        self.status = 0
        self.reason = ""
        self.version = ""
        self.read_at = 0.0
        self.is_reported = False

    @property
    def headers(self) -> list[tuple[str, str]]:
        if self._packed:
            self._decoded += self._iterate_packed()
            self._packed = bytearray()
        return self._decoded

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header line as it was received."""
        self.line_count += 1
        if self.line_count <= MAX_DECODED_LINES or b"\n" in value:
            self._decoded.append((_HEADER_NAMES.get(name) or _decode_name(name), value.decode("latin-1")))
        else:
            self._packed += b"%b:%b\n" % (name, value)

    def iterate_headers(self) -> Iterator[tuple[str, str]]:
        """Return the header lines one after the other, without keeping them decoded."""
        yield from self._decoded
        yield from self._iterate_packed()

    def _iterate_packed(self) -> Iterator[tuple[str, str]]:
        for line in bytes(self._packed).split(b"\n")[:-1]:
            name, _, value = line.partition(b":")
            yield _HEADER_NAMES.get(name) or _decode_name(name), value.decode("latin-1")

    def find_header(self, name: str) -> str:
        """Return the first value of a header; empty if it is absent. Keeps nothing decoded, unlike `header`."""
        return next((value for known, value in self.iterate_headers() if known == name), "")

    def count_unread_bytes(self) -> int:
        """Return the number of received body bytes that were not consumed yet."""
        return self._unread_bytes

    def discard_pieces(self) -> None:
        """Forget the parts of the body that were not consumed."""
        self.pieces.clear()
        self._unread_bytes = 0

    def add_piece(self, piece: bytes) -> None:
        """Add a part of the body; small ones are joined, since each object costs some fifty bytes more."""
        self._unread_bytes += len(piece)
        if self.pieces and len(self.pieces[-1]) + len(piece) <= MAX_JOINED_BYTES:
            piece = self.pieces.pop() + piece
        self.pieces.append(piece)

    def take_piece(self) -> bytes:
        """Return the next part of the body, and forget it."""
        piece = self.pieces.popleft()
        self._unread_bytes -= len(piece)
        return piece
