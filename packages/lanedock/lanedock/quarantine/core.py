# SPDX-License-Identifier: BSD-3-Clause
"""Which requests are suspected of crashing upstreams, and which are kept away from them.

Each upstream's daemon reports what ran on its application when that ended without notice:
one suspicion for each request and crash. All daemons hold all suspicions. A suspicion is
made once and cleared at most once, when the request is served somewhere, and a cleared one
stays cleared, so they may be merged in any order, by any way, more than once (a two-phase
set; Shapiro et al., "Conflict-free Replicated Data Types", 2011).

Known as "query of death" from large services, and as poison messages, which queues set
aside after so many deliveries.
"""

from collections.abc import Iterable

from lanedock.quarantine.fingerprint import Fingerprint
from lanedock.quarantine.outbox import SuspicionOutbox
from lanedock.wire import messages

__all__ = ["MAX_CRASHES", "MAX_CRASHES_KEPT", "SUSPECT_PAUSE", "Quarantine"]

# Upstreams that have to end under a request before it is quarantined. By chance a request
# is beside two crashes, when its retry follows that of the one that causes them; hardly
# ever beside three and is served nowhere in between.
MAX_CRASHES = 3
# Seconds for which a request isn't passed on after the crash before the last. Where nothing
# but chance led to it, its caller retries; where it causes them, the upstreams that have
# ended are back and warm by then (4 and 3 s as deployed) and the mesh is whole for the last.
# One such request that nothing held back ended five of six upstreams within 0.5 s.
SUSPECT_PAUSE = 10.0
# Seconds for which a request is quarantined, and for which a suspicion counts. Each trial
# after it costs an upstream, so they are rare; a release that cures it is out by then.
QUARANTINE_TIME = 600.0
# Requests that are held, and crashes of each: 0.5 MB at the most.
MAX_SUSPECTS = 512
MAX_CRASHES_KEPT = 8


class _Suspect:
    """A request with the crashes that it ran beside; True for those it was cleared of."""

    __slots__ = ("crashes", "expires_at", "fingerprint")

    def __init__(self, fingerprint: Fingerprint, expires_at: float):
        self.fingerprint = fingerprint
        self.crashes: dict[str, bool] = {}
        self.expires_at = expires_at

    def uncleared(self) -> list[str]:
        """Return the crashes that it was not cleared of, the first first."""
        return [crash for crash, is_cleared in self.crashes.items() if not is_cleared]

    def count(self) -> int:
        """Return how many crashes it was not cleared of."""
        return len(self.uncleared())

    def is_quarantined(self) -> bool:
        return self.count() >= MAX_CRASHES

    def held_until(self) -> float:
        """Return until when it isn't passed on."""
        count = self.count()
        if count >= MAX_CRASHES:
            return self.expires_at
        if count == MAX_CRASHES - 1:
            return self.expires_at - QUARANTINE_TIME + SUSPECT_PAUSE
        return float("-inf")

    def make_room(self) -> bool:
        """Make room for a crash: by one that it was cleared of, the first; returns whether there is."""
        if len(self.crashes) < MAX_CRASHES_KEPT:
            return True
        cleared = next((crash for crash, is_cleared in self.crashes.items() if is_cleared), None)
        if cleared is None:
            return False
        del self.crashes[cleared]
        return True

    def begin_trial(self) -> None:
        """Forget the first crashes, so that one more is enough."""
        for crash in self.uncleared()[: 1 - MAX_CRASHES]:
            del self.crashes[crash]


class Quarantine:
    """All suspicions that a process knows of. Pure; times are monotonic, in seconds."""

    def __init__(self):
        self._suspects: dict[bytes, _Suspect] = {}
        # Kept up to date with each change: every request is looked up here.
        self._held_until: dict[bytes, float] = {}
        self._heads: frozenset[bytes] = frozenset()
        self._next_expiry = float("inf")
        self._outboxes: list[SuspicionOutbox] = []

    def __repr__(self) -> str:
        return f"<Quarantine suspects={len(self._suspects)} quarantined={len(self.quarantined())}>"

    @property
    def size(self) -> int:
        """Requests that are held, cleared ones too."""
        return len(self._suspects)

    def add_outbox(self) -> SuspicionOutbox:
        """Return what gathers all news from now on."""
        outbox = SuspicionOutbox()
        self._outboxes.append(outbox)
        return outbox

    # ------------------------------------------------------------------ inputs

    def note_crash(self, crash: str, fingerprints: list[Fingerprint], now: float) -> list[Fingerprint]:
        """Suspect all requests that ran on an application when it ended.

        Parameters
        ----------
        crash : str
            Unique in the mesh.
        fingerprints : list of Fingerprint
        now : float

        Returns
        -------
        list of Fingerprint
            Those that are quarantined from now on.
        """
        fresh = []
        for fingerprint in fingerprints:
            before = self.count(fingerprint)
            self._put(fingerprint, crash, False, now + QUARANTINE_TIME, None)
            if before < MAX_CRASHES <= self.count(fingerprint):
                fresh.append(fingerprint)
        self._make_room()
        return fresh

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Clear a request of all crashes so far: it was served, or an operator has decided so.

        Returns
        -------
        bool
            Whether it was suspected.
        """
        suspect = self._suspects.get(fingerprint.whole)
        crashes = suspect.uncleared() if suspect is not None else []
        for crash in crashes:
            self._set(suspect, crash, True, None)
        if crashes:
            self._refresh()
        return bool(crashes)

    def merge(self, suspicions: list[messages.Suspicion], now: float, origin: SuspicionOutbox | None = None) -> None:
        """Take over another process's suspicions.

        Parameters
        ----------
        suspicions : list of Suspicion
        now : float
        origin : SuspicionOutbox, optional
            Of the neighbour that has sent them, which needs them no more.
        """
        if not suspicions:
            return  # as with nearly all reports
        for item in suspicions:
            expires_at = now + QUARANTINE_TIME - item.age_ms / 1000
            if expires_at > now:
                self._put(Fingerprint(item.head, item.whole), item.crash, item.cleared, expires_at, origin)
        self._make_room()

    def _put(
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
            self._set(suspect, crash, is_cleared, origin)

    def _set(self, suspect: _Suspect, crash: str, is_cleared: bool, origin: SuspicionOutbox | None) -> None:
        suspect.crashes[crash] = is_cleared
        for outbox in self._outboxes:
            if outbox is not origin:
                outbox.put(suspect.fingerprint.whole, crash)

    def _make_room(self) -> None:
        """Let go of what matters least: the cleared, then the fewest crashes, then the oldest."""
        surplus = len(self._suspects) - MAX_SUSPECTS
        if surplus > 0:
            ranked = sorted(self._suspects.values(), key=lambda item: (item.count(), item.expires_at))
            for suspect in ranked[:surplus]:
                del self._suspects[suspect.fingerprint.whole]
        self._refresh()

    def _refresh(self) -> None:
        """Find out anew which requests are held back."""
        held = [item for item in self._suspects.values() if item.count() >= MAX_CRASHES - 1]
        self._held_until = {item.fingerprint.whole: item.held_until() for item in held}
        self._heads = frozenset(item.fingerprint.head for item in held)
        self._next_expiry = min((item.expires_at for item in self._suspects.values()), default=float("inf"))

    def expire(self, now: float) -> None:
        """Let go of old suspicions; what was quarantined may be tried, and one more crash is enough."""
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
        """Return how many crashes a request is suspected of."""
        return len(self.crashes(fingerprint))

    def time_left(self, fingerprint: Fingerprint, now: float) -> float:
        """Return for how long a request may not be passed on, in seconds; 0 where it may."""
        return max(0.0, self._held_until.get(fingerprint.whole, now) - now)

    def has_head(self, head: bytes) -> bool:
        """Tell whether a request with this head may be one that isn't passed on: its body will show."""
        return head in self._heads

    def quarantined(self) -> list[Fingerprint]:
        """Return the requests that are kept away until an operator clears them or their time is over."""
        return [item.fingerprint for item in self._suspects.values() if item.is_quarantined()]

    def find(self, whole: bytes) -> Fingerprint | None:
        """Return the fingerprint of a suspected request by its digest."""
        suspect = self._suspects.get(whole)
        return suspect.fingerprint if suspect is not None else None

    def crashes(self, fingerprint: Fingerprint) -> list[str]:
        """Return the crashes that a request is suspected of."""
        suspect = self._suspects.get(fingerprint.whole)
        return suspect.uncleared() if suspect is not None else []

    def take_news(self, outbox: SuspicionOutbox, now: float) -> list[messages.Suspicion]:
        """Return what a neighbour has not been sent yet."""
        news = []
        for whole, crash in outbox.take():
            suspect = self._suspects.get(whole)
            if suspect is not None and crash in suspect.crashes:
                news.append(_make_message(suspect, crash, now))
        return news

    def whole_news(self, now: float) -> list[messages.Suspicion]:
        """Return all suspicions, for a neighbour that has just connected."""
        return _make_messages(self._suspects.values(), now)

    def missed_by(self, suspicions: list[messages.Suspicion], now: float) -> list[messages.Suspicion]:
        """Return which of a neighbour's suspicions were cleared here, as it has to learn."""
        missed = []
        for item in suspicions:
            suspect = self._suspects.get(item.whole)
            if suspect is not None and suspect.crashes.get(item.crash) and not item.cleared:
                missed.append(_make_message(suspect, item.crash, now))
        return missed

    def held_news(self, now: float) -> list[messages.Suspicion]:
        """Return the suspicions of requests that are not passed on now; hardly ever any."""
        held = [whole for whole, until in self._held_until.items() if until > now]
        return _make_messages([self._suspects[whole] for whole in held], now)


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
