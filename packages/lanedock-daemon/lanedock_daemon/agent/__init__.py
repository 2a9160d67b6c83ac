# SPDX-License-Identifier: BSD-3-Clause
"""The daemon's agent: receives configuration versions, holds them and relays them to other daemons."""

from lanedock_daemon.agent.service import AgentService
from lanedock_daemon.agent.view import LocalView

__all__ = ["AgentService", "LocalView"]
