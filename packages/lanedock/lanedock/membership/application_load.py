# SPDX-License-Identifier: BSD-3-Clause
"""Load that an application states in its answers."""

import math

__all__ = ["MAX_LOAD_TEXT", "ApplicationLoad", "read_load"]

# Maximum number of characters of a stated load: four figures of ten digits with separators and spaces.
MAX_LOAD_TEXT = 64
# Largest count of requests or slots that is accepted: endpoint and probe messages carry 32 bits.
_MAX_COUNT = 2**32 - 1
# Stated pace that corresponds to the usual service times.
_USUAL_PACE = 100.0
# Largest pace that is accepted, as a multiple of the usual one.
_MAX_PACE = 100.0


class ApplicationLoad:
    """Load of an application at the moment of one of its answers.

    Parameters
    ----------
    running : int
        Requests in progress.
    waiting : int
        Requests that wait for a slot.
    slots : int
        Requests that it runs concurrently; at least 1.
    pace : float or None
        Time that work takes at the moment, as a multiple of the usual time; None if not stated.
    """

    __slots__ = ("pace", "running", "slots", "waiting")

    def __init__(self, running: int, waiting: int, slots: int, pace: float | None = None):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace = pace

    def __repr__(self) -> str:
        return f"<ApplicationLoad running={self.running}/{self.slots} waiting={self.waiting} pace={self.pace}>"


def read_load(text: str) -> ApplicationLoad | None:
    """Parse a load of the form ``RUNNING,WAITING,SLOTS[,PACE]``, with a pace in percent of the usual time.

    Returns
    -------
    ApplicationLoad or None
        None if the count of figures is another one, a figure is not a number in its range, or
        the application has no slots.
    """
    if len(text) > MAX_LOAD_TEXT or not text.isascii():
        return None
    figures = [figure.strip(" \t") for figure in text.split(",")]
    if len(figures) not in (3, 4) or not all(figure.isdigit() for figure in figures[:3]):
        return None
    running, waiting, slots = (int(figure) for figure in figures[:3])
    if not slots or max(running, waiting, slots) > _MAX_COUNT:
        return None
    if len(figures) == 3:
        return ApplicationLoad(running, waiting, slots)
    pace = _read_pace(figures[3])
    return None if pace is None else ApplicationLoad(running, waiting, slots, pace)


def _read_pace(text: str) -> float | None:
    """Parse a pace in percent; return it as a multiple of the usual one, or None if it is invalid."""
    if "_" in text:
        return None
    try:
        pace = float(text) / _USUAL_PACE
    except ValueError:
        return None
    return pace if math.isfinite(pace) and 0 < pace <= _MAX_PACE else None
