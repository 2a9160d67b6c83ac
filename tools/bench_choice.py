# SPDX-License-Identifier: BSD-3-Clause
"""Cost of choosing an upstream, by the number of kinds of requests to its service.

``python tools/bench_choice.py``: microseconds per choice among 30 busy upstreams in three zones;
medians over several rounds.
"""

import statistics
import timeit
from random import Random

from lanedock.routing import Balancer, BalancerPolicy
from lanedock.wire import messages

KINDS = (1, 50, 500)
UPSTREAMS, ZONES, SLOTS = 30, 3, 10
ROUNDS, CHOICES = 7, 2000
# Seconds of simulated time between two choices: 2,000 requests per second.
INTERVAL = 0.0005


def main() -> None:
    """Measure each number of kinds, and print the results."""
    for kinds in KINDS:
        duration = statistics.median(_measure(kinds) for _ in range(ROUNDS))
        print(f"{kinds} kinds of requests: {1e6 * duration:.1f} us a choice")


def _measure(kinds: int) -> float:
    """Return the mean duration of a choice, in seconds."""
    balancer = Balancer("z0", Random(1), BalancerPolicy())
    balancer.set_endpoints([_make_endpoint(number) for number in range(UPSTREAMS)], 0.0)
    now = 100.0
    for stats in list(balancer._upstreams.values()):
        for kind in range(kinds):
            balancer.begin(stats, now)
            balancer.end(stats, False, now + 0.1, reported=3, taken=0.1, kind=f"kind-{kind}")
        balancer.begin(stats, now)
        balancer.begin(stats, now)
    times = iter(range(CHOICES))
    return timeit.timeit(lambda: balancer.choose(SLOTS, now + 0.1 + INTERVAL * next(times)), number=CHOICES) / CHOICES


def _make_endpoint(number: int) -> messages.Endpoint:
    zone = f"z{number % ZONES}"
    return messages.Endpoint(instance=f"u{number}", zone=zone, incarnation=1, host="h", port=1, slots=SLOTS)


if __name__ == "__main__":
    main()
