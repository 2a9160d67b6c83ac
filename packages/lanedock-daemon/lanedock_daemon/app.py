# SPDX-License-Identifier: BSD-3-Clause
"""The binary ``lanedockd``."""

# Patched before anything else is imported, so that all sockets are gevent's:
# asyncio, which gRPC runs on, knows the standard ones only.
from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from lanedock_daemon.run import main  # noqa: E402

__all__ = ["main"]

if __name__ == "__main__":
    sys.exit(main())
