# SPDX-License-Identifier: BSD-3-Clause
"""Exchange of registered endpoints and suspected requests between control instances."""

from lanedock.consensus.core import replica_name
from lanedock.membership import EndpointRegistry
from lanedock.quarantine import Quarantine
from lanedock.wire import messages

__all__ = ["EndpointExchange"]

# Minimum interval between two reports, in seconds, in which changes are batched.
REPORT_INTERVAL = 0.02
# Maximum interval between two reports, in seconds: without changes an empty report is sent, whose
# number shows the receivers whether an earlier report was lost.
KEEPALIVE_INTERVAL = 1.0


class EndpointExchange:
    """Sends and receives reports of endpoints and suspicions.

    Parameters
    ----------
    registry : EndpointRegistry
    zone : str
        Zone of this control instance.
    silence_timeout : float
        Seconds of silence after which a control instance's reports are discarded.
    quarantine : Quarantine
        Its suspicions are sent with the reports, whose numbers reveal a lost one.

    Attributes
    ----------
    zones : dict of str to str
        Known zones of control instances, by instance name.
    """

    def __init__(self, registry: EndpointRegistry, zone: str, silence_timeout: float, quarantine: Quarantine):
        self._quarantine = quarantine
        self._suspicion_outbox = quarantine.add_outbox()
        self.zones: dict[str, str] = {}
        self._registry = registry
        self._zone = zone
        self._silence_timeout = silence_timeout
        self._heard_at: dict[str, float] = {}
        self._sessions: dict[str, object] = {}
        self._next_report_at = 0.0
        self._next_keepalive_at = 0.0

    def __repr__(self) -> str:
        return f"<EndpointExchange daemons={len(self._sessions)} replicas={len(self._heard_at)}>"

    # ----------------------------------------------------------------- daemons

    def register(self, session, message: messages.DaemonMessage, now: float) -> None:
        """Apply a daemon's report about itself and the daemons that it relays for."""
        states = list(message.fleet_report.changed)
        if message.HasField("state"):
            states.append(message.state)
        for state in states:
            self._sessions[state.daemon] = session
            if state.HasField("endpoint"):
                self._registry.register(state.endpoint, now)
        for name in message.fleet_report.gone:
            self._unregister(session, name, now)

    def leave(self, session, now: float) -> None:
        """Unregister the endpoints reported over a stream that has ended."""
        for name, owner in list(self._sessions.items()):
            if owner is session:
                self._unregister(session, name, now)

    def _unregister(self, session, name: str, now: float) -> None:
        if self._sessions.get(name) is session:
            del self._sessions[name]
            self._registry.unregister(name, now)

    # ---------------------------------------------------------------- replicas

    def receive(self, message: messages.PeerMessage, now: float) -> list[messages.PeerMessage]:
        """Handle another control instance's message; returns the messages to send back."""
        sender = replica_name(message.sender)
        if message.HasField("endpoint_request"):
            reply = messages.PeerMessage(sender=message.receiver, receiver=message.sender)
            reply.endpoint_report.CopyFrom(self._registry.whole_report())
            reply.endpoint_report.suspicions.extend(self._quarantine.all_suspicions(now))
            reply.endpoint_report.zone = self._zone
            return [reply]
        report = message.endpoint_report
        self._heard_at[sender] = now
        # The quarantine forwards new suspicions to all other control instances, as two of them may
        # not reach each other. Forwarding ends once no receiver finds a suspicion new.
        self._quarantine.merge(report.suspicions, now)
        if report.zone:
            self.zones[sender] = report.zone
        if self._registry.process_report(sender, report, now):
            return []
        request = messages.PeerMessage(sender=message.receiver, receiver=message.sender)
        request.endpoint_request.SetInParent()
        return [request]

    def take_due(self, replicas: list[str], me: str, now: float) -> list[messages.PeerMessage]:
        """Return the reports to send to the other control instances now.

        Parameters
        ----------
        replicas : list of str
            Ids of the other control instances.
        me : str
            Id of this control instance.
        now : float
            Monotonic, seconds.
        """
        self.zones[replica_name(me)] = self._zone
        is_due = self._registry.is_report_due() or bool(self._suspicion_outbox) or now >= self._next_keepalive_at
        if now < self._next_report_at or not is_due:
            return []
        self._next_report_at = now + REPORT_INTERVAL
        self._next_keepalive_at = now + KEEPALIVE_INTERVAL
        report = self._registry.make_report()
        report.suspicions.extend(self._quarantine.take_changes(self._suspicion_outbox, now))
        report.zone = self._zone
        reports = []
        for replica in replicas:
            message = messages.PeerMessage(sender=me, receiver=replica)
            message.endpoint_report.CopyFrom(report)
            reports.append(message)
        return reports

    def expire(self, now: float) -> None:
        """Drop the reports of silent control instances and the endpoints of lost daemons."""
        for replica, heard_at in list(self._heard_at.items()):
            if now - heard_at > self._silence_timeout:
                del self._heard_at[replica]
                self._registry.forget_control_instance(replica, now)
        self._registry.expire(now)
