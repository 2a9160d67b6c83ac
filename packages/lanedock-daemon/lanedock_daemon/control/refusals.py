# SPDX-License-Identifier: BSD-3-Clause
"""Refusals of operators' requests by a control instance whose disk refuses writes."""

from lanedock.errors import ErrorCode
from lanedock.wire import messages
from lanedock_daemon.control.requests import (
    CanaryRequested,
    ConfirmedRead,
    HistoryRequested,
    ReadRequested,
    ShowRequested,
    StatusRequested,
    SubmitRequested,
)

__all__ = ["LOG_REQUESTS", "REFUSED_REQUESTS", "make_empty_reply", "make_submit_refusal", "refuse"]

# Requests that need a leader and therefore a disk that can be written.
REFUSED_REQUESTS = (SubmitRequested, ReadRequested, CanaryRequested)
# Requests that need the log at least as it was last known.
LOG_REQUESTS = (*REFUSED_REQUESTS, StatusRequested, HistoryRequested, ShowRequested)


def make_submit_refusal(request: messages.SubmitRequest, code: ErrorCode, detail: str = "") -> messages.SubmitReply:
    """Return the reply to a submission that this instance does not pass on."""
    return messages.SubmitReply(
        answer=messages.ANSWER_NOT_KNOWN,
        code=code.code,
        message=detail or code.meaning,
        version=request.version,
    )


def make_empty_reply(item, code: ErrorCode, leader_address: str = ""):
    """Return the reply to a query that this instance does not answer."""
    kinds = {HistoryRequested: messages.HistoryReply, ShowRequested: messages.ShowReply}
    kind = kinds.get(type(item), messages.StatusReply)
    return kind(code=code.code, leader_address=leader_address)


def refuse(item, error: str) -> None:
    """Refuse an operator's request at once, so that the operator tries another instance.

    Parameters
    ----------
    item : SubmitRequested, ReadRequested, CanaryRequested, StatusRequested, HistoryRequested or ShowRequested
    error : str
        The error of the disk.
    """
    code = ErrorCode.DISK_FAILED
    if isinstance(item, SubmitRequested):
        item.call.finish(make_submit_refusal(item.request, code, error))
    elif isinstance(item, ReadRequested):
        item.call.finish(ConfirmedRead(None, False, code))
    elif isinstance(item, CanaryRequested):
        item.call.finish(messages.CanaryReply(code=code.code, message=error))
    elif isinstance(item, (StatusRequested, HistoryRequested, ShowRequested)):
        item.call.reply(make_empty_reply(item, code))
    else:
        raise TypeError(f"not a request of an operator: {item!r}")
