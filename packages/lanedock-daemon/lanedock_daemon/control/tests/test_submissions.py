# SPDX-License-Identifier: BSD-3-Clause
"""Tests that an operator is answered by the verdict on the own order only.

An operator was answered 412, not run, for an order on which nobody had decided.

Order of events: a leader was paused with the order proposed at an index. Its successor
had an entry of its own at that index: another operator's order, which was refused. As
the former leader went on, it applied that entry before it gave up its operators' calls.

Cause: a verdict was compared with the order that waits by the version's record, and
there is none of a version that was refused.
"""

import pytest

from lanedock.config import Version
from lanedock.rollout import MeshState, SubmitResult
from lanedock.telemetry import NullMetrics
from lanedock.wire import messages
from lanedock_daemon.control.requests import GreenletCall
from lanedock_daemon.control.submissions import Submission, SubmissionQueue

INDEX = 10


def _apply(version: int, digest: bytes, base: int) -> SubmitResult:
    """Apply an order where version 1 is the accepted one."""
    state = MeshState()
    first = messages.SubmitCommand(version=1, digest=b"first", direct=True)
    state.apply(messages.Command(submit=first))
    command = messages.SubmitCommand(version=version, digest=digest, has_base=True, base_version=base, direct=True)
    return state.apply(messages.Command(submit=command))


def _settle(result: SubmitResult) -> int | None:
    """Settle the order of version 7 on version 1; returns the answer, or None where it waits on."""
    call = GreenletCall()
    request = messages.SubmitRequest(version=7, has_base=True, base_version=1)
    queue = SubmissionQueue(NullMetrics())
    queue.wait_for_entry(Submission(call, request, Version(7, b"own"), 0.0), INDEX)
    queue.settle(INDEX, result)
    return call.next_reply(1).answer if queue.is_empty() else None


@pytest.mark.parametrize(
    ("version", "digest", "base"),
    [(9, b"other", 0), (1, b"other", 0), (7, b"other", 0), (7, b"own", 0)],
)
def test_a_refusal_of_another_order_does_not_answer_the_own(version, digest, base):
    assert _settle(_apply(version, digest, base)) == messages.ANSWER_NOT_KNOWN


@pytest.mark.parametrize(
    ("version", "digest", "base", "answer"),
    [
        (7, b"own", 1, None),
        (1, b"first", 0, messages.ANSWER_NOT_KNOWN),
        (9, b"other", 1, messages.ANSWER_NOT_KNOWN),
    ],
)
def test_only_the_own_version_is_waited_for(version, digest, base, answer):
    assert _settle(_apply(version, digest, base)) == answer
