# SPDX-License-Identifier: BSD-3-Clause
"""Backends that leave are acknowledged; the daemon of each is killed right after that, and started again."""

import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from fleet2 import BOUNDS, TROUBLE, CannotRun, Fleet, main, make_config, make_route  # noqa: E402

# Daemons, and how many of their backends leave: two at a time, with a gap in seconds between.
DAEMONS, LEAVING, AT_A_TIME, GAP_S = 10, 5, 2, 0.8
START_DELAY_S = 0.4  # seconds from the kill of a daemon to its next start
SERVES_S = 9.0  # seconds for which a backend serves behind the acknowledgement ("sometimes many seconds")


class Leaver:
    """A backend that leaves; its daemon is killed as soon as the acknowledgement has come."""

    def __init__(self, fleet: Fleet, ip: str):
        self.backend = fleet.backends[ip]
        self.status = 0
        self.acked_at = self.started_at = 0.0
        self._fleet, self._ip = fleet, ip
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        fleet, ip = self._fleet, self._ip
        self.status = self.backend.leave(lambda: fleet.kill(ip) if TROUBLE else None)
        self.acked_at = fleet.record.note(f"leave    {self.backend.upstream} at {ip} -> {self.status}")
        if TROUBLE and self.status == 200:
            fleet.record.note(f"kill     {ip}")
            fleet.processes[ip].wait()
            time.sleep(START_DELAY_S)
            fleet.start_process(ip)
            self.started_at = fleet.record.note(f"start    {ip}")


def run() -> bool:
    fleet = Fleet(CASE, ["lists"] * DAEMONS)
    record = fleet.record
    try:
        fleet.start_ready(make_config(1, 0, [make_route("r1", "/lists/", "lists")], ["lists"]))
        time.sleep(BOUNDS["contactS"] + 1)
        leavers = []
        for number, ip in enumerate(fleet.daemons[:LEAVING]):
            if number and number % AT_A_TIME == 0:
                time.sleep(GAP_S)
            leavers.append(Leaver(fleet, ip))
        for leaver in leavers:
            leaver.thread.join()
        if any(leaver.status != 200 for leaver in leavers):
            raise CannotRun("a backend that leaves was not acknowledged")
        # Clients of the other machines, from when all machines are in touch again, while all backends still serve.
        disturbed_at = max(max(leaver.acked_at, leaver.started_at) for leaver in leavers)
        time.sleep(max(0.0, disturbed_at + BOUNDS["contactS"] + 0.2 - time.monotonic()))
        record.note("clients  begin")
        until = min(leaver.acked_at for leaver in leavers) + SERVES_S
        sent: list[tuple] = []

        def send(ip: str) -> None:
            while time.monotonic() < until:
                sent.append(fleet.request(ip, "/lists/wetland"))
                time.sleep(0.1)

        threads = [threading.Thread(target=send, args=(ip,)) for ip in fleet.daemons[LEAVING:]]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        sent_at = {request_id: at for request_id, at, _, _ in sent}
        late = 0
        for leaver in leavers:
            for at, request_id, _ in leaver.backend.runs:
                after = at - leaver.acked_at
                if request_id in sent_at and after > BOUNDS["drainS"]:
                    late += 1
                    words = f"{request_id} reached {leaver.backend.upstream} {after:.2f} s after the acknowledgement"
                    record.note(f"BROKEN   {words}")
        text = f"{len(sent)} sent, {late} reached a backend more than drainS after it had left"
        record.note(f"result   {text}")
        print(text)
        return not late
    finally:
        fleet.stop()


main(run)
