# SPDX-License-Identifier: BSD-3-Clause
"""A soak: faults in series and overlapping, while requests, requests that crash, and changes go on.

Processes are suspended, paused, killed and stopped as planned; applications crash, are replaced, and
state rate limits and drains in their answers; zones are cut off.

By hand, for so many seeds: ``python tests/soak.py --seeds 50``. A seed draws the faults and their
order; what the processes make of them differs between runs.
"""

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
    # As pytest has them.
    sys.path[:0] = [str(TESTS), str(TESTS.parent / "platform")]

from advertised_facts import find_excess, find_late_arrivals  # noqa: E402
from crash_mesh import (  # noqa: E402
    DAEMONS,
    MAX_ARRIVALS,
    SERVED,
    SETTLE,
    Background,
    CrashMesh,
    make_routes,
)
from crashing_application import POISON  # noqa: E402
from platform_processes import read_version  # noqa: E402

__all__ = ["Soak"]

# Seconds after an order's acknowledgement from which no read may be older.
APPLY_LIMIT = 2.0
# Seconds without faults at the end, and those at its end in which the harmless requests count: a
# daemon that was killed has to start and find its application first.
CALM = 8.0
CALM_JUDGED = 3.0
# Part of the applications that may limit their rate at once: the others bear the load.
LIMITED_PART = 3
CUT_ZONE, OTHER_ZONES = "z0", ["z1", "z2"]


class Cuts:
    """Cuts off one zone from another, or from both where two cuts overlap.

    Always the zone of the control instance that may be killed: the two others are a majority.

    Parameters
    ----------
    mesh : CrashMesh
    """

    def __init__(self, mesh: CrashMesh):
        self._mesh = mesh
        self._lock = threading.Lock()
        self._severed: list[str] = []
        # Monotonic seconds, with those in which it learns after it of what it hadn't heard.
        self._alone: list[tuple[float, float]] = []
        self._alone_since: float | None = None

    def cut(self, zone: str, seconds: float) -> None:
        """Cut off the zone from this one for a while."""
        self._change(lambda: self._severed.append(zone))
        time.sleep(seconds)
        self._change(lambda: self._severed.remove(zone))

    def _change(self, change) -> None:
        with self._lock:
            change()
            self._mesh.sever(*{(CUT_ZONE, zone) for zone in self._severed})
            is_alone = set(self._severed) == set(OTHER_ZONES)
            if is_alone and self._alone_since is None:
                self._alone_since = time.monotonic()
            elif not is_alone and self._alone_since is not None:
                self._alone.append((self._alone_since, time.monotonic() + SETTLE))
                self._alone_since = None

    def was_alone(self, ip: str, at: float) -> bool:
        """Whether an instance could not be told what happened in the other zones."""
        return self._mesh.zone(ip) == CUT_ZONE and any(begin <= at <= end for begin, end in self._alone)


class Soak:
    """One run.

    Parameters
    ----------
    folder : Path
        For settings, logs and data.
    seed : int
    daemons : int
        In all, with an application each.

    Attributes
    ----------
    findings : list of str
        What was broken.
    """

    def __init__(self, folder: Path, seed: int, daemons: int = DAEMONS):
        self.findings: list[str] = []
        self._rng = Random(seed)
        self._mesh = CrashMesh(folder, self._rng.choice([0.0, 0.05, 0.15]), daemons, is_severable=True)
        self._is_over = threading.Event()
        self._acked: list[tuple[float, int]] = []
        self._faults = [self._suspend, self._pause, self._kill, self._stop, self._crash, self._release, self._cut]
        self._faults += [self._limit, self._leave]
        self._limiting = threading.Semaphore(daemons // LIMITED_PART)
        self._cuts = Cuts(self._mesh)
        self._poisons: list[tuple[str, str, bytes]] = []
        self._writes = 0
        # Faults overlap; of two that start one instance again the second waits, or a process
        # would be left behind that nobody knows of.
        self._starting = {ip: threading.Lock() for ip in (*self._mesh.controls, *self._mesh.daemons)}

    def run(self, seconds: float) -> list[str]:
        """Run with faults for so long, and a calm end; returns the findings."""
        mesh = self._mesh
        try:
            mesh.start()
            self._put(4, 0)
            mesh.wait_all_ready()
            harmless = Background(mesh, "/c/harmless-{caller}-{number}")
            tasks = [
                threading.Thread(target=task, args=(self._rng.getrandbits(32),))
                for task in (self._send_poisons, self._send_writes, self._change, self._read)
            ]
            for task in tasks:
                task.start()
            self._break_things(time.monotonic() + seconds)
            time.sleep(CALM)
            since = time.monotonic() - CALM_JUDGED
            self._is_over.set()
            for task in tasks:
                task.join()
            harmless.stop()
            self._judge(harmless, since)
        finally:
            self._is_over.set()
            mesh.stop()
        return self.findings

    # ------------------------------------------------------------------ faults

    def _break_things(self, until: float) -> None:
        tasks = []
        while time.monotonic() < until:
            # Some begin before the one before has ended.
            task = threading.Thread(target=self._rng.choice(self._faults), args=(self._rng.getrandbits(32),))
            task.start()
            tasks.append(task)
            task.join(timeout=self._rng.uniform(0.2, 3.0))
        for task in tasks:
            task.join()

    def _choose(self, rng: Random) -> str:
        """Choose a daemon, or one control instance, always the same: the others are a majority."""
        return rng.choice([*self._mesh.daemons, self._mesh.controls[0]])

    def _signal(self, ip: str, seconds: float) -> None:
        process = self._mesh.processes[ip]
        process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def _suspend(self, seed: int) -> None:
        rng = Random(seed)
        self._signal(self._choose(rng), rng.uniform(1.0, 5.0))

    def _pause(self, seed: int) -> None:
        rng = Random(seed)
        self._signal(self._choose(rng), rng.uniform(0.1, 0.5))

    def _kill(self, seed: int) -> None:
        ip = self._choose(Random(seed))
        with self._starting[ip]:
            self._mesh.restart(ip)

    def _stop(self, seed: int) -> None:
        """Stop a daemon as planned, and start it again."""
        ip = Random(seed).choice(self._mesh.daemons)
        with self._starting[ip]:
            process = self._mesh.processes[ip]
            process.send_signal(signal.SIGCONT)
            process.terminate()
            process.wait()
            self._mesh.start_process(ip, self._mesh.make_settings("daemon", ip, False))

    def _crash(self, seed: int) -> None:
        """End an application, under whatever runs there."""
        app = Random(seed).choice(list(self._mesh.applications.values()))
        app.crash(app.upstream)

    def _release(self, seed: int) -> None:
        """Replace some applications, one after the other."""
        rng = Random(seed)
        for app in rng.sample(list(self._mesh.applications.values()), rng.randint(1, 3)):
            app.replace(rng.uniform(0.5, 1.5))

    def _limit(self, seed: int) -> None:
        """Have an application limit the rate of its requests, once or twice differently."""
        rng = Random(seed)
        app = rng.choice(list(self._mesh.applications.values()))
        with self._limiting:
            for _ in range(rng.randint(1, 2)):
                app.limit(rng.choice([0.0, rng.uniform(0.3, 2.0), rng.uniform(2.0, 8.0)]))
                time.sleep(rng.uniform(4.0, 10.0))
            app.limit(None)

    def _leave(self, seed: int) -> None:
        """Replace an application that states in its answers alone that it leaves."""
        rng = Random(seed)
        app = rng.choice(list(self._mesh.applications.values()))
        app.replace(rng.uniform(2.5, 5.0), by_answers=True)

    def _cut(self, seed: int) -> None:
        rng = Random(seed)
        self._cuts.cut(rng.choice(OTHER_ZONES), rng.uniform(0.3, 6.0))

    # -------------------------------------------------------------------- load

    def _send_poisons(self, seed: int) -> None:
        """Send one request after the other that crashes applications, each for some seconds, at any daemon."""
        rng = Random(seed)
        while not self._is_over.is_set():
            name = f"{POISON}-{len(self._poisons)}"
            request = rng.choice([("GET", f"/c/{name}", b""), ("POST", f"/a/b/{name}", b"1")])
            self._poisons.append(request)
            until = time.monotonic() + rng.uniform(4.0, 25.0)
            while time.monotonic() < until and not self._is_over.wait(rng.uniform(0.02, 0.3)):
                self._mesh.send(rng.randrange(len(self._mesh.daemons)), *request)

    def _send_writes(self, seed: int) -> None:
        """Send requests that may not be repeated, each once."""
        rng = Random(seed)
        while not self._is_over.wait(0.03):
            self._writes += 1
            self._mesh.send(rng.randrange(len(self._mesh.daemons)), "POST", f"/a/b/write-{self._writes}", b"1")

    def _put(self, version: int, base: int) -> bool:
        if self._mesh.put(make_routes(version, base, timeoutS=1 + version % 7 / 10)) != 200:
            return False
        self._acked.append((time.monotonic(), version))
        return True

    def _change(self, seed: int) -> None:
        rng, version = Random(seed), 4
        while not self._is_over.wait(rng.uniform(0.3, 2.0)):
            try:
                if self._put(version + 1, version):
                    version += 1
            except TimeoutError:
                self.findings.append(f"no answer to version {version + 1}")
                return

    def _read(self, seed: int) -> None:
        rng = Random(seed)
        while not self._is_over.wait(0.1):
            newest = max(version for at, version in self._acked if at < time.monotonic() - APPLY_LIMIT or version == 4)
            status, version = read_version(rng.choice(self._mesh.controls))
            if status == 200 and version < newest:
                self.findings.append(f"read {version} where {newest} was acknowledged")

    # ------------------------------------------------------------------ judging

    def _judge(self, harmless: Background, since: float) -> None:
        if harmless.served(since) < SERVED:
            self.findings.append(f"{harmless.served(since):.3f} of the harmless requests served in the end")
        runs: dict[str, list[tuple[float, str]]] = {}
        for ip, app in self._mesh.applications.items():
            for at, path, _ in app.arrivals:
                runs.setdefault(path, []).append((at, ip))
        for _, path, _ in self._poisons:
            ended = sorted(runs.get(path, ()))
            # A zone that is alone counts by itself, and only its own daemons reach its applications.
            late = [
                at
                for at, ip in ended
                if len(ended) >= 3 and at > ended[2][0] + SETTLE and not self._cuts.was_alone(ip, at)
            ]
            if len(late) > MAX_ARRIVALS:
                self.findings.append(f"{path} reached {len(late)} applications more, {len(ended)} in all")
        for app in self._mesh.applications.values():
            self.findings += find_excess(app, time.monotonic()) + find_late_arrivals(app)
        twice = [path for path, at in runs.items() if "/write-" in path and len(at) > 1]
        if twice:
            self.findings.append(f"ran more than once: {twice}")


def main(seeds: int = 1, first: int = 0, seconds: float = 60.0, daemons: int = DAEMONS) -> None:
    """Run some seeds one after the other; the exit code is 1 where one of them finds something."""
    failed = 0
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        findings = Soak(folder, seed, daemons).run(seconds)
        failed += bool(findings)
        print(f"seed {seed}: {'; '.join(findings) or 'nothing found'} ({folder})", flush=True)
    raise typer.Exit(int(failed > 0))


if __name__ == "__main__":
    typer.run(main)
