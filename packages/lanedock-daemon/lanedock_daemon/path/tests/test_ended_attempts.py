# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the balancer's records of attempts that end without the upstream's fault or are discarded.

They guard against healthy upstreams getting fewer requests, or none for a while:

- A caller that disconnects during its upload must not count as a failure of the upstream, which
  would be ejected after several of them.
- Attempts that the stop of this process ends must not count as failures; an ejection in a stop would
  look like a fault of the upstream.
- If two upstreams answer a hedged request with more than 64 kB each in the same turn of the event
  loop, the answer that is not chosen must be closed; otherwise it counts as in progress for ever.
"""

import gevent
import pytest
from gevent.event import Event

from lanedock_daemon.path.tests.chain import Gate, read_all, wait_until

WAIT_LIMIT_S = 5.0


@pytest.mark.parametrize(("length", "sent"), [(8000, 100), (50_000, 100), (50_000, 0)])
def test_a_caller_that_disconnects_during_its_upload_is_not_counted_as_an_upstream_failure(make_chain, length, sent):
    chain = make_chain(None, None)
    for _ in range(12):
        with chain.connect() as conn:
            conn.sendall(b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length + b"x" * sent)
            gevent.sleep(0.05)
    upstreams = chain.view.balancer("s")._upstreams.values()
    wait_until(lambda: not any(stats.in_progress for stats in upstreams), WAIT_LIMIT_S)
    assert not any(stats.failures or stats.ejections for stats in upstreams)


def test_of_two_concurrent_long_answers_the_one_not_chosen_is_closed(make_chain):
    both_running = Event()
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 3000000\r\n\r\n" + b"." * 3_000_000

    def script(conn, head, body):
        both_running.wait()
        return answer

    chain = make_chain(script, script)
    with chain.connect() as conn, gevent.Timeout(WAIT_LIMIT_S):
        conn.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        wait_until(lambda: chain.runs() == 2, WAIT_LIMIT_S)
        both_running.set()
        assert len(read_all(conn)) > 3_000_000
    upstreams = chain.view.balancer("s")._upstreams.values()
    wait_until(lambda: not any(stats.in_progress for stats in upstreams), WAIT_LIMIT_S)
    wait_until(lambda: not any(upstream.limiter.in_use for upstream in chain.upstreams), WAIT_LIMIT_S)


def test_attempts_that_the_stop_of_the_process_ends_are_not_counted_as_upstream_failures(make_chain):
    gate = Gate()
    chain = make_chain(gate)
    callers = [gevent.spawn(chain.request, "POST", f"/{number}", b"x") for number in range(4)]
    wait_until(lambda: len(gate.begun) == len(callers), WAIT_LIMIT_S)
    stats = next(iter(chain.view.balancer("s")._upstreams.values()))
    # After the hedge delay the end of an attempt is recorded with its outcome.
    gevent.sleep(1.2 * chain.view.balancer("s").hedge_delay("post"))
    chain.entry._force_final_answers()
    assert [caller.get()[0] for caller in callers] == [502] * len(callers)
    assert not (stats.failures or stats.ejections or stats.in_progress)
