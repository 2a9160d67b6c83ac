# SPDX-License-Identifier: BSD-3-Clause
"""Zones that are cut off from one another, between real processes (see `links.py`)."""

import json
import time

import pytest
from crash_mesh import MAX_ARRIVALS, SERVED, SETTLE, Background, CrashMesh, make_routes
from crashing_application import POISON
from platform_processes import CONTROL_PORT, call, wait_for

GAP = 0.1
# Seconds after a cut or its end in which callers may notice it: links fall silent, and other
# upstreams are found.
NOTICED = 5.0


@pytest.fixture
def mesh(tmp_path):
    made = CrashMesh(tmp_path, 0.0, is_severable=True)
    try:
        made.start()
        assert made.put(make_routes(4, 0)) == 200
        for ip in made.daemons:
            made.wait_ready(ip)
        yield made
    finally:
        made.stop()


def _in_zone(mesh: CrashMesh, zone: int) -> list[int]:
    return [number for number in range(len(mesh.daemons)) if number % 3 == zone]


def _read(ip: str) -> tuple[int, int]:
    """Read the configuration at a control instance; returns the status, 0 without an answer, and the version."""
    try:
        status, _, body = call(ip, CONTROL_PORT, "GET", "/Config.Get")
    except OSError:
        return 0, 0
    return status, int(json.loads(body)["version"], 16) if status == 200 else 0


def test_two_zones_that_have_counted_one_and_two_crashes_learn_of_each_other_by_the_third(mesh):
    """The request crashes two upstreams in one zone and one in another, which don't reach each other."""
    request = ("GET", f"/c/{POISON}")
    mesh.sever(("z0", "z1"))
    time.sleep(NOTICED)
    harmless = Background(mesh, "/c/harmless-{caller}-{number}")
    for number in range(400):
        if len(mesh.crashes()) >= 3:
            break
        mesh.send([*_in_zone(mesh, 0), *_in_zone(mesh, 1)][number % 4], *request)
        time.sleep(GAP)
    third = mesh.crashes()[2]
    time.sleep(max(0.0, third + SETTLE + GAP - time.monotonic()))
    since = time.monotonic()
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
    assert _put_at(mesh, mesh.controls[1:], 5) == 200
    acked_at = time.monotonic()
    behind_the_cut = []
    while time.monotonic() < acked_at + SETTLE:
        for ip in mesh.controls[1:]:
            status, version = _read(ip)
            assert status != 200 or version == 5
        behind_the_cut.append(_read(mesh.controls[0]))
        time.sleep(GAP)
    harmless.stop()
    assert harmless.served(acked_at) >= SERVED
    # It is not told of version 5, and so answers none.
    assert not any(status == 200 for status, _ in behind_the_cut), behind_the_cut
    mesh.sever()
    wait_for(lambda: all(_read(ip) == (200, 5) for ip in mesh.controls))
    for ip in mesh.daemons:
        mesh.wait_ready(ip)


def _put_at(mesh: CrashMesh, controls: list[str], version: int) -> int:
    body = json.dumps(make_routes(version, version - 1)).encode()

    def put() -> int:
        for ip in controls:
            status = call(ip, CONTROL_PORT, "POST", "/Config.Put", body)[0]
            if status not in (307, 503):
                return status
        return 0

    return wait_for(put)
