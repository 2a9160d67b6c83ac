# SPDX-License-Identifier: BSD-3-Clause
"""In-memory part of the replicated log: a snapshot and the entries after it."""

from lanedock.wire import messages

__all__ = ["LogSnapshot", "RaftLog"]


class LogSnapshot:
    """Applied state that replaces all entries up to an index.

    Parameters
    ----------
    index, term : int
        Index and term of the last entry that the snapshot covers.
    membership : Membership
        Membership as of that entry.
    state : bytes
        Serialized state of the state machine.
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
    """A snapshot and the log entries after it.

    Parameters
    ----------
    snapshot : LogSnapshot
    entries : list of LogEntry
        Entries with consecutive indices from ``snapshot.index + 1``.
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
        """Return the id of a term's leader if the last entry is of that term, else an empty string."""
        if self.entries and self.entries[-1].term == term:
            return self.entries[-1].leader
        return ""

    def term_at(self, index: int) -> int | None:
        """Return an entry's term, or None if the log does not hold the entry."""
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
        """Append an entry; an entry with its index and all later ones are replaced."""
        position = entry.index - self.snapshot.index - 1
        del self.entries[position:]
        self.entries.append(entry)

    def compact(self, snapshot: LogSnapshot) -> None:
        """Drop the entries that a snapshot covers."""
        self.entries = self.between(snapshot.index + 1, self.last_index)
        self.snapshot = snapshot

    def reset(self, snapshot: LogSnapshot) -> None:
        """Replace the whole log with a snapshot."""
        self.snapshot = snapshot
        self.entries = []

    def membership(self) -> messages.Membership:
        """Return the newest membership, committed or not."""
        for entry in reversed(self.entries):
            if entry.HasField("membership"):
                return entry.membership
        return self.snapshot.membership

    def membership_index(self) -> int:
        """Return the index of the entry that set the newest membership, or the snapshot's index."""
        for entry in reversed(self.entries):
            if entry.HasField("membership"):
                return entry.index
        return self.snapshot.index
