# SPDX-License-Identifier: BSD-3-Clause
"""Tests of canary releases with the platform program as real processes."""

import threading
from collections import Counter

import pytest
from platform_processes import CONTROL_PORT, OUTBOUND_PORT, PlatformProcesses, call, wait_for

from lanedock_platform.tests.test_translation import make_configuration

ORDER = {"service": "s1", "targetVersion": "v2", "durationS": 10}
START, GET = "/Rollouts.Start", "/Rollouts.Get/s1"
CALLERS = 4


class Callers:
    """Context manager whose threads each send sequential requests to the second daemon until it exits."""

    def __init__(self, platform: PlatformProcesses):
        self.answers: Counter = Counter()
        self._platform = platform
        self._stop_event = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(number,)) for number in range(CALLERS)]

    def __enter__(self) -> "Callers":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc) -> None:
        self._stop_event.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        count = 0
        ip = self._platform.daemons[1]
        while not self._stop_event.wait(0.01):
            count += 1
            headers = {"Host": "shop.example", "X-Request-Id": f"c{number}-{count}", "X-Deadline-Ms": "3000"}
            status, _, body = call(ip, OUTBOUND_PORT, "POST", "/a/b/x", b"", headers)
            self.answers[status, body] += 1


@pytest.fixture
def platform(tmp_path):
    processes = PlatformProcesses(tmp_path)
    try:
        processes.start_ready(make_configuration(4, 0))
        yield processes
    finally:
        processes.stop()


def _wait_for_end(platform: PlatformProcesses) -> str:
    """Wait until the canary is no longer running; returns its state."""
    wait_for(lambda: _read_state(platform) != "running")
    return _read_state(platform)


def _read_state(platform: PlatformProcesses) -> str:
    status, answer = platform.call_operator_api("GET", GET)
    assert status == 200, answer
    assert answer["targetVersion"] == "v2"
    return answer["state"]


def _count_received(platform: PlatformProcesses, ips: list[str]) -> int:
    return sum(len(platform.applications[ip].received_headers) for ip in ips)


def _find_leader(platform: PlatformProcesses) -> str:
    """Return the control instance that answers without a redirect."""
    return wait_for(
        lambda: next((ip for ip in platform.controls if call(ip, CONTROL_PORT, "GET", GET)[0] == 200), None)
    )


def _kill_controls(platform: PlatformProcesses) -> None:
    for ip in platform.controls:
        platform.processes[ip].kill()
        platform.processes[ip].wait()
    for ip in platform.controls:
        platform.restart(ip)


def test_good_version_receives_all_requests_and_remains_after_restarts(platform):
    stable = list(platform.daemons)
    with Callers(platform) as callers:
        assert platform.call_operator_api("POST", START, ORDER)[0] == 200
        added = platform.add_upstreams(2, "v2")
        # A resent order is acknowledged by any instance.
        assert platform.call_operator_api("POST", START, ORDER)[0] == 200
        assert platform.call_operator_api("POST", START, {**ORDER, "targetVersion": "v3"})[0] == 409
        assert _wait_for_end(platform) == "completed"
        before = _count_received(platform, stable)
        assert _count_received(platform, added) > 0
        _kill_controls(platform)
        assert _read_state(platform) == "completed"
        # A restarted daemon learns the result before it serves.
        platform.restart(stable[0])
        platform.wait_ready(stable[0])
        count = _count_received(platform, added)
        wait_for(lambda: _count_received(platform, added) > count + 20)
    assert _count_received(platform, stable) == before
    assert platform.call_operator_api("POST", START, ORDER)[0] == 200
    assert set(callers.answers) == {(200, b"")}


def test_bad_version_is_rolled_back_although_the_leader_is_killed(platform):
    stable = list(platform.daemons)
    with Callers(platform):
        assert platform.call_operator_api("POST", START, ORDER)[0] == 200
        leader = _find_leader(platform)
        added = platform.add_upstreams(2, "v2", is_failing=True)
        platform.restart(leader)
        assert _wait_for_end(platform) == "rolled_back"
        # Requests that were in flight have arrived once both daemons apply the rollback.
        before = _count_received(platform, added)
        count = _count_received(platform, stable)
        wait_for(lambda: _count_received(platform, stable) > count + 100)
    assert _count_received(platform, added) <= before + CALLERS
    _kill_controls(platform)
    assert _read_state(platform) == "rolled_back"


@pytest.mark.parametrize(
    ("order", "place"),
    [
        ({"service": "nobody"}, ""),
        ({"service": 5}, "/service"),
        ({"targetVersion": ""}, "/targetVersion"),
        ({"targetVersion": None}, "/targetVersion"),
        ({"durationS": 0}, "/durationS"),
        ({"durationS": -1}, "/durationS"),
        ({"durationS": 1e30}, "/durationS"),
        ({"durationS": "12"}, "/durationS"),
    ],
)
def test_invalid_order_is_rejected_with_the_path_of_the_field(platform, order, place):
    status, answer = platform.call_operator_api("POST", START, {**ORDER, **order})
    assert status == 400
    assert place in answer["error"]
    assert platform.call_operator_api("GET", GET)[0] == 404
