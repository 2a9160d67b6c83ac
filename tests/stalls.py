# SPDX-License-Identifier: BSD-3-Clause
"""Processes that get no processor time for a while, or only a part of it."""

import signal
import threading
import time
from random import Random

__all__ = ["Stalls"]

# Length in seconds of a period of the processor quota.
_QUOTA_PERIOD = 0.1


class Stalls:
    """How processes are kept from running.

    Parameters
    ----------
    pause : tuple of (float, float)
        Range of the seconds for which a process is stopped.
    gap : tuple of (float, float)
        Range of the seconds for which it runs in between.
    quota : float
        Share of each tenth of a second in which a process runs; 1 for no limit.
    """

    __slots__ = ("gap", "pause", "quota")

    def __init__(self, pause=(0.0, 0.0), gap=(0.1, 1.0), quota=1.0):
        self.pause = pause
        self.gap = gap
        self.quota = quota

    def __repr__(self) -> str:
        return f"<Stalls pause={self.pause} gap={self.gap} quota={self.quota}>"

    def start(self, process, seed: int, is_over: threading.Event) -> threading.Thread:
        """Stall a process until it ends or `is_over` is set, after which it runs; returns the thread that does so."""
        thread = threading.Thread(target=self._run, args=(process, Random(seed), is_over), daemon=True)
        thread.start()
        return thread

    def _run(self, process, rng: Random, is_over: threading.Event) -> None:
        while not is_over.is_set() and process.poll() is None:
            if self.quota < 1.0:
                run_time, pause = _QUOTA_PERIOD * self.quota, _QUOTA_PERIOD * (1 - self.quota)
            else:
                run_time, pause = rng.uniform(*self.gap), rng.uniform(*self.pause)
            time.sleep(run_time)
            process.send_signal(signal.SIGSTOP)
            time.sleep(pause)
            process.send_signal(signal.SIGCONT)
