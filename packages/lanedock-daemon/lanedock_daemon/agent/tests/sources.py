# SPDX-License-Identifier: BSD-3-Clause
"""Simulation of control instances and a daemon's agent in virtual time, for tests of source loss."""

import heapq
from itertools import count
from random import Random

from lanedock.config import split_config
from lanedock.rollout import Distributor, Subscriber, VersionSource
from lanedock.settings import Address, Settings, load_settings
from lanedock.telemetry import EventLogger, NullMetrics
from lanedock.wire import messages
from lanedock_daemon.agent import AgentService, LocalView
from lanedock_daemon.agent import service as service_module
from lanedock_daemon.agent import view as view_module
from lanedock_daemon.sessions import HEARTBEAT_INTERVAL
from lanedock_daemon.transport import SourceEnded, SourceSent, SourceStream

__all__ = ["RELAY", "ControlInstance", "VirtualDaemon", "VirtualMesh", "make_value"]

# Name of the relay in settings and redirects.
RELAY = "r"
# One-way network delay between availability zones, in seconds.
_DELAY = 0.002
_SETTINGS = """{
  "name": "d", "zone": "z0", "transport": "framed",
  "daemon": {"control": [%s], "staleness_limit_ms": 1000, "stall_limit_ms": 3000},
  "upstream": {"service": "s", "listen": "10.0.0.9:1", "application": "10.0.0.9:2"}
}"""


def make_value(version: int) -> dict:
    """Return the content of an operators' file with one service."""
    return {
        "mesh": "m",
        "version": version,
        "zones": ["z0"],
        "traffic_classes": [{"name": "c", "share": 0.5}],
        "services": [{"name": "s", "zones": ["z0"], "slots": version}],
        "routes": [],
    }


class _Clock:
    """Virtual replacement of `lanedock.clock`.

    Attributes
    ----------
    now : float
        Virtual time, in seconds.
    suspended : float
        Total time for which the daemon's instance was suspended, in seconds.
    """

    def __init__(self):
        self.now = 1000.0
        self.suspended = 0.0

    def monotonic(self) -> float:
        return self.now

    def running_time(self) -> float:
        return self.now - self.suspended


class ControlInstance:
    """A simulated control instance that can fail in several ways.

    Attributes
    ----------
    is_blackholed : bool
        All messages to and from it are dropped.
    is_paused : bool
        Its process is paused: the kernel accepts connections, but nothing is answered.
    is_refusing : bool
        Its process has exited: connections are refused.
    is_lagging : bool
        It hears the leader but does not receive newly accepted versions.
    is_delivering : bool
        Whether the versions in force that it sends arrive.
    silent_streams : set of SourceStream
        Streams whose messages are dropped, in both directions.
    cut_off_at : float or None
        Virtual time at which it was cut off from the leader, in seconds; None while it is connected.
        It does not learn of versions accepted while cut off.
    """

    def __init__(self, mesh: "VirtualMesh", address: Address, phase: float):
        self.mesh = mesh
        self.address = address
        self.is_blackholed = self.is_paused = self.is_refusing = False
        self.is_lagging = False
        self.is_delivering = True
        self.silent_streams: set[_VirtualStream] = set()
        self.cut_off_at: float | None = None
        self.distributor = Distributor()
        self.sessions: dict[_VirtualStream, Subscriber] = {}
        mesh.at(mesh.clock.now + phase, self._beat)

    def answers(self) -> bool:
        """Return whether its process is running and reachable."""
        return not (self.is_blackholed or self.is_paused or self.is_refusing)

    def end_sessions(self) -> None:
        """Reset all streams, as happens when a process exits."""
        for stream in list(self.sessions):
            del self.sessions[stream]
            stream.post(SourceEnded(stream, "reset"))

    def set_accepted(self, tree) -> None:
        """Receive an accepted version, unless cut off from the leader or lagging."""
        if self.cut_off_at is None and not self.is_lagging:
            self.distributor.set_versions(VersionSource(tree))
            self.flush()

    def catch_up(self) -> None:
        """Receive the newest accepted version, as after hearing the leader again."""
        if self.mesh.accepted is not None:
            self.set_accepted(self.mesh.accepted)

    def send_heartbeats_now(self) -> None:
        """Send a heartbeat on all sessions at once, as after hearing a new leader."""
        for stream in self.sessions:
            self.send(stream, [self._make_heartbeat()])

    def flush(self) -> None:
        """Send pending messages to every daemon."""
        for stream, child in self.sessions.items():
            self.send(stream, self.distributor.due_messages(child))

    def send(self, stream: "_VirtualStream", batch: list[messages.ControlMessage]) -> None:
        for message in batch:
            if self.answers() and (self.is_delivering or not message.HasField("in_force")):
                self.mesh.at(self.mesh.clock.now + self.mesh.link_delay, self._deliver, stream, message)

    def silence_streams(self) -> None:
        """Drop the messages of all present streams; streams opened later work."""
        self.silent_streams.update(self.sessions)

    def _deliver(self, stream: "_VirtualStream", message: messages.ControlMessage) -> None:
        if not (self.is_blackholed or stream in self.silent_streams):
            stream.post(SourceSent(stream, message))

    def receive(self, stream: "_VirtualStream", message: messages.DaemonMessage) -> None:
        if stream.is_closed or stream in self.silent_streams or not self.answers():
            return
        if message.probe:
            self.send(stream, [self._make_heartbeat()])
            return
        child = self.sessions.get(stream)
        if child is None and self._refer(stream, message):
            return
        if child is None:
            child = self.sessions[stream] = self.distributor.connect(message.state)
            first = messages.ControlMessage()
            first.endpoints.whole = True
            self.send(stream, [first, self._make_heartbeat()])
        elif message.HasField("state"):
            self.distributor.update(child, message.state)
        self.send(stream, self.distributor.due_messages(child))
        if message.floor_token and self.cut_off_at is None:
            floor = messages.ControlMessage()
            floor.floor.token = message.floor_token
            floor.floor.version = self.distributor.source.accepted.number
            self.send(stream, [floor])

    def _refer(self, stream: "_VirtualStream", message: messages.DaemonMessage) -> bool:
        """Redirect a daemon to the relay, unless the daemon is the relay or reports it as failed."""
        relay = self.mesh.relay
        if relay in (None, self.address) or RELAY in (message.state.daemon, *message.failed_relays):
            return False
        redirect = messages.ControlMessage()
        redirect.redirect.relay = RELAY
        redirect.redirect.host = relay.host
        redirect.redirect.port = relay.port
        self.send(stream, [redirect])
        return True

    def _make_heartbeat(self) -> messages.ControlMessage:
        message = messages.ControlMessage()
        accepted = self.distributor.source.accepted
        message.heartbeat.accepted_version = accepted.number if accepted else 0
        if self.cut_off_at is not None:
            message.heartbeat.staleness_ms = int(1000 * (self.mesh.clock.now - self.cut_off_at))
        return message

    def _beat(self) -> None:
        message = self._make_heartbeat()
        for stream in self.sessions:
            self.send(stream, [message])
        self.mesh.at(self.mesh.clock.now + HEARTBEAT_INTERVAL, self._beat)


class _VirtualStream(SourceStream):
    """The daemon's end of a simulated stream."""

    def __init__(self, owner, address: Address, daemon: "VirtualDaemon"):
        super().__init__(owner, address)
        self._mesh = daemon.mesh
        self.post = daemon.post
        self.is_closed = False

    def open(self, first: messages.DaemonMessage) -> None:
        control = self._mesh.instances[self.address]
        if control.is_blackholed:
            self._mesh.at(self._mesh.clock.now + self.connect_limit, self._end)
        elif control.is_refusing:
            self._mesh.at(self._mesh.clock.now + 2 * _DELAY, self._end)
        else:
            self.send(first)

    def send(self, message: messages.DaemonMessage) -> None:
        control = self._mesh.instances[self.address]
        self._mesh.at(self._mesh.clock.now + 2 * _DELAY, control.receive, self, message)

    def close(self) -> None:
        self.is_closed = True
        self._mesh.instances[self.address].sessions.pop(self, None)

    def _end(self) -> None:
        self.post(SourceEnded(self, "not reached"))


class VirtualDaemon:
    """A daemon's agent with stand-ins for its kernel and transport.

    Parameters
    ----------
    mesh : VirtualMesh
    settings : Settings
    rng : Random

    Attributes
    ----------
    agent : AgentService
    view : LocalView
    """

    def __init__(self, mesh: "VirtualMesh", settings: Settings, rng: Random):
        self.mesh = mesh
        self._resumes_at = 0.0
        self.view = LocalView("z0", 3.0)
        self.agent = AgentService(settings, self.view, EventLogger(settings.name), NullMetrics())
        self.agent._search._rng = rng
        self.agent.on_start(self)
        mesh.at(mesh.clock.now + rng.uniform(0, service_module.TICK), self._tick)

    def find(self, name: str) -> "VirtualDaemon":
        """Replace `Kernel.find`: this object is every service."""
        return self

    def open_source(self, owner, address: Address) -> _VirtualStream:
        """Replace the method of the transport."""
        return _VirtualStream(owner, address, self)

    def suspend(self, seconds: float) -> None:
        """Suspend the daemon's instance for a time, in seconds, from now on."""
        self._resumes_at = self.mesh.clock.now + seconds

    def post(self, message: object) -> None:
        if self.mesh.clock.now < self._resumes_at:
            # The message stays in a socket buffer until the daemon runs again.
            self.mesh.at(self._resumes_at, self.post, message)
        else:
            self.agent.on_messages([message])

    def _tick(self) -> None:
        if self.mesh.clock.now < self._resumes_at:
            self.mesh.at(self._resumes_at, self._tick)
            return
        self.agent.on_tick()
        self.mesh.at(self.mesh.clock.now + service_module.TICK, self._tick)


class VirtualMesh:
    """Control instances and one daemon in virtual time, which jumps from event to event.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
    folder : pathlib.Path
        Directory for the daemon's settings.
    seed : int
    size : int
        Number of control instances, each in an availability zone of its own.
    has_relay : bool
        Whether they redirect the daemon to a relay, which is an additional source in `instances`.

    Attributes
    ----------
    daemon : VirtualDaemon
    relay : Address or None
    phase : float
        Offset of the events of a test, in seconds; differs with each seed.
    accepted : ConfigTree or None
        The newest accepted version.
    link_delay : float
        Delay of messages from control instances, in seconds.
    """

    def __init__(self, monkeypatch, folder, seed: int, size: int = 3, has_relay: bool = False):
        rng = Random(seed)
        self.clock = _Clock()
        for module in (service_module, view_module):
            monkeypatch.setattr(module, "monotonic", self.clock.monotonic)
        monkeypatch.setattr(service_module, "running_time", self.clock.running_time)
        self.phase = rng.uniform(0, 5.0)
        self.accepted = None
        self.link_delay = _DELAY
        self._order = count()
        self._queue: list = []
        addresses = [Address(f"10.0.{number}.1", 7000) for number in range(size)]
        self.instances = {
            address: ControlInstance(self, address, rng.uniform(0, HEARTBEAT_INTERVAL)) for address in addresses
        }
        self.relay = Address("10.0.0.2", 7000) if has_relay else None
        if self.relay is not None:
            self.instances[self.relay] = ControlInstance(self, self.relay, rng.uniform(0, HEARTBEAT_INTERVAL))
        path = folder / "settings.json"
        path.write_text(_SETTINGS % ",".join(f'"{address}"' for address in addresses), encoding="utf-8")
        self.daemon = VirtualDaemon(self, load_settings(str(path)), rng)
        self.view, self.agent = self.daemon.view, self.daemon.agent

    # ------------------------------------------------------------- virtual time

    def at(self, when: float, function, *arguments) -> None:
        heapq.heappush(self._queue, (when, next(self._order), function, arguments))

    def suspend(self, seconds: float) -> None:
        """Suspend the daemon's instance and advance the time by `seconds`; the control instances keep running."""
        resumes_at = self.clock.now + seconds
        self.daemon.suspend(seconds)
        while self._queue and self._queue[0][0] < resumes_at:
            when, _, function, arguments = heapq.heappop(self._queue)
            self.clock.now = max(self.clock.now, when)
            function(*arguments)
        self.clock.now = resumes_at
        self.clock.suspended += seconds

    def run(self, seconds: float, until=lambda: False) -> float:
        """Advance the time by `seconds` or until a condition holds; returns the elapsed seconds."""
        started = self.clock.now
        while self._queue and self._queue[0][0] <= started + seconds and not until():
            when, _, function, arguments = heapq.heappop(self._queue)
            self.clock.now = max(self.clock.now, when)
            function(*arguments)
        if not until():
            self.clock.now = started + seconds
        return self.clock.now - started

    # ------------------------------------------------------- events and queries

    def source(self) -> ControlInstance:
        """Return the present source of the daemon."""
        return self.instances[self.agent._stream.address]

    def accept(self, version: int) -> None:
        """Accept a version and send it to all instances that the leader reaches."""
        self.accepted = tree = split_config(make_value(version))
        for instance in self.instances.values():
            instance.set_accepted(tree)

    def in_force(self) -> int:
        """Return the number of the version in force on the daemon."""
        return self.view.holder.in_force_version.number
