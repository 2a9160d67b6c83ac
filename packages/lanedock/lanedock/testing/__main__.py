# SPDX-License-Identifier: BSD-3-Clause
"""Serves stand-in applications: ``python -m lanedock.testing FILE``.

FILE is a JSON list of objects with the keys name, host, port, work (seconds) and slots. The
optional key bad holds the parameters of `BadVersion`, for an application of a bad version.
"""

import json
import sys

import gevent

from lanedock.testing.upstream import BadVersion, StandInUpstream, UpstreamBehaviour


def main(path: str) -> None:
    """Serve the applications that a file lists, until the process is terminated."""
    with open(path, encoding="utf-8") as file:
        applications = json.load(file)
    for item in applications:
        behaviour = UpstreamBehaviour(item.get("work", 0.0), item.get("slots", 12))
        if item.get("bad"):
            behaviour.bad = BadVersion(**item["bad"])
        StandInUpstream(item["name"], (item["host"], item["port"]), behaviour).start()
    gevent.wait()


if __name__ == "__main__":
    main(sys.argv[1])
