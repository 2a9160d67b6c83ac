# SPDX-License-Identifier: BSD-3-Clause
"""Messages between lanedock's own processes, generated from ``lanedock.proto``."""

from lanedock.wire import lanedock_pb2 as messages

__all__ = ["messages"]
