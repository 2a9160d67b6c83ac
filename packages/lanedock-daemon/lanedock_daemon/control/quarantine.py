# SPDX-License-Identifier: BSD-3-Clause
"""Operators' questions about requests that are quarantined; any control instance can answer them."""

from lanedock.quarantine import Quarantine
from lanedock.wire import messages

__all__ = ["answer_operator"]


def answer_operator(
    request: messages.QuarantineRequest, quarantine: Quarantine, now: float
) -> messages.QuarantineReply:
    """List what is quarantined, after clearing what the operator wants cleared.

    Parameters
    ----------
    request : QuarantineRequest
    quarantine : Quarantine
    now : float
        Monotonic, seconds.
    """
    reply = messages.QuarantineReply()
    suspect = quarantine.find(request.clear)
    reply.cleared = suspect is not None and quarantine.clear(suspect)
    for fingerprint in quarantine.quarantined():
        left_ms = int(1000 * quarantine.time_left(fingerprint, now))
        reply.requests.add(digest=fingerprint.whole, crashes=quarantine.crashes(fingerprint), left_ms=left_ms)
    return reply
