# SPDX-License-Identifier: BSD-3-Clause
"""What control instances report to each other of the endpoints registered with them, and of suspected requests."""

from lanedock.consensus.core import replica_name
from lanedock.membership import EndpointRegistry
from lanedock.quarantine import Quarantine
from lanedock.wire import messages

__all__ = ["EndpointExchange"]

# Changes are gathered for this long, in seconds, before they are reported.
REPORT_INTERVAL = 0.02
# A report, empty if need be, at least this often: by its number the others see
# that one before it was lost.
KEEPALIVE_INTERVAL = 1.0


class EndpointExchange:
    """Reports to and from the other control instances.

    Parameters
    ----------
    registry : EndpointRegistry
    zone : str
        Of this control instance.
    silent_after : float
        Seconds after which a silent control instance's reports count no more.
    quarantine : Quarantine
        Its news go with the reports, whose numbers show that one was lost.

    Attributes
    ----------
    zones : dict of str to str
        Zone by control instance, as far as it is known.
    """

    def __init__(self, registry: EndpointRegistry, zone: str, silent_after: float, quarantine: Quarantine):
        self._quarantine = quarantine
        self._suspicions = quarantine.add_outbox()
        self.zones: dict[str, str] = {}
        self._registry = registry
        self._zone = zone
        self._silent_after = silent_after
        self._heard_at: dict[str, float] = {}
        self._sessions: dict[str, object] = {}
        self._report_at = 0.0
        self._keepalive_at = 0.0

    def __repr__(self) -> str:
        return f"<EndpointExchange daemons={len(self._sessions)} replicas={len(self._heard_at)}>"

    # ----------------------------------------------------------------- daemons

    def register(self, session, message: messages.DaemonMessage, now: float) -> None:
        """Accept what a connected daemon reports of itself and of those downstream."""
        states = list(message.fleet_report.changed)
        if message.HasField("state"):
            states.append(message.state)
        for state in states:
            self._sessions[state.daemon] = session
            if state.HasField("endpoint"):
                self._registry.register(state.endpoint, now)
        for name in message.fleet_report.gone:
            self._drop(session, name, now)

    def leave(self, session, now: float) -> None:
        """Note that a daemon's stream has ended."""
        for name, owner in list(self._sessions.items()):
            if owner is session:
                self._drop(session, name, now)

    def _drop(self, session, name: str, now: float) -> None:
        if self._sessions.get(name) is session:
            del self._sessions[name]
            self._registry.unregister(name, now)

    # ---------------------------------------------------------------- replicas

    def take(self, message: messages.PeerMessage, now: float) -> list[messages.PeerMessage]:
        """Accept another control instance's message; returns what to send it."""
        sender = replica_name(message.sender)
        if message.HasField("endpoint_request"):
            reply = messages.PeerMessage(sender=message.receiver, receiver=message.sender)
            reply.endpoint_report.CopyFrom(self._registry.whole_report())
            reply.endpoint_report.suspicions.extend(self._quarantine.whole_news(now))
            reply.endpoint_report.zone = self._zone
            return [reply]
        report = message.endpoint_report
        self._heard_at[sender] = now
        # What is new here goes to all others, too: two of them may not reach each other. It ends
        # as soon as nobody learns anything from it.
        self._quarantine.merge(report.suspicions, now)
        if report.zone:
            self.zones[sender] = report.zone
        if self._registry.take_report(sender, report, now):
            return []
        request = messages.PeerMessage(sender=message.receiver, receiver=message.sender)
        request.endpoint_request.SetInParent()
        return [request]

    def due(self, replicas: list[str], me: str, now: float) -> list[messages.PeerMessage]:
        """Return the reports that the other control instances are to be sent now.

        Parameters
        ----------
        replicas : list of str
            Ids of the others.
        me : str
            This one's id.
        now : float
            Monotonic, seconds.
        """
        self.zones[replica_name(me)] = self._zone
        is_due = self._registry.is_report_due() or bool(self._suspicions) or now >= self._keepalive_at
        if now < self._report_at or not is_due:
            return []
        self._report_at = now + REPORT_INTERVAL
        self._keepalive_at = now + KEEPALIVE_INTERVAL
        report = self._registry.make_report()
        report.suspicions.extend(self._quarantine.take_news(self._suspicions, now))
        report.zone = self._zone
        out = []
        for replica in replicas:
            message = messages.PeerMessage(sender=me, receiver=replica)
            message.endpoint_report.CopyFrom(report)
            out.append(message)
        return out

    def expire(self, now: float) -> None:
        """Let go of what silent control instances and lost daemons have reported."""
        for replica, heard_at in list(self._heard_at.items()):
            if now - heard_at > self._silent_after:
                del self._heard_at[replica]
                self._registry.forget_source(replica, now)
        self._registry.expire(now)
