# SPDX-License-Identifier: BSD-3-Clause
"""Grants of credits by a control instance, which leads, follows, or grants on its own."""

from enum import Enum, auto

from lanedock.quota.core import Quota, TokenBucket
from lanedock.quota.shares import SMOOTHING_TIME, RecentCount, ZoneShares, least_share
from lanedock.wire import messages

__all__ = ["ALONE_AFTER", "CREDIT_LIFETIME", "SILENT_AFTER", "Grant", "QuotaLedger", "QuotaUsage"]

# Seconds after which a credit ends, counted by its daemon from the request for it. Credits granted in this
# time before a window of 5 s may be used within the window: rate x 0.4, of the allowed excess of rate x 0.5.
CREDIT_LIFETIME = 0.4
# Seconds over which the use of a limit is bounded.
_WINDOW = 5.0
# Fraction of the requests allowed in `_WINDOW` that may be granted ahead within `_MAX_AHEAD_TIME`, in seconds.
# At least `_MAX_AHEAD_TIME / _WINDOW`: with less, credits granted ahead couldn't cover the rate.
_MAX_AHEAD_PART = 0.05
_MAX_AHEAD_TIME = 0.2
# Part of the tokens that may be granted ahead at once, so that one daemon doesn't take the last of them.
_AHEAD_TOKENS_PART = 0.5
# Seconds between two reports. Also sent without grants, so that others notice lost reports.
REPORT_INTERVAL = 0.25
# Seconds after which an instance counts as silent for the leader, from the sending of the leader's last message
# that it answered; and after which it grants on its own, from the receipt of the last message of a leader.
SILENT_AFTER = 0.6
ALONE_AFTER = 0.8
# Seconds for which the leader may rely on what it knows of silent instances.
SILENCE_VALIDITY = ALONE_AFTER - SILENT_AFTER
# Seconds without a report after which an instance takes its knowledge of the use for outdated: on granting on
# its own, and on leading, which begins only after an election.
_MAX_REPORT_AGE, _MAX_REPORT_AGE_OF_LEADER = 1.5, 3.0
# Seconds after which an instance that grants without a leader uses at most an equal share.
_ALONE_TIME = 300.0
# Seconds after which a leader that doesn't know a silent instance's share reserves an equal one. Longer than
# `_ALONE_TIME`, as the leader may have noticed the separation earlier.
_ALONE_TIME_OF_OTHERS = 310.0
# Seconds for which a quota that was removed is still granted from: daemons may serve by the version before.
_REMOVED_QUOTA_TIME = 5.0
# Longest time, in seconds, by which retry times exceed the time at which the next credit is due.
_MAX_RETRY_SPREAD = 1.0
# Shortest retry time, in seconds. Limits the messages of a daemon whose customer stays above its rate.
_MIN_RETRY = 0.02
# Retry time, in seconds, where no credits are granted at the moment.
_NO_GRANT_RETRY = 0.5
# Zone's entry in a report under this customer: the number of the zone's instances that are silent.
_SILENT_MARK = ""


class Grant:
    """Answer to a need.

    Parameters
    ----------
    credits : int
    retry_after : float
        Seconds until a credit is due, if fewer than needed were granted; else 0.
    """

    __slots__ = ("credits", "retry_after")

    def __init__(self, credits: int, retry_after: float = 0.0):
        self.credits = credits
        self.retry_after = retry_after

    def __repr__(self) -> str:
        return f"<Grant credits={self.credits} retry_after={self.retry_after:.3f}>"


class QuotaUsage:
    """Use of a customer's quota, for operators.

    Parameters
    ----------
    by_zone : dict of str to int
        Credits that the leader granted to each zone's daemons over the last `SMOOTHING_TIME`.
    refused : int
        Requests for which no credit was granted, since this instance began to grant.
    """

    __slots__ = ("by_zone", "refused")

    def __init__(self, by_zone: dict[str, int], refused: int):
        self.by_zone = by_zone
        self.refused = refused

    def __repr__(self) -> str:
        return f"<QuotaUsage by_zone={self.by_zone} refused={self.refused}>"

    @property
    def granted_per_s(self) -> float:
        """Credits granted per second, recent mean."""
        return sum(self.by_zone.values()) / SMOOTHING_TIME


class _Mode(Enum):
    """What an instance grants from."""

    FOLLOWING = auto()  # nothing
    LEADING = auto()  # the quotas, less the shares of silent instances
    ALONE = auto()  # its own part of its zone's share


class _Book:
    """A customer's quota, the bucket of the part that this instance grants, and the zones' shares."""

    __slots__ = (
        "added_at",
        "ahead",
        "bucket",
        "granted",
        "part",
        "quota",
        "refused",
        "removed_at",
        "shares",
        "turn_at",
    )

    def __init__(self, quota: Quota, now: float):
        self.quota = quota
        self.bucket = TokenBucket(0.0, 0.0, now)
        self.part = 0.0
        self.granted = RecentCount(CREDIT_LIFETIME)
        self.ahead = RecentCount(_MAX_AHEAD_TIME)
        self.refused = 0
        self.turn_at = now
        self.added_at = now
        self.removed_at: float | None = None
        self.shares = ZoneShares()

    def apply_part(self, part: float, now: float) -> None:
        """Grant this part of the quota from now on."""
        self.part = part
        self.bucket.configure(self.quota.rate * part, self.quota.capacity(part) if part else 0.0, now)

    def begin(self, part: float, now: float) -> None:
        """Begin to grant this part of the quota, with an empty bucket."""
        self.bucket.clear(now)
        self.apply_part(part, now)
        self.granted.clear()
        self.ahead.clear()
        # Credits granted ahead by the former granter still count.
        self.ahead.add(self._max_ahead(), now)
        self.turn_at = now
        self.refused = 0

    def _max_ahead(self) -> int:
        return int(_MAX_AHEAD_PART * self.part * self.quota.admitted(_WINDOW))

    def grant(self, needed: int, ahead: int, now: float) -> Grant:
        """Take tokens for requests that wait, and for further ones as far as they may be granted ahead."""
        available = self.bucket.available(now)
        credits = min(needed, available)
        room = min(int((available - credits) * _AHEAD_TOKENS_PART), self._max_ahead() - self.ahead.total(now))
        credits_ahead = max(0, min(ahead, room))
        self.bucket.take(credits + credits_ahead)
        self.granted.add(credits + credits_ahead, now)
        self.ahead.add(credits_ahead, now)
        if credits == needed:
            return Grant(credits + credits_ahead)
        self.refused += needed - credits
        return Grant(credits, self._next_turn(now))

    def _next_turn(self, now: float) -> float:
        """Return the seconds until the next credit that no daemon has been told of."""
        due_at = now + self.bucket.wait(now)
        turn_at = max(due_at, self.turn_at)
        self.turn_at = min(turn_at + 1 / self.bucket.rate, due_at + _MAX_RETRY_SPREAD)
        return max(_MIN_RETRY, turn_at - now)

    def give_back(self, credits: int, now: float) -> int:
        """Return unused credits to the bucket; return how many of them count.

        Only as many as were granted within `CREDIT_LIFETIME` count. Others come too late: their
        use would be counted in a later time than their grant.
        """
        credits = self.granted.take_back(credits, now)
        self.bucket.put_back(credits, now)
        return credits


class QuotaLedger:
    """Credits that a control instance grants, by customer.

    Does no I/O and reads no clock; times are monotonic, in seconds, by a clock that counts
    suspension.

    All instances that grant at the same time grant from parts of the quota that add up to no more
    than the whole, and whoever begins to grant does so with empty buckets. So at most the burst
    and what the rate adds is granted, whoever grants.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    """

    def __init__(self, zone: str):
        self._zone = zone
        self._mode = _Mode.FOLLOWING
        self._books: dict[str, _Book] = {}
        self._instances: dict[str, int] = {}
        # Silent instances by zone, as the leader knows or reported them, with the time since when.
        self._silent: dict[str, int] = {}
        self._silent_since: dict[str, float] = {}
        # Zones that were silent before this instance knew of their use: their shares aren't known.
        self._unknown_zones: set[str] = set()
        self._silence_checked_at = float("-inf")
        # Time since when this instance grants on its own, and whether it does so for long.
        self._alone_since = float("inf")
        self._is_long_alone = False
        # Time since when this instance knows of all use; None if it doesn't.
        self._known_since: float | None = None
        self._sequence = 0
        self._reported_at = float("-inf")
        self._is_report_urgent = False
        self._uses: dict[tuple[str, str], int] = {}

    def __repr__(self) -> str:
        return f"<QuotaLedger zone={self._zone} {self._mode.name.lower()} customers={len(self._books)}>"

    @property
    def is_granting(self) -> bool:
        """Whether this instance grants credits: it leads, or grants on its own."""
        return self._mode is not _Mode.FOLLOWING

    @property
    def is_alone(self) -> bool:
        """Whether this instance grants on its own."""
        return self._mode is _Mode.ALONE

    # ----------------------------------------------------------- configuration

    def configure(self, quotas: dict[str, Quota], now: float) -> None:
        """Apply the quotas of the accepted version.

        Buckets of new quotas begin empty, so that a quota that is removed and added again is no
        second burst. Quotas that were removed are granted from for 5 s more.

        Parameters
        ----------
        quotas : dict of str to Quota
            Customers with a rate, by name.
        now : float
        """
        for name, quota in quotas.items():
            book = self._books.get(name)
            if book is None:
                book = self._books[name] = _Book(quota, now)
                book.shares.hold(self._silent_since, self._zones())
                book.begin(self._part(book, now), now)
            elif book.quota != quota or book.removed_at is not None:
                book.quota, book.removed_at = quota, None
                book.apply_part(book.part, now)
        for name, book in list(self._books.items()):
            if name not in quotas and book.removed_at is None:
                book.removed_at = now
            self._find(name, now)

    def _find(self, customer: str, now: float) -> _Book | None:
        """Return a customer's book, unless its quota was removed some time ago."""
        book = self._books.get(customer)
        if book is not None and book.removed_at is not None and now >= book.removed_at + _REMOVED_QUOTA_TIME:
            del self._books[customer]
            return None
        return book

    def set_zones(self, instances_by_zone: dict[str, int], now: float) -> None:
        """Set the number of control instances of each zone, by the log's membership."""
        instances = {zone: count for zone, count in instances_by_zone.items() if count > 0}
        if instances != self._instances:
            self._instances = instances
            self._apply_parts(now)

    def set_silent_zones(self, zones: set[str], now: float) -> None:
        """Set the zones all of whose other control instances are silent; see `set_silent_instances`."""
        self.set_silent_instances({zone: self._others(zone) for zone in zones}, now)

    def set_silent_instances(self, silent_by_zone: dict[str, int], now: float) -> None:
        """Set the number of silent control instances of each zone.

        Called by a leader at intervals below `SILENCE_VALIDITY`.

        An instance is silent from `SILENT_AFTER` after the leader sent the last message *that
        the instance answered*. Its own messages are no sign that it hears the leader: where one
        direction of a link is cut off, it would grant on its own while the leader grants its share.
        For the same reason a new leader takes all other instances for silent until they answer it.
        A connection that the instance's host refuses counts as an answer: no instance runs there, and
        one that starts grants nothing on its own for `ALONE_AFTER`.
        """
        self._silence_checked_at = now
        if self._mode is _Mode.LEADING:
            self._set_silent({zone: count for zone, count in silent_by_zone.items() if count > 0}, now, now)
            self._assume_equal_shares(now)

    def _assume_equal_shares(self, now: float) -> None:
        """Reserve no more than equal shares for zones that have been silent for long."""
        aged = {zone for zone in self._unknown_zones if now >= self._silent_since[zone] + _ALONE_TIME_OF_OTHERS}
        if not aged:
            return
        self._unknown_zones -= aged
        for book in self._books.values():
            for zone in aged:
                book.shares.hold_equal(zone, self._zones())
        self._apply_parts(now)

    def _set_silent(self, silent: dict[str, int], as_of: float, now: float) -> None:
        if silent == self._silent:
            return
        if not self._is_known(now):
            self._unknown_zones |= silent.keys() - self._silent.keys()
        self._unknown_zones &= silent.keys()
        self._silent = silent
        self._silent_since = {zone: self._silent_since.get(zone, as_of) for zone in silent}
        self._is_report_urgent = True
        for book in self._books.values():
            book.shares.hold(self._silent_since, self._zones())
        self._apply_parts(now)

    def _zones(self) -> list[str]:
        return sorted(self._instances)

    def _others(self, zone: str) -> int:
        """Return the number of a zone's control instances without this one."""
        return self._instances.get(zone, 0) - (zone == self._zone)

    # ------------------------------------------------------------------- modes

    def lead(self, now: float) -> None:
        """Begin to lead: grant with empty buckets, and take all other instances for silent.

        Called when this instance becomes the leader, and again after each time in which it wasn't.
        """
        if self._mode is _Mode.LEADING:
            return
        if self._known_since is None or now - self._reported_at > _MAX_REPORT_AGE_OF_LEADER:
            self._forget(now)
            self._reported_at = now
        # As a follower, whose knowledge of the use ends with the last report: shares are held as of then.
        self._mode = _Mode.FOLLOWING
        self._set_silent(self._all_others(), self._reported_at, now)
        self._mode = _Mode.LEADING
        self._silence_checked_at = now
        self._begin(now)
        self._uses.clear()
        self._reported_at = now

    def follow(self, now: float) -> None:
        """Grant nothing: called when this instance hears a leader, or leads no more."""
        if self._mode is _Mode.LEADING:
            # Until the next leader reports, what this one granted last is the newest knowledge.
            self._reported_at = now
        self._mode = _Mode.FOLLOWING

    def stand_alone(self, now: float) -> None:
        """Begin to grant from this instance's own part: called `ALONE_AFTER` after it last heard a leader.

        The start of the instance, and the end of its own lease, count as having heard one. Must not
        be called while this instance hears a leader or holds a lease itself.
        """
        if self._mode is _Mode.ALONE:
            return
        if now - self._reported_at > _MAX_REPORT_AGE:
            self._known_since = now
        self._mode = _Mode.ALONE
        self._alone_since, self._is_long_alone = now, False
        self._begin(now)

    def _begin(self, now: float) -> None:
        for book in self._books.values():
            book.begin(self._part(book, now), now)

    def _all_others(self) -> dict[str, int]:
        others = {zone: self._others(zone) for zone in self._instances}
        return {zone: count for zone, count in others.items() if count > 0}

    # ------------------------------------------------------------------- parts

    def _apply_parts(self, now: float) -> None:
        for book in self._books.values():
            part = self._part(book, now)
            if part != book.part:
                book.apply_part(part, now)

    def _part(self, book: _Book, now: float) -> float:
        """Return the part of a customer's quota from which this instance grants."""
        if not self._instances or self._mode is _Mode.FOLLOWING:
            return 0.0
        if self._mode is _Mode.ALONE:
            return self._own_part(book, now)
        return self._leader_part(book)

    def _own_part(self, book: _Book, now: float) -> float:
        instances = self._instances.get(self._zone, 0)
        if not instances:
            return 0.0
        is_known = self._is_known(now) and self._known_until(now) >= book.added_at + SMOOTHING_TIME
        if not is_known or self._unknown_zones:
            return least_share(len(self._instances)) / instances
        share = book.shares.bounds(self._zone, self._known_until(now), self._zones())[0]
        if self._is_long_alone:
            share = min(share, 1 / len(self._instances))
        return share / instances

    def _leader_part(self, book: _Book) -> float:
        if not self._silent:
            return 1.0
        silent = {
            zone: count / self._instances[zone] for zone, count in self._silent.items() if zone in self._instances
        }
        least = least_share(len(self._instances)) * (len(self._instances) - sum(silent.values()))
        if self._unknown_zones:
            return least
        reserved = sum(book.shares.bounds(zone, 0.0, self._zones())[1] * part for zone, part in silent.items())
        return max(least, 1 - reserved)

    # ------------------------------------------------------------------ grants

    def grant(self, customer: str, zone: str, needed: int, ahead: int, now: float) -> Grant:
        """Grant credits to a daemon.

        Parameters
        ----------
        customer : str
        zone : str
            Zone of the daemon.
        needed : int
            Requests that wait for a credit.
        ahead : int
            Further credits that the daemon expects to use soon.
        now : float
        """
        book = self._find(customer, now)
        if book is None or not self.is_granting:
            return Grant(0, _NO_GRANT_RETRY if needed else 0.0)
        if self._mode is _Mode.LEADING and now > self._silence_checked_at + SILENCE_VALIDITY:
            self._set_silent(self._all_others(), now, now)
        if self._mode is _Mode.ALONE and not self._is_long_alone and now >= self._alone_since + _ALONE_TIME:
            self._is_long_alone = True
            self._apply_parts(now)
        if not book.part:
            return Grant(0, _NO_GRANT_RETRY if needed else 0.0)
        grant = book.grant(needed, ahead, now)
        self._note_use(book, customer, zone, grant.credits, now)
        return grant

    def give_back(self, customer: str, zone: str, credits: int, now: float) -> None:
        """Take back unused credits of a daemon."""
        book = self._find(customer, now)
        if book is not None and self.is_granting:
            self._note_use(book, customer, zone, -book.give_back(credits, now), now)

    def _note_use(self, book: _Book, customer: str, zone: str, credits: int, now: float) -> None:
        if credits and self._mode is _Mode.LEADING:
            book.shares.window.add(zone, credits, now)
            self._uses[customer, zone] = self._uses.get((customer, zone), 0) + credits

    def usage(self, customer: str, now: float) -> QuotaUsage | None:
        """Return the recent use of a customer's quota; None if it has none."""
        book = self._find(customer, now)
        return QuotaUsage(book.shares.window.sums(now), book.refused) if book is not None else None

    # ----------------------------------------------------------------- reports

    def is_report_due(self, now: float) -> bool:
        """Return whether a leader has to report, which it does every `REPORT_INTERVAL` and when silence changes."""
        is_due = self._is_report_urgent or now >= self._reported_at + REPORT_INTERVAL
        return self._mode is _Mode.LEADING and is_due

    def make_report(self, now: float) -> messages.QuotaReport:
        """Return the report to all other control instances."""
        self._sequence += 1
        self._reported_at = now
        self._is_report_urgent = False
        uses = [
            messages.QuotaUse(customer=customer, zone=zone, credits=credits)
            for (customer, zone), credits in self._uses.items()
            if credits
        ]
        marks = [messages.QuotaUse(customer=_SILENT_MARK, zone=zone, credits=n) for zone, n in self._silent.items()]
        self._uses.clear()
        return messages.QuotaReport(sequence=self._sequence, uses=marks + uses)

    def apply_report(self, report: messages.QuotaReport, now: float) -> None:
        """Learn from the leader's report what it granted; called in the order of arrival, after `follow`.

        While this instance grants, a report is without effect: it is a former leader's.
        """
        if self.is_granting:
            return
        is_gap = report.sequence != self._sequence + 1 or now - self._reported_at > _MAX_REPORT_AGE_OF_LEADER
        if is_gap or not self._instances:
            self._forget(now)
        self._sequence = report.sequence
        self._reported_at = now
        if not self._instances:
            # Without the membership there are no zones whose shares a report could tell.
            return
        silent = {use.zone: use.credits for use in report.uses if use.customer == _SILENT_MARK}
        self._set_silent(silent, now, now)
        for use in report.uses:
            book = self._books.get(use.customer)
            if book is not None:
                book.shares.window.add(use.zone, use.credits, now)

    def _forget(self, now: float) -> None:
        """Forget all use: some of it isn't known to this instance."""
        self._known_since = now
        self._silent, self._silent_since, self._unknown_zones = {}, {}, set()
        for book in self._books.values():
            book.shares.clear()

    def _is_known(self, now: float) -> bool:
        """Return whether shares follow from all use of the last `SMOOTHING_TIME`."""
        return self._known_since is not None and self._known_until(now) >= self._known_since + SMOOTHING_TIME

    def _known_until(self, now: float) -> float:
        """Return the time until which this instance knows of the use."""
        return now if self._mode is _Mode.LEADING else self._reported_at
