# SPDX-License-Identifier: BSD-3-Clause
"""Log replication by a follower: accepting the leader's entries and snapshots."""

from lanedock.consensus.log import LogSnapshot
from lanedock.consensus.state import ReplicaState
from lanedock.wire import messages

__all__ = ["accept_entries", "install_snapshot"]


def accept_entries(state: ReplicaState, message, request) -> None:
    """Append a leader's entries if the log matches before them, and send a reply.

    Raises
    ------
    AssertionError
        An entry conflicts with a committed one.
    """
    reply = state.message(message.sender)
    reply.append_reply.probe = request.probe
    state.ready.messages_after_sync.append(reply)
    previous = request.previous_index
    if previous > state.log.last_index:
        reply.append_reply.match_index = state.log.last_index
        return
    known = state.log.term_at(previous)
    if known is None:
        # The entry precedes the snapshot and is committed here, so the leader continues
        # after the commit index.
        reply.append_reply.match_index = state.commit_index
        return
    if known != request.previous_term:
        reply.append_reply.match_index = max(state.log.snapshot.index, previous - 1)
        return
    for entry in request.entries:
        _accept_entry(state, entry)
    last = previous + len(request.entries)
    state.commit_index = max(state.commit_index, min(request.commit_index, last))
    reply.append_reply.accepted = True
    reply.append_reply.match_index = last


def _accept_entry(state: ReplicaState, entry: messages.LogEntry) -> None:
    if state.log.term_at(entry.index) == entry.term:
        return
    if entry.index <= state.commit_index:
        raise AssertionError(f"entry {entry.index} of term {entry.term} conflicts with a committed entry")
    state.log.append(entry)
    state.persisted = min(state.persisted, entry.index - 1)
    state.ready.entries.append(entry)
    state.membership = state.log.membership()


def install_snapshot(state: ReplicaState, message, request) -> None:
    """Replace the log with a leader's snapshot if that is newer, and send a reply."""
    reply = state.message(message.sender)
    reply.append_reply.accepted = True
    reply.append_reply.probe = request.probe
    if request.last_index > state.commit_index:
        snapshot = LogSnapshot(request.last_index, request.last_term, request.membership, request.state)
        state.log.reset(snapshot)
        state.commit_index = snapshot.index
        state.delivered = snapshot.index
        state.persisted = snapshot.index
        state.membership = snapshot.membership
        # The snapshot supersedes entries that wait to be written.
        state.ready.entries = []
        state.ready.snapshot = snapshot
    reply.append_reply.match_index = state.commit_index
    state.ready.messages_after_sync.append(reply)
