# SPDX-License-Identifier: BSD-3-Clause
"""The versions that a daemon holds: the one in force and the one staged after it.

The holder guarantees that a daemon never returns to an older version: a message with a version
number that is not above the one in force changes nothing, whichever source sent it.
"""

from lanedock.config import ConfigTree, MeshConfig, Version, decode_config
from lanedock.errors import LanedockError
from lanedock.findings import Finding, FindingsError
from lanedock.wire import messages

__all__ = ["HeldVersion", "VersionHolder", "make_finding_record"]


class HeldVersion:
    """A complete version that has passed its checks.

    Parameters
    ----------
    tree : ConfigTree
    config : MeshConfig
        Configuration decoded from the tree.
    """

    __slots__ = ("config", "tree")

    def __init__(self, tree: ConfigTree, config: MeshConfig):
        self.tree = tree
        self.config = config

    @property
    def version(self) -> Version:
        """Number and digest of the version."""
        return self.tree.version

    def __repr__(self) -> str:
        return f"<HeldVersion {self.version}>"


class VersionHolder:
    """The versions of one daemon. Performs no I/O and does not block.

    Attributes
    ----------
    in_force : HeldVersion or None
        Version in force. A request keeps using the object that was in force when it was
        matched; a new version replaces the object in a single assignment.
    staged : HeldVersion or None
        Version that waits for its acceptance.
    dropped : int
        Number of outdated messages that were ignored.
    wants_whole : bool
        Whether the daemon needs a push with the complete content instead of a difference, because
        the last push could not be used.
    refused : Version
        Last version that failed its checks.
    findings : list of FindingRecord
        Reasons for the refusal.
    """

    def __init__(self):
        self.in_force: HeldVersion | None = None
        self.staged: HeldVersion | None = None
        self.dropped = 0
        self.wants_whole = False
        self.refused = Version()
        self.findings: list[messages.FindingRecord] = []
        self._confirmed_floor: int | None = None

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
        """Whether the version in force may be used for requests.

        A restarted daemon may have used a newer version before the restart, so it first needs
        at least the version that a quorum has confirmed as the newest accepted one.
        """
        return (
            self._confirmed_floor is not None
            and self.in_force is not None
            and self.in_force_version.number >= self._confirmed_floor
        )

    @property
    def is_floor_confirmed(self) -> bool:
        """Whether a quorum has confirmed the newest version since the start or the last `suspend`."""
        return self._confirmed_floor is not None

    def confirm_floor(self, number: int) -> None:
        """Set the lowest usable version number: the newest accepted version, confirmed by a quorum."""
        self._confirmed_floor = max(number, self._confirmed_floor or 0)

    def suspend(self) -> None:
        """Stop serving requests until a quorum has confirmed the newest version again."""
        self._confirmed_floor = None

    # ------------------------------------------------------------------ inputs

    def stage(self, push: messages.ConfigPush) -> bool:
        """Check a candidate and keep it as the staged version.

        Returns
        -------
        bool
            Whether the daemon's state has changed.
        """
        if push.version <= self.in_force_version.number:
            self.dropped += 1
            return False
        held = self._check_push(push)
        if held is None:
            return True
        self.staged = held
        return True

    def put_in_force(self, push: messages.ConfigPush) -> bool:
        """Put an accepted version in force; the push contains its content, in case it is not staged.

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
        held = self._check_push(push)
        if held is not None:
            self._replace_in_force(held)
        return True

    def activate(self, number: int, digest: bytes) -> bool:
        """Put an accepted version in force if it is staged; its content is not sent again.

        Returns
        -------
        bool
            Whether the daemon has to report its state, which shows the source whether it
            still has to send the content.
        """
        if number <= self.in_force_version.number:
            self.dropped += 1
            return False
        if self.staged_version == Version(number, digest):
            self._replace_in_force(self.staged)
        return True

    def discard(self, number: int, digest: bytes) -> bool:
        """Remove a staged version that was aborted; return whether it was staged."""
        if self.staged_version != Version(number, digest):
            return False
        self.staged = None
        return True

    def _replace_in_force(self, held: HeldVersion) -> None:
        self.in_force = held
        if self.staged is not None and self.staged.version.number <= held.version.number:
            self.staged = None

    def _check_push(self, push: messages.ConfigPush) -> HeldVersion | None:
        """Verify and decode a push; record the findings if it is refused."""
        bases = [held.tree for held in (self.in_force, self.staged) if held]
        try:
            tree = ConfigTree.from_push(push, bases)
        except LanedockError:
            # The base is missing or the message is corrupt, so the version itself is not
            # refused. The daemon requests the complete version from its source instead.
            self.wants_whole = True
            return None
        self.wants_whole = False
        try:
            return HeldVersion(tree, decode_config(tree, self._find_reusable(push)))
        except FindingsError as exc:
            self.findings = [make_finding_record(finding) for finding in exc.findings]
        self.refused = Version(push.version, push.digest)
        return None

    def _find_reusable(self, push: messages.ConfigPush) -> HeldVersion | None:
        """Return the held version whose decoded configuration can be reused: the push's base, or the one in force."""
        for held in (self.in_force, self.staged):
            if held is not None and held.version.digest == push.base_digest:
                return held
        return self.in_force


def make_finding_record(finding: Finding) -> messages.FindingRecord:
    """Convert a finding and its location to a message; nothing is recorded."""
    place = finding.place
    return messages.FindingRecord(
        code=finding.code.code,
        message=finding.message,
        file=place.file,
        line=place.line,
        column=place.column,
        path=place.path,
    )
