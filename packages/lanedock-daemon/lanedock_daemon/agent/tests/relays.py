# SPDX-License-Identifier: BSD-3-Clause
"""Simulation of a relay daemon in virtual time."""

from random import Random

from lanedock.settings import Address, load_settings
from lanedock.wire import messages
from lanedock_daemon import session_registry
from lanedock_daemon.agent.tests.sources import RELAY, VirtualDaemon, VirtualMesh
from lanedock_daemon.sessions import ChildArrived, ChildLeft, ChildReported
from lanedock_daemon.transport import Session, SourceSent, SourceStream

__all__ = ["RelayMesh"]

_SETTINGS = """{
  "name": "%s", "zone": "z0", "transport": "framed",
  "daemon": {"control": [%s], "staleness_limit_ms": 1000, "stall_limit_ms": 3000, "relay": "%s"},
  "upstream": {"service": "s", "listen": "10.0.0.2:1", "application": "10.0.0.2:2"}
}"""


class _Relay(VirtualDaemon):
    """A relay, which is the source of another daemon.

    Attributes
    ----------
    sessions : dict of SourceStream to Session
    """

    is_blackholed = is_refusing = False

    def __init__(self, mesh: VirtualMesh, folder, rng: Random):
        self.sessions: dict[SourceStream, _Session] = {}
        path = folder / "relay.json"
        controls = ",".join(f'"{address}"' for address in mesh.instances if address != mesh.relay)
        path.write_text(_SETTINGS % (RELAY, controls, mesh.relay), encoding="utf-8")
        super().__init__(mesh, load_settings(str(path)), rng)

    def serve_daemons(self, owner, address: Address) -> "_Relay":
        """Replace the method of the transport and the listener that it returns."""
        return self

    def set_accepted(self, tree) -> None:
        """Do nothing: the relay receives versions from a control instance."""

    def receive(self, stream: SourceStream, message: messages.DaemonMessage) -> None:
        session = self.sessions.get(stream)
        if session is None:
            session = self.sessions[stream] = _Session(self, stream)
            self.post(ChildArrived(session, message))
        else:
            self.post(ChildReported(session, message))


class _Session(Session):
    def __init__(self, relay: _Relay, stream: SourceStream):
        super().__init__()
        self._relay = relay
        self._stream = stream

    def send(self, batch: list[messages.ControlMessage]) -> None:
        mesh = self._relay.mesh
        for message in batch:
            mesh.at(mesh.clock.now + mesh.link_delay, self._stream.post, SourceSent(self._stream, message))

    def close(self) -> None:
        self._relay.sessions.pop(self._stream, None)
        self._relay.post(ChildLeft(self))


class RelayMesh(VirtualMesh):
    """Control instances, a relay to which they redirect, and one daemon."""

    def __init__(self, monkeypatch, folder, seed: int):
        super().__init__(monkeypatch, folder, seed, has_relay=True)
        monkeypatch.setattr(session_registry, "monotonic", self.clock.monotonic)
        self.instances[self.relay] = _Relay(self, folder, Random(seed))

    def suspend_relay(self, seconds: float) -> None:
        """Suspend the relay's instance for a time, in seconds, from now on."""
        self.instances[self.relay].suspend(seconds)
