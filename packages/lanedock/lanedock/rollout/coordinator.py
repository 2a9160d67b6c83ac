# SPDX-License-Identifier: BSD-3-Clause
"""Decisions of the leader on the version that is being staged."""

from lanedock.errors import ErrorCode
from lanedock.rollout.fleet import FleetView
from lanedock.rollout.state import MeshState
from lanedock.wire import messages

__all__ = ["RolloutCoordinator", "RolloutPolicy", "RolloutProgress"]


class RolloutPolicy:
    """Durations of a rollout, in seconds.

    Parameters
    ----------
    stage_timeout : float
        Time for all required daemons to stage a version before it is aborted.
    dead_after : float
        Time without a connection after which an instance counts as dead if daemons of its
        zone report that they can't reach it.
    """

    __slots__ = ("dead_after", "stage_timeout")

    def __init__(self, stage_timeout: float = 2.5, dead_after: float = 1.5):
        self.stage_timeout = stage_timeout
        self.dead_after = dead_after

    def __repr__(self) -> str:
        return f"<RolloutPolicy stage_timeout={self.stage_timeout} dead_after={self.dead_after}>"


class RolloutProgress:
    """Progress of a version's rollout.

    Attributes
    ----------
    required, staged, in_force : int
        Number of daemons that the version has to reach, and of those among them that have
        staged it or use it.
    lagging : list of str
        Required daemons that have not staged the version or, once it is accepted, do not use it.
    """

    __slots__ = ("in_force", "lagging", "required", "staged")

    def __init__(self, required: int, staged: int, in_force: int, lagging: list[str]):
        self.required = required
        self.staged = staged
        self.in_force = in_force
        self.lagging = lagging

    def __repr__(self) -> str:
        return f"<RolloutProgress staged={self.staged} in_force={self.in_force} of {self.required}>"


class RolloutCoordinator:
    """Decides when a staged version is accepted or aborted.

    It only proposes commands; their effect is decided when the replicated log applies them.
    A new leader creates a new coordinator, which accepts or aborts the current candidate.

    Parameters
    ----------
    state : MeshState
    fleet : FleetView
    policy : RolloutPolicy
    """

    def __init__(self, state: MeshState, fleet: FleetView, policy: RolloutPolicy):
        self._state = state
        self._fleet = fleet
        self._policy = policy
        self._candidate = 0
        self._staging_started_at = 0.0
        self._decided = False

    def __repr__(self) -> str:
        return f"<RolloutCoordinator candidate={self._candidate} decided={self._decided}>"

    def decide(self, now: float, wall: float) -> messages.Command | None:
        """Return a command to propose, at most once for each candidate unless `retry` is called.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        wall : float
            Wall-clock time, in seconds; recorded for operators only.

        Returns
        -------
        Command or None
            None if there is no candidate, or no new decision on it.
        """
        candidate = self._state.candidate
        if candidate is None:
            self._candidate = 0
            return None
        if candidate.version != self._candidate:
            self._candidate = candidate.version
            self._staging_started_at = now
            self._decided = False
        if self._decided:
            return None
        command = self._choose_command(candidate, now, wall)
        self._decided = command is not None
        return command

    def retry(self) -> None:
        """Allow another decision on the candidate, because the command could not be proposed."""
        self._decided = False

    def _choose_command(self, candidate, now: float, wall: float) -> messages.Command | None:
        connected = self._fleet.daemons()
        refusals = [state for state in connected.values() if _has_refused(state, candidate)]
        if refusals:
            return _make_abort(candidate, ErrorCode.STAGING_REFUSED, _refusal_findings(refusals))
        staged = {name for name, state in connected.items() if _has_staged(state, candidate)}
        required = self._fleet.required(set(candidate.allow_cut_off), now)
        # Without the platform's list of instances, the set of daemons that the version has to reach is unknown.
        if self._fleet.is_list_known and required <= staged:
            command = messages.Command()
            command.accept.version = candidate.version
            command.accept.digest = candidate.digest
            command.accept.accepted_at = wall
            return command
        if now - self._staging_started_at < self._policy.stage_timeout:
            return None
        return _make_abort(candidate, ErrorCode.STAGING_TIMEOUT, self._timeout_findings(required - staged, connected))

    def _timeout_findings(self, unstaged: set[str], connected: dict) -> list[messages.FindingRecord]:
        if not self._fleet.is_list_known:
            code = ErrorCode.PLATFORM_UNREADABLE
            return [messages.FindingRecord(code=code.code, message="the platform's instance list has never been read")]
        findings = []
        for name in sorted(unstaged):
            zone_name = connected[name].zone if name in connected else self._fleet.zone_of(name)
            problem = "has not staged the version in time" if name in connected else "is not connected"
            message = f"daemon {name} in {zone_name or 'an unknown zone'} {problem}"
            findings.append(messages.FindingRecord(code=ErrorCode.STAGING_TIMEOUT.code, message=message))
        return findings

    def progress(self, version: int, exempt_zones: set[str], now: float) -> RolloutProgress:
        """Return the progress of a version's rollout.

        Parameters
        ----------
        version : int
        exempt_zones : set of str
            Availability zones whose unconnected daemons are not required.
        now : float
            Monotonic time, in seconds.
        """
        connected = self._fleet.daemons()
        required = self._fleet.required(exempt_zones, now)
        is_accepted = self._state.accepted_version.number >= version
        in_force = {name for name, state in connected.items() if state.in_force_version >= version}
        staged = {name for name, state in connected.items() if state.staged_version == version} | in_force
        finished = in_force if is_accepted else staged
        return RolloutProgress(
            required=len(required),
            staged=len(required & staged),
            in_force=len(required & in_force),
            lagging=sorted(required - finished),
        )


def _has_staged(state: messages.DaemonState, candidate) -> bool:
    return state.staged_version == candidate.version and state.staged_digest == candidate.digest


def _has_refused(state: messages.DaemonState, candidate) -> bool:
    return state.refused_version == candidate.version and state.refused_digest == candidate.digest


def _make_abort(candidate, code: ErrorCode, findings: list) -> messages.Command:
    command = messages.Command()
    command.abort.version = candidate.version
    command.abort.digest = candidate.digest
    command.abort.reason = code.code
    command.abort.findings.extend(findings)
    return command


def _refusal_findings(refusals: list[messages.DaemonState]) -> list[messages.FindingRecord]:
    findings = []
    for state in sorted(refusals, key=lambda item: item.daemon):
        for finding in state.findings:
            prefixed = messages.FindingRecord()
            prefixed.CopyFrom(finding)
            prefixed.message = f"daemon {state.daemon}: {finding.message}"
            findings.append(prefixed)
    return findings
