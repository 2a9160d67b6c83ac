# SPDX-License-Identifier: BSD-3-Clause
"""What a source sends of versions, put into the holder, and how far the daemon is behind others."""

from lanedock.rollout import VersionHolder
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.agent.view import LocalView

__all__ = ["VersionLag", "VersionReceiver"]

# A version that others use and that has not come for this long, in seconds, is logged;
# versions come within 0.2 s to 99 in 100 daemons under load.
BEHIND_LIMIT = 0.5


class VersionReceiver:
    """Stages, activates and discards versions as the source says, and publishes what is in force.

    Parameters
    ----------
    view : LocalView
    events : EventLogger
    metrics : Metrics
    """

    def __init__(self, view: LocalView, events: EventLogger, metrics: Metrics):
        self._view = view
        self._holder: VersionHolder = view.holder
        self._events = events
        self._metrics = metrics

    def receive(self, message: messages.ControlMessage) -> bool:
        """Apply a source's message; False where it is about something else."""
        body = message.WhichOneof("body")
        if body == "in_force":
            self._swap(lambda: self._holder.put_in_force(message.in_force))
        elif body == "activate":
            self._swap(lambda: self._holder.activate(message.activate.version, message.activate.digest))
        elif body == "stage":
            self._stage(message.stage)
        elif body == "discard":
            self._holder.discard(message.discard.version, message.discard.digest)
        else:
            return False
        return True

    def _swap(self, change) -> None:
        before = self._holder.in_force
        dropped = self._holder.dropped
        change()
        self._metrics.count(Metric.DROPPED, self._holder.dropped - dropped)
        if self._holder.in_force is not before:
            self._view.publish()
            number = self._holder.in_force_version.number
            self._metrics.gauge(Metric.VERSION, number)
            self._events.emit(Event.IN_FORCE, version=number)

    def _stage(self, push: messages.ConfigPush) -> None:
        refused = self._holder.refused
        self._holder.stage(push)
        if self._holder.refused != refused:
            first = self._holder.findings[0]
            self._events.emit(Event.REFUSED, version=push.version, code=first.code, finding=first.message)


class VersionLag:
    """How far this daemon is behind the version that others use.

    Parameters
    ----------
    view : LocalView
    events : EventLogger
    metrics : Metrics

    Attributes
    ----------
    source_version : int
        Newest accepted version that the source has reported; 0 before it has.
    """

    def __init__(self, view: LocalView, events: EventLogger, metrics: Metrics):
        self._view = view
        self._events = events
        self._metrics = metrics
        self._logged = 0
        self.source_version = 0

    def note(self, now: float, heard_at: float | None, staleness: float) -> None:
        """Log once each version that others use and that does not come.

        Parameters
        ----------
        now : float
            Monotonic, seconds.
        heard_at : float or None
            When the source was heard last, monotonic, seconds; None where there is none.
        staleness : float
            For how long no leader is known to have been heard, in seconds.
        """
        newer, seconds = self._view.newer_version(now)
        self._metrics.gauge(Metric.BEHIND, seconds)
        if seconds <= BEHIND_LIMIT or newer <= self._logged:
            return
        self._logged = newer
        self._events.emit(
            Event.VERSION_BEHIND,
            newer=newer,
            in_force=self._view.holder.in_force_version.number,
            source_version=self.source_version,
            source_age_ms=round(1000 * (now - heard_at)) if heard_at is not None else None,
            staleness_ms=round(1000 * staleness),
        )

    def is_at_source(self, now: float) -> bool:
        """Tell whether the source itself lacks a version that others use: a fresh one may, whose log lags."""
        newer, seconds = self._view.newer_version(now)
        return seconds > BEHIND_LIMIT and self.source_version < newer
