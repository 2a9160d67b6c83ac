# SPDX-License-Identifier: BSD-3-Clause
"""The part of the replicated log that is held in memory."""

from lanedock.wire import messages

__all__ = ["LogSnapshot", "RaftLog"]


class LogSnapshot:
    """The applied state that stands for all entries up to an index.

    Parameters
    ----------
    index, term : int
        Of the last entry that it stands for.
    membership : Membership
        As of that entry.
    state : bytes
        The state machine's own serialization.
    """

    __slots__ = ("index", "membership", "state", "term")

    def __init__(self, index: int, term: int, membership: messages.Membership, state: bytes):
        self.index = index
        self.term = term
        self.membership = membership
        self.state = state

    def __repr__(self) -> str:
        return f"<LogSnapshot index={self.index} term={self.term} bytes={len(self.state)}>"


class RaftLog:
    """Entries behind a snapshot, by index.

    Parameters
    ----------
    snapshot : LogSnapshot
    entries : list of LogEntry
        With consecutive indices from ``snapshot.index + 1``.
    """

    __slots__ = ("entries", "snapshot")

    def __init__(self, snapshot: LogSnapshot, entries: list[messages.LogEntry]):
        self.snapshot = snapshot
        self.entries = entries

    def __repr__(self) -> str:
        return f"<RaftLog {self.snapshot.index + 1}..{self.last_index}>"

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def leader_of(self, term: int) -> str:
        """Return who leads a term, by its newest entry; empty where there is none of it."""
        if self.entries and self.entries[-1].term == term:
            return self.entries[-1].leader
        return ""

    def term_at(self, index: int) -> int | None:
        """Return an entry's term, or None where the entry is not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def between(self, first: int, last: int) -> list[messages.LogEntry]:
        """Return the entries from `first` to `last`, both included."""
        start = first - self.snapshot.index - 1
        return self.entries[max(start, 0) : max(last - self.snapshot.index, 0)]

    def append(self, entry: messages.LogEntry) -> None:
        """Append an entry; it replaces one of its index and all behind."""
        position = entry.index - self.snapshot.index - 1
        del self.entries[position:]
        self.entries.append(entry)

    def compact(self, snapshot: LogSnapshot) -> None:
        """Drop the entries that a snapshot stands for."""
        self.entries = self.between(snapshot.index + 1, self.last_index)
        self.snapshot = snapshot

    def reset(self, snapshot: LogSnapshot) -> None:
        """Replace everything by a snapshot."""
        self.snapshot = snapshot
        self.entries = []

    def membership(self) -> messages.Membership:
        """Return the newest membership, committed or not."""
        for entry in reversed(self.entries):
            if entry.HasField("membership"):
                return entry.membership
        return self.snapshot.membership

    def membership_index(self) -> int:
        """Return the index of the entry that set the membership."""
        for entry in reversed(self.entries):
            if entry.HasField("membership"):
                return entry.index
        return self.snapshot.index
