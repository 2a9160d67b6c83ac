# SPDX-License-Identifier: BSD-3-Clause
"""A micro-kernel: services by name, started in order and stopped in reverse."""

from lanedock.kernel.core import Kernel, KernelError, Service, TaskService
from lanedock.kernel.loop import LoopService

__all__ = ["Kernel", "KernelError", "LoopService", "Service", "TaskService"]
