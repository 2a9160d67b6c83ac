# SPDX-License-Identifier: BSD-3-Clause
"""Tests of opening a storage, again after failures, and of reporting the outage."""

import errno

import gevent
import pytest

from lanedock.clock import monotonic
from lanedock.consensus import FileStorage, StorageError
from lanedock.consensus.tests.simulated_disk import SimulatedDisk
from lanedock.errors import ErrorCode
from lanedock.telemetry import Event, NullMetrics
from lanedock.wire import messages
from lanedock_daemon.control.disk_reports import REPORT_RETENTION, DiskReports
from lanedock_daemon.control.refusals import LOG_REQUESTS, refuse
from lanedock_daemon.control.requests import Call, QuarantineRequested, ReadRequested, SubmitRequested
from lanedock_daemon.control.storage_opening import StorageOpener
from lanedock_daemon.control.storage_recovery import (
    REPORT_INTERVAL,
    RETRY_MAX,
    StorageLost,
    StorageRecovery,
    StorageReopened,
)
from lanedock_daemon.control.tests.test_replicated_log import Events


def _fill(disk: SimulatedDisk, count: int) -> None:
    disk.error = errno.ENOSPC
    disk.fail_from = len(disk.calls)
    disk.fail_until = disk.fail_from + count


def test_a_new_folder_is_initialized_as_a_voter_once_the_disk_takes_it():
    disk = SimulatedDisk("/")
    opener = StorageOpener(FileStorage("/data", disk), "a", ["a", "b"], True)
    for number in range(40):
        _fill(disk, 1)
        disk.fail_from += number
        disk.fail_until += number
        try:
            opened = opener.open()
            break
        except StorageError as exc:
            assert exc.code is ErrorCode.DISK_FAILED
    assert opened.replica == "a@1"
    assert list(opened.restored.log.membership().voters) == ["a@1", "b@1"]
    assert not opened.is_joining


def test_a_folder_that_was_emptied_is_not_initialized_again_by_the_running_process():
    # A replica whose disk was lost must not vote under its former id.
    disk = SimulatedDisk("/")
    opener = StorageOpener(FileStorage("/data", disk), "a", ["a"], True)
    opener.open()
    disk.remove("/data/identity")
    for _ in range(2):
        with pytest.raises(StorageError) as raised:
            opener.open()
        assert raised.value.code is ErrorCode.FOREIGN_FOLDER


class Task:
    """Records the messages posted to it."""

    def __init__(self):
        self.posted: list[object] = []

    def post(self, message: object) -> None:
        self.posted.append(message)


class Outage:
    """A recovery on a disk in memory."""

    def __init__(self):
        self.disk = SimulatedDisk("/")
        opener = StorageOpener(FileStorage("/data", self.disk), "a", ["a"], True)
        self.task = Task()
        self.events = Events()
        self.recovery = StorageRecovery(opener, self.task, self.events, NullMetrics())
        self.recovery.open()

    def begin(self) -> None:
        _fill(self.disk, 10**9)
        self.recovery.begin(StorageError(ErrorCode.DISK_FAILED, "write /data/log: No space left"), monotonic())

    def wait(self) -> object:
        """Wait for a message to the task, for longer than the wait between two attempts."""
        with gevent.Timeout(10 * RETRY_MAX):
            while not self.task.posted:
                gevent.sleep(0.01)
        return self.task.posted.pop()


def test_the_storage_is_opened_again_and_the_outage_is_logged_once():
    outage = Outage()
    outage.begin()
    gevent.sleep(0.4)
    assert not outage.task.posted
    assert outage.recovery.is_active
    outage.disk.fail_until = 0
    assert isinstance(outage.wait(), StorageReopened)
    outage.recovery.end(monotonic())
    assert not outage.recovery.is_active
    assert outage.events.emitted == [Event.DISK_FAILED, Event.DISK_RECOVERED]


def test_attempts_come_at_a_bounded_pace_also_where_they_succeed_and_the_next_write_fails():
    outage = Outage()
    began_at = monotonic()
    for _ in range(4):
        outage.begin()
        outage.disk.fail_until = 0
        assert isinstance(outage.wait(), StorageReopened)
        outage.recovery.end(monotonic())
    # 0.1, 0.2, 0.4 and 0.8 s.
    assert monotonic() - began_at >= 1.5


def test_a_corrupt_log_is_reported_once_and_not_taken_for_a_full_disk():
    outage = Outage()
    outage.begin()
    outage.disk.overwrite("/data/log", b"damaged")
    outage.disk.fail_until = 0
    assert isinstance(outage.wait(), StorageLost)
    gevent.sleep(0.5)
    assert not outage.task.posted
    assert outage.events.emitted == [Event.DISK_FAILED, Event.LOG_CORRUPT]
    outage.recovery.stop()


def test_an_outage_is_reported_at_intervals():
    outage = Outage()
    assert outage.recovery.take_report(monotonic()) is None
    outage.begin()
    now = monotonic()
    report = outage.recovery.take_report(now)
    assert "No space left" in report.error
    assert outage.recovery.take_report(now + REPORT_INTERVAL / 2) is None
    assert outage.recovery.take_report(now + REPORT_INTERVAL).outage_ms >= 1000 * REPORT_INTERVAL
    outage.recovery.stop()


def test_a_report_of_a_full_disk_counts_until_it_ends_or_is_not_repeated():
    reports = DiskReports()
    reports.receive("b@1", messages.DiskReport(error="full", outage_ms=500), 10.0)
    assert reports.find("b", 11.0).outage_ms == 1500
    assert reports.find("c", 11.0) is None
    assert reports.find("b", 10.1 + REPORT_RETENTION) is None
    reports.receive("b@1", messages.DiskReport(), 11.0)
    assert reports.find("b", 11.0) is None


class RecordingCall(Call):
    """Records its replies."""

    def __init__(self):
        super().__init__()
        self.replies: list[object] = []

    def reply(self, message: object) -> None:
        self.replies.append(message)


@pytest.mark.parametrize("kind", LOG_REQUESTS)
def test_operators_are_refused_with_a_code_while_the_disk_is_full(kind):
    call = RecordingCall()
    if kind is ReadRequested:
        item = ReadRequested(call)
    elif kind is SubmitRequested:
        item = SubmitRequested(call, messages.SubmitRequest(version=3), None)
    else:
        item = kind(call, None)
    refuse(item, "full")
    code = call.replies[0].code
    assert getattr(code, "code", code) == ErrorCode.DISK_FAILED.code


def test_a_request_that_rests_on_no_write_is_not_refused():
    with pytest.raises(TypeError):
        refuse(QuarantineRequested(RecordingCall(), None), "full")
