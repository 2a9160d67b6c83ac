# SPDX-License-Identifier: BSD-3-Clause
"""Counts single requests for a canary release, at the upstream's daemon."""

from lanedock.canary import Pool, classify
from lanedock.membership import UpstreamRegistration
from lanedock.telemetry import Metric, Metrics
from lanedock_daemon.agent.view import LocalView

__all__ = ["CanaryAccount"]


class CanaryAccount:
    """Counts one request that is passed on to the application while a canary of its service runs.

    Requests are counted at the upstream's daemon, not at the caller's, because waits in queues and
    on links, and unreachable upstreams, say nothing about the quality of a version.

    Parameters
    ----------
    view : LocalView
    registration : UpstreamRegistration
        Registration of the application.
    metrics : Metrics
    route : str
        Name of the request's route.
    """

    __slots__ = ("_canary", "_counter", "_metrics", "_number", "_pool", "_route", "_service")

    def __init__(self, view: LocalView, registration: UpstreamRegistration, metrics: Metrics, route: str):
        self._counter = view.canary_counter
        self._metrics = metrics
        self._service = registration.service
        self._number = self._counter.number(self._service)
        self._route = route
        self._pool = classify(view.canaries.rule(self._service), registration.version)
        self._canary = view.instance if self._pool is Pool.CANARY else ""

    def note_sent(self) -> None:
        """Count the request as passed on."""
        self._counter.note_sent(self._service, self._route, self._canary)
        self._metrics.count(Metric.CANARY_SENT, 1, (self._service, self._pool.value))

    def note_answer(self, failed: bool, taken: float) -> None:
        """Count the answer, or the lack of one, after `taken` seconds of work.

        Not counted once the canary that ran when the request began has ended: another one would be judged by it.
        """
        if self._counter.number(self._service) != self._number:
            return
        self._counter.note_answer(self._service, self._route, self._canary, failed, taken)
        if failed:
            self._metrics.count(Metric.CANARY_FAILED, 1, (self._service, self._pool.value))
