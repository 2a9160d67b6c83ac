# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the control instance's desk for daemons."""

import pytest

from lanedock.settings import ControlSettings
from lanedock.telemetry import NullMetrics
from lanedock.wire import messages
from lanedock_daemon.control.distribution import READ_PATIENCE, DistributionDesk


class FakeSession:
    """A session that keeps what is sent."""

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


def _make_desk(**changed) -> DistributionDesk:
    values = dict.fromkeys(ControlSettings.__slots__)
    values.update(whole_files=False, relays_per_zone=2, relay_threshold=4, admissions_per_second=1000.0)
    return DistributionDesk(ControlSettings(**{**values, **changed}), NullMetrics())


def _arrive(desk: DistributionDesk, name: str, floor_token: int = 0, failed=(), zone: str = "z") -> FakeSession:
    state = messages.DaemonState(daemon=name, zone=zone, relay_host="h", relay_port=1)
    message = messages.DaemonMessage(state=state, floor_token=floor_token, failed_relays=failed)
    session = FakeSession()
    desk.arrive(session, message, messages.EndpointUpdate(whole=True))
    return session


def test_a_read_that_was_lost_is_asked_again():
    desk = _make_desk()
    session = _arrive(desk, "d", floor_token=9)
    lost = desk.next_read(0.0)
    assert desk.next_read(READ_PATIENCE / 2) is None
    again = desk.next_read(READ_PATIENCE * 1.1)
    assert again not in (None, lost)
    desk.confirm_read(lost, 3)
    assert "floor" not in session.kinds()
    desk.confirm_read(again, 4)
    assert (session.sent[-1].floor.token, session.sent[-1].floor.version) == (9, 4)


def test_one_read_confirms_all_who_asked_before_it():
    desk = _make_desk()
    early = [_arrive(desk, name, floor_token=1) for name in "ab"]
    token = desk.next_read(0.0)
    late = _arrive(desk, "c", floor_token=1)
    desk.confirm_read(token, 2)
    assert [session.kinds()[-1] for session in [*early, late]] == ["floor", "floor", "endpoints"]
    assert desk.next_read(0.1) is not None


def test_who_has_left_is_not_asked_for_again():
    desk = _make_desk()
    session = _arrive(desk, "d", floor_token=1)
    token = desk.next_read(0.0)
    desk.leave(session)
    desk.fail_read(token)
    assert desk.next_read(0.1) is None


def test_a_full_zone_refers_to_its_first_daemons_and_not_to_failed_ones():
    desk = _make_desk()
    direct = [f"d{number}" for number in range(4)]
    for name in direct:
        assert not _arrive(desk, name).is_closed
    referred = {}
    for number in range(20):
        session = _arrive(desk, f"e{number}")
        if session.is_closed:
            referred[f"e{number}"] = session.sent[-1].redirect.relay
    assert len(referred) >= 12
    first = next(iter(referred))
    other = _arrive(desk, first, failed=[referred[first]])
    assert other.sent[-1].redirect.relay != referred[first]
    # Another zone is not full.
    assert not _arrive(desk, "x", zone="y").is_closed


@pytest.mark.parametrize("relays", [0, 1, 3])
def test_as_many_relays_are_used_as_told(relays):
    desk = _make_desk(relays_per_zone=relays)
    named = set()
    for number in range(40):
        session = _arrive(desk, f"d{number}")
        if session.is_closed:
            named.add(session.sent[-1].redirect.relay)
    # Later daemons may rank before earlier ones, which then stay relays.
    assert len(named) >= relays
    assert bool(named) == bool(relays)


def test_a_storm_is_told_when_to_come_back():
    desk = _make_desk(admissions_per_second=1.0)
    sessions = [_arrive(desk, f"d{number}", zone=f"z{number}") for number in range(70)]
    refused = [session.sent[-1].refusal.retry_after_ms for session in sessions if session.is_closed]
    assert len(refused) == 6
    assert refused == sorted(refused)
