# SPDX-License-Identifier: BSD-3-Clause
"""Messages to the control task."""

import asyncio

from lanedock.config import ConfigTree
from lanedock.kernel import LoopService
from lanedock.membership import Instance
from lanedock.wire import messages

__all__ = ["Call", "HistoryAsked", "ListRead", "PeerTold", "ShowAsked", "StatusAsked", "SubmitAsked"]


class Call:
    """An operator's call that waits for replies.

    Parameters
    ----------
    loop : LoopService
    """

    def __init__(self, loop: LoopService):
        self._loop = loop
        self._queue: asyncio.Queue = asyncio.Queue()
        self.is_abandoned = False

    def reply(self, message: object) -> None:
        """Give a reply, from any greenlet."""
        self._loop.call(self._queue.put_nowait, message)

    def finish(self, message: object) -> None:
        """Give the last reply, from any greenlet."""
        self.reply(message)
        self.reply(None)

    async def next_reply(self) -> object:
        """Wait for the next reply, inside the loop; None after the last."""
        return await self._queue.get()


class PeerTold:
    """Another replica sent a message."""

    __slots__ = ("message",)

    def __init__(self, message: messages.PeerMessage):
        self.message = message


class ListRead:
    """The platform's list was read."""

    __slots__ = ("instances",)

    def __init__(self, instances: list[Instance]):
        self.instances = instances


class SubmitAsked:
    """An operator submits a checked version."""

    __slots__ = ("call", "request", "tree")

    def __init__(self, call: Call, request: messages.SubmitRequest, tree: ConfigTree):
        self.call = call
        self.request = request
        self.tree = tree


class _Asked:
    __slots__ = ("call", "request")

    def __init__(self, call: Call, request):
        self.call = call
        self.request = request


class StatusAsked(_Asked):
    """An operator asks for the status."""


class HistoryAsked(_Asked):
    """An operator asks for the history."""


class ShowAsked(_Asked):
    """An operator asks for a version's content."""
