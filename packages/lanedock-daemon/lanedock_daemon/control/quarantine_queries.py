# SPDX-License-Identifier: BSD-3-Clause
"""Operators' queries about quarantined requests, which any control instance can answer."""

from lanedock.quarantine import Quarantine
from lanedock.wire import messages
from lanedock_daemon.control.requests import QuarantineRequested

__all__ = ["answer_operator"]


def answer_operator(item: QuarantineRequested, quarantine: Quarantine, now: float) -> None:
    """Clear the request that the operator names, if any, and reply with all quarantined requests.

    Parameters
    ----------
    item : QuarantineRequested
    quarantine : Quarantine
    now : float
        Monotonic, seconds.
    """
    reply = messages.QuarantineReply()
    suspect = quarantine.find(item.request.clear)
    reply.cleared = suspect is not None and quarantine.clear(suspect)
    for fingerprint in quarantine.quarantined():
        left_ms = int(1000 * quarantine.time_left(fingerprint, now))
        reply.requests.add(digest=fingerprint.whole, crashes=quarantine.crashes(fingerprint), left_ms=left_ms)
    item.call.reply(reply)
