# SPDX-License-Identifier: BSD-3-Clause
"""Messages to the control task, and the operators' calls that wait for replies to them."""

from abc import ABC, abstractmethod

from gevent.queue import Queue

from lanedock.config import ConfigTree
from lanedock.errors import ErrorCode
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
    """An operator's call that waits for one or more replies.

    Attributes
    ----------
    is_abandoned : bool
        Whether the caller no longer waits for replies.
    """

    def __init__(self):
        self.is_abandoned = False

    @abstractmethod
    def reply(self, message: object) -> None:
        """Send a reply; may be called from any greenlet."""

    def finish(self, message: object) -> None:
        """Send the last reply, followed by None; may be called from any greenlet."""
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
            No reply arrived within `timeout` seconds.
        """
        return self._queue.get(timeout=timeout)


class ListRead:
    """Reports the instances of a platform's list that was just read."""

    __slots__ = ("instances",)

    def __init__(self, instances: list[Instance]):
        self.instances = instances


class SubmitRequested:
    """An operator submits a version that passed the checks."""

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
    """An operator requests the status of the mesh."""


class HistoryRequested(_Requested):
    """An operator requests the history of versions."""


class ShowRequested(_Requested):
    """An operator requests the content of a version."""


class QuarantineRequested(_Requested):
    """An operator lists the quarantined requests, or clears one of them."""


class CanaryRequested(_Requested):
    """An operator lists canary releases, or starts, promotes or aborts one; the reply is a `CanaryReply`."""


class ReadRequested:
    """An operator requests the newest accepted version, confirmed by a quorum.

    The reply is a `ConfirmedRead`.
    """

    __slots__ = ("call",)

    def __init__(self, call: Call):
        self.call = call


class ConfirmedRead:
    """The newest accepted version at some moment after it was requested.

    Parameters
    ----------
    tree : ConfigTree or None
        None where no version was accepted yet, or none is confirmed.
    is_confirmed : bool
        False where no quorum confirmed the read in time.
    code : ErrorCode
        Why the read is not confirmed.
    """

    __slots__ = ("code", "is_confirmed", "tree")

    def __init__(self, tree: ConfigTree | None, is_confirmed: bool, code: ErrorCode = ErrorCode.NO_LEADER):
        self.tree = tree
        self.is_confirmed = is_confirmed
        self.code = code
