# SPDX-License-Identifier: BSD-3-Clause
"""Tests of requests that two upstreams work on at once.

They guard against a failure at one upstream that cancels the work of the other one and becomes the caller's
answer, although the other upstream would have answered with success.
"""

import gevent
import pytest
from gevent.event import Event

from lanedock.errors import ErrorCode
from lanedock.telemetry import configure_logging
from lanedock_daemon.path.caller.hedging import choose_result
from lanedock_daemon.path.caller.request_context import AttemptResult
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.tests.chain import wait_until

SUCCESS = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
FAILURE = b"HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n"
# Seconds between the answers of two upstreams.
ANSWER_GAP = 0.05


class _TwoRuns:
    """Script of two applications: the runs of one request end in a given order.

    Parameters
    ----------
    answers : list of bytes
        Answers of the first and the second run.
    ends_first : int
        Number of the run that ends first, once both have begun: 0 or 1.

    Attributes
    ----------
    cut : list of int
        Numbers of the runs whose connections were closed before their answers.
    """

    def __init__(self, answers: list[bytes], ends_first: int):
        self.cut: list[int] = []
        self._answers = answers
        self._ends_first = ends_first
        self._begun = 0
        self._has_both = Event()
        self._has_ended = Event()

    def __call__(self, conn, head: str, body: bytes) -> bytes | None:
        number, self._begun = self._begun, self._begun + 1
        if self._begun == 2:
            self._has_both.set()
        closed = gevent.spawn(conn.recv, 1)
        gevent.wait([closed, self._has_both if number == self._ends_first else self._has_ended], count=1)
        if number != self._ends_first:
            closed.join(ANSWER_GAP)
        if closed.ready():
            self.cut.append(number)
            return None
        closed.kill()
        self._has_ended.set()
        return self._answers[number]


@pytest.mark.parametrize("failing", [0, 1])
def test_failure_of_one_upstream_does_not_cancel_the_other_upstreams_work(make_chain, failing):
    script = _TwoRuns([FAILURE, SUCCESS] if failing == 0 else [SUCCESS, FAILURE], failing)
    chain = make_chain(script, script)
    assert chain.request("GET")[0] == 200
    assert script.cut == []
    assert chain.runs() == 2


def test_request_that_fails_at_both_upstreams_gets_the_failure(make_chain):
    script = _TwoRuns([FAILURE, FAILURE], 1)
    chain = make_chain(script, script)
    assert chain.request("GET")[0] == 500
    wait_until(lambda: not any(upstream.limiter.in_use for upstream in chain.upstreams))


def test_attempt_that_is_cancelled_for_the_other_ones_answer_is_logged(make_chain, capfd):
    writer = configure_logging("info")
    script = _TwoRuns([FAILURE, SUCCESS], 1)
    chain = make_chain(script, script)
    chain.entry.side._requests._sample = 1
    assert chain.request("GET", headers="x-request-id: r1\r\n")[0] == 200
    writer.flush()
    assert '"outcome": "abandoned"' in capfd.readouterr().out


def _result(status: int = 200, is_final: bool = True, may_have_run: bool = False) -> AttemptResult:
    return AttemptResult(Answer(status, "", [], []), is_final, may_have_run=may_have_run)


def _run(result: AttemptResult, delay: float):
    def end() -> AttemptResult:
        gevent.sleep(delay)
        return result

    return gevent.spawn(end)


FAILED = _result(500)
REFUSED = _result(503, is_final=False)
REFUSED_FOR_GOOD = AttemptResult(Answer(504, "", [], []), True, has_arrived=False, code=ErrorCode.DEADLINE)
LOST = _result(502, is_final=False, may_have_run=True)
ANSWERED = _result()


@pytest.mark.parametrize("earlier_is_first", [True, False])
@pytest.mark.parametrize(
    ("earlier", "later", "chosen"),
    [
        (FAILED, ANSWERED, ANSWERED),
        (REFUSED_FOR_GOOD, ANSWERED, ANSWERED),
        (REFUSED, ANSWERED, ANSWERED),
        (LOST, ANSWERED, ANSWERED),
        (ANSWERED, FAILED, ANSWERED),
        (FAILED, REFUSED, FAILED),
        (REFUSED, FAILED, FAILED),
        (FAILED, LOST, FAILED),
        (REFUSED, LOST, LOST),
        (LOST, REFUSED, LOST),
        (REFUSED_FOR_GOOD, LOST, LOST),
    ],
)
def test_best_result_of_two_attempts_is_chosen_whichever_ends_first(earlier, later, chosen, earlier_is_first):
    tasks = [_run(earlier, 0.0), _run(later, 0.01)]
    assert choose_result(*(tasks if earlier_is_first else reversed(tasks))) is chosen
