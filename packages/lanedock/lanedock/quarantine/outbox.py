# SPDX-License-Identifier: BSD-3-Clause
"""Changed suspicions that are to be sent to a neighbour, or to all neighbours of one kind."""

__all__ = ["SuspicionOutbox"]


class SuspicionOutbox:
    """Keys (request digest and crash) of the suspicions that a neighbour has not been sent yet."""

    __slots__ = ("_keys",)

    def __init__(self):
        self._keys: dict[tuple[bytes, str], None] = {}

    def __repr__(self) -> str:
        return f"<SuspicionOutbox {len(self._keys)}>"

    def __bool__(self) -> bool:
        return bool(self._keys)

    def put(self, whole: bytes, crash: str) -> None:
        """Add a suspicion that has changed."""
        self._keys[whole, crash] = None

    def take(self) -> list[tuple[bytes, str]]:
        """Return the keys of the suspicions that have changed since the last call, and clear the outbox."""
        keys, self._keys = list(self._keys), {}
        return keys
