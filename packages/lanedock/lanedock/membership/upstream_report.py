# SPDX-License-Identifier: BSD-3-Clause
"""Status that an application reports in its answers."""

import math

from lanedock.membership.application_load import MAX_LOAD_TEXT, ApplicationLoad, read_load

__all__ = ["UpstreamReport", "read_rate"]

# Maximum number of characters of a rate limit; practical values are far shorter.
_MAX_RATE_TEXT = 32


class UpstreamReport:
    """Status of the application itself, as stated in one of its answers.

    Answers to requests and to health checks, and refusals, all contain it.

    Parameters
    ----------
    is_draining : bool
        Whether the application takes no new requests.
    rate_limit : float, optional
        Requests per second that it accepts from all callers together; None if not stated.
    unreadable : str
        Truncated text of a rate limit that cannot be parsed; empty if there is none.
    load : ApplicationLoad, optional
        Its load; None if not stated.
    unreadable_load : str
        Truncated text of a load that cannot be parsed; empty if there is none.
    """

    __slots__ = ("is_draining", "load", "rate_limit", "unreadable", "unreadable_load")

    def __init__(
        self,
        is_draining: bool = False,
        rate_limit: float | None = None,
        unreadable: str = "",
        load: ApplicationLoad | None = None,
        unreadable_load: str = "",
    ):
        self.is_draining = is_draining
        self.rate_limit = rate_limit
        self.unreadable = unreadable
        self.load = load
        self.unreadable_load = unreadable_load

    def __repr__(self) -> str:
        return f"<UpstreamReport draining={self.is_draining} rate_limit={self.rate_limit} load={self.load}>"

    def note_rate(self, text: str) -> None:
        """Parse a rate limit from an answer; an invalid or a second value marks it as unreadable."""
        rate = read_rate(text)
        if rate is None or self.unreadable or self.rate_limit is not None:
            self.rate_limit = None
            self.unreadable = ascii(text[:_MAX_RATE_TEXT])
        else:
            self.rate_limit = rate

    def note_load(self, text: str) -> None:
        """Parse a load from an answer; an invalid or a second value marks it as unreadable."""
        load = read_load(text)
        if load is None or self.unreadable_load or self.load is not None:
            self.load = None
            self.unreadable_load = ascii(text[:MAX_LOAD_TEXT])
        else:
            self.load = load


def read_rate(text: str) -> float | None:
    """Parse a rate limit in requests per second; return None unless it is a finite number of at least 0."""
    text = text.strip(" \t")
    if len(text) > _MAX_RATE_TEXT or not text.isascii() or "_" in text:
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
