# SPDX-License-Identifier: BSD-3-Clause
"""Tests that an operator receives only the verdict on the operator's own submission.

Guards against a reply of 412, not run, for a submission that nobody has decided on. A leader
is paused while its submission is proposed at an index. The next leader has another operator's
submission at that index, which is refused. When the former leader resumes, it applies that
entry before it abandons its own calls. Matching the verdict with the waiting submission by
the version's record fails, as a refused version has no record.
"""

import pytest

from lanedock.config import Version
from lanedock.rollout import MeshState, SubmitResult
from lanedock.telemetry import NullMetrics
from lanedock.wire import messages
from lanedock_daemon.control.requests import GreenletCall
from lanedock_daemon.control.submissions import Submission, SubmissionQueue

INDEX = 10


def _submit(version: int, digest: bytes, base: int) -> SubmitResult:
    """Apply a submission while version 1 is accepted."""
    state = MeshState()
    first = messages.SubmitCommand(version=1, digest=b"first", direct=True)
    state.apply(messages.Command(submit=first))
    command = messages.SubmitCommand(version=version, digest=digest, has_base=True, base_version=base, direct=True)
    return state.apply(messages.Command(submit=command))


def _answer_to(result: SubmitResult) -> int | None:
    """Apply a result at the index of a submission of version 7 on version 1; returns its answer, if any."""
    call = GreenletCall()
    request = messages.SubmitRequest(version=7, has_base=True, base_version=1)
    queue = SubmissionQueue(NullMetrics())
    queue.add_proposed(Submission(call, request, Version(7, b"own"), 0.0), INDEX)
    queue.handle_applied(INDEX, result)
    return call.next_reply(1).answer if queue.is_empty() else None


@pytest.mark.parametrize(
    ("version", "digest", "base"),
    [(9, b"other", 0), (1, b"other", 0), (7, b"other", 0), (7, b"own", 0)],
)
def test_refusal_of_another_submission_leaves_own_outcome_not_known(version, digest, base):
    assert _answer_to(_submit(version, digest, base)) == messages.ANSWER_NOT_KNOWN


@pytest.mark.parametrize(
    ("version", "digest", "base", "answer"),
    [
        (7, b"own", 1, None),
        (1, b"first", 0, messages.ANSWER_NOT_KNOWN),
        (9, b"other", 1, messages.ANSWER_NOT_KNOWN),
    ],
)
def test_submission_waits_only_for_its_own_version(version, digest, base, answer):
    assert _answer_to(_submit(version, digest, base)) == answer
