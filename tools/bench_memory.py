# SPDX-License-Identifier: BSD-3-Clause
"""Resident memory by imported modules: ``python tools/bench_memory.py [--out FILE]``.

Each step runs in its own process and adds an import to those of the step before, so the
difference between two steps is the memory of that import. Medians of five rounds.
"""

import argparse
import json
import statistics
import subprocess
import sys
from pathlib import Path

ROUNDS = 5
STEPS = {
    "bare Python": "pass",
    "gevent, patched": "from gevent import monkey; monkey.patch_all()",
    "request path's parser, pool, server": "import lanedock_daemon.path.http.parser, gevent.server, gevent.socket",
    "protobuf and the wire messages": "import lanedock.wire",
    "grpclib and asyncio": "import grpclib.client, grpclib.server, lanedock.wire.lanedock_grpc",
    "settings with jsonschema": "import jsonschema, lanedock.settings",
    "the whole daemon": "import lanedock_daemon.roles",
}


def main() -> int:
    """Measure all steps, and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="")
    out = parser.parse_args().out
    figures, lines = {}, []
    for name, line in STEPS.items():
        lines.append(line)
        figures[name] = round(statistics.median(_measure(lines) for _ in range(ROUNDS)), 1)
    print(json.dumps(figures, indent=2))
    if out:
        Path(out).write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    return 0


def _measure(lines: list[str]) -> float:
    """Return the resident memory, in megabytes, of a Python process that runs `lines`."""
    print_size = "import os; print(int(open('/proc/self/statm').read().split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6)"
    done = subprocess.run(
        [sys.executable, "-c", "\n".join([*lines, print_size])], check=True, capture_output=True, text=True
    )
    return float(done.stdout)


if __name__ == "__main__":
    sys.exit(main())
