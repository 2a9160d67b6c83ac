# SPDX-License-Identifier: BSD-3-Clause
"""Identity of one start of an application."""

__all__ = ["Incarnation"]


class Incarnation:
    """An application's id and start time. Immutable.

    An application may restart under the same id; it then has no record of the requests that
    it received before.

    Parameters
    ----------
    upstream : str
        Id of the application; empty for none.
    started : int
        Start time in Unix milliseconds of the application's own clock; 0 if unknown. The
        clock may be set back, so a later start may have an earlier start time.
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

    def may_equal(self, other: "Incarnation") -> bool:
        """Return whether both may be the same start; an unknown start time matches any."""
        if self.upstream != other.upstream:
            return False
        return self.started == other.started or not (self.started and other.started)

    def is_restart_of(self, other: "Incarnation") -> bool:
        """Return whether this is a later start under the same id, by the application's clock."""
        return self.upstream == other.upstream and self.started > other.started > 0
