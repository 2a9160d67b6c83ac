# SPDX-License-Identifier: BSD-3-Clause
"""Messages to the control task."""

from abc import ABC, abstractmethod

from gevent.queue import Queue

from lanedock.config import ConfigTree
from lanedock.membership import Instance
from lanedock.wire import messages

__all__ = [
    "Call",
    "CanaryRequested",
    "ConfirmedRead",
    "GreenletCall",
    "HistoryRequested",
    "ListRead",
    "QuarantineRequested",
    "ReadRequested",
    "ShowRequested",
    "StatusRequested",
    "SubmitRequested",
]


class Call(ABC):
    """An operator's call that waits for replies.

    Attributes
    ----------
    is_abandoned : bool
        Whether nobody waits any more.
    """

    def __init__(self):
        self.is_abandoned = False

    @abstractmethod
    def reply(self, message: object) -> None:
        """Give a reply, from any greenlet."""

    def finish(self, message: object) -> None:
        """Give the last reply, from any greenlet."""
        self.reply(message)
        self.reply(None)


class GreenletCall(Call):
    """A call that a greenlet of this process waits for."""

    def __init__(self):
        super().__init__()
        self._queue: Queue = Queue()

    def reply(self, message: object) -> None:
        self._queue.put(message)

    def next_reply(self, timeout: float) -> object:
        """Wait for the next reply; None after the last.

        Raises
        ------
        gevent.queue.Empty
            None came within `timeout` seconds.
        """
        return self._queue.get(timeout=timeout)


class ListRead:
    """The platform's list was read."""

    __slots__ = ("instances",)

    def __init__(self, instances: list[Instance]):
        self.instances = instances


class SubmitRequested:
    """An operator submits a checked version."""

    __slots__ = ("call", "request", "tree")

    def __init__(self, call: Call, request: messages.SubmitRequest, tree: ConfigTree):
        self.call = call
        self.request = request
        self.tree = tree


class _Requested:
    __slots__ = ("call", "request")

    def __init__(self, call: Call, request):
        self.call = call
        self.request = request


class StatusRequested(_Requested):
    """An operator asks for the status."""


class HistoryRequested(_Requested):
    """An operator asks for the history."""


class ShowRequested(_Requested):
    """An operator asks for a version's content."""


class QuarantineRequested(_Requested):
    """An operator asks which requests are quarantined, or clears one."""


class CanaryRequested(_Requested):
    """An operator orders something of a canary release, or asks for them; the reply is a `CanaryReply`."""


class ReadRequested:
    """An operator asks for the newest accepted version, confirmed by a quorum.

    The reply is a `ConfirmedRead`.
    """

    __slots__ = ("call",)

    def __init__(self, call: Call):
        self.call = call


class ConfirmedRead:
    """The newest accepted version at a moment after it was asked for.

    Parameters
    ----------
    tree : ConfigTree or None
        None where no version was accepted yet.
    is_confirmed : bool
        False where no quorum could confirm it.
    """

    __slots__ = ("is_confirmed", "tree")

    def __init__(self, tree: ConfigTree | None, is_confirmed: bool):
        self.tree = tree
        self.is_confirmed = is_confirmed
