# SPDX-License-Identifier: BSD-3-Clause
"""Messages to the task of a control instance that grants credits."""

from lanedock.config import ConfigTree
from lanedock.wire import messages

__all__ = ["CustomersRequested", "QuotaReportArrived", "VersionAccepted"]


class VersionAccepted:
    """Another version is the accepted one.

    Parameters
    ----------
    tree : ConfigTree or None
        None before any version is accepted.
    """

    __slots__ = ("tree",)

    def __init__(self, tree: ConfigTree | None):
        self.tree = tree


class QuotaReportArrived:
    """Another control instance, which leads or has led, reports the credits that it granted."""

    __slots__ = ("message",)

    def __init__(self, message: messages.PeerMessage):
        self.message = message


class CustomersRequested:
    """An operator lists the customers; the reply is a `CustomersReply`.

    Parameters
    ----------
    call : Call
    request : CustomersRequest
    """

    __slots__ = ("call", "request")

    def __init__(self, call, request: messages.CustomersRequest):
        self.call = call
        self.request = request
