# SPDX-License-Identifier: BSD-3-Clause
"""The binary ``lanedockd``."""

# Patched before anything else is imported, so that all sockets are gevent's.
from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
from random import Random  # noqa: E402

import gevent  # noqa: E402
from gevent.event import Event as Signal  # noqa: E402

from lanedock.errors import LanedockError  # noqa: E402
from lanedock.findings import FindingsError  # noqa: E402
from lanedock.kernel import Kernel, LoopService  # noqa: E402
from lanedock.settings import Settings, load_settings  # noqa: E402
from lanedock.telemetry import (  # noqa: E402
    Event,
    EventLogger,
    Metrics,
    NullMetrics,
    NullTracer,
    OtelTracer,
    StatsdMetrics,
    Tracer,
    configure_logging,
)

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_FAILED = 1
METRICS_INTERVAL = 1.0


def main(arguments: list[str] | None = None) -> int:
    """Run a process until SIGTERM or SIGINT.

    Returns
    -------
    int
        Exit code: 0 after a planned stop, 1 after a failure, 2 where the
        settings have findings.
    """
    parsed = _parse_arguments(arguments)
    try:
        settings = load_settings(parsed.settings)
    except FindingsError as exc:
        for finding in exc.findings:
            print(finding, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logging(settings.log_level)
    events = EventLogger(settings.name)
    metrics = _make_metrics(settings)
    tracer = _make_tracer(settings)
    kernel = _make_kernel(settings, parsed.initialize, events, metrics, tracer)
    return _run(kernel, settings, events, metrics, tracer)


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="lanedockd",
        description="Runs one lanedock process; its roles follow from its settings.",
        epilog="example: lanedockd --settings /etc/lanedock/entry-nbo-a.jsonc",
    )
    parser.add_argument("--settings", required=True, metavar="FILE", help="settings, JSON with comments")
    parser.add_argument(
        "--initialize",
        action="store_true",
        help="control only, once, when a mesh is set up: let an empty data folder vote from the start",
    )
    return parser.parse_args(arguments)


def _make_metrics(settings: Settings) -> Metrics:
    if settings.statsd is None:
        return NullMetrics()
    prefix = f"lanedock.{settings.zone}.{settings.name}"
    return StatsdMetrics(settings.statsd.host, settings.statsd.port, prefix)


def _make_tracer(settings: Settings) -> Tracer:
    if settings.trace is None:
        return NullTracer()
    return OtelTracer(settings.trace.file, settings.name, settings.trace.sample, Random())


def _make_kernel(settings: Settings, initialize: bool, events, metrics, tracer) -> Kernel:
    """Put the services of the process's roles together.

    Modules are imported by role: a daemon's memory is budgeted.
    """
    kernel = Kernel()
    kernel.add(LoopService())
    if settings.control is not None:
        from lanedock_daemon.control import ControlService

        kernel.add(ControlService(settings, initialize, events, metrics))
    if settings.daemon is not None:
        from lanedock_daemon.roles import add_daemon

        add_daemon(kernel, settings, events, metrics, tracer)
    return kernel


def _run(kernel: Kernel, settings: Settings, events: EventLogger, metrics: Metrics, tracer: Tracer) -> int:
    stopping = Signal()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    try:
        kernel.start()
    except LanedockError as exc:
        events.emit(Event.UNEXPECTED, error=exc)
        return EXIT_FAILED
    if settings.tls is None:
        events.emit(Event.NO_AUTHENTICATION)
    events.emit(Event.STARTED, zone=settings.zone)
    flusher = gevent.spawn(_flush, metrics)
    failure = _wait(kernel, stopping)
    events.emit(Event.STOPPING)
    kernel.stop()
    flusher.kill()
    metrics.flush()
    tracer.close()
    if failure is not None:
        events.emit(Event.UNEXPECTED, error=repr(failure))
        return EXIT_FAILED
    events.emit(Event.STOPPED)
    return 0


def _wait(kernel: Kernel, stopping: Signal) -> BaseException | None:
    """Wait to be stopped, or for a service to fail; return the failure."""
    done = gevent.wait([stopping, kernel.failed], count=1)
    return kernel.failure if kernel.failed in done else None


def _flush(metrics: Metrics) -> None:
    while True:
        gevent.sleep(METRICS_INTERVAL)
        metrics.flush()


if __name__ == "__main__":
    sys.exit(main())
