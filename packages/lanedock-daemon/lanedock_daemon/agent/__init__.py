# SPDX-License-Identifier: BSD-3-Clause
"""The daemon's agent: it takes versions, holds them, and passes them on."""

from lanedock_daemon.agent.board import Board
from lanedock_daemon.agent.service import AgentService

__all__ = ["AgentService", "Board"]
