# SPDX-License-Identifier: BSD-3-Clause
"""Heartbeats of another writer, without `born`, reach a daemon whose backend is draining."""

import json
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from fleet2 import BOUNDS, HEARTBEAT_S, TROUBLE, Fleet, main, make_config, make_route  # noqa: E402

SERVES_S = 8.0  # seconds for which the backend serves while it is draining ("sometimes many seconds")


class OtherWriter:
    """Sends heartbeats that lack the field `born`, of an id of its own."""

    def __init__(self, fleet: Fleet, ip: str, service: str):
        self._fleet, self._ip, self._service = fleet, ip, service
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        fleet, sequence = self._fleet, 0
        while not self._stop.is_set():
            sequence += 1
            beat = {
                "address": f"{self._ip}:{fleet.app_port}",
                "info": {"service": self._service, "version": "v1", "zone": fleet.zone(self._ip), "slotCount": 12},
                "status": {"state": "ready", "callSeq": sequence, "coldLeftS": 0},
            }
            body = json.dumps(beat).encode()
            status = fleet.backends[self._ip].call_daemon("/Instances.Heartbeat/i-other", body)
            fleet.record.note(f"foreign  heartbeat {sequence} of i-other at {self._ip} -> {status}")
            self._stop.wait(HEARTBEAT_S)

    def stop(self) -> None:
        self._stop.set()
        self._thread.join()


def run() -> bool:
    fleet = Fleet(CASE, ["lists"] * 4 + ["sights"] * 4)
    record = fleet.record
    services = ["lists", "sights"]
    routes = [make_route("r1", "/lists/", "lists"), make_route("r2", "/sights/", "sights")]
    try:
        fleet.start_ready(make_config(1, 0, routes, services))
        time.sleep(BOUNDS["contactS"] + 1)
        ip = fleet.daemons[0]
        backend = fleet.backends[ip]
        backend.state = "draining"  # in its heartbeats from now on
        status = backend.call_daemon(
            f"/Instances.Heartbeat/{backend.upstream}", json.dumps(backend.make_beat()).encode()
        )
        drained_at = record.note(f"draining {backend.upstream} at {ip} -> {status}")
        time.sleep(0.5)
        writer = OtherWriter(fleet, ip, "sights") if TROUBLE else None
        started_on = {}
        while time.monotonic() < drained_at + SERVES_S:
            for machine in fleet.daemons:
                for path in ("/lists/wetland", "/sights/heron"):
                    started_on[fleet.request(machine, path)[0]] = machine
            time.sleep(0.1)
        if writer is not None:
            writer.stop()
        wrong = [
            (request_id, caller)
            for each in fleet.backends.values()
            for _, request_id, caller in each.runs
            if caller != fleet.services[started_on[request_id]]
        ]
        for request_id, caller in wrong[:20]:
            began_at = started_on[request_id]
            words = f"{request_id} began at {began_at} ({fleet.services[began_at]}) and ran as a request of {caller!r}"
            record.note(f"BROKEN   {words}")
        ran = sum(len(each.runs) for each in fleet.backends.values())
        text = f"{len(started_on)} sent, {ran} run, {len(wrong)} of a wrong caller"
        record.note(f"result   {text}")
        print(text)
        return not wrong
    finally:
        fleet.stop()


main(run)
