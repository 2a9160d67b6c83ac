# SPDX-License-Identifier: BSD-3-Clause
"""Tests that a control instance counts the bytes it sends."""

from lanedock.rollout import Subscriber
from lanedock.telemetry import Event, TextMetrics
from lanedock.wire import messages
from lanedock_daemon.control.traffic import TOTALS_INTERVAL, ControlTraffic, MeteredLinks
from lanedock_daemon.transport import PeerLinks, Session


class _Events:
    def __init__(self):
        self.totals = []

    def emit(self, event, **fields):
        assert event is Event.CONTROL_TRAFFIC
        self.totals.append(fields)


class _Links(PeerLinks):
    def __init__(self):
        self.sent = []

    def start(self):
        """Nothing to do."""

    def send(self, batch):
        self.sent += batch

    def note_heard(self, sender, now):
        """Nothing to do."""


class _Session(Session):
    def __init__(self, zone):
        super().__init__()
        self.child = Subscriber(messages.DaemonState(daemon="d", zone=zone))

    def send(self, batch):
        """Nothing to do."""

    def close(self):
        """Nothing to do."""


def test_bytes_are_counted_by_purpose_and_zone():
    events, metrics = _Events(), TextMetrics()
    traffic = ControlTraffic("here", {"near": "here", "far": "there"}.get, events, metrics)
    traffic.emit(0.0)
    links = _Links()
    metered = MeteredLinks(links, traffic)
    entries = messages.PeerMessage(sender="me", receiver="far@1")
    entries.append_request.entries.add(payload=b"x" * 1000)
    reply = messages.PeerMessage(sender="me", receiver="near@1")
    reply.append_reply.accepted = True
    metered.send([entries, reply, entries])
    assert links.sent == [entries, reply, entries]
    push = messages.ControlMessage()
    push.in_force.version = 1
    traffic.count_daemon_message(_Session("here"), push, push.ByteSize())
    traffic.count_daemon_message(_Session("there"), push, push.ByteSize())
    expected = {
        "append_request_far": 2 * entries.ByteSize(),
        "append_reply_near": reply.ByteSize(),
        "daemon_in_force_near": push.ByteSize(),
        "daemon_in_force_far": push.ByteSize(),
    }
    traffic.emit(1.0)
    traffic.emit(1.0 + TOTALS_INTERVAL / 2)
    assert events.totals == [expected]
    assert 'purpose="append_request",reach="far"' in metrics.render()
