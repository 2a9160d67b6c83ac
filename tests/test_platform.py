# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the platform program as real processes: seeds, direct rollout, registration and request path."""

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from platform_processes import CONTROL_PORT, MESH_PORT, TIMEOUT, PlatformProcesses, call, wait_for

from lanedock_platform.tests.beats import make_beat
from lanedock_platform.tests.test_translation import make_configuration


@pytest.fixture
def platform(tmp_path):
    processes = PlatformProcesses(tmp_path)
    try:
        processes.start()
        yield processes
    finally:
        processes.stop()


def test_version_is_distributed_and_request_reaches_an_upstream(platform):
    first = make_configuration(4, 0)
    assert platform.put(first) == 200
    got = platform.get()
    assert got["routes"] == first["routes"] and got["version"] == "00000004"
    platform.wait_all_ready()
    answer = status, headers, body = platform.request(platform.daemons[0], "id-1", {"X-Caller-Service": "forged"})
    assert (status, body, headers.get("x-request-id")) == (200, b"3 ibises", "id-1"), str(answer)
    (seen,) = [head for app in platform.applications.values() for head in app.received_headers]
    assert seen["x-caller-service"] == "s1"
    assert seen["x-expect-instance"] == headers["x-server-stamp"]
    assert 0 < int(seen["x-deadline-ms"]) <= 1500
    assert not [name for name in seen if name.startswith("x-lanedock")]


def test_request_runs_for_the_tenant_whose_key_it_has(platform):
    tenants = [
        {"name": "řeka", "apiKeys": ["k-1", "k-2"], "priority": 0},
        {"name": "bob", "apiKeys": ["k-3"], "burst": 5},
    ]
    first = {**make_configuration(4, 0), "tenants": tenants}
    assert platform.put(first) == 200
    got = platform.get()
    assert got["tenants"] == sorted(tenants, key=lambda tenant: tenant["name"])
    assert "public" not in got["routes"][0]
    platform.wait_all_ready()
    for key in ("", "k-4", "Bearer k-1"):
        status, headers, _ = platform.request(platform.daemons[0], "id-1", {"X-Key": key, "X-Tenant-Id": "bob"})
        assert (status, "retry-after" in headers) == (401, False)
    for key in ("k-2", "k-3"):
        assert platform.request(platform.daemons[0], f"id-{key}", {"X-Key": key, "X-Tenant-Id": "eve"})[0] == 200
    seen = [head for app in platform.applications.values() for head in app.received_headers]
    names = {head["x-request-id"]: head["x-tenant-id"].encode("latin-1").decode() for head in seen}
    assert names == {"id-k-2": "řeka", "id-k-3": "bob"}
    assert not any("x-key" in head for head in seen)
    shared = [*tenants, {"name": "eve", "apiKeys": ["k-3"]}]
    assert platform.put({**make_configuration(5, 4), "tenants": shared}) == 400
    # Without the list, keys and names pass as before.
    assert platform.put(make_configuration(6, 4)) == 200
    wait_for(lambda: platform.request(platform.daemons[0], "id-6", {"X-Key": "k-9", "X-Tenant-Id": "eve"})[0] == 200)
    (last,) = [
        head
        for app in platform.applications.values()
        for head in app.received_headers
        if head["x-request-id"] == "id-6"
    ]
    assert (last["x-key"], last["x-tenant-id"]) == ("k-9", "eve")


def test_concurrent_resent_and_outdated_configurations_are_answered_consistently(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    racing = [make_configuration(9, 4, timeoutS=1.1), make_configuration(9, 4, timeoutS=1.2)]
    with ThreadPoolExecutor(2) as pool:
        codes = list(pool.map(platform.put, racing))
    assert sorted(codes) == [200, 412]
    winner = racing[codes.index(200)]
    assert platform.put(winner) == 200
    assert platform.put(make_configuration(10, 4)) == 412
    assert platform.put(make_configuration(11, 9, service="nobody")) == 400
    assert platform.get()["routes"][0]["timeoutS"] == winner["routes"][0]["timeoutS"]


def test_accepted_version_survives_kills_of_all_control_instances(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    for ip in platform.controls:
        platform.processes[ip].kill()
        platform.processes[ip].wait()
    for ip in platform.controls:
        platform.restart(ip)
    assert platform.get()["version"] == "00000004"
    assert platform.put(make_configuration(5, 4, timeoutS=1.1)) == 200
    platform.wait_all_ready()


def _votes_as_new_incarnation(platform: PlatformProcesses, ip: str) -> bool:
    """Return whether a control instance votes under a later incarnation than its first."""
    lines = (platform.folder / f"{ip}.log").read_text(encoding="utf-8").splitlines()
    changes = [json.loads(line) for line in lines if '"E206"' in line]
    name = f"{ip}:{MESH_PORT}"
    voters = changes[-1]["voters"].split(",") if changes else []
    return any(voter.startswith(f"{name}@") and voter != f"{name}@1" for voter in voters)


def test_control_instance_with_a_lost_disk_returns_as_a_new_replica(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    lost = platform.controls[0]
    # The other two can accept a version alone, so wait until this instance has started and has data to lose.
    wait_for(lambda: '"E101"' in (platform.folder / f"{lost}.log").read_text(encoding="utf-8"))
    platform.processes[lost].kill()
    platform.processes[lost].wait()
    for path in (platform.folder / f"data-{lost}").iterdir():
        path.unlink()
    platform.restart(lost)
    wait_for(lambda: _votes_as_new_incarnation(platform, lost))
    # With the replacement as a voter, one of the others may fail.
    platform.processes[platform.controls[1]].kill()
    assert platform.put(make_configuration(5, 4, timeoutS=1.1)) == 200


def test_acknowledged_drain_holds_even_after_a_daemon_restart(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    platform.wait_all_ready()
    leaving, other = platform.daemons
    upstream = platform.applications[other].upstream
    # A daemon is ready once it knows any upstream, possibly only the local one; the requests can
    # go elsewhere only once the other application has registered.
    wait_for(lambda: platform.request(leaving, "before")[1].get("x-server-stamp") == upstream)
    application = platform.applications[leaving]
    platform.draining = frozenset((application.upstream,))
    assert application.send_heartbeat("draining") == 200
    before = len(application.received_headers)
    for number in range(10):
        answer = status, headers, _ = platform.request(leaving, f"drain-{number}")
        assert (status, headers.get("x-server-stamp")) == (200, upstream), str(answer)
    # The daemon is killed, and delayed heartbeats from before the drain arrive.
    platform.draining = frozenset()
    platform.restart(leaving)
    platform.wait_ready(leaving)
    for number in range(10):
        platform.request(leaving, f"again-{number}")
    assert len(application.received_headers) == before


def test_upstream_receives_requests_again_after_a_planned_stop_of_its_daemon(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    platform.wait_all_ready()
    stopped, other = platform.daemons
    platform.processes[stopped].terminate()
    assert platform.processes[stopped].wait(TIMEOUT) == 0
    platform.start_process(stopped, platform.make_settings("daemon", stopped, False))
    platform.wait_ready(stopped)
    upstreams = {platform.applications[ip].upstream for ip in platform.daemons}

    def is_shared() -> bool:
        stamps = {platform.request(other, f"back-{number}")[1].get("x-server-stamp") for number in range(20)}
        return upstreams <= stamps

    wait_for(is_shared)


def test_briefly_paused_daemon_keeps_serving_without_control_instances(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    platform.wait_all_ready()
    for ip in platform.controls:
        platform.processes[ip].kill()
        platform.processes[ip].wait()
    paused = platform.processes[platform.daemons[0]]
    paused.send_signal(signal.SIGSTOP)
    # Longer than a delayed tick on a slow instance, and shorter than the contact limit of 3 s.
    time.sleep(1.5)
    paused.send_signal(signal.SIGCONT)
    answer = platform.request(platform.daemons[0], "id-paused")
    assert answer[0] == 200, str(answer)


@pytest.mark.parametrize("is_daemon_restarted", [False, True])
def test_drained_application_that_restarts_under_its_id_receives_requests(platform, is_daemon_restarted):
    assert platform.put(make_configuration(4, 0)) == 200
    platform.wait_all_ready()
    crashed, other = platform.daemons
    application = platform.applications[crashed]

    def is_served_there() -> bool:
        return platform.request(other, "again")[1].get("x-server-stamp") == application.upstream

    wait_for(is_served_there)
    platform.draining = frozenset((application.upstream,))
    assert application.send_heartbeat("draining") == 200
    wait_for(lambda: not any(is_served_there() for _ in range(10)))
    platform.draining = frozenset()
    if is_daemon_restarted:
        platform.restart(crashed)
        platform.wait_ready(crashed)
    application.start_new_incarnation()
    wait_for(is_served_there)


def test_invalid_heartbeats_of_another_sender_do_not_crash_the_daemon(platform):
    assert platform.put(make_configuration(4, 0)) == 200
    platform.wait_all_ready()
    ip, other = platform.daemons
    upstream = platform.applications[ip].upstream
    # A daemon is ready once it knows any upstream. Only once the local application has registered does
    # the daemon know that its heartbeats report a start time, which the last heartbeat below lacks.
    wait_for(lambda: platform.request(other, "before")[1].get("x-server-stamp") == upstream)
    bodies = [
        make_beat(sequence=10**6, slots=2**70),
        make_beat(sequence=10**6, cold_left=1e300),
        make_beat(sequence=10**6, service="\ud800"),
        make_beat("draining", 10**6),
    ]
    for body in bodies:
        path = f"/Instances.Heartbeat/{upstream}"
        assert call(ip, CONTROL_PORT, "POST", path, json.dumps(body).encode())[0] == 400
    wait_for(lambda: platform.request(other, "after")[1].get("x-server-stamp") == upstream)
    assert platform.processes[ip].poll() is None
