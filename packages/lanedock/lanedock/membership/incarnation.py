# SPDX-License-Identifier: BSD-3-Clause
"""One start of an application."""

__all__ = ["Incarnation"]


class Incarnation:
    """An application's id, and when it was started under it. Never changed once made.

    An application may start again under the id that it had; it then knows nothing of
    what it was sent before.

    Parameters
    ----------
    upstream : str
        Id; empty for none.
    started : int
        Unix milliseconds by the application's own clock; 0 where it is not known. Clocks
        step, so a later start may read earlier than the one before it.
    """

    __slots__ = ("started", "upstream")

    def __init__(self, upstream: str, started: int = 0):
        self.upstream = upstream
        self.started = started

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Incarnation):
            return NotImplemented
        return (self.upstream, self.started) == (other.upstream, other.started)

    def __hash__(self) -> int:
        return hash((self.upstream, self.started))

    def __repr__(self) -> str:
        return f"<Incarnation {self.upstream or '-'} started={self.started or '?'}>"

    def may_be(self, other: "Incarnation") -> bool:
        """Tell whether both are the same start, as far as is known."""
        if self.upstream != other.upstream:
            return False
        return self.started == other.started or not (self.started and other.started)

    def is_restart_of(self, other: "Incarnation") -> bool:
        """Tell whether this is a later start under the same id, by the application's clock."""
        return self.upstream == other.upstream and self.started > other.started > 0
