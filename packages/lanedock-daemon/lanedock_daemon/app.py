# SPDX-License-Identifier: BSD-3-Clause
"""The binary ``lanedockd``."""

import argparse
import sys

from lanedock_daemon.digests import leave_out_openssl
from lanedock_daemon.signals import EarlySignals

__all__ = ["main"]


def main(arguments: list[str] | None = None) -> int:
    """Run the process that the command line describes."""
    early = EarlySignals()
    leave_out_openssl()
    # Patched before all else is imported, so that all sockets are gevent's: asyncio,
    # which gRPC runs on, knows the standard ones only.
    from gevent import monkey

    monkey.patch_all()

    from lanedock_daemon.run import run_process

    parsed = _parse_arguments(arguments)
    return run_process(parsed.settings, parsed.initialize, parsed.made, early=early)


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="lanedockd",
        description="Runs one lanedock process; its roles follow from its settings.",
        epilog="example: lanedockd --settings /etc/lanedock/entry-nbo-a.jsonc",
    )
    parser.add_argument("--settings", required=True, metavar="FILE", help="settings, JSON with comments")
    parser.add_argument(
        "--initialize",
        action="store_true",
        help="control only, once, when a mesh is set up: let an empty data folder vote from the start",
    )
    parser.add_argument(
        "--made",
        action="store_true",
        help="the settings are made by a program: load the schema only where they can't be used",
    )
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
