# SPDX-License-Identifier: BSD-3-Clause
"""Zones that are cut off from one another, between real processes (see `links.py`)."""

import time

import pytest
from crash_mesh import GAP, MAX_ARRIVALS, SERVED, SETTLE, Background, CrashMesh, make_routes
from crashing_application import POISON
from platform_processes import read_version, wait_for

# Seconds after a cut or its end in which callers may notice it: links fall silent, and other
# upstreams are found.
NOTICED = 5.0


@pytest.fixture
def mesh(tmp_path):
    made = CrashMesh(tmp_path, 0.0, is_severable=True)
    try:
        made.start_ready(make_routes(4, 0))
        yield made
    finally:
        made.stop()


def _in_zone(mesh: CrashMesh, zone: str) -> list[int]:
    return [number for number, ip in enumerate(mesh.daemons) if mesh.zone(ip) == zone]


def test_two_zones_that_have_counted_one_and_two_crashes_learn_of_each_other_by_the_third(mesh):
    """The request crashes two upstreams in one zone and one in another, which don't reach each other."""
    request = ("GET", f"/c/{POISON}")
    mesh.sever(("z0", "z1"))
    time.sleep(NOTICED)
    harmless = Background(mesh, "/c/harmless-{caller}-{number}")
    since = mesh.crash_three_and_settle(request, [*_in_zone(mesh, "z0"), *_in_zone(mesh, "z1")])
    for number in range(4 * len(mesh.daemons)):
        mesh.send(number, *request)
        time.sleep(GAP)
    harmless.stop()
    assert mesh.arrivals(request[1], since) <= MAX_ARRIVALS
    assert harmless.served(since) >= SERVED


def test_zones_that_are_cut_off_from_one_another_serve_on_and_never_by_a_replaced_version(mesh):
    """A majority goes on; the third zone answers no read by what was replaced, and takes the new one after it."""
    mesh.sever(("z0", "z1"), ("z0", "z2"))
    time.sleep(NOTICED)
    harmless = Background(mesh, "/c/harmless-{caller}-{number}")
    assert mesh.put_at(mesh.controls[1:], make_routes(5, 4)) == 200
    acked_at = time.monotonic()
    behind_the_cut = []
    while time.monotonic() < acked_at + SETTLE:
        for ip in mesh.controls[1:]:
            status, version = read_version(ip)
            assert status != 200 or version == 5
        behind_the_cut.append(read_version(mesh.controls[0]))
        time.sleep(GAP)
    harmless.stop()
    assert harmless.served(acked_at) >= SERVED
    # It is not told of version 5, and so answers none.
    assert not any(status == 200 for status, _ in behind_the_cut), behind_the_cut
    mesh.sever()
    wait_for(lambda: all(read_version(ip) == (200, 5) for ip in mesh.controls))
    mesh.wait_all_ready()
