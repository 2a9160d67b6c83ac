# SPDX-License-Identifier: BSD-3-Clause
"""Tests of rate limits and draining that backends advertise in responses, with real processes."""

import signal
import time

import pytest
from advertised_facts import DRAIN_GRACE, ENFORCED_AFTER, WINDOW, find_arrivals_after_drain, find_rate_violations
from crash_mesh import BackgroundLoad, CrashMesh, make_routes
from platform_processes import wait_for

# Seconds for which arrivals are counted once a limit is enforced.
COUNTING_TIME = WINDOW + 1.0


@pytest.fixture
def mesh(tmp_path):
    crash_mesh = CrashMesh(tmp_path, 0.0)
    try:
        crash_mesh.start_ready(make_routes(4, 0))
        yield crash_mesh
    finally:
        crash_mesh.stop()


def _find_all_violations(mesh: CrashMesh) -> list[str]:
    now = time.monotonic()
    return [finding for app in mesh.applications.values() for finding in find_rate_violations(app, now)]


@pytest.mark.parametrize("rates", [(4.0,), (0.4,), (0.0,), (3.0, 2.0)])
def test_rate_limited_upstreams_receive_no_excess_requests_and_all_requests_are_served(mesh, rates):
    load = BackgroundLoad(mesh, "/c/limited-{caller}-{number}")
    for app, rate in zip(mesh.applications.values(), rates, strict=False):
        app.limit(rate)
    time.sleep(ENFORCED_AFTER + COUNTING_TIME)
    load.stop()
    assert _find_all_violations(mesh) == []
    assert load.served_fraction(0.0) == 1.0


def test_rate_limit_holds_while_daemons_are_killed_and_suspended(mesh):
    load = BackgroundLoad(mesh, "/c/killed-{caller}-{number}")
    limited = mesh.daemons[0]
    mesh.applications[limited].limit(2.0)
    until = time.monotonic() + ENFORCED_AFTER + 2 * COUNTING_TIME
    while time.monotonic() < until:
        mesh.restart(limited)
        mesh.wait_ready(limited)
        other = mesh.processes[mesh.daemons[1]]
        other.send_signal(signal.SIGSTOP)
        time.sleep(0.5)
        other.send_signal(signal.SIGCONT)
        time.sleep(1.0)
    load.stop()
    assert _find_all_violations(mesh) == []


def test_withdrawn_rate_limit_no_longer_applies(mesh):
    load = BackgroundLoad(mesh, "/c/withdrawn-{caller}-{number}")
    app = next(iter(mesh.applications.values()))
    app.limit(0.0)
    time.sleep(4.0)
    app.limit(None)
    since = time.monotonic()
    wait_for(lambda: any(at >= since for at, _, _ in app.arrivals))
    load.stop()


def test_upstream_that_advertises_draining_receives_no_requests_despite_ready_heartbeats(mesh):
    load = BackgroundLoad(mesh, "/c/leaving-{caller}-{number}")
    time.sleep(1.0)
    # The faster of two idle upstreams in a zone receives all requests.
    app = max(mesh.applications.values(), key=lambda candidate: len(candidate.arrivals))
    incarnation = app.upstream
    app.replace(DRAIN_GRACE + 2.5, by_responses=True)
    load.stop()
    assert incarnation in app.drain_advertised_at
    assert find_arrivals_after_drain(app) == []
    assert load.served_fraction(0.0) == 1.0
