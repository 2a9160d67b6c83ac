# SPDX-License-Identifier: BSD-3-Clause
"""Soak test: injects sequential and overlapping faults under requests, crashing requests and changes.

Processes are suspended, paused, killed and stopped as planned; applications crash, are replaced, and
advertise rate limits and draining in their responses; zones are partitioned; a disk is full for a time;
callers leave while their requests are in every state.
At the end daemons are stopped as planned under callers that use their connections until the process is
gone, while changes go on.

To run 50 seeds by hand: ``python tests/soak.py --seeds 50``. The seed determines the faults and their
order; the timing of the processes still differs between runs.
"""

import resource
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path
from random import Random

import typer

TESTS = Path(__file__).parent
if __name__ == "__main__":
    # The import paths that pytest sets up.
    sys.path[:0] = [str(TESTS), str(TESTS.parent / "platform")]

from advertised_facts import find_arrivals_after_drain, find_rate_violations  # noqa: E402
from crash_mesh import (  # noqa: E402
    DAEMONS,
    MAX_ARRIVALS,
    MIN_SERVED_FRACTION,
    QUARANTINE_DELAY,
    BackgroundLoad,
    CrashMesh,
    make_routes,
)
from crashing_application import POISON  # noqa: E402
from leaving_callers import LeavingCallers, find_late_arrivals  # noqa: E402
from platform_processes import read_version  # noqa: E402
from stop_rounds import GRACE, StopRounds  # noqa: E402
from stop_scenarios import SCENARIOS  # noqa: E402

__all__ = ["Soak", "list_stop_scenarios"]

# Seconds after a configuration is acknowledged from which no read may return an older version.
READ_CONSISTENCY_DELAY = 2.0
# Seconds without faults at the end of a run, and the last seconds of these in which harmless requests
# are measured: a killed daemon has to start and discover its application first.
RECOVERY_TIME = 8.0
MEASURED_RECOVERY_TIME = 3.0
# Seconds after the last crashing request until no application is restarting any more.
CALM_TIME = 3.0
# At most 1 / LIMITED_DIVISOR of the applications limit their rate at once: the others carry the load.
LIMITED_DIVISOR = 3
ISOLATED_ZONE, OTHER_ZONES = "z0", ["z1", "z2"]


class ZonePartitions:
    """Network partitions between `ISOLATED_ZONE` and one or both of the other zones.

    `ISOLATED_ZONE` holds the control instance that may be killed; the other two zones hold a majority.

    Parameters
    ----------
    mesh : CrashMesh
    """

    def __init__(self, mesh: CrashMesh):
        self._mesh = mesh
        self._lock = threading.Lock()
        self._partitioned: list[str] = []
        # Start and end of each isolation in monotonic seconds; the end includes the time in which the zone
        # learns of the events that it missed.
        self._isolated_periods: list[tuple[float, float]] = []
        # The same of each partition, of whatever zones.
        self._periods: list[tuple[float, float]] = []
        self._isolated_since: float | None = None

    def partition_for(self, zone: str, seconds: float) -> None:
        """Partition `ISOLATED_ZONE` from another zone for a number of seconds."""
        began_at = time.monotonic()
        self._update(lambda: self._partitioned.append(zone))
        time.sleep(seconds)
        self._update(lambda: self._partitioned.remove(zone))
        self._periods.append((began_at, time.monotonic() + QUARANTINE_DELAY))

    def _update(self, change) -> None:
        with self._lock:
            change()
            self._mesh.set_partitions(*{(ISOLATED_ZONE, zone) for zone in self._partitioned})
            is_isolated = set(self._partitioned) == set(OTHER_ZONES)
            if is_isolated and self._isolated_since is None:
                self._isolated_since = time.monotonic()
            elif not is_isolated and self._isolated_since is not None:
                self._isolated_periods.append((self._isolated_since, time.monotonic() + QUARANTINE_DELAY))
                self._isolated_since = None

    def overlaps(self, begin: float, end: float) -> bool:
        """Whether zones were partitioned at some time between two monotonic times in seconds."""
        return any(begin <= period_end and period_begin <= end for period_begin, period_end in self._periods)

    def was_isolated(self, ip: str, at: float) -> bool:
        """Whether an instance could not learn of events in the other zones at a time in monotonic seconds."""
        return self._mesh.zone(ip) == ISOLATED_ZONE and any(begin <= at <= end for begin, end in self._isolated_periods)


def list_stop_scenarios() -> list[str]:
    """Return the names of the kinds of planned stops that the soak's mesh can play.

    The others need a mesh of their own: more daemons, shaped links, faulty applications or other time limits.
    """
    return [name for name, one in SCENARIOS.items() if one.has_grace and not one.slow_share and one.daemons <= DAEMONS]


class Soak:
    """One run of the soak test.

    Parameters
    ----------
    folder : Path
        Folder for settings, logs and data.
    seed : int
    daemons : int
        Total number of daemons, each with an application.

    Attributes
    ----------
    findings : list of str
        Violated requirements.
    """

    def __init__(self, folder: Path, seed: int, daemons: int = DAEMONS):
        self.findings: list[str] = []
        self._seed = seed
        self._rng = Random(seed)
        self._mesh = CrashMesh(folder, self._rng.choice([0.0, 0.05, 0.15]), daemons, is_partitionable=True)
        self._mesh.grace = GRACE
        self._stop_event = threading.Event()
        # Set when no more requests that crash applications are sent.
        self._calm_event = threading.Event()
        self._acknowledged: list[tuple[float, int]] = []
        self._faults = [
            self._suspend,
            self._pause,
            self._kill,
            self._stop,
            self._crash,
            self._replace_several,
            self._partition_zones,
        ]
        self._faults += [self._limit, self._drain_by_responses, self._fill_disk]
        self._limit_slots = threading.Semaphore(daemons // LIMITED_DIVISOR)
        self._partitions = ZonePartitions(self._mesh)
        self._crashing_requests: list[tuple[str, str, bytes]] = []
        self._writes = 0
        # Faults overlap: the lock of an instance serialises its restarts, since two concurrent restarts
        # would leave an untracked process behind.
        self._restart_locks = {ip: threading.Lock() for ip in (*self._mesh.controls, *self._mesh.daemons)}

    def run(self, seconds: float) -> list[str]:
        """Inject faults for a number of seconds, let the mesh recover, and return the findings."""
        mesh = self._mesh
        try:
            mesh.start()
            self._put(4, 0)
            mesh.wait_all_ready()
            harmless = BackgroundLoad(mesh, "/c/harmless-{caller}-{number}")
            leaving = LeavingCallers(mesh.daemons, self._seed)
            tasks = [
                threading.Thread(target=task, args=(self._rng.getrandbits(32),))
                for task in (self._send_crashing_requests, self._send_writes, self._put_versions, self._check_reads)
            ]
            for task in tasks:
                task.start()
            self._inject_faults(time.monotonic() + seconds)
            leaving.stop()
            time.sleep(RECOVERY_TIME)
            since = time.monotonic() - MEASURED_RECOVERY_TIME
            until = time.monotonic()
            self._calm_event.set()
            time.sleep(CALM_TIME)
            self._stop_under_callers()
            self._stop_event.set()
            for task in tasks:
                task.join()
            harmless.stop()
            self._check_results(harmless, since, until)
            applications = mesh.applications.values()
            self.findings += find_late_arrivals(leaving.left_at, applications, self._partitions.overlaps)
        finally:
            self._calm_event.set()
            self._stop_event.set()
            mesh.stop()
        return self.findings

    # ------------------------------------------------------------------ faults

    def _inject_faults(self, until: float) -> None:
        tasks = []
        while time.monotonic() < until:
            # The join times out, so that faults may overlap.
            task = threading.Thread(target=self._rng.choice(self._faults), args=(self._rng.getrandbits(32),))
            task.start()
            tasks.append(task)
            task.join(timeout=self._rng.uniform(0.2, 3.0))
        for task in tasks:
            task.join()

    def _choose_instance(self, rng: Random) -> str:
        """Choose a daemon or the first control instance; the other control instances are a majority."""
        return rng.choice([*self._mesh.daemons, self._mesh.controls[0]])

    def _suspend_for(self, ip: str, seconds: float) -> None:
        process = self._mesh.processes[ip]
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def _suspend(self, seed: int) -> None:
        rng = Random(seed)
        self._suspend_for(self._choose_instance(rng), rng.uniform(1.0, 5.0))

    def _pause(self, seed: int) -> None:
        rng = Random(seed)
        self._suspend_for(self._choose_instance(rng), rng.uniform(0.1, 0.5))

    def _kill(self, seed: int) -> None:
        ip = self._choose_instance(Random(seed))
        with self._restart_locks[ip]:
            self._mesh.restart(ip)

    def _stop(self, seed: int) -> None:
        """Stop a daemon as planned, and restart it."""
        ip = Random(seed).choice(self._mesh.daemons)
        with self._restart_locks[ip]:
            process = self._mesh.processes[ip]
            process.send_signal(signal.SIGCONT)
            process.terminate()
            process.wait()
            self._mesh.start_process(ip, self._mesh.make_settings("daemon", ip, False))

    def _crash(self, seed: int) -> None:
        """Crash an application regardless of the requests that it runs."""
        app = Random(seed).choice(list(self._mesh.applications.values()))
        app.crash(app.upstream)

    def _replace_several(self, seed: int) -> None:
        """Replace one to three applications one after the other."""
        rng = Random(seed)
        for app in rng.sample(list(self._mesh.applications.values()), rng.randint(1, 3)):
            app.replace(rng.uniform(0.5, 1.5))

    def _limit(self, seed: int) -> None:
        """Have an application advertise one or two rate limits, and then none."""
        rng = Random(seed)
        app = rng.choice(list(self._mesh.applications.values()))
        with self._limit_slots:
            for _ in range(rng.randint(1, 2)):
                app.limit(rng.choice([0.0, rng.uniform(0.3, 2.0), rng.uniform(2.0, 8.0)]))
                time.sleep(rng.uniform(4.0, 10.0))
            app.limit(None)

    def _drain_by_responses(self, seed: int) -> None:
        """Replace an application that announces its draining only in responses."""
        rng = Random(seed)
        app = rng.choice(list(self._mesh.applications.values()))
        app.replace(rng.uniform(2.5, 5.0), by_responses=True)

    def _partition_zones(self, seed: int) -> None:
        rng = Random(seed)
        self._partitions.partition_for(rng.choice(OTHER_ZONES), rng.uniform(0.3, 6.0))

    def _fill_disk(self, seed: int) -> None:
        """Let the control instance that other faults hit write to no file for a time; its log lines are lost, too."""
        pid = self._mesh.processes[self._mesh.controls[0]].pid
        self._limit_files(pid, 1)
        time.sleep(Random(seed).uniform(0.3, 6.0))
        self._limit_files(pid, resource.RLIM_INFINITY)

    def _limit_files(self, pid: int, size: int) -> None:
        try:
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))
        except ProcessLookupError:
            pass  # another fault has ended the process; the next one has no limit

    # -------------------------------------------------------------------- load

    def _send_crashing_requests(self, seed: int) -> None:
        """Send crashing requests one after the other, each repeatedly for 4 to 25 s and at random daemons."""
        rng = Random(seed)
        while not self._calm_event.is_set():
            name = f"{POISON}-{len(self._crashing_requests)}"
            request = rng.choice([("GET", f"/c/{name}", b""), ("POST", f"/a/b/{name}", b"1")])
            self._crashing_requests.append(request)
            until = time.monotonic() + rng.uniform(4.0, 25.0)
            while time.monotonic() < until and not self._calm_event.wait(rng.uniform(0.02, 0.3)):
                self._mesh.send(rng.randrange(len(self._mesh.daemons)), *request)

    def _send_writes(self, seed: int) -> None:
        """Send requests that must not be retried, each once."""
        rng = Random(seed)
        while not self._stop_event.wait(0.03):
            self._writes += 1
            self._mesh.send(rng.randrange(len(self._mesh.daemons)), "POST", f"/a/b/write-{self._writes}", b"1")

    def _put(self, version: int, base: int) -> bool:
        if self._mesh.put(make_routes(version, base, timeoutS=1 + version % 7 / 10)) != 200:
            return False
        self._acknowledged.append((time.monotonic(), version))
        return True

    def _put_versions(self, seed: int) -> None:
        rng, version = Random(seed), 4
        while not self._stop_event.wait(rng.uniform(0.3, 2.0)):
            try:
                if self._put(version + 1, version):
                    version += 1
            except TimeoutError:
                self.findings.append(f"no control instance answered the put of version {version + 1}")
                return

    def _check_reads(self, seed: int) -> None:
        rng = Random(seed)
        while not self._stop_event.wait(0.1):
            newest = max(
                version
                for at, version in self._acknowledged
                if at < time.monotonic() - READ_CONSISTENCY_DELAY or version == 4
            )
            status, version = read_version(rng.choice(self._mesh.controls))
            if status == 200 and version < newest:
                self.findings.append(f"read version {version} after version {newest} was acknowledged")

    # ------------------------------------------------------------------ judging

    def _stop_under_callers(self) -> None:
        """Stop daemons as planned in a random scenario; no request may be cut."""
        scenario = SCENARIOS[self._rng.choice(list_stop_scenarios())]
        result = StopRounds(self._mesh, self._rng.getrandbits(32), scenario).run_round()
        self.findings += result.faults

    def _check_results(self, harmless: BackgroundLoad, since: float, until: float) -> None:
        served = harmless.served_fraction(since, until)
        if served < MIN_SERVED_FRACTION:
            self.findings.append(f"{served:.3f} of the harmless requests were served after recovery")
        runs: dict[str, list[tuple[float, str]]] = {}
        for ip, app in self._mesh.applications.items():
            for at, path, _ in app.arrivals:
                runs.setdefault(path, []).append((at, ip))
        for _, path, _ in self._crashing_requests:
            path_runs = sorted(runs.get(path, ()))
            # An isolated zone counts crashes on its own, and only its own daemons reach its applications.
            late = [
                at
                for at, ip in path_runs
                if len(path_runs) >= 3
                and at > path_runs[2][0] + QUARANTINE_DELAY
                and not self._partitions.was_isolated(ip, at)
            ]
            if len(late) > MAX_ARRIVALS:
                self.findings.append(
                    f"{path} reached {len(late)} more applications after its third crash, {len(path_runs)} in total"
                )
        for app in self._mesh.applications.values():
            self.findings += find_rate_violations(app, time.monotonic()) + find_arrivals_after_drain(app)
        twice = [path for path, at in runs.items() if "/write-" in path and len(at) > 1]
        if twice:
            self.findings.append(f"requests that must not be retried ran more than once: {twice}")


def main(seeds: int = 1, first: int = 0, seconds: float = 60.0, daemons: int = DAEMONS) -> None:
    """Run seeds one after the other; the exit code is 1 if any of them has findings."""
    failed = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        findings = Soak(folder, seed, daemons).run(seconds)
        failed += bool(findings)
        print(f"seed {seed}: {'; '.join(findings) or 'nothing found'} ({folder})", flush=True)
    raise typer.Exit(int(failed > 0))


if __name__ == "__main__":
    typer.run(main)
