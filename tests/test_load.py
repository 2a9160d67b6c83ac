# SPDX-License-Identifier: BSD-3-Clause
"""Tests that requests which must not be retried run at most once while processes stop, crash or change version."""

import http.client
import json
import threading
import time
from collections import Counter

import pytest

THREADS = 8


class Submitters:
    """Threads that submit sightings with unique ids and record the outcomes.

    Attributes
    ----------
    outcomes : dict of str to str
        Outcome of each request id; "cut" for a connection that failed.
    """

    def __init__(self, mesh):
        self.mesh = mesh
        self.outcomes: dict[str, str] = {}
        self.stop_event = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(number,)) for number in range(THREADS)]
        for thread in self.threads:
            thread.start()

    def _run(self, number: int) -> None:
        count = 0
        while not self.stop_event.is_set():
            count += 1
            request_id = f"{number}-{count}"
            self.outcomes[request_id] = self._submit(request_id, number)

    def _submit(self, request_id: str, entry: int) -> str:
        try:
            status, body = self.mesh.request("POST", "/sightings", b"3", entry, {"X-Request-Id": request_id})
        except (OSError, http.client.HTTPException):
            return "cut"
        if status == 200:
            return "answered" if json.loads(body)["id"] == request_id else "another's answer"
        return json.loads(body)["outcome"]

    def wait_for_more(self, count: int) -> None:
        """Wait until `count` more submissions are answered."""
        target = Counter(self.outcomes.values())["answered"] + count
        self.mesh.wait_for(
            lambda: Counter(self.outcomes.values())["answered"] >= target, f"{count} more submissions are answered"
        )

    def stop(self) -> Counter:
        """Stop the threads; returns the number of submissions with each outcome."""
        self.stop_event.set()
        for thread in self.threads:
            thread.join()
        return Counter(self.outcomes.values())


def _check_outcomes(submitters: Submitters) -> Counter:
    """Stop the submitters, and check how often each submission ran against its outcome."""
    outcomes = submitters.stop()
    executions = submitters.mesh.count_runs("sightings")
    assert set(outcomes) <= {"answered", "not-run", "unknown", "cut"}
    for request_id, outcome in submitters.outcomes.items():
        expected = {"answered": {1}, "not-run": {0}}.get(outcome, {0, 1})
        assert executions[request_id] in expected, (request_id, outcome, executions[request_id])
    return outcomes


@pytest.fixture
def submitters(mesh, operator):
    assert operator.apply(1)[0] == 0
    started = Submitters(mesh)
    started.wait_for_more(50)
    yield started
    started.stop()


def test_planned_stops_interrupt_no_requests(submitters):
    mesh = submitters.mesh
    for process in [mesh.upstreams["sightings-0"], mesh.upstreams["sightings-1"]]:
        process.popen.terminate()
        assert process.popen.wait(30) == 0
        submitters.wait_for_more(30)
        process.start()
        mesh.wait_listening(process)
        # The restarted upstream serves requests before the other one stops.
        before = mesh.count_runs(process.name).total()
        mesh.wait_for(
            lambda name=process.name, count=before: mesh.count_runs(name).total() > count,
            f"{process.name} serves again",
        )
    outcomes = _check_outcomes(submitters)
    assert not outcomes["cut"] and not outcomes["unknown"], outcomes


def test_killed_daemons_cause_no_duplicate_executions(submitters):
    mesh = submitters.mesh
    for _ in range(3):
        process = mesh.upstreams["sightings-0"]
        process.kill()
        submitters.wait_for_more(30)
        process.start()
        mesh.wait_listening(process)
    outcomes = _check_outcomes(submitters)
    # Each kill may lose the request in progress on each connection.
    assert outcomes["unknown"] + outcomes["cut"] <= 3 * THREADS


def test_leaving_upstream_receives_no_new_requests(submitters):
    mesh = submitters.mesh
    mesh.set_state("sightings-0", "leaving")
    time.sleep(2)
    before = mesh.count_runs("sightings-0").total()
    submitters.wait_for_more(50)
    assert mesh.count_runs("sightings-0").total() == before
    assert not _check_outcomes(submitters)["unknown"]


def test_requests_are_answered_during_version_changes_and_without_control_instances(submitters, operator):
    for version in range(2, 6):
        change = (lambda value: value["routes"].pop(0)) if version % 2 else None
        assert operator.apply(version, change)[0] == 0
        submitters.wait_for_more(20)
    for process in submitters.mesh.controls.values():
        process.kill()
    submitters.wait_for_more(100)
    outcomes = _check_outcomes(submitters)
    assert set(outcomes) == {"answered"}, outcomes
