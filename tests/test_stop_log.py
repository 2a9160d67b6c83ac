# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the log of a stop that SIGKILL ends, with real processes."""

import json
import signal

import pytest
from platform_processes import PlatformProcesses, wait_for

from lanedock_cli.stops import collect_stops
from lanedock_platform.tests.test_translation import make_configuration

REQUESTS = 20


@pytest.fixture
def platform(tmp_path):
    processes = PlatformProcesses(tmp_path)
    # Longer than the test: nothing but SIGKILL ends the process.
    processes.grace = 60
    try:
        processes.start_ready(make_configuration(7, 0))
        yield processes
    finally:
        processes.stop()


def _read_ends(path) -> set[str]:
    """Return the ids of the requests whose ends a log states; its last line may be torn."""
    lines = path.read_text(encoding="utf-8").split("\n")[:-1]
    values = [json.loads(line) for line in lines if line.startswith("{")]
    return {line["request"] for line in values if line["message"] == "REQUEST_END"}


def test_ends_of_requests_are_in_the_log_of_a_stop_that_sigkill_ends(platform):
    # Guards against lines that are buffered until the process ends, and lost with it.
    ip = platform.daemons[0]
    path = platform.folder / f"{ip}.log"
    process = platform.processes[ip]
    process.send_signal(signal.SIGTERM)
    wait_for(lambda: '"STOPPING"' in path.read_text(encoding="utf-8"))
    sent = [f"stop-{number}" for number in range(REQUESTS)]
    for request_id in sent:
        assert platform.request(ip, request_id)[0] == 200
    wait_for(lambda: _read_ends(path) >= set(sent))
    process.kill()
    process.wait()
    assert process.returncode == -signal.SIGKILL
    assert _read_ends(path) >= set(sent)

    (stop,) = collect_stops(f"daemon-{ip}".replace(".", "-"), [path])
    assert [line.fields["end"] for line in stop.ends if line.request in sent].count("received") >= REQUESTS
    assert stop.missing[0].startswith("no line STOPPED")
