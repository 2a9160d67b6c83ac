# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the order in which a daemon stops."""

import json

import gevent
import pytest

from lanedock.kernel import NOTICE_TIME, Kernel, StopPlan
from lanedock.settings import load_settings
from lanedock.telemetry import EventLogger, NullMetrics, NullTracer
from lanedock_daemon.agent import LocalView
from lanedock_daemon.path.tests.chain import Chain
from lanedock_daemon.roles import DrainService, add_daemon
from lanedock_daemon.sessions import DrainRequested


class _Agent:
    """Records posted messages, and whether the view was stopping at the time."""

    def __init__(self, view: LocalView):
        self.view = view
        self.posted: list[object] = []
        self.was_stopping: list[bool] = []

    def post(self, message: object) -> None:
        self.posted.append(message)
        self.was_stopping.append(self.view.is_stopping)


@pytest.mark.parametrize("linger", [0.0, NOTICE_TIME + 0.2])
def test_a_stopping_daemon_tells_callers_before_its_upstream_drains(linger):
    view = LocalView("z", 10.0)
    agent = _Agent(view)
    stopping = gevent.spawn(DrainService(agent, view, StopPlan(linger, linger)).begin_stop)
    gevent.sleep(0.01)
    assert view.is_stopping
    assert bool(agent.posted) is (linger == 0.0)
    stopping.get()
    assert [type(message) for message in agent.posted] == [DrainRequested]
    assert agent.was_stopping == [True]


def test_an_upstream_still_serves_while_its_daemon_is_not_ready_for_callers():
    chain = Chain(None)
    try:
        chain.upstreams[0].view.is_stopping = True
        assert not chain.upstreams[0].view.is_ready()
        assert chain.request("GET")[0] == 200
    finally:
        chain.stop()


@pytest.mark.parametrize(("link_mbps", "is_paced"), [(None, False), (10.001, False), (10, True)])
def test_long_answers_are_paced_on_links_given_as_narrow(tmp_path, link_mbps, is_paced):
    """Answers to the calls of the application beside the daemon don't pass the link, and must not wait for it."""
    upstream = {"service": "s", "listen": "127.0.0.1:3", "application": "127.0.0.1:1", "egress": "127.0.0.1:2"}
    if link_mbps is not None:
        upstream["link_mbps"] = link_mbps
    path = tmp_path / "d.jsonc"
    settings = {
        "name": "d",
        "zone": "z",
        "transport": "framed",
        "daemon": {"control": ["127.0.0.1:4"]},
        "upstream": upstream,
    }
    path.write_text(json.dumps(settings), encoding="utf-8")
    kernel = Kernel()
    add_daemon(kernel, load_settings(str(path)), EventLogger("d"), NullMetrics(), NullTracer())
    assert kernel.find("egress").side._turns is None
    assert kernel.find("upstream").side._gate.answers.is_active is is_paced
