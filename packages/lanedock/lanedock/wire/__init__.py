# SPDX-License-Identifier: BSD-3-Clause
"""Protobuf messages between lanedock's processes, generated from ``lanedock.proto``."""

from lanedock.wire import lanedock_pb2 as messages

__all__ = ["messages"]
