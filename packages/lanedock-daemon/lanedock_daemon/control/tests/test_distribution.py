# SPDX-License-Identifier: BSD-3-Clause
"""Tests of a control instance's sessions with daemons."""

import pytest

from lanedock.clock import monotonic
from lanedock.quarantine import Quarantine
from lanedock.settings import ControlSettings
from lanedock.telemetry import NullMetrics
from lanedock.wire import messages
from lanedock_daemon.control.distribution import READ_TIMEOUT, DaemonSessions
from lanedock_daemon.sessions import HEARTBEAT_INTERVAL, SILENCE_LIMIT


class FakeSession:
    """A session that records the messages sent."""

    def __init__(self):
        self.child = None
        self.heard_at = 0.0
        self.sent: list[messages.ControlMessage] = []
        self.is_closed = False

    def send(self, batch) -> None:
        self.sent += batch

    def close(self) -> None:
        self.is_closed = True

    def kinds(self) -> list[str]:
        return [message.WhichOneof("body") for message in self.sent]


def _make_sessions(**changed) -> DaemonSessions:
    values = dict.fromkeys(ControlSettings.__slots__)
    values.update(whole_files=False, relays_per_zone=2, relay_threshold=4, admissions_per_second=1000.0)
    return DaemonSessions(ControlSettings(**{**values, **changed}), NullMetrics(), Quarantine())


def _arrive(sessions: DaemonSessions, name: str, floor_token: int = 0, failed=(), zone: str = "z") -> FakeSession:
    state = messages.DaemonState(daemon=name, zone=zone, relay_host="h", relay_port=1)
    message = messages.DaemonMessage(state=state, floor_token=floor_token, failed_relays=failed)
    session = FakeSession()
    sessions.admit_or_refuse(session, message, messages.EndpointUpdate(whole=True))
    return session


def test_lost_read_is_repeated_and_its_late_answer_ignored():
    sessions = _make_sessions()
    session = _arrive(sessions, "d", floor_token=9)
    lost = sessions.next_read(0.0)
    assert sessions.next_read(READ_TIMEOUT / 2) is None
    repeated = sessions.next_read(READ_TIMEOUT * 1.1)
    assert repeated not in (None, lost)
    sessions.confirm_read(lost, 3)
    assert "floor" not in session.kinds()
    sessions.confirm_read(repeated, 4)
    assert (session.sent[-1].floor.token, session.sent[-1].floor.version) == (9, 4)


def test_read_confirms_only_floors_requested_before_it():
    sessions = _make_sessions()
    early = [_arrive(sessions, name, floor_token=1) for name in "ab"]
    token = sessions.next_read(0.0)
    late = _arrive(sessions, "c", floor_token=1)
    sessions.confirm_read(token, 2)
    assert [session.kinds()[-1] for session in [*early, late]] == ["floor", "floor", "endpoints"]
    assert sessions.next_read(0.1) is not None


def test_failed_read_is_not_repeated_for_ended_session():
    sessions = _make_sessions()
    session = _arrive(sessions, "d", floor_token=1)
    token = sessions.next_read(0.0)
    sessions.leave(session)
    sessions.fail_read(token)
    assert sessions.next_read(0.1) is None


def test_full_zone_redirects_to_relays_that_have_not_failed():
    sessions = _make_sessions()
    direct = [f"d{number}" for number in range(4)]
    for name in direct:
        assert not _arrive(sessions, name).is_closed
    referred = {}
    for number in range(20):
        session = _arrive(sessions, f"e{number}")
        if session.is_closed:
            referred[f"e{number}"] = session.sent[-1].redirect.relay
    assert len(referred) >= 12
    first = next(iter(referred))
    other = _arrive(sessions, first, failed=[referred[first]])
    assert other.sent[-1].redirect.relay != referred[first]
    # The other zone is below the relay threshold.
    assert not _arrive(sessions, "x", zone="y").is_closed


@pytest.mark.parametrize("relays", [0, 1, 3])
def test_number_of_relays_follows_the_setting(relays):
    sessions = _make_sessions(relays_per_zone=relays)
    named = set()
    for number in range(40):
        session = _arrive(sessions, f"d{number}")
        if session.is_closed:
            named.add(session.sent[-1].redirect.relay)
    # A later daemon may rank before earlier ones, which stay relays.
    assert len(named) >= relays
    assert bool(named) == bool(relays)


def test_daemons_above_admission_burst_get_increasing_retry_delays():
    sessions = _make_sessions(admissions_per_second=1.0)
    sessions = [_arrive(sessions, f"d{number}", zone=f"z{number}") for number in range(70)]
    refused = [session.sent[-1].refusal.retry_after_ms for session in sessions if session.is_closed]
    assert len(refused) == 6
    assert refused == sorted(refused)


def test_silent_daemon_is_closed_and_reported_gone():
    """Guards against a leader that waits for a daemon whose stream accepts messages but answers none."""
    sessions = _make_sessions()
    silent, other = _arrive(sessions, "silent"), _arrive(sessions, "other")
    sessions.make_report(whole=True)
    arrived = monotonic()
    sessions.send_heartbeats(arrived + SILENCE_LIMIT - HEARTBEAT_INTERVAL, 1, 0.0)
    assert not (silent.is_closed or sessions.is_report_due())
    other.heard_at = arrived + SILENCE_LIMIT
    sessions.send_heartbeats(arrived + SILENCE_LIMIT + HEARTBEAT_INTERVAL, 1, 0.0)
    assert silent.is_closed and not other.is_closed
    assert sessions.is_report_due()
    assert list(sessions.make_report(whole=False).gone) == ["silent"]


def test_reconnected_daemon_is_not_reported_gone_when_old_stream_is_silent():
    sessions = _make_sessions()
    silent = _arrive(sessions, "d")
    reconnected = _arrive(sessions, "d")
    arrived = monotonic()
    reconnected.heard_at = arrived + SILENCE_LIMIT
    sessions.send_heartbeats(arrived + SILENCE_LIMIT + HEARTBEAT_INTERVAL, 1, 0.0)
    assert silent.is_closed and not reconnected.is_closed
    report = sessions.make_report(whole=False)
    assert [state.daemon for state in report.changed] == ["d"] and not report.gone
