# SPDX-License-Identifier: BSD-3-Clause
"""Holds requests until their bodies may come over the daemon's link."""

from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.limits import QUEUE_TIME, AdmissionRequest, BodyAdmission, BodyTransfer, Refused, SlotLimiter
from lanedock.telemetry import Metric, Metrics
from lanedock_daemon.path.held_body import HeldBody
from lanedock_daemon.path.http import RETRY_AFTER, Body, Request
from lanedock_daemon.path.service import StopTimeout

__all__ = ["BodyGate"]

# Bytes of a body that are taken at once before it is passed on: no more than a piece.
FETCH = 64 * 1024


class _CountedBody(HeldBody):
    """A body whose bytes are counted as they are read; reading it asks its sender for it."""

    def __init__(self, body: Body, bodies: BodyAdmission, transfer: BodyTransfer):
        super().__init__(body)
        self.transfer = transfer
        self.uncounted = body
        self._bodies = bodies

    def _read_next(self, size: int, deadline: float) -> bytes:
        piece = self.uncounted.read(size, deadline)
        now = monotonic()
        if piece:
            self._bodies.note(self.transfer, len(piece), now)
        else:
            self._bodies.end(self.transfer, now)
        return piece


class BodyGate:
    """Lets requests with bodies in, one after the other where the link is narrow.

    Requests without a body, or with a small one, pass.

    Parameters
    ----------
    limiter : SlotLimiter
        Of the same upstream; knows until when a request may wait.
    metrics : Metrics
    link_rate : float, optional
        Of the daemon's link, in bytes a second, where it is known.
    """

    def __init__(self, limiter: SlotLimiter, metrics: Metrics, link_rate: float | None = None):
        self._limiter = limiter
        self._metrics = metrics
        self._bodies = BodyAdmission(0, {}, link_rate)

    def __repr__(self) -> str:
        return f"<BodyGate {self._bodies!r}>"

    def configure(self, queue: int, classes: dict) -> None:
        """Take over another version's numbers; see `BodyAdmission`."""
        self._bodies.configure(queue, classes)

    @property
    def waiting(self) -> int:
        """Requests that wait for the link."""
        return self._bodies.waiting

    def load(self) -> dict[str, int | None]:
        """Return what is on its way, for a log line."""
        bodies = self._bodies
        rate = None if bodies.rate is None else round(bodies.rate)
        return {"body_bytes": bodies.outstanding, "bodies_waiting": bodies.waiting, "bytes_per_s": rate}

    def enter(self, request: Request, traffic_class: str, wanted: AdmissionRequest) -> Refused | None:
        """Wait until a request's body may come.

        From then on its bytes count, to the end of the body or `leave`.

        Returns
        -------
        Refused or None
            The body can't come in time, the request would get no slot then, or the
            process ends.
        """
        body = request.body
        if not body.is_asked_for:
            return None
        now = monotonic()
        # Nobody waits for the link who then gets no slot in time.
        refused = self._limiter.judge(traffic_class, wanted, now)
        if refused is not None:
            return refused
        admitted = Signal()
        expires_at = self._limiter.latest_start(wanted, now)
        transfer = self._bodies.acquire(traffic_class, wanted, body.length, expires_at, now, admitted.set)
        if isinstance(transfer, Refused):
            return Refused(transfer.code, self._limiter.return_after(wanted, now, transfer.retry_after), transfer.limit)
        request.body = _CountedBody(body, self._bodies, transfer)
        try:
            while not (transfer.is_admitted or transfer.is_evicted) and now < expires_at:
                admitted.wait(min(QUEUE_TIME, expires_at - now))
                now = monotonic()
                self._bodies.update(now)
        except StopTimeout:
            self._bodies.end(transfer, now)
            return Refused(ErrorCode.DRAINING, RETRY_AFTER, "link")
        self._metrics.gauge(Metric.BODY_BYTES, self._bodies.outstanding)
        if transfer.is_admitted:
            return None
        self._bodies.end(transfer, now)
        return Refused(ErrorCode.OVERLOADED, self._limiter.return_after(wanted, now), "link")

    def begin(self, request: Request) -> bool:
        """Note that a body is asked for now, with a slot at hand; False where it has to `enter` again."""
        body = request.body
        if not isinstance(body, _CountedBody):
            return True
        if self._bodies.begin(body.transfer, monotonic()):
            body.uncounted.pace = body.transfer.pace
            return True
        self.leave(request)
        request.body = body.uncounted
        return False

    def fetch(self, request: Request, deadline: float) -> None:
        """Wait until a body that had to be asked for begins to come.

        Parameters
        ----------
        request : Request
        deadline : float
            Monotonic, seconds.

        Raises
        ------
        BodyTimeout
        OSError
            Its sender went away.
        """
        if isinstance(request.body, _CountedBody):
            request.body.hold_piece(FETCH, deadline)

    def leave(self, request: Request) -> None:
        """Note that a request is over: what hasn't come of its body won't."""
        if isinstance(request.body, _CountedBody):
            self._bodies.end(request.body.transfer, monotonic())
            self._metrics.gauge(Metric.BODY_BYTES, self._bodies.outstanding)
