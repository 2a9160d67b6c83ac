# SPDX-License-Identifier: BSD-3-Clause
"""A micro-kernel: services by name, started in order and stopped in reverse.

`lanedock.kernel.loop` holds the asyncio loop, which only gRPC needs.
"""

from lanedock.kernel.core import Kernel, KernelError, Service, TaskService
from lanedock.kernel.stop_plan import StopPlan

__all__ = ["Kernel", "KernelError", "Service", "StopPlan", "TaskService"]
