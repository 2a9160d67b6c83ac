# SPDX-License-Identifier: BSD-3-Clause
"""Messages to the tasks that own the sessions with daemons."""

from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_daemon.transport import Session

__all__ = [
    "HEARTBEAT_INTERVAL",
    "REPORT_INTERVAL",
    "SILENCE_LIMIT",
    "ChildArrived",
    "ChildLeft",
    "ChildReported",
    "DrainRequested",
    "ReportDue",
    "SeedsChanged",
]

# A source sends something at least this often, in seconds. Each heartbeat is some 60
# bytes with its packet's headers, 0.2 kB a second for each daemon; what a daemon knows
# of its source is this much older at the most than it could be.
HEARTBEAT_INTERVAL = 0.3
# A daemon reports at least this often, in seconds.
REPORT_INTERVAL = 1.0
# Each end takes the other for lost after this silence, in seconds. Versions don't wait
# for it: a daemon looks for a fresher source long before.
SILENCE_LIMIT = 3.5


class _SessionMessage:
    __slots__ = ("message", "session")

    def __init__(self, session: Session, message: messages.DaemonMessage | None = None):
        self.session = session
        self.message = message


class ChildArrived(_SessionMessage):
    """A daemon has connected, with its first message."""


class ChildReported(_SessionMessage):
    """A connected daemon sent a message."""


class ChildLeft(_SessionMessage):
    """A daemon's stream has ended."""


class SeedsChanged:
    """The settings name other control instances."""

    __slots__ = ("control",)

    def __init__(self, control: list[Address]):
        self.control = control


class DrainRequested:
    """The instance is to take no new work."""

    __slots__ = ()


class ReportDue:
    """Others have to learn of a change at once: of the upstream's registration, or of suspicions."""

    __slots__ = ()
