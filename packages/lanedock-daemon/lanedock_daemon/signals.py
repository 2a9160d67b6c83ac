# SPDX-License-Identifier: BSD-3-Clause
"""The signals of a process, when they arrived, and its end.

Imports only small modules, so that handlers are installed early: without one, SIGHUP ends the
process. Importing this module takes 5 ms, and a daemon's other imports 0.6 s.
"""

import os
import signal
import sys
from typing import NoReturn

from lanedock.clock import monotonic

__all__ = ["EarlySignals", "end_process"]

_STOPS = (signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Records the signals of a process from now on; the event loop handles SIGHUP once it runs.

    The handlers run between two instructions of the interpreter, also while the event loop is blocked.

    Attributes
    ----------
    stopped_at : float or None
        Monotonic time, in seconds, at which SIGTERM or SIGINT was received first; None before.
    must_reload : bool
        Whether SIGHUP was received.
    """

    __slots__ = ("must_reload", "stopped_at")

    def __init__(self):
        self.must_reload = False
        self.stopped_at: float | None = None
        for number in _STOPS:
            signal.signal(number, self._note_stop)
        signal.signal(signal.SIGHUP, self._note_reload)

    def __repr__(self) -> str:
        return f"<EarlySignals stopped_at={self.stopped_at} reload={self.must_reload}>"

    @property
    def must_stop(self) -> bool:
        """Whether SIGTERM or SIGINT was received."""
        return self.stopped_at is not None

    def wake_at_signals(self, descriptor: int) -> None:
        """Write a byte to a non-blocking descriptor at each signal from now on."""
        signal.set_wakeup_fd(descriptor, warn_on_full_buffer=False)

    def ignore_signals(self) -> None:
        """Ignore signals from now on: the interpreter removes their handlers while it shuts down."""
        for number in (*_STOPS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)

    def _note_stop(self, number, frame) -> None:
        if self.stopped_at is None:
            self.stopped_at = monotonic()

    def _note_reload(self, number, frame) -> None:
        self.must_reload = True


def end_process(code: int) -> NoReturn:
    """End the process at once, after its services have stopped and its log is flushed.

    The end of the interpreter, which waits for threads and frees all objects, would take a part of the grace time.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
