# SPDX-License-Identifier: BSD-3-Clause
"""Which message each daemon gets next: the core of every source of versions.

A control instance and a relay run the same core. It compares what a daemon
reported of itself with what the source knows, and sends the difference, so a lost
or doubled message is mended by the next comparison.
"""

from lanedock.config import ConfigTree, Version, needed_groups
from lanedock.wire import messages

__all__ = ["Child", "Distributor", "VersionSource"]


class VersionSource:
    """What a source knows of the versions.

    Parameters
    ----------
    accepted, candidate : ConfigTree or None
        Whole trees.
    bases : dict of bytes to ConfigTree
        Older whole trees by digest, as bases of deltas.
    """

    __slots__ = ("accepted", "bases", "candidate")

    def __init__(self, accepted=None, candidate=None, bases=None):
        self.accepted: ConfigTree | None = accepted
        self.candidate: ConfigTree | None = candidate
        self.bases: dict[bytes, ConfigTree] = bases or {}

    def __repr__(self) -> str:
        return f"<VersionSource accepted={self.accepted} candidate={self.candidate}>"


class Child:
    """A daemon that subscribes to this source.

    Attributes
    ----------
    state : DaemonState
        As it reported last.
    sent_stage, sent_in_force, sent_discard : Version
        What was sent last, so that it isn't sent twice.
    floor_tokens : list of int
        Confirmations of the newest version that it waits for.
    """

    __slots__ = ("floor_tokens", "sent_discard", "sent_in_force", "sent_stage", "state")

    def __init__(self, state: messages.DaemonState):
        self.state = state
        self.sent_stage = Version()
        self.sent_in_force = Version()
        self.sent_discard = Version()
        self.floor_tokens: list[int] = []

    def __repr__(self) -> str:
        return f"<Child {self.state.daemon} in_force={self.state.in_force_version}>"


class Distributor:
    """The daemons of one source. Pure: it returns what there is to send.

    Parameters
    ----------
    whole_files : bool
        Send every version whole to everybody: the baseline of the benches.
    """

    def __init__(self, whole_files: bool = False):
        self.source = VersionSource()
        self.children: dict[str, Child] = {}
        self._whole_files = whole_files
        self._cache: dict[tuple, messages.ControlMessage] = {}
        self._known: dict[str, messages.DaemonState] = {}
        self._owners: dict[str, Child] = {}
        self._changed: set[str] = set()
        self._gone: set[str] = set()
        self._report_sequence = 0

    def __repr__(self) -> str:
        return f"<Distributor children={len(self.children)} {self.source!r}>"

    # ------------------------------------------------------------------ inputs

    def set_source(self, source: VersionSource) -> None:
        """Replace what the source knows."""
        self.source = source
        self._cache = {}

    def connect(self, state: messages.DaemonState) -> Child:
        """Accept a daemon that has just connected."""
        child = Child(state)
        self.children[state.daemon] = child
        self._note_changed(child, state)
        return child

    def update(self, child: Child, state: messages.DaemonState) -> None:
        """Accept what a daemon reports of itself."""
        if state.want_whole:
            child.sent_stage = child.sent_in_force = Version()
        child.state = state
        self._note_changed(child, state)

    def take_relayed(self, child: Child, report: messages.FleetReport) -> None:
        """Accept what a relay reports of the daemons downstream of it."""
        if report.whole:
            reported = {state.daemon for state in report.changed}
            for name, owner in list(self._owners.items()):
                if owner is child and name not in reported and name != child.state.daemon:
                    self._note_gone(child, name)
        for state in report.changed:
            self._note_changed(child, state)
        for name in report.gone:
            self._note_gone(child, name)

    def disconnect(self, child: Child) -> None:
        """Forget a daemon and those downstream of it, unless they have connected again meanwhile."""
        name = child.state.daemon
        if self.children.get(name) is child:
            del self.children[name]
        for other, owner in list(self._owners.items()):
            if owner is child:
                self._note_gone(child, other)

    def _note_changed(self, child: Child, state: messages.DaemonState) -> None:
        name = state.daemon
        self._owners[name] = child
        self._known[name] = state
        self._changed.add(name)
        self._gone.discard(name)

    def _note_gone(self, child: Child, name: str) -> None:
        if self._owners.get(name) is not child:
            return
        del self._owners[name]
        del self._known[name]
        self._changed.discard(name)
        self._gone.add(name)

    # ----------------------------------------------------------------- outputs

    def due(self, child: Child) -> list[messages.ControlMessage]:
        """Return what a daemon has to be sent now."""
        accepted = self.source.accepted
        candidate = self.source.candidate
        out = []
        if accepted is not None and child.state.in_force_version < accepted.number:
            out += self._due_in_force(child, accepted)
        if candidate is not None:
            if child.sent_stage != candidate.version and not _has_judged(child.state, candidate.version):
                child.sent_stage = candidate.version
                out.append(self._stage(child, candidate))
        else:
            out += self._due_discard(child)
        return out

    def _due_in_force(self, child: Child, accepted: ConfigTree) -> list[messages.ControlMessage]:
        if child.sent_in_force == accepted.version:
            return []
        state = child.state
        is_staged = Version(state.staged_version, state.staged_digest) == accepted.version
        if is_staged:
            message = messages.ControlMessage()
            message.activate.version = accepted.number
            message.activate.digest = accepted.version.digest
        else:
            message = self._push("in_force", child, accepted)
        child.sent_in_force = accepted.version
        return [message]

    def _due_discard(self, child: Child) -> list[messages.ControlMessage]:
        staged = Version(child.state.staged_version, child.state.staged_digest)
        accepted = self.source.accepted
        is_void = staged.number and (accepted is None or staged != accepted.version)
        if not is_void or child.sent_discard == staged:
            return []
        child.sent_discard = staged
        message = messages.ControlMessage()
        message.discard.version = staged.number
        message.discard.digest = staged.digest
        return [message]

    def _stage(self, child: Child, candidate: ConfigTree) -> messages.ControlMessage:
        return self._push("stage", child, candidate)

    def _push(self, field: str, child: Child, tree: ConfigTree) -> messages.ControlMessage:
        """Make a push, or reuse one made for another daemon with the same needs."""
        state = child.state
        wants_all = state.role == messages.ROLE_ENTRY or bool(state.relay_port) or self._whole_files
        base = None
        if not (state.want_whole or self._whole_files):
            base = self._find_base(child)
        service = "" if wants_all else state.service
        key = (field, tree.version, base.version if base else None, wants_all, service)
        message = self._cache.get(key)
        if message is None:
            message = messages.ControlMessage()
            needed = needed_groups(tree, wants_all, service)
            if base is None:
                push = tree.whole_push(needed)
            else:
                push = tree.delta_push(needed, base, needed_groups(base, wants_all, service))
            getattr(message, field).CopyFrom(push)
            self._cache[key] = message
        return message

    def _find_base(self, child: Child) -> ConfigTree | None:
        """Return the version that a daemon will hold when the next message comes, if it is known here.

        That is the last one sent, which comes before, and not the last one reported: a
        change that was accepted while the one before was on its way came with a base that
        the daemon held no more, and it asked for the whole version.
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
        """Return the daemons connected here or to a relay downstream."""
        return set(self._known)

    def is_report_due(self) -> bool:
        """Tell whether daemons have changed since the last report."""
        return bool(self._changed or self._gone)

    def take_report(self, whole: bool) -> messages.FleetReport:
        """Return what has changed since the last report, or everything."""
        self._report_sequence += 1
        report = messages.FleetReport(sequence=self._report_sequence, whole=whole)
        names = self._known if whole else self._changed
        report.changed.extend(self._known[name] for name in sorted(names))
        if not whole:
            report.gone.extend(sorted(self._gone))
        self._changed = set()
        self._gone = set()
        return report


def _has_judged(state: messages.DaemonState, version: Version) -> bool:
    staged = Version(state.staged_version, state.staged_digest)
    refused = Version(state.refused_version, state.refused_digest)
    return version in (staged, refused)
