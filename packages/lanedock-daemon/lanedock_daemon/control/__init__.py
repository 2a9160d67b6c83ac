# SPDX-License-Identifier: BSD-3-Clause
"""The control role: replicates the configuration and distributes its versions to daemons."""

from lanedock_daemon.control.service import ControlService

__all__ = ["ControlService"]
