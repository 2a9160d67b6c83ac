# SPDX-License-Identifier: BSD-3-Clause
"""Delays requests until the daemon's link has capacity for their bodies."""

from gevent.event import Event as Signal

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.limits import MAX_LINK_QUEUE_TIME, AdmissionRequest, BodyAdmission, BodyTransfer, Refused, SlotLimiter
from lanedock.telemetry import Metric, Metrics
from lanedock_daemon.path.http.messages import DEFAULT_RETRY_AFTER, Body, Request
from lanedock_daemon.path.http.service import StopTimeout
from lanedock_daemon.path.upstream.buffered_body import BufferedBody

__all__ = ["BodyGate"]

# Largest first piece of a body, in bytes, that is read before the request is passed on.
FIRST_PIECE_SIZE = 64 * 1024


class _CountedBody(BufferedBody):
    """A body whose bytes are counted as they are read.

    The first read requests the body from its sender.
    """

    def __init__(self, body: Body, bodies: BodyAdmission, transfer: BodyTransfer):
        super().__init__(body)
        self.transfer = transfer
        self.wrapped = body
        self._bodies = bodies

    def _read_next(self, size: int, deadline: float) -> bytes:
        piece = self.wrapped.read(size, deadline)
        now = monotonic()
        if piece:
            self._bodies.note(self.transfer, len(piece), now)
        else:
            self._bodies.end(self.transfer, now)
        return piece


class BodyGate:
    """Admits requests with bodies, one after the other if the link is slow.

    Requests without a body, or with a small one, pass at once.

    Parameters
    ----------
    limiter : SlotLimiter
        Slot limiter of the same upstream; determines how long a request may wait.
    metrics : Metrics
    link_rate : float, optional
        Rate of the daemon's link, in bytes per second, if known.
    """

    def __init__(self, limiter: SlotLimiter, metrics: Metrics, link_rate: float | None = None):
        self._limiter = limiter
        self._metrics = metrics
        self._bodies = BodyAdmission(0, {}, link_rate)

    def __repr__(self) -> str:
        return f"<BodyGate {self._bodies!r}>"

    def configure(self, queue: int, classes: dict) -> None:
        """Apply the limits of another configuration version; see `BodyAdmission`."""
        self._bodies.configure(queue, classes)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for the link."""
        return self._bodies.waiting

    def load(self) -> dict[str, int | None]:
        """Return the load of the link, as fields of a log line."""
        bodies = self._bodies
        rate = None if bodies.rate is None else round(bodies.rate)
        return {"body_bytes": bodies.outstanding, "bodies_waiting": bodies.waiting, "bytes_per_s": rate}

    def enter(self, request: Request, traffic_class: str, admission: AdmissionRequest) -> Refused | None:
        """Wait until the link has capacity for a request's body.

        From then on the body counts as load of the link, until its end or `leave`.

        Returns
        -------
        Refused or None
            The refusal, if the body can't come in time, the request would get no slot
            afterwards, or the process stops.
        """
        body = request.body
        if not body.needs_continue:
            return None
        now = monotonic()
        # A request that would get no slot in time doesn't wait for the link.
        refused = self._limiter.check_admission(traffic_class, admission, now)
        if refused is not None:
            return refused
        admitted = Signal()
        expires_at = self._limiter.wait_expiry(admission, now)
        transfer = self._bodies.acquire(traffic_class, admission, body.length, expires_at, now, admitted.set)
        if isinstance(transfer, Refused):
            return Refused(
                transfer.code, self._limiter.retry_delay(admission, now, transfer.retry_after), transfer.limit
            )
        request.body = _CountedBody(body, self._bodies, transfer)
        try:
            while not (transfer.is_admitted or transfer.is_evicted) and now < expires_at:
                admitted.wait(min(MAX_LINK_QUEUE_TIME, expires_at - now))
                now = monotonic()
                self._bodies.update(now)
        except StopTimeout:
            self._bodies.end(transfer, now)
            return Refused(ErrorCode.DRAINING, DEFAULT_RETRY_AFTER, "link")
        self._metrics.gauge(Metric.BODY_BYTES, self._bodies.outstanding)
        if transfer.is_admitted:
            return None
        self._bodies.end(transfer, now)
        return Refused(ErrorCode.OVERLOADED, self._limiter.retry_delay(admission, now), "link")

    def begin(self, request: Request) -> bool:
        """Record that a request got its slot and that its body is requested now.

        Returns False if the request has to `enter` again, because the link has no capacity left.
        """
        body = request.body
        if not isinstance(body, _CountedBody):
            return True
        if self._bodies.begin(body.transfer, monotonic()):
            body.wrapped.pace = body.transfer.pace
            return True
        self.leave(request)
        request.body = body.wrapped
        return False

    def fetch(self, request: Request, deadline: float) -> None:
        """Wait for the first piece of a body that had to be requested.

        Parameters
        ----------
        request : Request
        deadline : float
            Monotonic time, in seconds.

        Raises
        ------
        BodyTimeout
            If the body doesn't come by the deadline.
        OSError
            If the sender disconnects.
        """
        if isinstance(request.body, _CountedBody):
            request.body.buffer_piece(FIRST_PIECE_SIZE, deadline)

    def leave(self, request: Request) -> None:
        """Record that a request has ended and the rest of its body won't come."""
        if isinstance(request.body, _CountedBody):
            self._bodies.end(request.body.transfer, monotonic())
            self._metrics.gauge(Metric.BODY_BYTES, self._bodies.outstanding)
