# SPDX-License-Identifier: BSD-3-Clause
"""How a follower makes its log that of the leader."""

from lanedock.consensus.log import LogSnapshot
from lanedock.consensus.state import ReplicaState
from lanedock.wire import messages

__all__ = ["accept_entries", "install_snapshot"]


def accept_entries(state: ReplicaState, message, request) -> None:
    """Append a leader's entries where they follow on the own log, and answer.

    Raises
    ------
    AssertionError
        An entry would replace a committed one.
    """
    reply = state.message(message.sender)
    reply.append_reply.probe = request.probe
    state.ready.late.append(reply)
    previous = request.previous_index
    if previous > state.log.last_index:
        reply.append_reply.match_index = state.log.last_index
        return
    known = state.log.term_at(previous)
    if known is None:
        # Before the snapshot, so committed here: start behind it.
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
        raise AssertionError(f"committed entry {entry.index} would be replaced")
    state.log.append(entry)
    state.persisted = min(state.persisted, entry.index - 1)
    state.ready.entries.append(entry)
    state.membership = state.log.membership()


def install_snapshot(state: ReplicaState, message, request) -> None:
    """Replace the log by a leader's snapshot where it is newer, and answer."""
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
        # Entries gathered before are overtaken by the snapshot.
        state.ready.entries = []
        state.ready.snapshot = snapshot
    reply.append_reply.match_index = state.commit_index
    state.ready.late.append(reply)
