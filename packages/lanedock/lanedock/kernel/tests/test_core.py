# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the kernel and of tasks."""

import time

import gevent
import pytest

from lanedock.errors import ErrorCode
from lanedock.kernel import Kernel, KernelError, Service, TaskService


class Recorder(Service):
    """Notes when it is started, begins to stop, and stops."""

    def __init__(self, name: str, notes: list, fails: bool = False):
        self.name = name
        self.notes = notes
        self.fails = fails

    def start(self, kernel: Kernel) -> None:
        if self.fails:
            raise OSError("taken")
        self.notes.append(f"+{self.name}")

    def begin_stop(self) -> None:
        self.notes.append(f"~{self.name}")

    def stop(self) -> None:
        self.notes.append(f"-{self.name}")


class Adder(TaskService):
    """Adds up what it is sent; a text is too much for it."""

    name = "adder"

    def __init__(self):
        super().__init__(0.01)
        self.total = 0
        self.ticks = 0

    def on_messages(self, batch: list[object]) -> None:
        self.total += sum(batch)

    def on_tick(self) -> None:
        self.ticks += 1


def _wait_until(condition) -> None:
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.002)


def test_services_start_in_order_and_all_begin_to_stop_before_one_stops():
    notes, kernel = [], Kernel()
    for name in ("a", "b", "c"):
        kernel.add(Recorder(name, notes))
    kernel.start()
    assert kernel.find("b").name == "b"
    kernel.stop()
    kernel.stop()
    assert notes == ["+a", "+b", "+c", "~c", "~b", "~a", "-c", "-b", "-a"]


def test_what_has_started_is_stopped_when_another_fails():
    notes, kernel = [], Kernel()
    for name in ("a", "b", "c"):
        kernel.add(Recorder(name, notes, fails=name == "c"))
    with pytest.raises(OSError, match="taken"):
        kernel.start()
    assert notes == ["+a", "+b", "~b", "~a", "-b", "-a"]


def test_names_are_unique_and_must_be_there():
    kernel = Kernel()
    kernel.add(Recorder("a", []))
    with pytest.raises(KernelError):
        kernel.add(Recorder("a", []))
    with pytest.raises(KernelError) as caught:
        kernel.find("b")
    assert caught.value.code is ErrorCode.SERVICE_MISSING


def test_a_task_takes_messages_and_ticks_until_it_is_stopped():
    kernel, task = Kernel(), Adder()
    kernel.add(task)
    kernel.start()
    for number in range(100):
        task.post(number)
    _wait_until(lambda: task.total == 4950 and task.ticks > 2)
    kernel.stop()
    task.post(1)
    ticks = task.ticks
    gevent.sleep(0.05)
    assert (task.total, task.ticks) == (4950, ticks)


class _SteppingLoop:
    """An event loop whose time, as the time of day, steps back by an hour once it has been asked a few times."""

    def __init__(self):
        self._asked = 0

    def now(self) -> float:
        self._asked += 1
        return time.time() - (3600 if self._asked > 5 else 0)


def test_a_step_of_the_time_of_day_does_not_hold_up_ticks(monkeypatch):
    # Found on the platform: a leader's heartbeats stopped, and another was elected.
    kernel, task = Kernel(), Adder()
    hub = type("Hub", (), {"loop": _SteppingLoop()})
    monkeypatch.setattr(gevent, "get_hub", lambda: hub)
    kernel.add(task)
    kernel.start()
    for ticks in (10, 20):
        _wait_until(lambda ticks=ticks: task.ticks > ticks)
    kernel.stop()


def test_a_task_that_fails_fails_its_kernel(monkeypatch):
    monkeypatch.setattr(gevent.get_hub(), "print_exception", lambda *arguments: None)
    kernel, task = Kernel(), Adder()
    kernel.add(task)
    kernel.start()
    task.post("text")
    assert kernel.failed.wait(10)
    assert isinstance(kernel.failure, TypeError)
    kernel.stop()
