# SPDX-License-Identifier: BSD-3-Clause
"""The newest load probe of one upstream and its newest reply."""

from lanedock.wire import messages

__all__ = ["LoadSample", "ProbePlan"]

# Seconds for which a reply is used. Its upstream gets other callers' requests meanwhile.
_MAX_AGE = 0.02
# Requests that one reply serves. With more of them, the requests of one moment would all be sent to
# the upstream that replied that it was free.
_MAX_USES = 2
# Seconds after which an unanswered probe is no longer waited for by further requests.
_MAX_WAIT = 0.03


class LoadSample:
    """The newest load probe of one upstream and its newest reply. Reads no clock.

    Attributes
    ----------
    number : int or None
        Number of the unanswered probe; None if the newest one was answered.
    probed_at : float
        Monotonic time of the newest probe, in seconds.
    reply : LoadReply or None
    received_at : float
        Monotonic time of the reply, in seconds.
    uses : int
        Requests that wait for the reply to the newest probe or use it.
    sent : int
        Requests that were sent to the upstream and are not included in the reply: those sent
        after the probe.
    sent_since_probe : int
        Requests that were sent to the upstream after the newest probe.
    misses : int
        Consecutive probes that were not answered in time.
    """

    __slots__ = (
        "misses",
        "number",
        "probed_at",
        "received_at",
        "reply",
        "sent",
        "sent_since_probe",
        "uses",
    )

    def __init__(self):
        self.number: int | None = None
        self.probed_at = float("-inf")
        self.reply: messages.LoadReply | None = None
        self.received_at = float("-inf")
        self.uses = 0
        self.sent = 0
        self.sent_since_probe = 0
        self.misses = 0

    def __repr__(self) -> str:
        return f"<LoadSample number={self.number} uses={self.uses} sent={self.sent} misses={self.misses}>"

    def is_usable(self, now: float) -> bool:
        """Return whether an upstream may be chosen by the reply."""
        return self.reply is not None and now - self.received_at <= _MAX_AGE

    def can_serve(self, now: float) -> bool:
        """Return whether another request may rely on the newest probe instead of sending one."""
        if self.uses >= _MAX_USES:
            return False
        return now - self.probed_at <= _MAX_WAIT if self.number is not None else self.is_usable(now)

    def note_probe(self, number: int, now: float) -> None:
        """Record that a probe is sent for one request."""
        self.number = number
        self.probed_at = now
        self.uses = 1
        self.sent_since_probe = 0

    def note_request(self) -> None:
        """Record that a request is sent to the upstream."""
        self.sent += 1
        self.sent_since_probe += 1

    def note_reply(self, reply: messages.LoadReply, now: float) -> None:
        """Record a reply."""
        if reply.number == self.number:
            self.number = None
        self.reply = reply
        self.received_at = now
        self.misses = 0
        self.sent = self.sent_since_probe


class ProbePlan:
    """Load probes that a request needs.

    Parameters
    ----------
    targets : list of UpstreamStats
        Upstreams to probe.
    awaited : list of int
        Numbers of the probes that other requests have sent and whose replies serve this one, too.
    """

    __slots__ = ("awaited", "targets")

    def __init__(self, targets: list, awaited: list[int]):
        self.targets = targets
        self.awaited = awaited

    def __repr__(self) -> str:
        return f"<ProbePlan targets={len(self.targets)} awaited={len(self.awaited)}>"
