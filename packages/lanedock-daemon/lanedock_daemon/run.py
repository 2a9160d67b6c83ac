# SPDX-License-Identifier: BSD-3-Clause
"""Runs a lanedock process: assembles its services, handles its signals, and stops it."""

import os
import signal
import sys
from random import Random

import gevent
from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode, LanedockError
from lanedock.findings import FindingsError
from lanedock.kernel import Kernel, StopPlan
from lanedock.settings import Settings, load_settings
from lanedock.telemetry import (
    Event,
    EventLogger,
    Metrics,
    MetricsGroup,
    NullMetrics,
    NullTracer,
    OtelTracer,
    StatsdMetrics,
    TextMetrics,
    Tracer,
    configure_logging,
)
from lanedock.telemetry.log import LineWriter
from lanedock_daemon.interface import Interface, OwnInterface
from lanedock_daemon.loop_watch import LoopWatch
from lanedock_daemon.path.http.messages import Answer
from lanedock_daemon.path.http.resource_guard import ResourceGuard, make_resource_guard
from lanedock_daemon.signals import EarlySignals
from lanedock_daemon.stops import make_stop_plan

__all__ = ["run_process"]

EXIT_SETTINGS = 2
EXIT_FAILED = 1
# Seconds between two flushes of the metrics.
METRICS_INTERVAL = 1.0
# Flushes of the log for each flush of the metrics.
LOG_FLUSHES = 4
# Seconds between two flushes of the log in a stop, which may end by SIGKILL.
STOP_FLUSH_INTERVAL = 0.025
# Seconds for which the end of the process waits for a reader of the log.
LAST_FLUSH_TIMEOUT = 0.1
# Seconds between two checks for a settings file that changed without a signal.
RELOAD_INTERVAL = 1.0


def run_process(
    path: str,
    initialize: bool = False,
    is_generated: bool = False,
    interface: Interface | None = None,
    early: EarlySignals | None = None,
) -> int:
    """Run a process until SIGTERM or SIGINT.

    Parameters
    ----------
    path : str
        Path of the settings file.
    initialize : bool
        Control instances only, once, when a mesh is set up: allow an empty data folder to
        vote from the start.
    is_generated : bool
        Whether a program generates the settings: the schema is then loaded only if they are
        invalid.
    interface : Interface, optional
        Protocols for callers, applications and operators. Default: lanedock's own.
    early : EarlySignals, optional
        Signals received since the process began. Default: signals are recorded from this call on.

    Returns
    -------
    int
        Exit code: 0 after a planned stop, 1 after a failure, 2 if the settings have findings.
    """
    early = early or EarlySignals()
    # Taken before the file is read, so that a change during the read is noticed.
    stamp = _read_stamp(path)
    try:
        settings = load_settings(path, is_generated)
    except FindingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    writer = configure_logging(settings.log_level)
    events = EventLogger(settings.name, settings.log_lines_per_second)
    text = TextMetrics() if settings.metrics is not None else None
    metrics = _make_metrics(settings, text)
    tracer = _make_tracer(settings)
    interface = interface or OwnInterface()
    plan = make_stop_plan(settings)
    guard = make_resource_guard(settings, plan, events, metrics)
    kernel = _make_kernel(settings, initialize, events, metrics, tracer, interface, plan, guard)
    if text is not None:
        _add_metrics(kernel, settings, text, events, guard)
    reloader = _Reloader(kernel, path, stamp, settings, events, is_generated)
    try:
        return _run(kernel, plan, settings, events, metrics, tracer, reloader, writer, early, guard)
    finally:
        early.ignore_signals()
        events.report_dropped()
        events.report_unwritten(writer)
        writer.flush(LAST_FLUSH_TIMEOUT)


def _read_stamp(path: str) -> tuple[int, int]:
    """Return a file's modification time, in nanoseconds, and its size, in bytes, to detect changes."""
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def _make_metrics(settings: Settings, text: TextMetrics | None) -> Metrics:
    members: list[Metrics] = [text] if text is not None else []
    if settings.statsd is not None:
        prefix = f"lanedock.{settings.zone}.{settings.name}"
        members.append(StatsdMetrics(settings.statsd.host, settings.statsd.port, prefix))
    if not members:
        return NullMetrics()
    return members[0] if len(members) == 1 else MetricsGroup(members)


class _MetricsHandler:
    """Serves the process's metrics."""

    def __init__(self, metrics: TextMetrics):
        self._metrics = metrics

    def handle(self, request) -> Answer:
        """Answer any request with the current metrics."""
        body = self._metrics.render().encode()
        headers = [("content-type", "text/plain; version=0.0.4"), ("content-length", str(len(body)))]
        return Answer(200, "OK", headers, [body])


def _add_metrics(
    kernel: Kernel, settings: Settings, metrics: TextMetrics, events: EventLogger, guard: ResourceGuard
) -> None:
    from lanedock_daemon.path.http.server import PathServer

    # A stop plan of its own, without time: no caller's request depends on this server.
    kernel.add(PathServer("metrics", settings.metrics, _MetricsHandler(metrics), StopPlan(), events, guard=guard))


def _make_tracer(settings: Settings) -> Tracer:
    if settings.trace is None:
        return NullTracer()
    return OtelTracer(settings.trace.file, settings.name, settings.trace.sample, Random())


def _make_kernel(
    settings: Settings,
    initialize: bool,
    events,
    metrics,
    tracer,
    interface: Interface,
    plan: StopPlan,
    guard: ResourceGuard,
) -> Kernel:
    """Assemble the services of the process's roles.

    Only the modules of these roles are imported, as a daemon's memory is limited.
    """
    kernel = Kernel()
    _add_transport(kernel, settings)
    if settings.control is not None:
        from lanedock_daemon.control import ControlService

        control = ControlService(settings, initialize, events, metrics)
        kernel.add(control)
        _add_operators(kernel, settings, control, interface, events, plan, guard)
    if settings.daemon is not None:
        from lanedock_daemon.roles import add_daemon

        add_daemon(kernel, settings, events, metrics, tracer, interface, plan, guard)
    return kernel


def _add_transport(kernel: Kernel, settings: Settings) -> None:
    if settings.transport == "framed":
        from lanedock_daemon.framed import FramedTransport

        kernel.add(FramedTransport(settings.tls))
        return
    from lanedock.kernel.loop import LoopService
    from lanedock_daemon.grpc_transport import GrpcTransport

    kernel.add(LoopService())
    kernel.add(GrpcTransport(settings.tls))


def _add_operators(
    kernel: Kernel, settings: Settings, control, interface: Interface, events, plan, guard: ResourceGuard
) -> None:
    """Serve operators over HTTP if the settings have an address for it."""
    address = settings.control.operators
    if address is None:
        return
    from lanedock_daemon.path.http.server import PathServer

    side = interface.make_operators_handler(control, settings)
    kernel.add(PathServer("operators", address, side, plan, events, guard=guard))


def _run(
    kernel: Kernel,
    plan: StopPlan,
    settings: Settings,
    events,
    metrics: Metrics,
    tracer: Tracer,
    reloader: "_Reloader",
    writer,
    early: EarlySignals,
    guard: ResourceGuard,
) -> int:
    if early.must_stop:
        events.emit(Event.STOPPED)
        return 0
    try:
        kernel.start()
    except LanedockError as exc:
        events.emit(Event.UNEXPECTED, error=exc)
        return EXIT_FAILED
    stopping = _StopSignal(early)
    gevent.signal_handler(signal.SIGHUP, reloader.reload)
    if early.must_stop:
        plan.begin(early.stopped_at, has_callers=False)
        stopping.received.set()
    if settings.tls is None:
        events.emit(Event.NO_AUTHENTICATION)
    events.emit(Event.STARTED, zone=settings.zone)
    if early.must_reload:
        reloader.reload()
    flusher = gevent.spawn(_flush, metrics, events, writer, guard)
    plan.call_at_begin(lambda: gevent.spawn(_flush_in_stop, writer))
    watcher = gevent.spawn(reloader.watch)
    loop_watch = gevent.spawn(LoopWatch(events, metrics).run)
    failure = _wait(kernel, stopping.received)
    if early.must_stop:
        plan.begin(early.stopped_at)
    events.emit(Event.STOPPING, after_ms=stopping.age_ms())
    failures = kernel.stop()
    flusher.kill()
    watcher.kill()
    loop_watch.kill()
    metrics.flush()
    tracer.close()
    if failure is not None:
        failures.insert(0, failure)
    for exc in failures:
        events.emit(Event.UNEXPECTED, error=repr(exc))
    if failures:
        return EXIT_FAILED
    events.emit(Event.STOPPED, stop_ms=round(1000 * plan.elapsed(monotonic())))
    return 0


def _wait(kernel: Kernel, stopping: Signal) -> BaseException | None:
    """Wait for a stop signal or for the failure of a service; return the failure, if any."""
    done = gevent.wait([stopping, kernel.failed], count=1)
    return kernel.failure if kernel.failed in done else None


def _flush(metrics: Metrics, events: EventLogger, writer: LineWriter, guard: ResourceGuard) -> None:
    """Flush the metrics and the buffered log lines at their intervals."""
    while True:
        for _ in range(LOG_FLUSHES):
            gevent.sleep(METRICS_INTERVAL / LOG_FLUSHES)
            writer.flush()
        guard.record_use()
        metrics.flush()
        events.report_dropped()
        events.report_unwritten(writer)


def _flush_in_stop(writer: LineWriter) -> None:
    """Flush the buffered log lines often, until the process ends."""
    while True:
        writer.flush()
        gevent.sleep(STOP_FLUSH_INTERVAL)


class _StopSignal:
    """Wakes the event loop once a stop signal was recorded.

    A signal watcher of the event loop would notice the signal only after a call that blocks the loop, and the stop
    would take longer than the grace time by as much.

    Parameters
    ----------
    early : EarlySignals

    Attributes
    ----------
    received : gevent.event.Event
        Set once the process has to stop.
    """

    __slots__ = ("_early", "_reader", "_watcher", "_writer", "received")

    def __init__(self, early: EarlySignals):
        self.received = Signal()
        self._early = early
        self._reader, self._writer = os.pipe()
        for descriptor in (self._reader, self._writer):
            os.set_blocking(descriptor, False)
        self._watcher = gevent.get_hub().loop.io(self._reader, 1)
        self._watcher.start(self._check)
        early.wake_at_signals(self._writer)

    def _check(self) -> None:
        os.read(self._reader, 4096)
        if self._early.must_stop:
            self.received.set()

    def age_ms(self) -> int:
        """Return the milliseconds since the signal was recorded; 0 if the process stops without one."""
        return round(1000 * (monotonic() - self._early.stopped_at)) if self._early.must_stop else 0


class _Reloader:
    """Applies the settings that may change while the process runs: the named control instances.

    Parameters
    ----------
    kernel : Kernel
    path : str
        Path of the settings file.
    stamp : tuple of int
        The result of `_read_stamp` before the file was read.
    settings : Settings
        The settings that the process started with.
    events : EventLogger
    is_generated : bool
        Whether a program generates the file.
    """

    def __init__(
        self, kernel: Kernel, path: str, stamp: tuple, settings: Settings, events: EventLogger, is_generated: bool
    ):
        self._is_generated = is_generated
        self._is_unreadable = False
        self._kernel = kernel
        self._path = path
        self._settings = settings
        self._events = events
        self._stamp = stamp

    def watch(self) -> None:
        """Reload whenever the file has changed without a signal, and again while it can't be read."""
        while True:
            gevent.sleep(RELOAD_INTERVAL)
            if self._is_unreadable or _read_stamp(self._path) != self._stamp:
                self.reload()

    def reload(self) -> None:
        """Read the settings again; if they have findings, keep the current ones."""
        self._stamp = _read_stamp(self._path)
        try:
            new = load_settings(self._path, self._is_generated)
        except FindingsError as exc:
            was_unreadable, self._is_unreadable = self._is_unreadable, exc.code is ErrorCode.FILE_UNREADABLE
            if not (was_unreadable and self._is_unreadable):
                self._events.emit(Event.RELOAD_REFUSED, error=exc)
            return
        self._is_unreadable = False
        self._events.emit(Event.RELOADED, path=self._path)
        old = self._settings
        if new.daemon is not None and old.daemon is not None and new.daemon.control != old.daemon.control:
            self._post("agent", new.daemon.control)
        if new.control is not None and old.control is not None and new.control.seeds != old.control.seeds:
            self._post("control", new.control.seeds)
        self._settings = new

    def _post(self, service: str, control: list) -> None:
        from lanedock_daemon.sessions import SeedsChanged

        self._kernel.find(service).post(SeedsChanged(control))
