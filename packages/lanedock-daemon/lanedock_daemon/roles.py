# SPDX-License-Identifier: BSD-3-Clause
"""Assembly of the services of the daemon roles from settings."""

import gevent

from lanedock.clock import monotonic
from lanedock.kernel import NOTICE_TIME, Kernel, Service, StopPlan
from lanedock.limits import AnswerLink, SavingBudget, WindowBudget, is_narrow_link
from lanedock.membership import UpstreamRegistration
from lanedock.quota import CreditAccount
from lanedock.settings import Address, Settings
from lanedock.telemetry import EventLogger, Metrics, RequestLogger, Tracer
from lanedock_daemon.agent import AgentService, LocalView
from lanedock_daemon.agent.discovery import ApplicationDiscovery
from lanedock_daemon.agent.load_port import published_load_port
from lanedock_daemon.agent.registration import Registrar
from lanedock_daemon.interface import Interface, OwnInterface
from lanedock_daemon.path.caller.caller import CallerSide
from lanedock_daemon.path.http.messages import Answer, Request
from lanedock_daemon.path.http.resource_guard import ResourceGuard, make_resource_guard
from lanedock_daemon.path.http.server import PathServer
from lanedock_daemon.path.shared.paced_answer import LinkTurns
from lanedock_daemon.path.shared.pool import ConnectionPool
from lanedock_daemon.path.upstream.crashes import CrashDetector
from lanedock_daemon.path.upstream.load_responder import LoadResponder
from lanedock_daemon.path.upstream.upstream import UpstreamSide
from lanedock_daemon.quota.client import QuotaClient
from lanedock_daemon.quota.gate import QuotaGate
from lanedock_daemon.sessions import DrainRequested, ReportDue
from lanedock_daemon.stops import DRAIN_SETTLE, make_stop_plan

__all__ = ["DrainService", "add_daemon"]

# Idle connections from callers are kept open up to the process's maximum number of descriptors
# divided by this: each request in progress takes two more descriptors.
DESCRIPTORS_PER_KEPT_CONNECTION = 4
# Servers that accept connections until the requests in progress have ended: the application
# continues to work on its requests, makes calls for them and sends heartbeats, and readiness
# probes are told that callers are not accepted. All other servers close once callers have
# switched to other instances.
CLOSE_LAST = ("ready", "egress", "registration")
# Seconds between two logs of request totals, which operators look at when they examine a fault.
# A daemon with six routes writes some ten lines each time.
TOTALS_INTERVAL = 1.0
# Bytes per second of a link of 1 Mbit/s.
BYTES_PER_MBIT = 125_000


class DrainService(Service):
    """Announces, as the first step of a stop, that the process accepts no new work.

    Readiness probes are told first, as callers take seconds to switch to another instance. Other daemons
    are told last that the upstream accepts no new work, as they learn it within a tenth of a
    second; until then the upstream continues to serve. If it drained for the whole linger time, it would be
    unavailable for much longer.

    Parameters
    ----------
    agent : AgentService
    view : LocalView
    plan : StopPlan
        Its `linger` is how long callers are still served, in seconds.
    """

    name = "drain"

    def __init__(self, agent: AgentService, view: LocalView, plan: StopPlan):
        self._agent = agent
        self._view = view
        self._plan = plan

    def start(self, kernel: Kernel) -> None:
        """Do nothing: the service acts only when the process stops."""

    def begin_stop(self) -> None:
        """Tell callers, then other daemons; servers begin to stop once this returns."""
        self._plan.begin(monotonic())
        self._view.is_stopping = True
        gevent.sleep(max(0.0, self._plan.remaining_linger(monotonic()) - NOTICE_TIME))
        self._agent.post(DrainRequested())
        now = monotonic()
        # A process that got no time until the deadline has none left for new work to arrive.
        gevent.sleep(max(0.0, min(self._plan.deadline - now, max(DRAIN_SETTLE, self._plan.remaining_linger(now)))))

    def stop(self) -> None:
        """Do nothing: `begin_stop` has done all the work."""


class _TotalsService(Service):
    """Logs the totals of requests every `TOTALS_INTERVAL`, and at the end.

    Parameters
    ----------
    requests : RequestLogger
    """

    name = "totals"

    def __init__(self, requests: RequestLogger):
        self._requests = requests
        self._task = None

    def start(self, kernel: Kernel) -> None:
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        self._task.kill()
        self._requests.emit_totals()

    def _run(self) -> None:
        while True:
            gevent.sleep(TOTALS_INTERVAL)
            self._requests.emit_totals()


class _ReadinessHandler:
    """Answers probes for whether the daemon accepts callers' requests."""

    def __init__(self, view: LocalView):
        self._view = view

    def handle(self, request: Request) -> Answer:
        if self._view.is_ready():
            return Answer(200, "OK", [("content-length", "0")], [])
        return Answer(503, "Service Unavailable", [("content-length", "0")], [])


def add_daemon(
    kernel: Kernel,
    settings: Settings,
    events: EventLogger,
    metrics: Metrics,
    tracer: Tracer,
    interface: Interface | None = None,
    plan: StopPlan | None = None,
    guard: ResourceGuard | None = None,
) -> None:
    """Add the services of an entry daemon or of an upstream's daemon to a kernel.

    All servers and all requests of the process share one stop plan and one resource guard.
    """
    plan = plan or make_stop_plan(settings)
    guard = guard or make_resource_guard(settings, plan, events, metrics)
    interface = interface or OwnInterface()
    dialect = interface.make_dialect()
    registration = _make_registration(settings)
    view = LocalView(settings.zone, settings.daemon.stall_limit_ms / 1000, registration, settings.name)
    view.set_budget_factory(_make_budget_factory(settings, view))
    agent = AgentService(settings, view, events, metrics)
    kernel.add(agent)
    requests = RequestLogger(events, settings.log_sample)
    kernel.add(_TotalsService(requests))
    link_rate = _find_link_rate(settings)
    turns = LinkTurns(AnswerLink(link_rate), metrics) if is_narrow_link(link_rate) else None
    account = CreditAccount()
    client = QuotaClient(settings.zone, account, agent.control_instances, view, events)
    kernel.add(client)
    caller = CallerSide(
        view,
        ConnectionPool(),
        events,
        metrics,
        tracer,
        dialect,
        requests=requests,
        plan=plan,
        quotas=QuotaGate(account, client, metrics),
    )

    max_kept_connections = (
        settings.max_descriptors // DESCRIPTORS_PER_KEPT_CONNECTION if settings.max_descriptors else None
    )

    def add_server(name: str, address, side, serves_callers: bool = False) -> None:
        closes_last = name in CLOSE_LAST
        if settings.http_server == "wsgi":
            from lanedock_daemon.path.http.wsgi import WsgiPathServer

            # Has the same interface, and is the baseline of benchmarks.
            kernel.add(WsgiPathServer(name, address, side, plan, events, closes_last))
        else:
            kernel.add(
                PathServer(
                    name,
                    address,
                    side,
                    plan,
                    events,
                    view.caller_limits,
                    max_kept_connections,
                    closes_last=closes_last,
                    gives_notice=serves_callers,
                    serves_callers=serves_callers or name == "egress",
                    guard=guard,
                )
            )

    if settings.daemon.ready is not None:
        add_server("ready", settings.daemon.ready, _ReadinessHandler(view))
    if settings.entry is not None:
        add_server(
            "entry", settings.entry.listen, caller if turns is None else caller.paced_by(turns), serves_callers=True
        )
    if settings.upstream is not None:
        cfg = settings.upstream
        application = (cfg.application.host, cfg.application.port)
        pool = ConnectionPool()

        def on_change() -> None:
            agent.post(ReportDue())

        crashes = CrashDetector(
            settings.name, application, pool, registration, view.quarantine, on_change, events, metrics
        )
        parts = (events, metrics, tracer, dialect, requests, crashes)
        if cfg.registration is not None:
            discovery = ApplicationDiscovery(view, application, dialect, on_change, events)
            registrar = Registrar(
                registration,
                on_change,
                discovery.ask,
                events,
                view.has_service,
                crashes.note_restart,
            )
            add_server("registration", cfg.registration, interface.make_registration_handler(registrar))
            discovery.registrar = registrar
            kernel.add(discovery)
        else:
            registrar = Registrar(registration, lambda: None, lambda: None, events)
        agent.set_registrar(registrar)
        side = UpstreamSide(cfg.service, application, view, pool, *parts, registrar, link_rate, turns, plan)
        if cfg.load_port is not None:
            kernel.add(
                LoadResponder(
                    Address(cfg.listen.host, cfg.load_port),
                    lambda: published_load_port(cfg, registration) != 0,
                    side.measure_load,
                )
            )
        if cfg.egress is not None:
            any_service = settings.daemon.any_service
            add_server("egress", cfg.egress, caller if any_service else caller.for_calls(), serves_callers=any_service)
        add_server("upstream", cfg.listen, side)
    kernel.add(DrainService(agent, view, plan))


def _find_link_rate(settings: Settings) -> float | None:
    """Return the rate of the instance's link, in bytes per second, if the settings give it."""
    if settings.upstream is None or settings.upstream.link_mbps is None:
        return None
    return settings.upstream.link_mbps * BYTES_PER_MBIT


def _make_registration(settings: Settings) -> UpstreamRegistration | None:
    cfg = settings.upstream
    if cfg is None:
        return None
    return UpstreamRegistration(cfg.service, cfg.registration is not None, cfg.heartbeat_s)


def _make_budget_factory(settings: Settings, view: LocalView):
    """Return a function that makes the retry budget for a service."""
    cfg = settings.daemon
    if cfg.retry_slack is None:
        return lambda: SavingBudget(cfg.retry_share)
    window = cfg.retry_window_s
    return lambda: WindowBudget(cfg.retry_share, cfg.retry_slack, window, view.daemon_count)
