# SPDX-License-Identifier: BSD-3-Clause
"""What an application reports of itself in any of its answers."""

import math

__all__ = ["UpstreamReport", "read_rate"]

# Characters of a rate that are read: any rate in use is far shorter.
_MAX_RATE_TEXT = 32


class UpstreamReport:
    """What one answer of an application states of the application itself, not of the request.

    Answers to requests, refusals and health checks all carry it.

    Parameters
    ----------
    is_draining : bool
        Whether the application takes no new work any more.
    rate_limit : float, optional
        Requests a second that it takes from all callers together; None where it states none.
    unreadable : str
        A rate limit that can't be read, shortened; empty where there is none.
    """

    __slots__ = ("is_draining", "rate_limit", "unreadable")

    def __init__(self, is_draining: bool = False, rate_limit: float | None = None, unreadable: str = ""):
        self.is_draining = is_draining
        self.rate_limit = rate_limit
        self.unreadable = unreadable

    def __repr__(self) -> str:
        return f"<UpstreamReport draining={self.is_draining} rate_limit={self.rate_limit}>"

    def note_rate(self, text: str) -> None:
        """Take over a rate limit as an answer has it; one that can't be read, or a second one, makes it unreadable."""
        rate = read_rate(text)
        if rate is None or self.unreadable or self.rate_limit is not None:
            self.rate_limit = None
            self.unreadable = ascii(text[:_MAX_RATE_TEXT])
        else:
            self.rate_limit = rate


def read_rate(text: str) -> float | None:
    """Return a rate, requests a second; None where it is no finite number of 0 or more."""
    text = text.strip(" \t")
    if len(text) > _MAX_RATE_TEXT or not text.isascii() or "_" in text:
        return None
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
