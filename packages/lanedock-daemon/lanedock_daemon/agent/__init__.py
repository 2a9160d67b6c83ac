# SPDX-License-Identifier: BSD-3-Clause
"""The daemon's agent: it takes versions, holds them, and passes them on."""

from lanedock_daemon.agent.service import AgentService
from lanedock_daemon.agent.view import LocalView

__all__ = ["AgentService", "LocalView"]
