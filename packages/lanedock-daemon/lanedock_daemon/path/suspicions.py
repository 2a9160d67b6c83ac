# SPDX-License-Identifier: BSD-3-Clause
"""Suspicions on the answers between daemons: the way to learn of them that needs no control instance."""

from lanedock.quarantine import MAX_CRASHES_KEPT, Fingerprint
from lanedock.wire import messages
from lanedock_daemon.path.headers import CRASHES_HEADER, SUSPECT_HEADER, read_name, write_name
from lanedock_daemon.path.http import HeadersByName

__all__ = ["read_suspicions", "write_suspicions"]


def write_suspicions(fingerprint: Fingerprint, crashes: list[str]) -> list[tuple[str, str]]:
    """Return the headers by which the crashes are known that a request is suspected of."""
    return [
        (SUSPECT_HEADER, f"{fingerprint.head.hex()}.{fingerprint.whole.hex()}"),
        (CRASHES_HEADER, ",".join(write_name(crash) for crash in crashes)),
    ]


def read_suspicions(head: HeadersByName) -> list[messages.Suspicion]:
    """Return what `write_suspicions` wrote; none where it can't be read."""
    first, _, whole = head.header(SUSPECT_HEADER).partition(".")
    try:
        digests = bytes.fromhex(first), bytes.fromhex(whole)
    except ValueError:
        return []
    names = head.header(CRASHES_HEADER).split(",")[:MAX_CRASHES_KEPT]
    return [
        messages.Suspicion(head=digests[0], whole=digests[1], crash=read_name(name)) for name in names if name and whole
    ]
