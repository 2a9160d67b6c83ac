# SPDX-License-Identifier: BSD-3-Clause
"""A microkernel: named services that are started in order and stopped in reverse order.

`lanedock.kernel.loop` contains the asyncio event loop, which only gRPC needs.
"""

from lanedock.kernel.core import Kernel, KernelError, Service, TaskService
from lanedock.kernel.stop_plan import NOTICE_TIME, StopPlan

__all__ = ["NOTICE_TIME", "Kernel", "KernelError", "Service", "StopPlan", "TaskService"]
