# SPDX-License-Identifier: BSD-3-Clause
"""Test of customers' quotas while a zone is cut off, with real processes of the platform program (see `links.py`)."""

import http.client
import json
import threading
import time
from collections import Counter

import pytest
from platform_processes import OUTBOUND_PORT, PlatformProcesses, read_metric, wait_for

from lanedock_platform.tests.test_translation import make_configuration

RATE = BURST = 60
# Seconds of the window for which the limit is stated.
WINDOW = 5.0
# Callers at each of the three daemons, and the seconds between two requests of one: 1.6 times the rate in total.
CALLERS = 3
INTERVAL = 0.09
CUT_TIME = 4.0


@pytest.fixture
def platform(tmp_path):
    processes = PlatformProcesses(tmp_path, daemons=3, zones=3, is_partitionable=True)
    value = make_configuration(4, 0)
    value["services"], value["routes"] = value["services"][:1], value["routes"][:1]
    value["tenants"] = [{"name": "t", "apiKeys": ["key-t"], "priority": 1, "ratePerS": RATE, "burst": BURST}]
    try:
        processes.start_ready(value)
        yield processes
    finally:
        processes.stop()


class _Load:
    """Sends a customer's requests at all daemons until it is stopped; records when which were answered, and how."""

    def __init__(self, platform: PlatformProcesses):
        self.answers: list[tuple[str, float, str]] = []
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(ip, number))
            for ip in platform.daemons
            for number in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, ip: str, number: int) -> None:
        conn = http.client.HTTPConnection(ip, OUTBOUND_PORT, timeout=10)
        headers = {"Host": "shop.example", "X-Deadline-Ms": "3000", "X-Key": "key-t"}
        while not self._is_stopped.wait(INTERVAL):
            conn.request("POST", "/a/b/x", b"x", {**headers, "X-Request-Id": f"{ip}-{number}-{len(self.answers)}"})
            response = conn.getresponse()
            body = response.read()
            code = json.loads(body)["code"] if body.startswith(b"{") else str(response.status)
            self.answers.append((ip, time.monotonic(), code))
        conn.close()

    def stop(self) -> None:
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def count(self, ip: str, since: float) -> Counter:
        """Return the answers of a daemon by code."""
        return Counter(code for daemon, at, code in list(self.answers) if daemon == ip and at >= since)

    def most_served(self) -> int:
        """Return the largest number of requests that were served, or may have been, within the window."""
        times = sorted(at for _, at, code in self.answers if code in ("200", "LD3008", "LD3009"))
        return max(sum(began <= at < began + WINDOW for at in times) for began in times)


def test_a_zone_that_is_cut_off_serves_its_share_and_all_zones_together_no_more_than_the_limit(platform):
    """Guards against a cut-off zone that serves nobody, and against two granters of the same credits."""
    load = _Load(platform)
    try:
        for ip in platform.daemons:
            wait_for(lambda ip=ip: load.count(ip, 0.0)["200"] > 20)
        cut_at = time.monotonic()
        platform.set_partitions(("z0", "z1"), ("z0", "z2"))
        time.sleep(CUT_TIME)
        since = time.monotonic()
        for ip in platform.daemons:
            wait_for(lambda ip=ip: load.count(ip, since)["200"] > 10)
        platform.set_partitions()
        since = time.monotonic()
        for ip in platform.daemons:
            wait_for(lambda ip=ip: load.count(ip, since)["200"] > 40)
    finally:
        load.stop()
    refusals = {code for ip in platform.daemons for code in load.count(ip, cut_at)}
    assert refusals <= {"200", "LD3018", "LD3019", "LD3008", "LD3009", "LD3002"}, refusals
    assert load.most_served() <= (RATE * WINDOW + BURST) * 1.1 + 20
    assert sum(read_metric(ip, "lanedock_quota_granted_total") for ip in platform.daemons) > 100
