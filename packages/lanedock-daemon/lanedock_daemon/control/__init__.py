# SPDX-License-Identifier: BSD-3-Clause
"""The control role: replicated state, and the source of versions."""

from lanedock_daemon.control.service import ControlService

__all__ = ["ControlService"]
