# SPDX-License-Identifier: BSD-3-Clause
"""Tests of network partitions between zones, with real processes (see `links.py`)."""

import time

import pytest
from crash_mesh import (
    MAX_ARRIVALS,
    MIN_SERVED_FRACTION,
    QUARANTINE_DELAY,
    SEND_INTERVAL,
    BackgroundLoad,
    CrashMesh,
    make_routes,
)
from crashing_application import POISON
from platform_processes import read_version, wait_for

# Seconds after the start or end of a partition in which callers may still be affected: links have to time out
# and other upstreams have to be found.
DETECTION_TIME = 5.0


@pytest.fixture
def mesh(tmp_path):
    crash_mesh = CrashMesh(tmp_path, 0.0, is_partitionable=True)
    try:
        crash_mesh.start_ready(make_routes(4, 0))
        yield crash_mesh
    finally:
        crash_mesh.stop()


def _find_daemon_numbers(mesh: CrashMesh, zone: str) -> list[int]:
    return [number for number, ip in enumerate(mesh.daemons) if mesh.zone(ip) == zone]


def test_crashes_in_two_partitioned_zones_are_counted_together_through_the_third_zone(mesh):
    """A request crashes upstreams in two zones that are partitioned from each other."""
    request = ("GET", f"/c/{POISON}")
    mesh.set_partitions(("z0", "z1"))
    time.sleep(DETECTION_TIME)
    harmless = BackgroundLoad(mesh, "/c/harmless-{caller}-{number}")
    since = mesh.crash_three_and_wait(request, [*_find_daemon_numbers(mesh, "z0"), *_find_daemon_numbers(mesh, "z1")])
    for number in range(4 * len(mesh.daemons)):
        mesh.send(number, *request)
        time.sleep(SEND_INTERVAL)
    harmless.stop()
    assert mesh.count_arrivals(request[1], since) <= MAX_ARRIVALS
    assert harmless.served_fraction(since) >= MIN_SERVED_FRACTION


def test_partitioned_zones_keep_serving_and_return_no_replaced_version(mesh):
    """The majority continues; the isolated zone returns no replaced version, and gets the new one afterwards."""
    mesh.set_partitions(("z0", "z1"), ("z0", "z2"))
    time.sleep(DETECTION_TIME)
    harmless = BackgroundLoad(mesh, "/c/harmless-{caller}-{number}")
    assert mesh.put_at(mesh.controls[1:], make_routes(5, 4)) == 200
    acknowledged_at = time.monotonic()
    isolated_reads = []
    while time.monotonic() < acknowledged_at + QUARANTINE_DELAY:
        for ip in mesh.controls[1:]:
            status, version = read_version(ip)
            assert status != 200 or version == 5
        isolated_reads.append(read_version(mesh.controls[0]))
        time.sleep(SEND_INTERVAL)
    harmless.stop()
    assert harmless.served_fraction(acknowledged_at) >= MIN_SERVED_FRACTION
    # The isolated control instance does not learn of version 5, so that it answers no read.
    assert not any(status == 200 for status, _ in isolated_reads), isolated_reads
    mesh.set_partitions()
    wait_for(lambda: all(read_version(ip) == (200, 5) for ip in mesh.controls))
    mesh.wait_all_ready()
