# SPDX-License-Identifier: BSD-3-Clause
"""Writing answers piece by piece, and releasing the resources of their bodies."""

__all__ = ["close_pieces", "write_pieces"]


def write_pieces(conn, head: bytes, pieces, is_chunked: bool) -> None:
    """Write an answer; its head is sent together with the first piece of its body.

    Parameters
    ----------
    conn : Channel
    head : bytes
    pieces : iterable of bytes
    is_chunked : bool
        Whether the body is written in chunks (RFC 9112, 7.1).

    Raises
    ------
    OSError
        The caller has disconnected, or the body broke off.
    """
    pending = head
    for piece in pieces:
        if not piece:
            continue
        if is_chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        conn.sendall(pending + piece if pending else piece)
        pending = b""
    if is_chunked:
        pending += b"0\r\n\r\n"
    if pending:
        conn.sendall(pending)


def close_pieces(pieces) -> None:
    """Release the resources of an answer's body, if it has a `close` method."""
    close = getattr(pieces, "close", None)
    if close is not None:
        close()
