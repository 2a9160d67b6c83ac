# SPDX-License-Identifier: BSD-3-Clause
"""The task of a control instance that grants credits for the requests of customers with a quota."""

from collections.abc import Callable
from enum import Enum

from lanedock.clock import monotonic
from lanedock.config import Customer
from lanedock.consensus.core import replica_name
from lanedock.errors import ErrorCode
from lanedock.kernel import TaskService
from lanedock.quota import ALONE_AFTER, Quota, QuotaLedger
from lanedock.telemetry import Event, EventLogger
from lanedock.wire import messages
from lanedock_daemon.quota.customers import CustomerReader
from lanedock_daemon.quota.peers import count_instances, count_silent_instances
from lanedock_daemon.quota.pressure import QuotaPressure
from lanedock_daemon.quota.requests import CustomersRequested, QuotaReportArrived, VersionAccepted
from lanedock_daemon.quota.usage import QuotaUsage
from lanedock_daemon.transport import CreditsRequested, PeerLinks

__all__ = ["QuotaService"]

# Seconds between two checks of the role, the peers and the report while a customer has a quota.
TICK = 0.05
# Seconds without a tick above which this process was paused. That it has heard no leader meanwhile
# says nothing, so the time without a leader counts from the end of the pause.
PAUSE_LIMIT = 0.5
# Shortest and longest retry time, in seconds. A refusal is stated by a time of at least one millisecond;
# a time for rates far below one request a day would not fit the message.
MIN_RETRY_AFTER, MAX_RETRY_AFTER = 0.001, 86_400.0


class _Role(Enum):
    """What this instance may grant."""

    FOLLOWER = "follower"  # nothing
    LEADER = "leader"  # from the whole quotas
    ALONE = "alone"  # from the share of its zone


class QuotaService(TaskService):
    """Grants credits, as leader or alone, and reports them to the other control instances.

    Parameters
    ----------
    zone : str
        Of this control instance.
    events : EventLogger
    """

    name = "quotas"

    def __init__(self, zone: str, events: EventLogger):
        # No ticks until a customer has a quota.
        super().__init__(None)
        self._zone = zone
        self._events = events
        self._ledger = QuotaLedger(zone)
        self._usage = QuotaUsage()
        self._pressure = QuotaPressure(events)
        self._reader = CustomerReader()
        self._customers: dict[str, Customer] = {}
        self._limited: dict[str, Quota] = {}
        self._role = _Role.FOLLOWER
        self._ran_at = self._refreshed_at = float("-inf")
        self._resumed_at = float("-inf")
        self._handlers = {
            CreditsRequested: self._on_credits,
            QuotaReportArrived: self._on_report,
            VersionAccepted: self._on_version,
            CustomersRequested: self._on_customers,
        }

    def attach(
        self,
        log,
        links: PeerLinks,
        zones: Callable[[], dict[str, str]],
        leader_address: Callable[[], str],
    ) -> None:
        """Set the parts of the control task that this one uses, before it starts.

        Parameters
        ----------
        log : ReplicatedLog
        links : PeerLinks
        zones : callable
            Returns the known zones of control instances, by instance name.
        leader_address : callable
            Returns the leader's address; empty if there is none.
        """
        self._log = log
        self._links = links
        self._zones = zones
        self._leader_address = leader_address

    @property
    def is_active(self) -> bool:
        """Whether a customer of the accepted version has a quota."""
        return bool(self._limited)

    def on_messages(self, batch: list[object]) -> None:
        for item in batch:
            self._handlers[type(item)](item)
        if self.is_active:
            self._report(monotonic())

    def on_tick(self) -> None:
        now = monotonic()
        self._refresh_role(now)
        self._refresh_zones(now)
        self._report(now)
        self._pressure.expire(now)

    # -------------------------------------------------------------------- state

    def _on_version(self, item: VersionAccepted) -> None:
        """Apply the quotas of the accepted version."""
        now = monotonic()
        customers = self._reader.read(item.tree)
        if customers is self._customers:
            return
        self._customers = customers
        self._limited = {
            name: Quota(customer.rate, customer.burst) for name, customer in self._customers.items() if customer.rate
        }
        self._usage.keep(self._limited)
        self._ledger.configure(self._limited, now)
        self._tick = TICK if self._limited else None
        if not self._limited:
            # Without ticks, changes of the leader would go unnoticed until there is a quota again.
            self._set_role(_Role.FOLLOWER, now)

    def _refresh_role(self, now: float) -> bool:
        """Update the role; return whether credits may be granted."""
        if now - self._ran_at > PAUSE_LIMIT:
            self._resumed_at = now
        self._ran_at = now
        if self._log.is_suspended:
            role = _Role.FOLLOWER
        elif self._log.is_current_leader:
            role = _Role.LEADER
        elif min(self._log.replica.leader_silence(now), now - self._resumed_at) >= ALONE_AFTER:
            role = _Role.ALONE
        else:
            role = _Role.FOLLOWER
        self._set_role(role, now)
        return role is not _Role.FOLLOWER

    def _set_role(self, role: _Role, now: float) -> None:
        former, self._role = self._role, role
        if role is former:
            return
        if _Role.ALONE in (role, former):
            self._events.emit(Event.QUOTA_ALONE if role is _Role.ALONE else Event.QUOTA_LED)
        self._pressure.clear()
        # Between two roles, as the ledger begins each with empty buckets.
        self._ledger.follow(now)
        self._refresh_zones(now)
        if role is _Role.FOLLOWER:
            return
        self._usage.reset()
        if role is _Role.LEADER:
            self._ledger.lead(now)
            self._refresh_zones(now)
        else:
            self._ledger.stand_alone(now)

    def _refresh_zones(self, now: float) -> None:
        """Tell the ledger which control instances there are, and which of them are silent."""
        self._refreshed_at = now
        replica, replicas, zones = self._log.replica, self._replicas(), self._zones()
        self._ledger.set_zones(count_instances(replicas, replica.me, self._zone, zones), now)

        def unreached_time(other: str) -> float:
            # Where connections are refused, no process runs that could grant.
            return min(replica.unreached_time(other, now), now - self._links.refused_at(replica_name(other)))

        self._ledger.set_silent_instances(count_silent_instances(replicas, replica.me, zones, unreached_time), now)

    def _replicas(self) -> list[str]:
        membership = self._log.replica.membership
        return [*membership.voters, *membership.learners]

    # ------------------------------------------------------------------- grants

    def _on_credits(self, item: CreditsRequested) -> None:
        now = monotonic()
        request = item.request
        may_grant = self._refresh_role(now)
        if may_grant and now - self._refreshed_at >= TICK:
            # A tick is late. On old information, the ledger would take all other instances for silent.
            self._refresh_zones(now)
        reply = messages.CreditReply(number=request.number)
        if self._role is _Role.LEADER or (not may_grant and self._log.replica.leader != self._log.replica.me):
            # Not a leader whose lease has ended: daemons would go on asking it.
            reply.leader_address = self._leader_address()
        if not may_grant:
            reply.code = ErrorCode.NOT_LEADER.code
        else:
            reply.grants.extend(self._grant(need, request.zone, now) for need in request.needs)
        item.session.send(reply)

    def _grant(self, need: messages.CreditNeed, zone: str, now: float) -> messages.CreditGrant:
        """Grant credits for one customer.

        A customer without a quota gets what it needs: the version of the daemon still has the quota.
        """
        customer = need.customer
        quota = self._limited.get(customer)
        if quota is None and customer in self._customers:
            return messages.CreditGrant(customer=customer, credits=need.needed)
        if need.returned:
            self._ledger.give_back(customer, zone, need.returned, now)
        granted = self._ledger.grant(customer, zone, need.needed, need.ahead, now)
        refused = max(0, need.needed - granted.credits)
        retry_after = min(max(granted.retry_after, MIN_RETRY_AFTER), MAX_RETRY_AFTER) if refused else 0.0
        if quota is not None:
            self._usage.note(customer, zone, granted.credits - need.returned, refused, now)
            if refused:
                self._pressure.note_refused(customer, retry_after, now, rate=quota.rate, burst=quota.burst)
        return messages.CreditGrant(
            customer=customer, credits=granted.credits, retry_after_ms=round(1000 * retry_after)
        )

    # ------------------------------------------------------------------ reports

    def _report(self, now: float) -> None:
        """Send the other control instances a report when one is due, as leader."""
        if self._role is not _Role.LEADER or not self._ledger.is_report_due(now):
            return
        report = self._ledger.make_report(now)
        replica = self._log.replica
        batch = []
        for receiver in self._replicas():
            if receiver != replica.me:
                message = messages.PeerMessage(sender=replica.me, receiver=receiver, term=replica.term)
                message.quota_report.CopyFrom(report)
                batch.append(message)
        self._links.send(batch)

    def _on_report(self, item: QuotaReportArrived) -> None:
        """Apply the report of the leader; that of a former leader shows up as a gap."""
        now = monotonic()
        if item.message.sender == self._log.replica.leader:
            self._refresh_role(now)
            self._ledger.apply_report(item.message.quota_report, now)

    # ---------------------------------------------------------------- operators

    def _on_customers(self, item: CustomersRequested) -> None:
        """Reply with the customers and the credits that this instance granted."""
        now = monotonic()
        may_grant = self._refresh_role(now)
        reply = messages.CustomersReply()
        if self._role is _Role.ALONE or not (may_grant or self._leader_address()):
            reply.code = ErrorCode.NO_LEADER.code
        elif not may_grant:
            reply.code = ErrorCode.NOT_LEADER.code
            reply.leader_address = self._leader_address()
            item.call.reply(reply)
            return
        for name in sorted(self._customers):
            customer = self._customers[name]
            use = reply.customers.add(
                customer=name, priority=customer.priority, rate=customer.rate, burst=customer.burst
            )
            self._usage.fill(use, now)
        item.call.reply(reply)
