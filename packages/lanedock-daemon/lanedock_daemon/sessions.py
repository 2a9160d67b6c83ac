# SPDX-License-Identifier: BSD-3-Clause
"""Messages to the tasks that own sessions with daemons, and the intervals of sessions."""

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

# Seconds between two heartbeats of a source. A heartbeat takes some 60 bytes with its packet's
# headers, 0.2 kB a second for each daemon. What a daemon knows of its source is out of date by
# this interval at most.
HEARTBEAT_INTERVAL = 0.3
# Maximum number of seconds between two reports of a daemon.
REPORT_INTERVAL = 1.0
# Seconds of silence after which each end considers the other lost. Versions are not delayed by
# this limit: a daemon looks for a fresher source long before.
SILENCE_LIMIT = 3.5


class _SessionMessage:
    __slots__ = ("message", "session")

    def __init__(self, session: Session, message: messages.DaemonMessage | None = None):
        self.session = session
        self.message = message


class ChildArrived(_SessionMessage):
    """A daemon has connected and sent its first message."""


class ChildReported(_SessionMessage):
    """A connected daemon sent a message."""


class ChildLeft(_SessionMessage):
    """A daemon's stream has ended."""


class SeedsChanged:
    """The control instances named by the settings have changed."""

    __slots__ = ("control",)

    def __init__(self, control: list[Address]):
        self.control = control


class DrainRequested:
    """The instance must accept no new work."""

    __slots__ = ()


class ReportDue:
    """The upstream's registration or the suspicions have changed and must be reported at once."""

    __slots__ = ()
