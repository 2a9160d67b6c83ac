# SPDX-License-Identifier: BSD-3-Clause
"""Zones that are cut off from one another, between real processes (see `links.py`)."""

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

# Seconds after a cut or its end in which callers may notice it: links fall silent, and other
# upstreams are found.
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


def test_two_zones_that_have_counted_one_and_two_crashes_learn_of_each_other_by_the_third(mesh):
    """The request crashes two upstreams in one zone and one in another, which don't reach each other."""
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


def test_zones_that_are_cut_off_from_one_another_serve_on_and_never_by_a_replaced_version(mesh):
    """A majority goes on; the third zone answers no read by what was replaced, and takes the new one after it."""
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
    # It is not told of version 5, and so answers none.
    assert not any(status == 200 for status, _ in isolated_reads), isolated_reads
    mesh.set_partitions()
    wait_for(lambda: all(read_version(ip) == (200, 5) for ip in mesh.controls))
    mesh.wait_all_ready()
