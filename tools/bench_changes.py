# SPDX-License-Identifier: BSD-3-Clause
"""Cost of one configuration change, by its size and by the number of routes.

``python tools/bench_changes.py [--out FILE]``: runs in one process without a network. Bytes
are the sizes of serialized messages; times are minima over several rounds, in milliseconds.
"""

import argparse
import json
import random
import string
import sys
import time
from pathlib import Path

from lanedock.config import ConfigTree, check_generated_config, decode_config
from lanedock.rollout import HeldVersion, MeshState, fill_content
from lanedock.routing import RouteTable
from lanedock.wire import messages

# Number of routes before the change, and of routes that it adds.
SIZES = (330, 2400, 3800, 5560)
CHANGES = (1, 1400)
SERVICES = 3
HOSTS = 8
ROUNDS = 7
SEED = 5


def main() -> int:
    """Measure all combinations of sizes and changes, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="")
    out = parser.parse_args().out
    results = [_measure(size, change) for size in SIZES for change in CHANGES]
    print(json.dumps(results, indent=2))
    if out:
        Path(out).write_text(json.dumps(results, indent=2) + "\n", encoding="utf-8")
    return 0


def _make_value(version: int, routes: list[dict]) -> dict:
    names = [f"s{number}" for number in range(SERVICES)]
    return {
        "mesh": "m",
        "version": version,
        "zones": ["any"],
        "traffic_classes": [{"name": name, "share": 0, "priority": 1} for name in names],
        "services": [{"name": name, "zones": ["any"], "slots": 6} for name in names],
        "routes": routes,
    }


def _make_routes(count: int) -> list[dict]:
    """Make routes with random names, which hardly compress."""
    rng = random.Random(SEED)

    def word(length: int) -> str:
        return "".join(rng.choices(string.ascii_lowercase + string.digits, k=length))

    hosts = [f"{word(6)}.example" for _ in range(HOSTS)]
    return [
        {
            "name": f"r-{word(7)}",
            "host": rng.choice(hosts),
            "path": f"/{word(6)}/{word(4)}/",
            "service": f"s{number % SERVICES}",
            "traffic_class": f"s{number % SERVICES}",
            "repeatable": True,
            "deadline_ms": 5000,
            "target_ms": 1627,
            "max_attempts": 2,
        }
        for number in range(count)
    ]


def _measure(size: int, change: int) -> dict:
    routes = _make_routes(size + change)
    base = check_generated_config(_make_value(1, routes[:size]), "bench")
    value = _make_value(2, routes)
    tree = check_generated_config(value, "bench")
    held = HeldVersion(base, decode_config(base))
    table = RouteTable(held.config)
    push = tree.make_delta_push(set(tree.digests), base, set(base.digests))
    command = messages.Command()
    command.submit.version = tree.number
    command.submit.digest = tree.version.digest
    fill_content(command.submit, tree, base)
    state = _make_state(base)
    received = ConfigTree.from_push(push, [base])
    config = decode_config(received, held)
    return {
        "routes": size,
        "added": change,
        "groups": len(tree.digests),
        "delta_bytes": len(push.SerializeToString()),
        "whole_bytes": len(tree.pack()),
        "entry_bytes": len(command.SerializeToString()),
        "check_ms": _measure_ms(lambda: check_generated_config(value, "bench")),
        "delta_ms": _measure_ms(lambda: tree.make_delta_push(set(tree.digests), base, set(base.digests))),
        "apply_ms": min(_measure_apply_ms(state, command) for _ in range(ROUNDS)),
        "verify_ms": _measure_ms(lambda: ConfigTree.from_push(push, [base])),
        "decode_ms": _measure_ms(lambda: decode_config(received, held)),
        "table_ms": _measure_ms(lambda: table.evolve(config)),
        "decode_whole_ms": _measure_ms(lambda: RouteTable(decode_config(received))),
    }


def _make_state(base: ConfigTree) -> bytes:
    """Return a snapshot of a replica that has accepted `base`."""
    state = MeshState()
    command = messages.Command()
    command.submit.version = base.number
    command.submit.digest = base.version.digest
    command.submit.direct = True
    fill_content(command.submit, base, None)
    state.apply(command)
    return state.snapshot()


def _measure_apply_ms(snapshot: bytes, command: messages.Command) -> float:
    """Return the milliseconds that a replica restored from a snapshot needs to apply a command."""
    state = MeshState.restore(snapshot)
    state.tree(state.accepted_version.number)
    started = time.perf_counter()
    state.apply(command)
    return round(1000 * (time.perf_counter() - started), 2)


def _measure_ms(call) -> float:
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.perf_counter()
        call()
        best = min(best, time.perf_counter() - started)
    return round(1000 * best, 2)


if __name__ == "__main__":
    sys.exit(main())
