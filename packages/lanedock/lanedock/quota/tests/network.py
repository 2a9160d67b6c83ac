# SPDX-License-Identifier: BSD-3-Clause
"""Virtual clock and network of simulated processes, with faults."""

import heapq
import itertools
from collections import Counter
from random import Random

__all__ = ["Network", "Process"]

# One-way delays, in seconds, within a zone and between zones.
LOCAL_DELAY, REMOTE_DELAY = 0.0003, 0.0015


class Process:
    """A simulated process.

    Timers of a paused process fire when it is resumed. Messages to it wait as in its socket
    and are read then, after the timers. Those to an ended process are lost.
    """

    def __init__(self, name: str, zone: str, network: "Network"):
        self.name = name
        self.zone = zone
        self.network = network
        self.is_up = True
        self.is_paused = False
        self.incarnation = 0
        self.timers: list = []
        self.inbox: list = []
        # Time, in seconds, for which the process was paused: a clock that doesn't count suspension lags by it.
        self.paused_time = 0.0
        self._paused_at = 0.0
        network.processes[name] = self

    @property
    def now(self) -> float:
        """The virtual time, in seconds."""
        return self.network.now

    def receive(self, sender: str, message) -> None:
        """Process a message."""
        raise NotImplementedError

    def note_refused(self, receiver: str, message) -> None:
        """Process that a message wasn't taken, as no process listens at the receiver's address."""

    def send(self, receiver: str, message) -> None:
        """Send a message, which may be lost or late."""
        self.network.send(self, self.network.processes[receiver], message)

    def after(self, seconds: float, action, *arguments) -> None:
        """Run an action later, unless the process has ended by then."""
        self.network.at(self.now + seconds, self._fire, self.incarnation, action, arguments)

    def _fire(self, incarnation: int, action, arguments) -> None:
        if incarnation != self.incarnation or not self.is_up:
            return
        if self.is_paused:
            self.timers.append((incarnation, action, arguments))
        else:
            action(*arguments)

    def deliver(self, sender: str, message) -> None:
        """Receive a message, now or once resumed."""
        if self.is_paused:
            self.inbox.append((sender, message))
        elif self.is_up:
            self.receive(sender, message)

    def pause(self) -> None:
        """Suspend the process."""
        if self.is_up and not self.is_paused:
            self.is_paused, self._paused_at = True, self.now

    def resume(self) -> None:
        """Resume the process: run overdue timers, then read waiting messages."""
        if not self.is_paused:
            return
        self.is_paused = False
        self.paused_time += self.now - self._paused_at
        timers, self.timers = self.timers, []
        for timer in timers:
            self._fire(*timer)
        inbox, self.inbox = self.inbox, []
        for item in inbox:
            self.deliver(*item)

    def kill(self) -> None:
        """End the process; what it held is lost."""
        self.is_up = self.is_paused = False
        self.incarnation += 1
        self.timers, self.inbox = [], []

    def restart(self) -> None:
        """Start the process without memory."""
        self.kill()
        self.is_up = True
        self.start()

    def start(self) -> None:
        """Begin to run."""


class Network:
    """Virtual clock, messages and faults; equal seeds give equal runs."""

    def __init__(self, seed: int):
        self.rng = Random(seed)
        self.now = 0.0
        self.processes: dict[str, Process] = {}
        self.cut: set[tuple[str, str]] = set()
        # Links that deliver nothing until they are released, and their messages.
        self.held: dict[tuple[str, str], list] = {}
        self.loss = 0.0
        self.late = 0.0
        self.sent: Counter = Counter()
        self._events: list = []
        self._order = itertools.count()

    def at(self, time: float, action, *arguments) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (time, next(self._order), action, arguments))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def send(self, sender: Process, receiver: Process, message) -> None:
        self.sent[type(message).__name__] += 1
        link = (sender.name, receiver.name)
        if link in self.cut or self.rng.random() < self.loss:
            return
        delay = LOCAL_DELAY if sender.zone == receiver.zone else REMOTE_DELAY
        if self.rng.random() < self.late:
            delay += self.rng.uniform(0.0, 1.5)
        self.at(self.now + delay, self._arrive, link, receiver, receiver.incarnation, message)

    def _arrive(self, link: tuple[str, str], receiver: Process, incarnation: int, message) -> None:
        if link in self.held:
            self.held[link].append((receiver, incarnation, message))
        elif receiver.is_up and incarnation == receiver.incarnation:
            receiver.deliver(link[0], message)
        elif not receiver.is_up and (receiver.name, link[0]) not in self.cut:
            self.at(self.now + REMOTE_DELAY, self.processes[link[0]].note_refused, receiver.name, message)

    def links(self, names: set[str], outgoing=True, incoming=True) -> set[tuple[str, str]]:
        """Return the links between these processes and all others."""
        others = self.processes.keys() - names
        pairs = set()
        for name, other in itertools.product(names, others):
            pairs |= {(name, other)} if outgoing else set()
            pairs |= {(other, name)} if incoming else set()
        return pairs

    def hold(self, links: set[tuple[str, str]]) -> None:
        """Deliver no message of these links until they are released."""
        for link in links:
            self.held.setdefault(link, [])

    def heal(self) -> None:
        """End cuts, losses and delays."""
        self.cut.clear()
        self.loss = self.late = 0.0
        self.release()

    def release(self) -> None:
        """Deliver the messages of held links, in their order."""
        held, self.held = self.held, {}
        for link, items in sorted(held.items()):
            for item in items:
                self._arrive(link, *item)
