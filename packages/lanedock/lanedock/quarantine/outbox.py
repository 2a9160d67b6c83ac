# SPDX-License-Identifier: BSD-3-Clause
"""News of suspicions on their way to one neighbour, or to all of one kind."""

__all__ = ["SuspicionOutbox"]


class SuspicionOutbox:
    """Suspicions that a neighbour has not been sent yet, by request and crash."""

    __slots__ = ("_keys",)

    def __init__(self):
        self._keys: dict[tuple[bytes, str], None] = {}

    def __repr__(self) -> str:
        return f"<SuspicionOutbox {len(self._keys)}>"

    def __bool__(self) -> bool:
        return bool(self._keys)

    def put(self, whole: bytes, crash: str) -> None:
        """Note that a suspicion has changed."""
        self._keys[whole, crash] = None

    def take(self) -> list[tuple[bytes, str]]:
        """Return what has changed since the last call."""
        keys, self._keys = list(self._keys), {}
        return keys
