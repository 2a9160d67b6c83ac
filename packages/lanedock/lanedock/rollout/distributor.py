# SPDX-License-Identifier: BSD-3-Clause
"""Selection of the next messages for each daemon, shared by control instances and relays.

The distributor compares the state that a daemon reported with the versions that the source
knows, and sends the difference. The next comparison therefore corrects the effect of a lost or
duplicated message.
"""

from lanedock.config import ConfigTree, Version, find_needed_groups
from lanedock.wire import messages

__all__ = ["Distributor", "Subscriber", "VersionSource"]


class VersionSource:
    """Versions that a control instance or a relay can distribute.

    Parameters
    ----------
    accepted, candidate : ConfigTree or None
        Complete trees of the newest accepted version and of the version being staged.
    bases : dict of bytes to ConfigTree
        Complete trees of older versions by digest, as bases of deltas.
    """

    __slots__ = ("accepted", "bases", "candidate")

    def __init__(self, accepted=None, candidate=None, bases=None):
        self.accepted: ConfigTree | None = accepted
        self.candidate: ConfigTree | None = candidate
        self.bases: dict[bytes, ConfigTree] = bases or {}

    def __repr__(self) -> str:
        return f"<VersionSource accepted={self.accepted} candidate={self.candidate}>"


class Subscriber:
    """A daemon that is connected to this source.

    Attributes
    ----------
    state : DaemonState
        State that the daemon reported last.
    sent_stage, sent_in_force, sent_discard : Version
        Version in the last message of each kind, so that the message is not sent twice.
    floor_tokens : list of int
        Tokens of the daemon's pending requests to confirm the newest accepted version.
    """

    __slots__ = ("floor_tokens", "sent_discard", "sent_in_force", "sent_stage", "state")

    def __init__(self, state: messages.DaemonState):
        self.state = state
        self.sent_stage = Version()
        self.sent_in_force = Version()
        self.sent_discard = Version()
        self.floor_tokens: list[int] = []

    def __repr__(self) -> str:
        return f"<Subscriber {self.state.daemon} in_force={self.state.in_force_version}>"


class Distributor:
    """Connected daemons of one source, and the messages that they need.

    Performs no I/O: it returns the messages to send.

    Parameters
    ----------
    whole_files : bool
        Whether to send each version completely to each daemon, as the baseline for benchmarks.
    """

    def __init__(self, whole_files: bool = False):
        self.source = VersionSource()
        self.children: dict[str, Subscriber] = {}
        self._whole_files = whole_files
        self._push_cache: dict[tuple, messages.ControlMessage] = {}
        self._daemon_states: dict[str, messages.DaemonState] = {}
        self._child_by_daemon: dict[str, Subscriber] = {}
        self._changed: set[str] = set()
        self._gone: set[str] = set()
        self._report_sequence = 0

    def __repr__(self) -> str:
        return f"<Distributor children={len(self.children)} {self.source!r}>"

    # ------------------------------------------------------------------ inputs

    def set_versions(self, source: VersionSource) -> None:
        """Replace the versions to distribute."""
        self.source = source
        self._push_cache = {}

    def connect(self, state: messages.DaemonState) -> Subscriber:
        """Add a daemon that has just connected."""
        child = Subscriber(state)
        self.children[state.daemon] = child
        self._record_change(child, state)
        return child

    def update(self, child: Subscriber, state: messages.DaemonState) -> None:
        """Process the state that a daemon reports."""
        if state.want_whole:
            child.sent_stage = child.sent_in_force = Version()
        child.state = state
        self._record_change(child, state)

    def process_relay_report(self, child: Subscriber, report: messages.FleetReport) -> None:
        """Process a relay's report on the daemons downstream of it."""
        if report.whole:
            reported = {state.daemon for state in report.changed}
            for name, owner in list(self._child_by_daemon.items()):
                if owner is child and name not in reported and name != child.state.daemon:
                    self._record_removal(child, name)
        for state in report.changed:
            self._record_change(child, state)
        for name in report.gone:
            self._record_removal(child, name)

    def disconnect(self, child: Subscriber) -> None:
        """Remove a daemon and those downstream of it, except any that have connected again since."""
        name = child.state.daemon
        if self.children.get(name) is child:
            del self.children[name]
        for reported_name, owner in list(self._child_by_daemon.items()):
            if owner is child:
                self._record_removal(child, reported_name)

    def _record_change(self, child: Subscriber, state: messages.DaemonState) -> None:
        name = state.daemon
        self._child_by_daemon[name] = child
        self._daemon_states[name] = state
        self._changed.add(name)
        self._gone.discard(name)

    def _record_removal(self, child: Subscriber, name: str) -> None:
        if self._child_by_daemon.get(name) is not child:
            return
        del self._child_by_daemon[name]
        del self._daemon_states[name]
        self._changed.discard(name)
        self._gone.add(name)

    # ----------------------------------------------------------------- outputs

    def due_messages(self, child: Subscriber) -> list[messages.ControlMessage]:
        """Return the messages to send to a daemon now."""
        accepted = self.source.accepted
        candidate = self.source.candidate
        pending = []
        if accepted is not None and child.state.in_force_version < accepted.number:
            pending += self._due_in_force(child, accepted)
        if candidate is not None:
            if child.sent_stage != candidate.version and not _has_staged_or_refused(child.state, candidate.version):
                child.sent_stage = candidate.version
                pending.append(self._make_stage_message(child, candidate))
        else:
            pending += self._due_discard(child)
        return pending

    def _due_in_force(self, child: Subscriber, accepted: ConfigTree) -> list[messages.ControlMessage]:
        if child.sent_in_force == accepted.version:
            return []
        state = child.state
        is_staged = Version(state.staged_version, state.staged_digest) == accepted.version
        if is_staged:
            message = messages.ControlMessage()
            message.activate.version = accepted.number
            message.activate.digest = accepted.version.digest
        else:
            message = self._make_push_message("in_force", child, accepted)
        child.sent_in_force = accepted.version
        return [message]

    def _due_discard(self, child: Subscriber) -> list[messages.ControlMessage]:
        staged = Version(child.state.staged_version, child.state.staged_digest)
        accepted = self.source.accepted
        is_obsolete = staged.number and (accepted is None or staged != accepted.version)
        if not is_obsolete or child.sent_discard == staged:
            return []
        child.sent_discard = staged
        message = messages.ControlMessage()
        message.discard.version = staged.number
        message.discard.digest = staged.digest
        return [message]

    def _make_stage_message(self, child: Subscriber, candidate: ConfigTree) -> messages.ControlMessage:
        return self._make_push_message("stage", child, candidate)

    def _make_push_message(self, field: str, child: Subscriber, tree: ConfigTree) -> messages.ControlMessage:
        """Return a message with a version, reusing one made for another daemon with the same needs."""
        state = child.state
        wants_all = state.role == messages.ROLE_ENTRY or bool(state.relay_port) or self._whole_files
        base = None
        if not (state.want_whole or self._whole_files):
            base = self._find_base(child)
        service = "" if wants_all else state.service
        key = (field, tree.version, base.version if base else None, wants_all, service)
        message = self._push_cache.get(key)
        if message is None:
            message = messages.ControlMessage()
            needed = find_needed_groups(tree, wants_all, service)
            if base is None:
                push = tree.make_full_push(needed)
            else:
                push = tree.make_delta_push(needed, base, find_needed_groups(base, wants_all, service))
            getattr(message, field).CopyFrom(push)
            self._push_cache[key] = message
        return message

    def _find_base(self, child: Subscriber) -> ConfigTree | None:
        """Return the version that a daemon will hold when the next message arrives, or None if it is not known here.

        This is the last version sent, which arrives first, and not the last one reported.
        With the reported version as the base, a change that is accepted while the previous one
        is in transit refers to a base that the daemon has already replaced, so the daemon
        requests the complete version.
        """
        state = child.state
        digest = state.in_force_digest
        if child.sent_in_force.number > state.in_force_version:
            digest = child.sent_in_force.digest
        accepted = self.source.accepted
        if accepted is not None and accepted.version.digest == digest:
            return accepted
        return self.source.bases.get(digest)

    def known_daemons(self) -> set[str]:
        """Return the ids of the daemons that are connected here or to a downstream relay."""
        return set(self._daemon_states)

    def is_report_due(self) -> bool:
        """Return whether daemon states have changed since the last report."""
        return bool(self._changed or self._gone)

    def make_report(self, whole: bool) -> messages.FleetReport:
        """Return a report of the daemon states that have changed since the last report.

        Parameters
        ----------
        whole : bool
            Whether to include the states of all daemons.
        """
        self._report_sequence += 1
        report = messages.FleetReport(sequence=self._report_sequence, whole=whole)
        names = self._daemon_states if whole else self._changed
        report.changed.extend(self._daemon_states[name] for name in sorted(names))
        if not whole:
            report.gone.extend(sorted(self._gone))
        self._changed = set()
        self._gone = set()
        return report


def _has_staged_or_refused(state: messages.DaemonState, version: Version) -> bool:
    staged = Version(state.staged_version, state.staged_digest)
    refused = Version(state.refused_version, state.refused_digest)
    return version in (staged, refused)
