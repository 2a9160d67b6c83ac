# SPDX-License-Identifier: BSD-3-Clause
"""Tries that end without anybody's fault, or without anybody noting it.

What users would see, found by a cold review: upstreams that are sound get fewer and fewer
requests, or none for a while.

Cause: where a caller went within its upload, its upstream counted as failed, and was
ejected after some; of two answers to a request that was sent to a second upstream, both
over 64 kB, the one not chosen was never closed when both came in the same turn of the
event loop, and counted as in progress for ever.
"""

import gevent
import pytest
from gevent.event import Event

from lanedock_daemon.path.tests.chain import read_all, wait_until

PATIENCE = 5.0


@pytest.mark.parametrize(("length", "sent"), [(8000, 100), (50_000, 100), (50_000, 0)])
def test_a_caller_that_goes_within_its_upload_is_not_its_upstreams_fault(make_chain, length, sent):
    chain = make_chain(None, None)
    for _ in range(12):
        with chain.connect() as conn:
            conn.sendall(b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % length + b"x" * sent)
            gevent.sleep(0.05)
    upstreams = chain.view.balancer("s")._upstreams.values()
    wait_until(lambda: not any(stats.in_progress for stats in upstreams), PATIENCE)
    assert not any(stats.failures or stats.ejections for stats in upstreams)


def test_of_two_long_answers_at_once_the_other_is_dropped(make_chain):
    both_asked = Event()
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: 3000000\r\n\r\n" + b"." * 3_000_000

    def script(conn, head, body):
        both_asked.wait()
        return answer

    chain = make_chain(script, script)
    with chain.connect() as conn, gevent.Timeout(PATIENCE):
        conn.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        wait_until(lambda: chain.runs() == 2, PATIENCE)
        both_asked.set()
        assert len(read_all(conn)) > 3_000_000
    upstreams = chain.view.balancer("s")._upstreams.values()
    wait_until(lambda: not any(stats.in_progress for stats in upstreams), PATIENCE)
    wait_until(lambda: not any(upstream.limiter.in_use for upstream in chain.upstreams), PATIENCE)
