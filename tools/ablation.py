# SPDX-License-Identifier: BSD-3-Clause
"""Ablation of the overload decisions: the model of bench_overload.py with one of them disabled at a time.

    python tools/ablation.py --seeds 2

Each row gives the earned credit after penalties as a share of the possible credit, and in
parentheses the difference from the run with all decisions enabled and the same seeds.
"""

import argparse
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from unittest.mock import patch

import bench_overload
from bench_overload import play

from lanedock.limits import queue, slots
from lanedock.routing import balancer

CASES = [("front", 0.9), ("front", 1.2), ("front", 1.5), ("shared", 1.2), ("shared", 1.5)]


def _constant(module, name: str, value: object) -> Callable[[], AbstractContextManager]:
    return lambda: patch.object(module, name, value)


def _own_class_only(self, traffic_class, request) -> bool:
    """Evict requests of the request's own class only; replaces `AdmissionQueue.evict_for`."""
    return self._evict_last(self._by_class.get(traffic_class, []), request)


DECISIONS: dict[str, Callable[[], AbstractContextManager]] = {
    "all on": nullcontext,
    "room in a full queue by less urgent classes": lambda: patch.object(
        queue.AdmissionQueue, "evict_for", _own_class_only
    ),
    "no eviction at all": lambda: patch.object(queue.AdmissionQueue, "evict_for", lambda *arguments: False),
    "wait for the next slot in any case": _constant(slots, "_NEXT_SLOTS", 0.0),
    "margin on estimated waits": _constant(slots, "_WAIT_MARGIN", 1.0),
    "slow upstreams get less": _constant(balancer, "_SLOWNESS_POWER", 0),
    "nearly full upstreams count for more": _constant(balancer, "_FULL_SLOPE", 0.0),
    "silent upstreams count for more": _constant(balancer, "_SILENCE_LOAD", 0),
    "quick upstreams of other zones": _constant(balancer, "_MUCH_SLOWER", 1e9),
}


def main() -> None:
    """Run all cases with each decision disabled in turn, and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument(
        "--queue", type=int, default=bench_overload.QUEUE, help="maximum number of queued requests per upstream"
    )
    cfg = parser.parse_args()
    bench_overload.QUEUE = cfg.queue
    cfg.pace, cfg.slow_for, cfg.fixed_return = 1.0, 0.0, None
    print("| off | " + " | ".join(f"{short} at {load}" for short, load in CASES) + " |")
    print("| --- " * (len(CASES) + 1) + "|")
    baseline: list[float] = []
    for name, make_patch in DECISIONS.items():
        figures = []
        for short, load in CASES:
            with make_patch():
                runs = [play(seed, short, load, cfg)["after prices"] for seed in range(cfg.seeds)]
            figures.append(sum(runs) / len(runs))
        baseline = baseline or figures
        cells = [f"{value:.3f} ({value - reference:+.3f})" for value, reference in zip(figures, baseline, strict=True)]
        print(f"| {name} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
