# SPDX-License-Identifier: BSD-3-Clause
"""Embedding the staged rollout: a source and two holders, without any daemon."""

from lanedock.config import split_config
from lanedock.rollout import Distributor, VersionHolder, VersionSource
from lanedock.wire import messages

FILE = {
    "mesh": "example",
    "version": 1,
    "zones": ["here"],
    "traffic_classes": [{"name": "lookup", "share": 0.5}],
    "services": [{"name": "one", "zones": ["here"]}, {"name": "two", "zones": ["here"]}],
    "routes": [],
}


class Receiver:
    """A holder and its side of the conversation with a source."""

    def __init__(self, name: str, service: str, source: Distributor):
        self.holder = VersionHolder()
        self.name = name
        self.service = service
        self.source = source
        self.child = source.connect(self.state())

    def state(self) -> messages.DaemonState:
        """Tell what is held."""
        return messages.DaemonState(
            daemon=self.name,
            role=messages.ROLE_UPSTREAM,
            service=self.service,
            in_force_version=self.holder.in_force_version.number,
            in_force_digest=self.holder.in_force_version.digest,
            staged_version=self.holder.staged_version.number,
            staged_digest=self.holder.staged_version.digest,
        )

    def exchange(self) -> None:
        """Tell the state, and take what is due for it."""
        self.source.update(self.child, self.state())
        for message in self.source.due_messages(self.child):
            if message.HasField("stage"):
                self.holder.stage(message.stage)
            elif message.HasField("activate"):
                self.holder.activate(message.activate.version, message.activate.digest)
            elif message.HasField("in_force"):
                self.holder.put_in_force(message.in_force)


def main() -> None:
    """Stage a version on both receivers, then put it in force."""
    source = Distributor()
    receivers = [Receiver("first", "one", source), Receiver("second", "two", source)]
    tree = split_config(FILE)
    for step in (VersionSource(candidate=tree), VersionSource(accepted=tree)):
        source.set_versions(step)
        for receiver in receivers:
            receiver.exchange()
            print(receiver.name, receiver.holder)


if __name__ == "__main__":
    main()
