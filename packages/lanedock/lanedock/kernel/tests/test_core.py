# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the kernel and of task services."""

import time

import gevent
import pytest

from lanedock.errors import ErrorCode
from lanedock.kernel import Kernel, KernelError, Service, TaskService


class Recorder(Service):
    """Records its start, preparation for stopping, and stop."""

    def __init__(self, name: str, calls: list, fails: bool = False):
        self.name = name
        self.calls = calls
        self.fails = fails

    def start(self, kernel: Kernel) -> None:
        if self.fails:
            raise OSError("taken")
        self.calls.append(f"+{self.name}")

    def begin_stop(self) -> None:
        self.calls.append(f"~{self.name}")

    def stop(self) -> None:
        self.calls.append(f"-{self.name}")


class Adder(TaskService):
    """Sums the posted numbers; fails on a string."""

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


def test_services_start_in_order_and_all_prepare_to_stop_before_one_is_stopped():
    calls, kernel = [], Kernel()
    for name in ("a", "b", "c"):
        kernel.add(Recorder(name, calls))
    kernel.start()
    assert kernel.find("b").name == "b"
    kernel.stop()
    kernel.stop()
    assert calls == ["+a", "+b", "+c", "~c", "~b", "~a", "-c", "-b", "-a"]


def test_started_services_are_stopped_when_another_fails_to_start():
    calls, kernel = [], Kernel()
    for name in ("a", "b", "c"):
        kernel.add(Recorder(name, calls, fails=name == "c"))
    with pytest.raises(OSError, match="taken"):
        kernel.start()
    assert calls == ["+a", "+b", "~b", "~a", "-b", "-a"]


class _Failing(Recorder):
    """Fails when it prepares to stop and when it stops."""

    def begin_stop(self) -> None:
        raise OSError("begin")

    def stop(self) -> None:
        raise OSError("stop")


def test_failure_of_one_service_to_stop_leaves_the_stop_of_the_others_whole():
    calls, kernel = [], Kernel()
    for make, name in ((Recorder, "a"), (_Failing, "b"), (Recorder, "c")):
        kernel.add(make(name, calls))
    kernel.start()
    failures = kernel.stop()
    assert calls == ["+a", "+b", "+c", "~c", "~a", "-c", "-a"]
    assert [str(exc) for exc in failures] == ["begin", "stop"]


def test_duplicate_and_unknown_service_names_raise_kernel_errors():
    kernel = Kernel()
    kernel.add(Recorder("a", []))
    with pytest.raises(KernelError):
        kernel.add(Recorder("a", []))
    with pytest.raises(KernelError) as raised:
        kernel.find("b")
    assert raised.value.code is ErrorCode.SERVICE_MISSING


def test_a_task_handles_messages_and_ticks_until_it_is_stopped():
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
    """An event loop with wall-clock time, which steps back by an hour after five calls."""

    def __init__(self):
        self._calls = 0

    def now(self) -> float:
        self._calls += 1
        return time.time() - (3600 if self._calls > 5 else 0)


def test_a_task_without_a_tick_only_handles_messages_until_it_sets_one(monkeypatch):
    """A service whose feature is not in use must not wake the process."""
    kernel = Kernel()
    adder = Adder()
    adder._tick = None
    monkeypatch.setattr(Adder, "on_messages", lambda self, batch: setattr(self, "_tick", 0.01))
    kernel.add(adder)
    kernel.start()
    gevent.sleep(0.05)
    assert adder.ticks == 0
    adder.post(1)
    _wait_until(lambda: adder.ticks > 2)
    kernel.stop()


def test_a_backward_step_of_the_wall_clock_does_not_delay_ticks(monkeypatch):
    # Otherwise a backward step of the wall clock stops a leader's heartbeats, and another leader
    # is elected.
    kernel, task = Kernel(), Adder()
    hub = type("Hub", (), {"loop": _SteppingLoop()})
    monkeypatch.setattr(gevent, "get_hub", lambda: hub)
    kernel.add(task)
    kernel.start()
    for ticks in (10, 20):
        _wait_until(lambda ticks=ticks: task.ticks > ticks)
    kernel.stop()


def test_an_exception_in_a_task_is_reported_to_the_kernel(monkeypatch):
    monkeypatch.setattr(gevent.get_hub(), "print_exception", lambda *arguments: None)
    kernel, task = Kernel(), Adder()
    kernel.add(task)
    kernel.start()
    task.post("text")
    assert kernel.failed.wait(10)
    assert isinstance(kernel.failure, TypeError)
    kernel.stop()
