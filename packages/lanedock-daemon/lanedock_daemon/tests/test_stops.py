# SPDX-License-Identifier: BSD-3-Clause
"""Tests of planned stops, with requests in progress at several servers of a daemon.

They guard against requests that are cut off without an answer. A daemon serves callers for half
of the grace time; then its servers stop one after the other, in reverse order of their start.
If each server waits for its own requests with a limit of its own, later servers still accept
requests while earlier ones wait, and the sum of the limits exceeds the grace time. Connections,
such as that of an upload sent some time after SIGTERM, are then closed without an answer half a
second before the end of the grace time, and some processes run until they are killed. All servers
and the request path therefore share one deadline for all answers.
"""

import json
import signal
import subprocess
import sys
from datetime import datetime
from types import SimpleNamespace

import pytest

from lanedock.kernel import StopPlan
from lanedock.settings import Address
from lanedock.telemetry import EventLogger
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.tests.chain import HOST, Gate, wait_until
from lanedock_daemon.stops import make_stop_plan
from lanedock_daemon.tests.stopping import (
    GRACE,
    LONG,
    LONG_BODY,
    SHORT_BODY,
    SMALL_BODY,
    SentRequests,
    SilentSide,
    StoppingDaemon,
    free_ports,
    is_listening,
    make_daemon_request,
    make_request,
    read_outcomes,
    write_entry_settings,
)

# Format of the times of log lines.
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


def _is_waiting(daemon: StoppingDaemon) -> bool:
    return daemon.upstream.limiter.waiting == 1


# For each position of a request when the daemon stops: the server at which the request arrived,
# and the outcomes of the final answers on its connection.
_POSITIONS = {
    "at the application of another daemon": ("egress", ["unknown"]),
    "in chunks at the application of another daemon": ("egress", ["unknown"]),
    "in the queue of another daemon": ("entry", ["unknown"]),
    "in the queue of another daemon, sent while the daemon stops": ("entry", ["not-run"]),
    "its long body not yet wanted": ("egress", ["not-run"]),
    "its short body not yet wanted": ("entry", ["not-run"]),
    "its body still to come": ("entry", ["not-run"]),
    "behind another on its connection": ("egress", ["unknown", "unknown"]),
    "at the application beside the daemon": ("upstream", ["unknown"]),
}


def _send_and_stop(daemon: StoppingDaemon, position: str, server: str) -> SentRequests:
    """Send a request, and begin a stop once the request has reached its position."""
    if position == "at the application beside the daemon":
        sent = daemon.begin(server, make_daemon_request("/x"))
        wait_until(lambda: daemon.own.begun)
    elif position == "its body still to come":
        sent = daemon.begin(server, make_request("/x", SHORT_BODY, sent=0))
        wait_until(lambda: daemon.kernel.find(server).in_progress)
    elif position == "in chunks at the application of another daemon":
        head = b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
        sent = daemon.begin(server, head, b"5\r\nhello\r\n0\r\n\r\n")
        wait_until(lambda: "/x" in daemon.other.begun)
    elif position == "at the application of another daemon":
        sent = daemon.begin(server, make_request("/x", SHORT_BODY))
        wait_until(lambda: "/x" in daemon.other.begun)
    else:
        before = daemon.begin(server, make_request("/before"), make_request("/x")) if "behind" in position else None
        if before is None:
            daemon.begin(server, make_request("/before"))
        wait_until(lambda: daemon.other.begun[1:])
        if "while the daemon stops" in position:
            daemon.stop()
        length = {"its long": LONG_BODY, "its short": SHORT_BODY}.get(position.partition(" body")[0], SMALL_BODY)
        sent = before or daemon.begin(server, make_request("/x", length))
        wait_until(lambda: _is_waiting(daemon))
    if daemon.stopping is None:
        daemon.stop()
    return sent


@pytest.mark.parametrize("position", _POSITIONS)
def test_every_request_that_was_read_is_answered_before_the_process_ends(make_daemon, position):
    server, outcomes = _POSITIONS[position]
    daemon = make_daemon(is_entry=server == "entry")
    # A request that is sent during the stop must then start well before the deadline.
    daemon.note_time(GRACE / 10)
    if server != "upstream":
        daemon.learn_times(server)
    sent = _send_and_stop(daemon, position, server)
    assert read_outcomes(daemon.read(sent)) == outcomes
    daemon.stopping.get(timeout=LONG)
    if "not-run" in outcomes:
        assert "/x" not in daemon.other.begun


def test_all_servers_share_one_time_limit_for_a_stop(make_daemon):
    daemon = make_daemon()
    sent = [daemon.begin("upstream", make_daemon_request("/own"))]
    sent.append(daemon.begin("egress", make_request("/other")))
    wait_until(lambda: daemon.own.begun and daemon.other.begun)
    daemon.stop()
    daemon.stopping.join(timeout=GRACE)
    assert daemon.stopping.ready()
    assert all(read_outcomes(one.received) for one in sent)


def test_applications_are_waited_for_after_servers_stop_accepting(make_daemon):
    daemon = make_daemon()
    sent = [daemon.begin("upstream", make_daemon_request("/own")), daemon.begin("egress", make_request("/x"))]
    wait_until(lambda: daemon.own.begun and daemon.other.begun)
    daemon.stop()
    wait_until(lambda: not is_listening(daemon.ports["upstream"]))
    daemon.own.opened.set()
    daemon.other.opened.set()
    assert [daemon.read(one).split(b"\r\n")[0] for one in sent] == [b"HTTP/1.1 200 OK"] * 2


class _Stream(Gate):
    """Sends half of a long answer at once, and the rest when the gate opens."""

    half = b"." * 100_000

    def __call__(self, conn, head: str, body: bytes) -> bytes:
        conn.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (2 * len(self.half)) + self.half)
        self.opened.wait()
        return self.half


def test_an_answer_in_progress_is_completed_while_the_daemon_stops(make_daemon):
    daemon = make_daemon(is_entry=True, other=_Stream())
    sent = daemon.begin("entry", make_request("/x"))
    wait_until(lambda: sent.received)
    daemon.stop()
    wait_until(lambda: not is_listening(daemon.ports["entry"]))
    daemon.other.opened.set()
    assert daemon.read(sent).endswith(b"\r\n\r\n" + 2 * _Stream.half)


@pytest.mark.parametrize(
    "grace,is_daemon,linger,deadline",
    [(6.0, True, 3.0, 5.2), (None, True, 0.0, 2.3), (None, False, 0.0, 2.0)],
)
def test_the_deadline_of_a_stop_is_computed_from_the_settings(grace, is_daemon, linger, deadline):
    daemon = object() if is_daemon else None
    plan = make_stop_plan(SimpleNamespace(stop_grace_s=grace, stop_timeout_ms=2000, daemon=daemon))
    plan.begin(0.0)
    assert (plan.linger, plan.deadline) == pytest.approx((linger, deadline))


def test_a_request_whose_handler_ignores_stops_is_answered_with_unknown():
    side = SilentSide()
    server = PathServer("operators", Address(HOST, 0), side, StopPlan(), EventLogger("c"))
    server.start(None)
    sent = SentRequests((HOST, server.port), make_request("/x"))
    wait_until(lambda: side.requests)
    server.stop()
    sent.join(timeout=LONG)
    assert read_outcomes(sent.received) == ["unknown"]


def test_stop_that_is_signalled_during_the_start_counts_from_the_signal_and_serves_no_callers(tmp_path):
    ready, entry = free_ports(2)
    path = write_entry_settings(tmp_path, ready, entry)
    # The signal comes while the services start, and half a second before they have started.
    program = (
        "import os, signal, time\n"
        "from lanedock.kernel import Kernel\n"
        "start = Kernel.start\n"
        "def start_late(kernel):\n"
        "    start(kernel)\n"
        "    os.kill(os.getpid(), signal.SIGTERM)\n"
        "    time.sleep(0.5)\n"
        "Kernel.start = start_late\n"
        "from lanedock_daemon.app import run\n"
        "run()\n"
    )
    done = subprocess.run([sys.executable, "-c", program, "--settings", path], stdout=subprocess.PIPE, timeout=LONG)
    lines = {line["message"]: line for line in map(json.loads, done.stdout.decode().splitlines())}
    assert done.returncode == 0
    assert lines["STOPPING"]["after_ms"] >= 500
    begun, ended = (datetime.strptime(lines[name]["time"], TIME_FORMAT) for name in ("STOPPING", "STOPPED"))
    assert (ended - begun).total_seconds() < GRACE / 2


def test_end_of_the_interpreter_does_not_delay_the_end_of_a_stopped_process(tmp_path):
    ready, entry = free_ports(2)
    path = write_entry_settings(tmp_path, ready, entry)
    program = (
        "import atexit, runpy, time; atexit.register(time.sleep, 600); "
        "runpy.run_module('lanedock_daemon.app', run_name='__main__')"
    )
    process = subprocess.Popen([sys.executable, "-c", program, "--settings", path], stdout=subprocess.PIPE)
    try:
        wait_until(lambda: is_listening(entry))
        process.send_signal(signal.SIGTERM)
        output = process.communicate(timeout=LONG)[0].decode()
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 0
    assert output.count('"STOPPED"') == 1


def test_signals_during_a_stop_neither_end_nor_delay_the_process(tmp_path):
    ready, entry = free_ports(2)
    path = write_entry_settings(tmp_path, ready, entry)
    process = subprocess.Popen(
        [sys.executable, "-m", "lanedock_daemon.app", "--settings", path], stdout=subprocess.PIPE
    )
    try:
        wait_until(lambda: is_listening(entry))
        # The rest of this request never arrives: the process has to stop without it.
        unfinished = SentRequests((HOST, entry), b"POST /x HTTP/1.1\r\n")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        output = process.communicate(timeout=GRACE)[0].decode()
    finally:
        process.kill()
        process.wait()
    assert process.returncode == 0
    assert [output.count(f'"{event}"') for event in ("STOPPING", "RELOADED", "STOPPED")] == [1, 1, 1]
    unfinished.join(timeout=LONG)


def test_log_of_a_request_during_a_stop_states_when_it_was_read_and_who_ended_it(make_daemon, caplog):
    caplog.set_level("INFO")
    daemon = make_daemon()
    daemon.learn_times("egress")
    sent = daemon.begin("egress", make_request("/x"))
    wait_until(lambda: "/x" in daemon.other.begun)
    daemon.stop()
    daemon.read(sent)
    daemon.stopping.get(timeout=LONG)
    lines = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    answered = [line for line in lines if line["message"] == "REQUEST_ANSWERED" and "stop_ended_ms" in line]
    assert [line["outcome"] for line in answered] == ["unknown"]
    assert answered[0]["stop_read_ms"] <= 0 < answered[0]["stop_ended_ms"]
    errors = [line["error"] for line in lines if line["message"] == "ANSWER_LOST"]
    assert len(errors) == 1
    assert errors[0].endswith("no answer before this process stopped")


@pytest.mark.parametrize("server", ["entry", "egress", "upstream"])
def test_log_of_a_stop_states_what_became_of_a_request_at_its_caller(make_daemon, caplog, server):
    # Guards against a stop whose log says that an answer was made, and not what became of it.
    caplog.set_level("INFO")
    daemon = make_daemon(is_entry=server == "entry")
    request = make_request("/x", headers="x-request-id: id-1\r\n")
    if server == "upstream":
        request = make_daemon_request("/x").replace(b"\r\n\r\n", b"\r\nx-request-id: id-1\r\n\r\n", 1)
    else:
        daemon.learn_times(server)
    gate = daemon.own if server == "upstream" else daemon.other
    sent = daemon.begin(server, request)
    wait_until(lambda: "/x" in gate.begun)
    daemon.stop()
    daemon.read(sent)
    daemon.stopping.get(timeout=LONG)
    lines = [record.msg for record in caplog.records if isinstance(record.msg, dict)]
    (end,) = [line for line in lines if line["message"] == "REQUEST_END"]
    assert (end["request"], end["server"], end["end"], end["stage"]) == ("id-1", server, "received", "answered")
    # The application beside the daemon has not registered.
    assert (end["outcome"], end["upstream"]) == ("unknown", "" if server == "upstream" else "u0")
    assert end["read_ms"] <= 0 < end["answered_ms"] <= end["ended_ms"]
    summaries = {line["server"]: line for line in lines if line["message"] == "STOP_SUMMARY"}
    assert list(summaries) == [server]
    assert [summaries[server][name] for name in ("read", "unknown", "received", "cut")] == [1, 1, 1, 0]
