# SPDX-License-Identifier: BSD-3-Clause
"""Tests of version changes with real processes: races, resends, isolated zones, kills and lost disks."""

import asyncio
import hashlib
import json
import resource
import shutil
import signal
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from lanedock.settings import Address
from lanedock.wire import messages
from lanedock_cli.client import ControlClient

EXIT_APPLIED, EXIT_FINDINGS, EXIT_NOT_RUN, EXIT_NOT_KNOWN, EXIT_ACCEPTED = 0, 2, 3, 4, 5


def _set_deadline(milliseconds: int):
    """Return a change that sets a route deadline, so that the content differs."""

    def change(value: dict) -> None:
        value["routes"][0]["deadline_ms"] = milliseconds

    return change


def _add_distinct_routes(value: dict) -> None:
    """Add 300 routes that no other version has, because a log entry holds only the changes."""
    for number in range(300):
        path = hashlib.sha256(f"{value['version']}/{number}".encode()).hexdigest()
        value["routes"].append({**value["routes"][0], "name": f"other-{number}", "path": f"/{path}"})


def _read_status(operator) -> dict:
    code, status = operator.run("status")
    assert code == 0
    return status


def _read_versions_in_force(operator) -> set[int]:
    return {item["in_force"] for item in _read_status(operator)["daemons"]}


def _read_events(process, event: str) -> list[dict]:
    """Return the log lines of a process with an event code."""
    lines = [json.loads(line) for line in process.log().splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == event]


def _read_used_versions(process) -> list[int]:
    """Return the versions that a daemon has put in force, in order."""
    return [line["version"] for line in _read_events(process, "E304")]


def _find_leader(operator):
    (name,) = [item["replica"] for item in _read_status(operator)["replicas"] if item["leader"]]
    return operator.mesh.controls[name]


def _find_processes(mesh, zone: str) -> list:
    return [process for process in mesh.processes if process.settings["zone"] == zone]


def _send_signal(processes, number) -> None:
    for process in processes:
        process.popen.send_signal(number)


def _wait_connected(operator, count: int) -> None:
    operator.mesh.wait_for(lambda: len(_read_status(operator)["daemons"]) == count, f"{count} daemons are connected")


def test_concurrent_resent_and_outdated_versions_are_answered_consistently(operator):
    assert operator.apply(5)[0] == EXIT_APPLIED
    first = operator.run("history")[1]
    assert operator.apply(5)[1]["answer"] == "applied"
    assert operator.run("history")[1] == first

    code, answer = operator.apply(5, _set_deadline(1))
    assert (code, answer["code"]) == (EXIT_NOT_RUN, "LD2002")
    code, answer = operator.apply(4)
    assert (code, answer["code"]) == (EXIT_NOT_RUN, "LD2001")

    files = []
    for number in range(4):
        path = operator.write(6, _set_deadline(100 + number))
        files.append(path.rename(path.with_name(f"race{number}.jsonc")))
    with ThreadPoolExecutor(4) as pool:
        results = list(pool.map(lambda path: operator.run("apply", str(path)), files))
    codes = sorted(code for code, _ in results)
    assert codes == [EXIT_APPLIED, EXIT_NOT_RUN, EXIT_NOT_RUN, EXIT_NOT_RUN]
    assert {answer["code"] for _, answer in results} <= {"", "LD2002", "LD2003"}
    (winner,) = [answer["digest"] for code, answer in results if code == EXIT_APPLIED]
    assert _read_status(operator)["accepted_digest"] == winner
    assert _read_versions_in_force(operator) == {6}

    path = operator.write(7, lambda value: value["routes"][0].update(service="none"))
    code, answer = operator.run("apply", str(path))
    assert code == EXIT_FINDINGS
    assert [item["path"] for item in answer["findings"]] == ["/routes/0/service"]
    code, differences = operator.run("diff", str(operator.write(8)))
    assert {item["path"] for item in differences} == {"version", "routes/checklist-lookup/deadline_ms"}


def test_frozen_daemon_blocks_versions_and_killed_daemon_does_not_and_catches_up(operator):
    mesh = operator.mesh
    assert operator.apply(1)[0] == EXIT_APPLIED
    frozen, killed = mesh.upstreams["checklists-1"], mesh.upstreams["checklists-0"]
    frozen.popen.send_signal(signal.SIGSTOP)
    code, answer = operator.apply(2)
    frozen.popen.send_signal(signal.SIGCONT)
    assert (code, answer["code"]) == (EXIT_NOT_RUN, "LD2005")
    assert ["checklists-1" in item["message"] for item in answer["findings"]] == [True]
    assert _read_versions_in_force(operator) == {1}
    # The zone of a killed daemon can confirm that the daemon has no version in force. Until both
    # witnesses have confirmed it, two to three seconds after the kill, versions wait for the daemon,
    # and versions whose staging time expires before that are not run.
    killed.kill()
    first = 3
    while (result := operator.apply(first))[0] == EXIT_NOT_RUN:
        assert result[1]["code"] == "LD2005"
        first += 1
        assert first < 8
    assert (result[0], result[1]["required"]) == (EXIT_APPLIED, 8)
    for number in range(first + 1, 15):
        code, answer = operator.apply(number)
        assert (code, answer["required"]) == (EXIT_APPLIED, 8)
    killed.start()
    _wait_connected(operator, 9)
    mesh.wait_for(lambda: _read_versions_in_force(operator) == {14}, "the daemon has skipped to the newest version")
    assert 14 in _read_used_versions(killed)
    assert not set(range(first, 14)) & set(_read_used_versions(killed))


def test_leader_killed_during_staging_leaves_a_single_outcome(operator):
    mesh = operator.mesh
    assert operator.apply(1)[0] == EXIT_APPLIED
    frozen = mesh.upstreams["sightings-1"]
    frozen.popen.send_signal(signal.SIGSTOP)
    with ThreadPoolExecutor(1) as pool:
        job = pool.submit(operator.apply, 2)
        mesh.wait_for(lambda: _read_status(operator)["candidate_version"] == 2, "version 2 is staged")
        killed = _find_leader(operator)
        killed.kill()
        frozen.popen.send_signal(signal.SIGCONT)
        code, _ = job.result()
    again, same = operator.apply(2)
    assert again in (EXIT_APPLIED, EXIT_NOT_RUN)
    assert code in (again, EXIT_NOT_KNOWN)
    expected = 2 if again == EXIT_APPLIED else 1
    mesh.wait_for(lambda: _read_versions_in_force(operator) == {expected}, "all daemons have the same version in force")
    killed.start()
    mesh.wait_for(
        lambda: all(item["reachable"] for item in _read_status(operator)["replicas"]), "all replicas are reachable"
    )
    assert operator.apply(2)[1]["answer"] == same["answer"]


def test_frozen_leader_is_replaced_and_no_daemon_returns_to_an_older_version(operator):
    mesh = operator.mesh
    assert operator.apply(1)[0] == EXIT_APPLIED
    old = _find_leader(operator)
    old.popen.send_signal(signal.SIGSTOP)
    # The daemons of the old leader have to move to other sources before all can be reached.
    number = 1

    def try_next() -> bool:
        nonlocal number
        number += 1
        return operator.apply(number)[0] == EXIT_APPLIED

    mesh.wait_for(try_next, "a version is applied under another leader", timeout=60)
    old.popen.send_signal(signal.SIGCONT)
    mesh.wait_for(
        lambda: all(item["reachable"] for item in _read_status(operator)["replicas"]), "the former leader is reachable"
    )
    assert operator.apply(number + 1)[0] == EXIT_APPLIED
    for process in [*mesh.entries.values(), *mesh.upstreams.values()]:
        versions = _read_used_versions(process)
        assert versions == sorted(versions)
        assert versions[-1] == number + 1


def test_isolated_zone_blocks_versions_unless_the_operator_allows_it(operator):
    mesh = operator.mesh
    assert operator.apply(1)[0] == EXIT_APPLIED
    isolated_zone = "nbo-b" if _find_leader(operator).settings["zone"] == "nbo-c" else "nbo-c"
    isolated = _find_processes(mesh, isolated_zone)
    _send_signal(isolated, signal.SIGSTOP)
    code, answer = operator.apply(2)
    assert code == EXIT_NOT_RUN
    assert all(isolated_zone in item["message"] for item in answer["findings"])
    code, answer = operator.apply(3, None, "--allow-cut-off", isolated_zone)
    assert code == EXIT_ACCEPTED
    names = {process.name for process in isolated if "control" not in process.settings}
    assert set(answer["lagging"]) == names
    _send_signal(isolated, signal.SIGCONT)
    mesh.wait_for(
        lambda: _read_versions_in_force(operator) == {3} and len(_read_status(operator)["daemons"]) == 9,
        "the zone has version 3 in force",
    )


def test_without_quorum_restarted_daemon_waits_and_others_serve(operator):
    mesh = operator.mesh
    assert operator.apply(1)[0] == EXIT_APPLIED
    names = list(mesh.controls)
    for name in names[1:]:
        mesh.controls[name].kill()
    entry = mesh.entries["entry-nbo-a-0"]
    entry.kill()
    entry.start()
    mesh.wait_listening(entry)
    assert mesh.request("GET", "/checklists/1", entry=0)[0] == 503
    assert mesh.request("GET", "/checklists/1", entry=1)[0] == 200
    code, answer = operator.apply(2, None, "--timeout", "3")
    assert (code, answer["answer"]) == (EXIT_NOT_KNOWN, "not known")
    assert mesh.request("GET", "/checklists/1", entry=0)[0] == 503
    for name in names[1:]:
        mesh.controls[name].start()
    mesh.wait_for(lambda: mesh.request("GET", "/checklists/1", entry=0)[0] == 200, "the restarted daemon serves again")
    assert operator.apply(2)[0] in (EXIT_APPLIED, EXIT_NOT_RUN)


def test_accepted_version_survives_the_loss_of_two_disks_in_succession(operator):
    mesh = operator.mesh
    assert operator.apply(1)[0] == EXIT_APPLIED
    first, second = [process for process in mesh.controls.values() if process is not _find_leader(operator)]
    for lost in (first, second):
        lost.kill()
        shutil.rmtree(Path(lost.settings["control"]["data_folder"]))
        lost.start()
        mesh.wait_for(lambda process=lost: _is_voter(mesh, process), f"{lost.name} votes again", timeout=60)
    history = operator.run("history")[1]
    assert [(item["version"], item["outcome"]) for item in history] == [(1, "accepted")]
    # Only the two replaced replicas remain; they hold the accepted version.
    _find_leader(operator).kill()
    mesh.wait_for(lambda: _read_confirmed_version(operator) == 1, "a replaced replica leads", timeout=60)
    assert [item["version"] for item in operator.run("history")[1]] == [1]


def _is_voter(mesh, process) -> bool:
    """Return whether the newest incarnation of a replica is a voter according to its log."""
    identity = Path(process.settings["control"]["data_folder"]) / "identity"
    if not identity.exists():
        return False
    incarnation = identity.read_text(encoding="utf-8")
    changes = _read_events(process, "E206")
    return bool(changes) and incarnation in changes[-1]["voters"]


def _read_confirmed_version(operator) -> int:
    code, status = operator.run("status")
    return status["accepted_version"] if code == 0 and status["confirmed"] else 0


def test_killed_processes_return_with_the_accepted_version(operator):
    mesh = operator.mesh
    assert operator.apply(3)[0] == EXIT_APPLIED
    daemons = [*mesh.entries.values(), *mesh.upstreams.values()]
    for process in daemons:
        process.kill()
    for process in daemons:
        process.start()
    _wait_connected(operator, 9)
    mesh.wait_for(lambda: _read_versions_in_force(operator) == {3}, "all daemons have version 3 in force")
    assert mesh.request("POST", "/sightings", b"x")[0] == 200
    # All processes are killed together, including the control instances.
    for process in mesh.processes:
        process.kill()
    for process in mesh.processes:
        process.start()
    for process in mesh.processes:
        mesh.wait_listening(process)
    mesh.wait_for(
        lambda: _read_confirmed_version(operator) == 3 and _read_versions_in_force(operator) == {3},
        "all processes have version 3 in force",
        timeout=60,
    )
    assert operator.apply(4)[0] == EXIT_APPLIED


def test_daemon_that_missed_300_versions_skips_to_the_newest(operator):
    mesh = operator.mesh
    assert operator.apply(1)[0] == EXIT_APPLIED
    killed = mesh.upstreams["media-0"]
    killed.kill()
    assert operator.apply(2)[0] == EXIT_APPLIED
    client = ControlClient([Address.parse(text) for text in mesh.control_addresses.split(",")], None, 20.0)
    for number in range(3, 303):
        content = operator.write(number, _set_deadline(1000 + number)).read_bytes()
        request = messages.SubmitRequest(version=number, content=content)
        reply = asyncio.run(client.submit(request, lambda progress: None))
        assert reply.answer == messages.ANSWER_APPLIED
    killed.start()
    _wait_connected(operator, 9)
    mesh.wait_for(lambda: _read_versions_in_force(operator) == {302}, "the daemon has skipped to the newest version")
    assert _read_used_versions(killed) == [1, 302]


def test_full_disk_stops_only_its_own_replica(operator):
    mesh = operator.mesh
    # The size limit below applies to the log messages of the process, too, so the data log has to be
    # much longer than these.
    for number in range(1, 11):
        assert operator.apply(number, _add_distinct_routes)[0] == EXIT_APPLIED
    full = next(process for process in mesh.controls.values() if process is not _find_leader(operator))
    size = (Path(full.settings["control"]["data_folder"]) / "log").stat().st_size
    assert size > 5 * full.log_path.stat().st_size
    # The limit on the file size simulates a full disk.
    resource.prlimit(full.popen.pid, resource.RLIMIT_FSIZE, (size + 10, size + 10))

    def try_next() -> bool:
        nonlocal number
        number += 1
        return operator.apply(number)[0] == EXIT_APPLIED

    mesh.wait_for(try_next, "a version is applied without the replica", timeout=60)
    assert _read_events(full, "E204")
    assert "Traceback" not in full.log()
    assert operator.apply(number + 1)[0] == EXIT_APPLIED
    assert _read_versions_in_force(operator) == {number + 1}
    # Restarted without the limit, the replica continues from its synced log.
    full.kill()
    full.start()
    mesh.wait_for(
        lambda: all(item["reachable"] for item in _read_status(operator)["replicas"]), "all replicas are reachable"
    )
    assert operator.apply(number + 2)[0] == EXIT_APPLIED


def test_replica_with_a_flipped_bit_in_its_log_does_not_start(operator):
    mesh = operator.mesh
    assert operator.apply(1)[0] == EXIT_APPLIED
    bad = next(process for process in mesh.controls.values() if process is not _find_leader(operator))
    bad.kill()
    log = Path(bad.settings["control"]["data_folder"]) / "log"
    data = bytearray(log.read_bytes())
    data[len(data) // 2] ^= 4
    log.write_bytes(data)
    bad.start()
    assert bad.popen.wait(30) == 1
    assert "LD4001" in bad.log()
    assert _read_status(operator)["accepted_version"] == 1
