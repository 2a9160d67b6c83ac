# SPDX-License-Identifier: BSD-3-Clause
"""What a daemon holds: the version in force and the one staged behind it.

The holder is the place where "never back" is kept on a proxy: whatever comes
by whatever path, a version number below the one in force changes nothing.
"""

from lanedock.config import ConfigTree, MeshConfig, Version, decode_config
from lanedock.errors import LanedockError
from lanedock.findings import Finding, FindingsError
from lanedock.wire import messages

__all__ = ["Held", "VersionHolder", "record_finding"]


class Held:
    """A complete, checked version.

    Parameters
    ----------
    tree : ConfigTree
    config : MeshConfig
    """

    __slots__ = ("config", "tree")

    def __init__(self, tree: ConfigTree, config: MeshConfig):
        self.tree = tree
        self.config = config

    @property
    def version(self) -> Version:
        """The version's identity."""
        return self.tree.version

    def __repr__(self) -> str:
        return f"<Held {self.version}>"


class VersionHolder:
    """The versions of one daemon. Pure: it neither waits nor sends.

    Attributes
    ----------
    in_force : Held or None
        Requests are bound to this object when they are matched; replacing it
        is one assignment.
    staged : Held or None
    dropped : int
        How many outdated messages changed nothing.
    wants_whole : bool
        Whether the last delta could not be used.
    refused : Version
        The last version that failed its check, for the reasons in `findings`.
    """

    def __init__(self):
        self.in_force: Held | None = None
        self.staged: Held | None = None
        self.dropped = 0
        self.wants_whole = False
        self.refused = Version()
        self.findings: list[messages.FindingRecord] = []
        self._floor: int | None = None

    def __repr__(self) -> str:
        return f"<VersionHolder in_force={self.in_force} staged={self.staged} ready={self.is_ready}>"

    @property
    def in_force_version(self) -> Version:
        """The version in force; number 0 where there is none."""
        return self.in_force.version if self.in_force else Version()

    @property
    def staged_version(self) -> Version:
        """The staged version; number 0 where there is none."""
        return self.staged.version if self.staged else Version()

    @property
    def is_ready(self) -> bool:
        """Whether requests may be served by the version in force.

        A daemon without a past may have served a newer version before it was
        restarted, so it has to hold what a quorum has confirmed.
        """
        return self._floor is not None and self.in_force is not None and self.in_force_version.number >= self._floor

    @property
    def is_floor_confirmed(self) -> bool:
        """Whether a quorum has confirmed the newest version since the start."""
        return self._floor is not None

    def confirm_floor(self, number: int) -> None:
        """Accept the newest accepted version's number, confirmed by a quorum."""
        self._floor = max(number, self._floor or 0)

    def suspend(self) -> None:
        """Serve no more until a quorum has confirmed the newest version again."""
        self._floor = None

    # ------------------------------------------------------------------ inputs

    def stage(self, push: messages.ConfigPush) -> bool:
        """Check and hold a candidate.

        Returns
        -------
        bool
            Whether the daemon's state has changed.
        """
        if push.version <= self.in_force_version.number:
            self.dropped += 1
            return False
        held = self._build(push)
        if held is None:
            return True
        self.staged = held
        return True

    def put_in_force(self, push: messages.ConfigPush) -> bool:
        """Use an accepted version, which comes with its content.

        Returns
        -------
        bool
            Whether the daemon's state has changed.
        """
        if push.version <= self.in_force_version.number:
            self.dropped += 1
            return False
        if self.staged_version == Version(push.version, push.digest):
            return self.activate(push.version, push.digest)
        held = self._build(push)
        if held is not None:
            self._swap(held)
        return True

    def activate(self, number: int, digest: bytes) -> bool:
        """Use the staged version, which is accepted now.

        Returns
        -------
        bool
            Whether the daemon's state has changed. The state shows the
            source whether the content has to be sent.
        """
        if number <= self.in_force_version.number:
            self.dropped += 1
            return False
        if self.staged_version == Version(number, digest):
            self._swap(self.staged)
        return True

    def discard(self, number: int, digest: bytes) -> bool:
        """Let go of a staged version that was aborted."""
        if self.staged_version != Version(number, digest):
            return False
        self.staged = None
        return True

    def _swap(self, held: Held) -> None:
        self.in_force = held
        if self.staged is not None and self.staged.version.number <= held.version.number:
            self.staged = None

    def _build(self, push: messages.ConfigPush) -> Held | None:
        """Verify and check a push; note why it is refused."""
        bases = [held.tree for held in (self.in_force, self.staged) if held]
        try:
            tree = ConfigTree.from_push(push, bases)
        except LanedockError:
            # Not this version's fault: the base is missing or the message is
            # damaged. The source is asked for the whole version.
            self.wants_whole = True
            return None
        self.wants_whole = False
        try:
            return Held(tree, decode_config(tree, self._find_decoded(push)))
        except FindingsError as exc:
            self.findings = [record_finding(finding) for finding in exc.findings]
        self.refused = Version(push.version, push.digest)
        return None

    def _find_decoded(self, push: messages.ConfigPush) -> Held | None:
        """Return what is held of the push's base, or of the version in force."""
        for held in (self.in_force, self.staged):
            if held is not None and held.version.digest == push.base_digest:
                return held
        return self.in_force


def record_finding(finding: Finding) -> messages.FindingRecord:
    """Make the message that carries a finding with its place."""
    place = finding.place
    return messages.FindingRecord(
        code=finding.code.code,
        message=finding.message,
        file=place.file,
        line=place.line,
        column=place.column,
        path=place.path,
    )
