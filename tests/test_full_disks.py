# SPDX-License-Identifier: BSD-3-Clause
"""Tests with real processes of control instances whose disks refuse writes for a time."""

import hashlib
import json
import resource
import signal
from contextlib import contextmanager
from pathlib import Path

import pytest
from conftest import Operator

from lanedock.testing.mesh import LocalMesh, MeshProcess

EXIT_APPLIED = 0
# Seconds within which an operator's command has to succeed beside one full disk: elections and retries.
OUTAGE_TIMEOUT = 60


def _add_distinct_routes(value: dict) -> None:
    """Add 300 routes that no other version has, because a log entry holds only the changes."""
    for number in range(300):
        path = hashlib.sha256(f"{value['version']}/{number}".encode()).hexdigest()
        value["routes"].append({**value["routes"][0], "name": f"other-{number}", "path": f"/{path}"})


class DiskOperator(Operator):
    """Operator who applies one version after the other, and fills and frees disks.

    A limit on the file size simulates a full disk. It holds for the process's own messages, too, so the
    data log has to be much longer than these.
    """

    version = 0

    def fill_logs(self) -> None:
        """Apply versions until the logs are long."""
        for _ in range(6):
            self.apply_next(_add_distinct_routes)

    def apply_next(self, change=_add_distinct_routes) -> None:
        """Apply the next version; it is in force everywhere."""

        def try_next() -> bool:
            self.version += 1
            return self.apply(self.version, change)[0] == EXIT_APPLIED

        self.mesh.wait_for(try_next, "a version is applied", timeout=OUTAGE_TIMEOUT)

    def status(self) -> dict:
        code, status = self.run("status")
        assert code == 0
        return status

    def replica(self, name: str) -> dict:
        """Return the status of a control instance."""
        (found,) = [item for item in self.status()["replicas"] if item["replica"] == name]
        return found

    def leader(self) -> MeshProcess:
        def find():
            return [item["replica"] for item in self.status()["replicas"] if item["leader"]]

        self.mesh.wait_for(find, "there is a leader")
        return self.mesh.controls[find()[0]]

    def limit_of(self, process: MeshProcess) -> int:
        size = (Path(process.settings["control"]["data_folder"]) / "log").stat().st_size
        assert size > 5 * process.log_path.stat().st_size
        return size // 2

    def fill(self, process: MeshProcess) -> None:
        """Let the process write no file beyond half of its log's size."""
        limit = self.limit_of(process)
        resource.prlimit(process.popen.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    def free(self, process: MeshProcess) -> None:
        limits = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        resource.prlimit(process.popen.pid, resource.RLIMIT_FSIZE, limits)

    def start_full(self, process: MeshProcess) -> None:
        """Start a process whose disk is full from the beginning."""
        with _limited_files(self.limit_of(process)):
            process.start()

    def wait_for_event(self, process: MeshProcess, event: str, count: int = 1) -> list[dict]:
        """Wait until a process has logged an event a number of times, and return its log lines."""
        self.mesh.wait_for(lambda: len(_read_events(process, event)) >= count, f"{process.name} logs {event}", process)
        return _read_events(process, event)

    def check_agreement(self) -> None:
        """Check that a further version is applied, is in force everywhere, and can be read back."""
        self.apply_next()
        status = self.status()
        assert status["accepted_version"] == self.version
        assert {item["in_force"] for item in status["daemons"]} == {self.version}
        assert self.run("diff", str(self.folder / f"v{self.version}.jsonc")) == (0, [])


@contextmanager
def _limited_files(size: int):
    """Give the processes that are started meanwhile a limit on the file size, in bytes."""
    former = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, former[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, former)


def _read_events(process: MeshProcess, event: str) -> list[dict]:
    lines = [json.loads(line) for line in process.log().splitlines() if line.startswith("{")]
    return [line for line in lines if line["event"] == event]


@pytest.fixture
def operator(mesh, tmp_path):
    """Make an operator of a mesh whose logs are long."""
    made = DiskOperator(mesh, tmp_path)
    made.fill_logs()
    return made


def test_control_instances_take_part_again_after_their_disks_were_full_in_turn(operator):
    # A refused write took a control instance out for good; the second one took the majority.
    for process in operator.mesh.controls.values():
        operator.fill(process)
        operator.apply_next()
        (failure,) = operator.wait_for_event(process, "E204")
        assert "File too large" in failure["error"] and "log" in failure["error"]
        operator.mesh.wait_for(lambda: operator.replica(process.name)["disk_error"], "the status names the disk")  # noqa: B023
        assert operator.leader() is not process
        operator.free(process)
        (recovery,) = operator.wait_for_event(process, "E209")
        assert recovery["outage_ms"] > 0
        operator.mesh.wait_for(lambda: not operator.replica(process.name)["disk_error"], "the disk is usable")  # noqa: B023
        operator.check_agreement()
    # Any two of the three are a majority only if both vote and acknowledge again.
    first, *others = operator.mesh.controls.values()
    first.kill()
    operator.check_agreement()
    first.start()
    operator.mesh.wait_listening(first)
    others[0].kill()
    operator.check_agreement()
    for process in operator.mesh.controls.values():
        assert "Traceback" not in process.log()


def test_changes_go_on_once_disks_that_were_all_full_have_space(operator):
    for process in operator.mesh.controls.values():
        operator.fill(process)
    operator.version += 1
    code, answer = operator.apply(operator.version, _add_distinct_routes, "--timeout", "3")
    assert code != EXIT_APPLIED, answer
    operator.mesh.wait_for(
        lambda: all(_read_events(process, "E204") for process in operator.mesh.controls.values()), "all disks are full"
    )
    assert not operator.status()["confirmed"]
    for process in operator.mesh.controls.values():
        operator.free(process)
    operator.check_agreement()


def test_a_control_instance_that_starts_on_a_full_disk_waits_and_then_takes_part(operator):
    # The start ended, and ended again each time that the platform started it.
    process = operator.leader()
    process.kill()
    operator.start_full(process)
    operator.wait_for_event(process, "E204")
    operator.check_agreement()
    assert process.popen.poll() is None
    operator.free(process)
    operator.wait_for_event(process, "E209")
    operator.mesh.wait_listening(process)
    other = next(control for control in operator.mesh.controls.values() if control is not process)
    other.kill()
    operator.check_agreement()


def test_a_control_instance_that_waits_for_its_disk_stops_when_it_is_asked_to(operator):
    process = operator.leader()
    process.kill()
    operator.start_full(process)
    operator.wait_for_event(process, "E204")
    process.popen.send_signal(signal.SIGTERM)
    assert process.popen.wait(10) == 0


def test_a_kill_while_the_disk_is_full_loses_nothing(operator):
    for process in operator.mesh.controls.values():
        operator.fill(process)
        operator.apply_next()
        operator.wait_for_event(process, "E204")
        process.kill()
        operator.start_full(process)
        operator.wait_for_event(process, "E204", 2)
        operator.apply_next()
        operator.free(process)
        operator.wait_for_event(process, "E209")
        operator.check_agreement()


def test_a_first_start_on_full_disks_sets_the_mesh_up_once_there_is_space(tmp_path):
    # The first start ended, and the ones after it requested admission where nobody voted.
    with LocalMesh(tmp_path / "mesh", ["nbo-a", "nbo-b", "nbo-c"], {"checklists": 1}) as mesh:
        blocked = {}
        for name, process in mesh.controls.items():
            # No folder can be made inside a file.
            blocked[name] = tmp_path / f"disk-{name}"
            blocked[name].touch()
            process.settings["control"]["data_folder"] = str(blocked[name] / "data")
            process.start("--initialize")
        for process in [*mesh.entries.values(), *mesh.upstreams.values()]:
            process.start()
        for process in mesh.controls.values():
            mesh.wait_for(lambda: _read_events(process, "E204"), "the disk is refused", process)  # noqa: B023
        for path in blocked.values():
            path.unlink()
            path.mkdir()
        for process in mesh.processes:
            mesh.wait_listening(process)
        operator = Operator(mesh, tmp_path)
        mesh.wait_for(lambda: operator.apply(1)[0] == EXIT_APPLIED, "the first version is applied", timeout=60)
