# SPDX-License-Identifier: BSD-3-Clause
"""Requests that are suspected of crashing upstreams, and the quarantine that blocks them.

When an application crashes, its daemon reports the requests that ran on it: one suspicion
for each request and crash. All daemons hold all suspicions. A suspicion is created once and
cleared at most once, when the request is served somewhere, and it stays cleared. Suspicions
can therefore be merged in any order and repeatedly (a two-phase set; Shapiro et al.,
"Conflict-free Replicated Data Types", 2011).

Such a request is known as a "query of death", or in message queues as a poison message,
which is set aside after a number of deliveries.
"""

from collections.abc import Iterable

from lanedock.quarantine.fingerprint import Fingerprint
from lanedock.quarantine.outbox import SuspicionOutbox
from lanedock.wire import messages

__all__ = ["MAX_CRASHES", "MAX_STORED_CRASHES", "SUSPECT_PAUSE", "Quarantine"]

# Crashes during a request after which it is quarantined. An innocent request may be in progress at
# two crashes by chance: its retry and that of the request at fault may reach the same upstream.
# It is hardly ever in progress at three without being served in between.
MAX_CRASHES = 3
# Seconds for which a request is blocked after `MAX_CRASHES` - 1 crashes. The pause is
# harmless to an innocent request, which its caller retries later. If the request causes the
# crashes, the crashed upstreams have restarted and warmed up by then (restart 4 s, warm-up 3 s),
# so all upstreams are available at the last crash. Without this pause one request can crash five
# of six upstreams within 0.5 s.
SUSPECT_PAUSE = 10.0
# Seconds for which a request is quarantined and a suspicion counts. Long, because the trial that
# follows may crash an upstream; a release with a fix is usually deployed by then.
QUARANTINE_TIME = 600.0
# Upper bounds of the suspected requests and of the crashes of each: 0.5 MB at most.
MAX_SUSPECTS = 512
MAX_STORED_CRASHES = 8


class _Suspect:
    """A request and the crashes that it is suspected of, each with whether it was cleared."""

    __slots__ = ("crashes", "expires_at", "fingerprint")

    def __init__(self, fingerprint: Fingerprint, expires_at: float):
        self.fingerprint = fingerprint
        self.crashes: dict[str, bool] = {}
        self.expires_at = expires_at

    def uncleared(self) -> list[str]:
        """Return the crashes that it was not cleared of, in order of arrival."""
        return [crash for crash, is_cleared in self.crashes.items() if not is_cleared]

    def count(self) -> int:
        """Return the number of crashes that it was not cleared of."""
        return len(self.uncleared())

    def is_quarantined(self) -> bool:
        return self.count() >= MAX_CRASHES

    def blocked_until(self) -> float:
        """Return the monotonic time, in seconds, until which the request is blocked."""
        count = self.count()
        if count >= MAX_CRASHES:
            return self.expires_at
        if count == MAX_CRASHES - 1:
            return self.expires_at - QUARANTINE_TIME + SUSPECT_PAUSE
        return float("-inf")

    def make_room(self) -> bool:
        """Remove the first cleared crash if the list is full; return whether there is room for another."""
        if len(self.crashes) < MAX_STORED_CRASHES:
            return True
        cleared = next((crash for crash, is_cleared in self.crashes.items() if is_cleared), None)
        if cleared is None:
            return False
        del self.crashes[cleared]
        return True

    def begin_trial(self) -> None:
        """Drop the first crashes, so that one more crash quarantines the request again."""
        for crash in self.uncleared()[: 1 - MAX_CRASHES]:
            del self.crashes[crash]


class Quarantine:
    """All suspicions that a process knows of.

    Does no I/O and reads no clock; times are monotonic, in seconds.
    """

    def __init__(self):
        self._suspects: dict[bytes, _Suspect] = {}
        # Precomputed at each change, because every request is looked up here.
        self._blocked_until: dict[bytes, float] = {}
        self._heads: frozenset[bytes] = frozenset()
        self._next_expiry = float("inf")
        self._outboxes: list[SuspicionOutbox] = []

    def __repr__(self) -> str:
        return f"<Quarantine suspects={len(self._suspects)} quarantined={len(self.quarantined())}>"

    @property
    def size(self) -> int:
        """Number of suspected requests, including cleared ones."""
        return len(self._suspects)

    def add_outbox(self) -> SuspicionOutbox:
        """Return a new outbox that collects all changes from now on."""
        outbox = SuspicionOutbox()
        self._outboxes.append(outbox)
        return outbox

    # ------------------------------------------------------------------ inputs

    def note_crash(self, crash: str, fingerprints: list[Fingerprint], now: float) -> list[Fingerprint]:
        """Suspect all requests that ran on an application when it crashed.

        Parameters
        ----------
        crash : str
            Identifier of the crash, unique in the mesh.
        fingerprints : list of Fingerprint
        now : float

        Returns
        -------
        list of Fingerprint
            Requests that this crash puts into quarantine.
        """
        newly_quarantined = []
        for fingerprint in fingerprints:
            before = self.count(fingerprint)
            self._add_suspicion(fingerprint, crash, False, now + QUARANTINE_TIME, None)
            if before < MAX_CRASHES <= self.count(fingerprint):
                newly_quarantined.append(fingerprint)
        self._evict_surplus()
        return newly_quarantined

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Clear a request of all crashes so far, because it was served or by an operator's order.

        Returns
        -------
        bool
            Whether the request was suspected.
        """
        suspect = self._suspects.get(fingerprint.whole)
        crashes = suspect.uncleared() if suspect is not None else []
        for crash in crashes:
            self._set_suspicion(suspect, crash, True, None)
        if crashes:
            self._refresh()
        return bool(crashes)

    def merge(self, suspicions: list[messages.Suspicion], now: float, origin: SuspicionOutbox | None = None) -> None:
        """Merge another process's suspicions into this quarantine.

        Parameters
        ----------
        suspicions : list of Suspicion
        now : float
        origin : SuspicionOutbox, optional
            Outbox of the neighbour that sent them; they are not sent back to it.
        """
        if not suspicions:
            return  # the usual case
        for item in suspicions:
            expires_at = now + QUARANTINE_TIME - item.age_ms / 1000
            if expires_at > now:
                self._add_suspicion(Fingerprint(item.head, item.whole), item.crash, item.cleared, expires_at, origin)
        self._evict_surplus()

    def _add_suspicion(
        self, fingerprint: Fingerprint, crash: str, is_cleared: bool, expires_at: float, origin: SuspicionOutbox | None
    ) -> None:
        suspect = self._suspects.get(fingerprint.whole)
        if suspect is None:
            suspect = self._suspects[fingerprint.whole] = _Suspect(fingerprint, expires_at)
        known = suspect.crashes.get(crash)
        if known is None and not suspect.make_room():
            return
        if known is None or (is_cleared and not known):
            suspect.expires_at = max(suspect.expires_at, expires_at)
            self._set_suspicion(suspect, crash, is_cleared, origin)

    def _set_suspicion(self, suspect: _Suspect, crash: str, is_cleared: bool, origin: SuspicionOutbox | None) -> None:
        suspect.crashes[crash] = is_cleared
        for outbox in self._outboxes:
            if outbox is not origin:
                outbox.put(suspect.fingerprint.whole, crash)

    def _evict_surplus(self) -> None:
        """Evict surplus requests: cleared ones first, then by fewest crashes, then the oldest."""
        surplus = len(self._suspects) - MAX_SUSPECTS
        if surplus > 0:
            ranked = sorted(self._suspects.values(), key=lambda item: (item.count(), item.expires_at))
            for suspect in ranked[:surplus]:
                del self._suspects[suspect.fingerprint.whole]
        self._refresh()

    def _refresh(self) -> None:
        """Recompute which requests are blocked."""
        blocked = [item for item in self._suspects.values() if item.count() >= MAX_CRASHES - 1]
        self._blocked_until = {item.fingerprint.whole: item.blocked_until() for item in blocked}
        self._heads = frozenset(item.fingerprint.head for item in blocked)
        self._next_expiry = min((item.expires_at for item in self._suspects.values()), default=float("inf"))

    def expire(self, now: float) -> None:
        """Drop expired suspicions.

        A request whose quarantine expires gets a trial: one more crash quarantines it again.
        """
        if now < self._next_expiry:
            return
        for whole, suspect in list(self._suspects.items()):
            if now < suspect.expires_at:
                continue
            if suspect.is_quarantined():
                suspect.begin_trial()
                suspect.expires_at = now + QUARANTINE_TIME
            else:
                del self._suspects[whole]
        self._refresh()

    # ----------------------------------------------------------------- outputs

    def count(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes that a request is suspected of."""
        return len(self.crashes(fingerprint))

    def time_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Return for how long a request is still blocked, in seconds; 0 if it isn't."""
        return max(0.0, self._blocked_until.get(fingerprint.whole, now) - now)

    def has_head(self, head: bytes) -> bool:
        """Return whether a request with this head may be blocked, depending on its body."""
        return head in self._heads

    def quarantined(self) -> list[Fingerprint]:
        """Return the requests in quarantine, blocked until an operator clears them or the quarantine expires."""
        return [item.fingerprint for item in self._suspects.values() if item.is_quarantined()]

    def find(self, whole: bytes) -> Fingerprint | None:
        """Return the fingerprint of the suspected request with this digest, or None."""
        suspect = self._suspects.get(whole)
        return suspect.fingerprint if suspect is not None else None

    def crashes(self, fingerprint: Fingerprint) -> list[str]:
        """Return the crashes that a request is suspected of."""
        suspect = self._suspects.get(fingerprint.whole)
        return suspect.uncleared() if suspect is not None else []

    def take_changes(self, outbox: SuspicionOutbox, now: float) -> list[messages.Suspicion]:
        """Return the changed suspicions that a neighbour has not been sent yet."""
        changes = []
        for whole, crash in outbox.take():
            suspect = self._suspects.get(whole)
            if suspect is not None and crash in suspect.crashes:
                changes.append(_make_message(suspect, crash, now))
        return changes

    def all_suspicions(self, now: float) -> list[messages.Suspicion]:
        """Return all suspicions, for a neighbour that has just connected."""
        return _make_messages(self._suspects.values(), now)

    def clearances_missing_from(self, suspicions: list[messages.Suspicion], now: float) -> list[messages.Suspicion]:
        """Return the suspicions in a neighbour's list that are cleared here but not there."""
        missed = []
        for item in suspicions:
            suspect = self._suspects.get(item.whole)
            if suspect is not None and suspect.crashes.get(item.crash) and not item.cleared:
                missed.append(_make_message(suspect, item.crash, now))
        return missed

    def blocked_suspicions(self, now: float) -> list[messages.Suspicion]:
        """Return the suspicions of the requests that are blocked now, usually none."""
        blocked = [whole for whole, until in self._blocked_until.items() if until > now]
        return _make_messages([self._suspects[whole] for whole in blocked], now)


def _make_messages(suspects: Iterable[_Suspect], now: float) -> list[messages.Suspicion]:
    return [_make_message(suspect, crash, now) for suspect in suspects for crash in suspect.crashes]


def _make_message(suspect: _Suspect, crash: str, now: float) -> messages.Suspicion:
    age = now + QUARANTINE_TIME - suspect.expires_at
    return messages.Suspicion(
        head=suspect.fingerprint.head,
        whole=suspect.fingerprint.whole,
        crash=crash,
        cleared=suspect.crashes[crash],
        age_ms=max(0, int(1000 * age)),
    )
