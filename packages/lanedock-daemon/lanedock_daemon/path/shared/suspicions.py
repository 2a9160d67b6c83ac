# SPDX-License-Identifier: BSD-3-Clause
"""Headers that report suspicions with answers between daemons, without a control instance."""

from lanedock.quarantine import MAX_STORED_CRASHES, Fingerprint
from lanedock.wire import messages
from lanedock_daemon.path.http.headers import CRASHES_HEADER, SUSPECT_HEADER, decode_name, encode_name
from lanedock_daemon.path.http.messages import HeadersByName

__all__ = ["read_suspicions", "write_suspicions"]


def write_suspicions(fingerprint: Fingerprint, crashes: list[str]) -> list[tuple[str, str]]:
    """Return the headers that report the crashes of which a request is suspected."""
    return [
        (SUSPECT_HEADER, f"{fingerprint.head.hex()}.{fingerprint.whole.hex()}"),
        (CRASHES_HEADER, ",".join(encode_name(crash) for crash in crashes)),
    ]


def read_suspicions(head: HeadersByName) -> list[messages.Suspicion]:
    """Return the suspicions that `write_suspicions` wrote; an empty list if they can't be read."""
    first, _, whole = head.header(SUSPECT_HEADER).partition(".")
    try:
        digests = bytes.fromhex(first), bytes.fromhex(whole)
    except ValueError:
        return []
    names = head.header(CRASHES_HEADER).split(",")[:MAX_STORED_CRASHES]
    return [
        messages.Suspicion(head=digests[0], whole=digests[1], crash=decode_name(name))
        for name in names
        if name and whole
    ]
