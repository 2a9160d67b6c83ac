# SPDX-License-Identifier: BSD-3-Clause
"""Application of the versions that a source sends, and detection of versions that are overdue."""

from lanedock.rollout import VersionHolder
from lanedock.telemetry import Event, EventLogger, Metric, Metrics
from lanedock.wire import messages
from lanedock_daemon.agent.view import LocalView

__all__ = ["VersionLag", "VersionReceiver"]

# Seconds after which a version that other daemons use and this one lacks is overdue. Under load,
# 99 of 100 daemons receive a version within 0.2 s.
BEHIND_LIMIT = 0.5


class VersionReceiver:
    """Stages, activates and discards versions on behalf of the source, and publishes the one in force.

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
        """Apply a message of the source; returns False if it does not concern versions."""
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
        """Apply a change to the holder and publish the version in force if it differs."""
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
    """Detects that this daemon lacks a version that other daemons use.

    Parameters
    ----------
    view : LocalView
    events : EventLogger
    metrics : Metrics

    Attributes
    ----------
    source_version : int
        Number of the newest accepted version that the source has reported; 0 before its first report.
    """

    def __init__(self, view: LocalView, events: EventLogger, metrics: Metrics):
        self._view = view
        self._events = events
        self._metrics = metrics
        self._logged = 0
        self.source_version = 0

    def update(self, now: float, heard_at: float | None, staleness: float) -> None:
        """Update the metric of the lag, and log each overdue version once.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        heard_at : float or None
            Monotonic time of the last message from the source, in seconds; None without a source.
        staleness : float
            Time since the leader was last known to be heard, in seconds.
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

    def is_source_behind(self, now: float) -> bool:
        """Return whether the source itself lacks an overdue version.

        A source that hears the leader may lack it, too, when its log lags behind.
        """
        newer, seconds = self._view.newer_version(now)
        return seconds > BEHIND_LIMIT and self.source_version < newer
