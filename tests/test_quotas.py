# SPDX-License-Identifier: BSD-3-Clause
"""Tests of customers' quotas with real processes, and of the command that shows them."""

import json
import os
import signal
import time

import pytest
from conftest import Operator

from lanedock.testing.mesh import LocalMesh

CUSTOMERS = [
    {"name": "large", "keys": ["key-of-large"], "priority": 0, "rate": 200, "burst": 200},
    {"name": "small", "keys": ["key-of-small"], "rate": 2, "burst": 4},
    {"name": "free", "keys": ["key-of-free"]},
]


@pytest.fixture
def mesh(tmp_path):
    with LocalMesh(tmp_path / "mesh", ["nbo-a", "nbo-b", "nbo-c"], {"checklists": 3}) as local_mesh:
        local_mesh.start()
        yield local_mesh


@pytest.fixture
def operator(mesh, tmp_path):
    operator = Operator(mesh, tmp_path)
    assert operator.apply(1, _add_customers)[0] == 0
    return operator


def _add_customers(value: dict) -> None:
    value["customers"] = CUSTOMERS


def test_operators_see_the_customers_without_their_keys(mesh, operator):
    code, value = operator.run("customers")
    assert code == 0 and value["code"] == ""
    shown = [(item["customer"], item["priority"], item["rate"], item["burst"]) for item in value["customers"]]
    assert shown == [("free", 1, 0, 0), ("large", 0, 200, 200), ("small", 1, 2, 4)]
    assert "key-of" not in str(value)
    assert operator.apply(2)[0] == 0
    assert operator.run("customers") == (0, {"customers": [], "code": ""})


def _send(mesh: LocalMesh, customer: str, entry: int = 0) -> tuple[int, dict]:
    """Send a request of a customer; return the status and the fields of a refusal."""
    status, body = mesh.request("GET", "/checklists/reed", b"", entry, {"Authorization": f"Bearer key-of-{customer}"})
    return status, json.loads(body) if status >= 400 else {}


def _find_leader(mesh: LocalMesh, operator: Operator):
    code, value = operator.run("status")
    assert code == 0
    (name,) = [item["replica"] for item in value["replicas"] if item["leader"]]
    return mesh.controls[name]


def _serve_again(mesh: LocalMesh, outcomes: list) -> None:
    """Send requests at all entries until all are served; collect the codes of refusals."""

    def is_served() -> bool:
        answers = [_send(mesh, "large", entry) for entry in range(3)]
        outcomes.extend((status, fields.get("code")) for status, fields in answers)
        return all(status == 200 for status, _ in answers)

    mesh.wait_for(is_served, "requests are served at all entries")


def test_a_limit_holds_over_all_entry_daemons(mesh, operator):
    mesh.wait_for(lambda: _send(mesh, "small")[0] == 200, "the first credit is granted")
    began_at = time.monotonic()
    answers = [_send(mesh, "small", number) for number in range(150)]
    taken = time.monotonic() - began_at
    served = [status for status, _ in answers].count(200)
    refused = [fields for status, fields in answers if status == 429]
    # Of the burst of 4 and 2 a second, the first request has used one.
    assert served <= 4 + 2 * taken + 1
    assert served + len(refused) == len(answers) and refused
    assert {(fields["code"], fields["outcome"]) for fields in refused} == {("LD3018", "not-run")}
    assert all(fields["retry_after_ms"] > 0 for fields in refused)
    assert all(_send(mesh, "free", number)[0] == 200 for number in range(6))
    assert _send(mesh, "large")[0] == 200
    _, value = operator.run("customers")
    (small,) = [item for item in value["customers"] if item["customer"] == "small"]
    assert small["refused"] > 0 and sum(small["granted_by_zone"].values()) >= served


@pytest.mark.parametrize("is_paused", [False, True])
def test_requests_are_served_again_after_the_leader_ends_or_is_paused(mesh, operator, is_paused):
    """A killed instance resets its connections; the kernel of a paused one goes on to accept data."""
    _serve_again(mesh, [])
    leader = _find_leader(mesh, operator)
    if is_paused:
        leader.popen.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, leader.popen.pid, os.WSTOPPED | os.WNOWAIT)
    else:
        leader.kill()
    outcomes = []
    try:
        _serve_again(mesh, outcomes)
    finally:
        if is_paused:
            leader.popen.send_signal(signal.SIGCONT)
    # Nothing but a missing or an empty grantor delays them: a new one begins with empty buckets.
    assert set(outcomes) <= {(200, None), (503, "LD3019"), (429, "LD3018")}
    _serve_again(mesh, [])


def test_requests_are_refused_in_time_without_any_control_instance(mesh, operator):
    _serve_again(mesh, [])
    for control in mesh.controls.values():
        control.kill()
    mesh.wait_for(lambda: _send(mesh, "large")[0] != 200, "the credits at hand have ended")
    status, fields = _send(mesh, "large")
    assert (status, fields["code"], fields["outcome"]) == (503, "LD3019", "not-run")
    assert fields["retry_after_ms"] == 500
    # Requests without a quota need no control instance.
    assert _send(mesh, "free")[0] == 200


def test_a_resumed_daemon_does_not_use_the_credits_that_it_held(mesh, operator):
    """Other daemons have used their customer's limit meanwhile; both together would exceed it."""
    _serve_again(mesh, [])
    for _ in range(50):
        assert _send(mesh, "large")[0] in (200, 429)
    entry = next(iter(mesh.entries.values()))
    entry.popen.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, entry.popen.pid, os.WSTOPPED | os.WNOWAIT)
    for control in mesh.controls.values():
        control.kill()
    time.sleep(0.5)
    entry.popen.send_signal(signal.SIGCONT)
    for _ in range(5):
        status, fields = _send(mesh, "large")
        assert status == 503 and fields["code"] in ("LD3019", "LD3003")
