# SPDX-License-Identifier: BSD-3-Clause
"""Tests that crowds of clients which stay inside the limits of single requests end no process.

Each crowd is small, and the settings of the processes state little memory and few descriptors. What is checked does
not depend on the machine's speed: that the processes live, that their memory and descriptors stay within what the
settings state, and that an ordinary request is answered while the crowd is still connected, and afterwards.
"""

import http.client
import signal

import pytest
from misbehaving_clients import (
    CROWD_TIME,
    LONG_ANSWER,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    ClientKind,
    Crowd,
    LimitedMesh,
    Usage,
    make_head,
    make_header_lines,
)
from platform_processes import CONTROL_PORT, INBOUND_PORT, OUTBOUND_PORT, call, wait_for

MANY_LINES = make_header_lines(15_600)
MANY_NAMES = make_header_lines(15_600, lambda number: f"{number % 4096:03x}")
PIPELINED = 32
BODY = bytes(200_000)
# Almost a whole body of two million bytes; the last ten never come.
ALMOST_WHOLE = make_head("/a/b/x", b"Content-Length: 2000000\r\n", "POST") + bytes(1_999_990)
CHUNKED = make_head("/a/b/x", b"Transfer-Encoding: chunked\r\n", "POST")
WHOLE_BODY = make_head("/a/b/x", b"Content-Length: 200000\r\n", "POST") + BODY

UNFINISHED_HEADS = ClientKind(250, make_head("/c/x", MANY_LINES)[:-2])
PIPELINED_HEADS = ClientKind(40, make_head("/c/slow", MANY_LINES) * PIPELINED)
SMALL_CHUNKS = ClientKind(40, CHUNKED + b"2\r\nab\r\n" * 400_000)
LONG_ANSWERS = ClientKind(200, make_head("/c/long") * PIPELINED, pace=100)
CROWDS = {
    "unfinished heads": [UNFINISHED_HEADS],
    "pipelined heads of one name": [PIPELINED_HEADS],
    "pipelined heads of many names": [ClientKind(40, make_head("/c/slow", MANY_NAMES) * PIPELINED)],
    "pipelined heads to the upstream beside the daemon": [
        ClientKind(40, make_head("/a/b/slow", MANY_LINES) * PIPELINED)
    ],
    "bodies in small chunks": [SMALL_CHUNKS],
    "bodies without their last bytes": [ClientKind(300, ALMOST_WHOLE)],
    "bodies that are never sent": [
        ClientKind(300, make_head("/a/b/x", b"Content-Length: 2000000\r\nExpect: 100-continue\r\n", "POST"))
    ],
    "pipelined bodies": [ClientKind(120, WHOLE_BODY * PIPELINED)],
    "bodies in small chunks and pipelined heads": [ClientKind(20, SMALL_CHUNKS.data), PIPELINED_HEADS],
    "one long answer each": [ClientKind(250, make_head("/c/long"), pace=100)],
    "pipelined long answers": [LONG_ANSWERS],
    "pipelined long answers that nobody reads": [ClientKind(200, LONG_ANSWERS.data)],
    "long answers in HTTP/1.0": [ClientKind(250, make_head("/c/long", version="1.0"), pace=100)],
    "pipelined requests for heads": [ClientKind(250, make_head("/c/slow", method="HEAD") * PIPELINED, pace=100)],
    "all kinds": [UNFINISHED_HEADS, PIPELINED_HEADS, SMALL_CHUNKS, LONG_ANSWERS],
    "an upstream's daemon": [ClientKind(40, make_head("/a/b/slow", MANY_LINES) * PIPELINED, role="upstream")],
    "operators' calls without their last bytes": [
        ClientKind(
            400, make_head("/Config.Put", b"Content-Length: 4000000\r\n", "POST") + bytes(3_999_990), role="control"
        )
    ],
}


@pytest.fixture
def mesh(tmp_path):
    processes = LimitedMesh(tmp_path)
    try:
        processes.start_serving()
        yield processes
    finally:
        processes.stop()


class Watch:
    """What all processes of a mesh hold."""

    def __init__(self, mesh: LimitedMesh):
        self._mesh = mesh
        self.usages = {ip: Usage(process.pid) for ip, process in mesh.processes.items()}

    def look(self) -> None:
        """Update what each process holds."""
        for usage in self.usages.values():
            usage.look()

    def check(self) -> None:
        """Assert that all processes stayed within their memory and descriptors."""
        for usage in self.usages.values():
            assert usage.memory_bytes <= MEMORY_MB * 1_000_000
            assert usage.descriptors <= MAX_DESCRIPTORS

    def check_alive(self) -> None:
        """Assert that no process has ended."""
        assert {ip: process.poll() for ip, process in self._mesh.processes.items()} == dict.fromkeys(self.usages)


def _make_crowd(mesh: LimitedMesh, name: str) -> Crowd:
    target = mesh.daemons[0]
    addresses = {
        "daemon": (target, OUTBOUND_PORT),
        "upstream": (target, INBOUND_PORT),
        "control": (mesh.controls[0], CONTROL_PORT),
    }
    return Crowd(CROWDS[name], addresses)


def _ask(mesh: LimitedMesh) -> bool:
    headers = {"Host": "shop.example", "X-Request-Id": "ordinary", "X-Deadline-Ms": "3000"}
    status, _, body = call(mesh.daemons[0], OUTBOUND_PORT, "GET", "/c/x", headers=headers)
    return status == 200 and body == b"small"


def _wait_until_answered(mesh: LimitedMesh) -> None:
    """Wait until an ordinary request gets its answer; refusals and closed connections are allowed before."""

    def ask() -> bool:
        try:
            return _ask(mesh)
        except http.client.HTTPException:
            return False

    wait_for(ask)


@pytest.mark.parametrize("name", CROWDS)
def test_crowd_does_not_exhaust_memory_or_descriptors(mesh, name):
    watch = Watch(mesh)
    crowd = _make_crowd(mesh, name)
    try:
        crowd.run(CROWD_TIME, watch.look)
        watch.check_alive()
        _wait_until_answered(mesh)
        watch.look()
    finally:
        crowd.stop()
        print(watch.usages)
    _wait_until_answered(mesh)
    watch.look()
    watch.check_alive()
    watch.check()


def test_process_with_a_crowd_stops_within_its_memory(mesh):
    watch = Watch(mesh)
    crowd = _make_crowd(mesh, "all kinds")
    process = mesh.processes[mesh.daemons[0]]
    try:
        crowd.run(CROWD_TIME / 2, watch.look)
        watch.check_alive()
        process.send_signal(signal.SIGTERM)
        crowd.run(CROWD_TIME / 2, watch.look)
        # No SIGKILL follows here: the process ends by itself.
        assert process.wait(60) == 0
    finally:
        crowd.stop()
        print(watch.usages)
    watch.check()


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "answer"),
    [
        ("GET", "/c/x", [("a", "")] * 3_900, b"", b"small"),
        ("GET", "/c/x", [(f"{number:03x}", "") for number in range(2_600)], b"", b"small"),
        ("POST", "/a/b/x", [], BODY * 20, BODY * 20),
        ("GET", "/c/long", [], b"", LONG_ANSWER),
    ],
    ids=["many lines", "many names", "a long body", "a long answer"],
)
def test_single_request_inside_the_limits_is_served_whole(mesh, method, path, headers, body, answer):
    conn = http.client.HTTPConnection(mesh.daemons[0], OUTBOUND_PORT, timeout=30)
    conn.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
    for name, value in [("Host", "shop.example"), ("X-Request-Id", "one"), ("X-Deadline-Ms", "10000"), *headers]:
        conn.putheader(name, value)
    if body:
        conn.putheader("Content-Length", str(len(body)))
    conn.endheaders(body or None)
    response = conn.getresponse()
    assert (response.status, response.read()) == (200, answer)
    conn.close()


def test_body_in_small_chunks_is_passed_on_whole(mesh):
    conn = http.client.HTTPConnection(mesh.daemons[0], OUTBOUND_PORT, timeout=30)
    headers = {"Host": "shop.example", "X-Request-Id": "one", "X-Deadline-Ms": "10000"}
    conn.request("POST", "/a/b/x", iter([b"ab"] * 20_000), headers, encode_chunked=True)
    response = conn.getresponse()
    assert response.status == 200
    response.read()
    conn.close()
