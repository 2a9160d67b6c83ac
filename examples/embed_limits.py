# SPDX-License-Identifier: BSD-3-Clause
"""Embedding the balancer and the limiter: choose an upstream, and admit its work."""

from collections import Counter
from random import Random

from lanedock.config import TrafficClass
from lanedock.limits import AdmissionRequest, Refused, SlotLimiter
from lanedock.routing import Balancer, BalancerPolicy
from lanedock.wire import messages

CLASSES = {"order": TrafficClass("order", 0.5, 0), "browse": TrafficClass("browse", 0.3, 1)}
SLOTS = 4


def main() -> None:
    """Send a burst of browsing and some orders to two upstreams, at one moment."""
    balancer = Balancer("here", Random(1), BalancerPolicy())
    endpoints = [messages.Endpoint(instance=name, zone="here", incarnation=1) for name in ("a", "b")]
    balancer.set_endpoints(endpoints, now=0.0)
    limiters = {name: SlotLimiter(SLOTS, 2, CLASSES) for name in ("a", "b")}
    results: Counter = Counter()
    for traffic_class in ["order"] * 2 + ["browse"] * 12 + ["order"] * 2:
        stats = balancer.choose(SLOTS, now=0.0)
        balancer.begin(stats)
        result = limiters[stats.endpoint.instance].acquire(
            traffic_class, AdmissionRequest(deadline=1.0), 0.0, lambda: None
        )
        results[traffic_class, "refused" if isinstance(result, Refused) else "waits" if result else "runs"] += 1
        if isinstance(result, Refused):
            balancer.end(stats, False, 0.0)
    for (traffic_class, outcome), count in sorted(results.items()):
        print(f"{traffic_class} {outcome}: {count}")


if __name__ == "__main__":
    main()
