# SPDX-License-Identifier: BSD-3-Clause
"""Relay that gives connections the delay, bandwidth and small windows of a network.

Processes connect through it as through the relay of `links`. Data waits in it as on a link: in order, for the
link's delay and bandwidth, and no more of it than a window holds.
"""

import asyncio
import json
import socket
import struct
import subprocess
import sys
import time
from pathlib import Path
from random import Random

from hooks.severable_links import ACCEPTED

__all__ = ["LinkShape", "ShapedRelay", "connect_through"]

# Value of SO_LINGER that is enabled with a timeout of 0: `close` resets the connection.
_LINGER_RESET = struct.pack("ii", 1, 0)
_CHUNK_SIZE = 4096
_BACKLOG = 1024
# Seconds between two checks of the relay's own delay, and the delay from which it is reported.
_REPORT_INTERVAL = 0.1
_MAX_OWN_DELAY = 0.3
# Seconds by which a late segment is retransmitted.
_RETRANSMISSION_DELAY = 0.2


class LinkShape:
    """What a link does to each connection.

    Parameters
    ----------
    delay : tuple of (float, float)
        Range of the delay of a connection, one way, in seconds.
    rate : float
        Bytes per second in each direction; 0 for no limit.
    window : int
        Bytes that are on their way at most in each direction, and size of the sockets' buffers.
    held_share, hold_time : float
        Share of the reads before which the relay reads nothing for up to this time in seconds.
    late_share : float
        Share of the segments that come late.
    reset_overtakes : bool
        Whether a reset discards the bytes that are on their way, instead of following them.
    """

    __slots__ = ("delay", "held_share", "hold_time", "late_share", "rate", "reset_overtakes", "window")

    def __init__(
        self,
        delay=(0.0, 0.0),
        rate=0.0,
        window=65536,
        held_share=0.0,
        hold_time=0.0,
        late_share=0.0,
        reset_overtakes=False,
    ):
        self.delay = tuple(delay)
        self.rate = rate
        self.window = window
        self.held_share = held_share
        self.hold_time = hold_time
        self.late_share = late_share
        self.reset_overtakes = reset_overtakes

    def __repr__(self) -> str:
        return f"<LinkShape {self.as_dict()}>"

    def as_dict(self) -> dict:
        """Return the parameters."""
        return {name: getattr(self, name) for name in self.__slots__}


class ShapedRelay:
    """Handle of the relay, which runs as a separate process.

    Parameters
    ----------
    host : str
        IP address on which the relay listens.
    shape : LinkShape

    Attributes
    ----------
    address : str
        Host and port on which the relay listens.
    """

    def __init__(self, host: str, shape: LinkShape):
        line = [sys.executable, str(Path(__file__)), host, json.dumps(shape.as_dict())]
        self._process = subprocess.Popen(line, stdout=subprocess.PIPE)
        self.address = self._process.stdout.readline().decode().strip()

    def stop(self) -> None:
        """Kill the relay, which closes all connections through it."""
        self._process.kill()
        self._process.wait()


def connect_through(conn: socket.socket, relay: str, source: str, address: tuple[str, int]) -> None:
    """Connect a socket to an address through a relay; `source` is the IP address from which the relay connects.

    Raises
    ------
    OSError
        If the target refuses the connection.
    """
    host, _, port = relay.rpartition(":")
    conn.connect((host, int(port)))
    conn.sendall(f"{source} {address[0]} {address[1]}\n".encode())
    if conn.recv(1) != ACCEPTED:
        raise ConnectionRefusedError(f"relay could not connect {source} to {address}")


class _Direction:
    """Data on its way from one socket to another."""

    def __init__(self, source: socket.socket, target: socket.socket, shape: LinkShape, rng: Random):
        self._source = source
        self._target = target
        self._shape = shape
        self._rng = rng
        self._delay = rng.uniform(*shape.delay)
        self._queue: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue()
        self._held = 0
        self._has_room = asyncio.Event()
        self._last_due = 0.0
        self.is_broken = False

    def put(self, data: bytes | None) -> None:
        """Send data on its way; empty data is the end of the stream, None a reset."""
        loop_time = asyncio.get_running_loop().time()
        late = _RETRANSMISSION_DELAY if self._rng.random() < self._shape.late_share else 0.0
        due = max(loop_time + self._delay + late, self._last_due)
        if data and self._shape.rate:
            due += len(data) / self._shape.rate
        self._last_due = due
        self._queue.put_nowait((due, data))

    async def read(self) -> None:
        """Read data until the end of the stream, as far as the window allows."""
        loop = asyncio.get_running_loop()
        while True:
            while self._held >= self._shape.window:
                self._has_room.clear()
                await self._has_room.wait()
            if self._rng.random() < self._shape.held_share:
                await asyncio.sleep(self._rng.uniform(0, self._shape.hold_time))
            try:
                data = await loop.sock_recv(self._source, min(_CHUNK_SIZE, self._shape.window - self._held))
            except OSError:
                if self._shape.reset_overtakes:
                    await asyncio.sleep(self._delay)
                    raise
                self.put(None)
                return
            self._held += len(data)
            self.put(data)
            if not data:
                return

    async def write(self, other: "_Direction") -> None:
        """Write data when it is due; a target that is gone resets the `other` direction."""
        loop = asyncio.get_running_loop()
        while True:
            due, data = await self._queue.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            if data is None:
                raise ConnectionResetError
            try:
                if not data:
                    self._target.shutdown(socket.SHUT_WR)
                    return
                if not self.is_broken:
                    await loop.sock_sendall(self._target, data)
            except OSError:
                self.is_broken = True
                if self._shape.reset_overtakes:
                    await asyncio.sleep(self._delay)
                    raise
                other.put(None)
            self._held -= len(data)
            self._has_room.set()


class _Relay:
    def __init__(self, shape: LinkShape):
        self._shape = shape
        self._number = 0

    async def serve(self, host: str) -> None:
        loop = asyncio.get_running_loop()
        listener = self._make_socket()
        listener.bind((host, 0))
        listener.listen(_BACKLOG)
        print(f"{host}:{listener.getsockname()[1]}", flush=True)
        tasks = {asyncio.create_task(_report_delays())}
        while True:
            conn, _ = await loop.sock_accept(listener)
            task = asyncio.create_task(self._relay(conn))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def _make_socket(self) -> socket.socket:
        conn = socket.socket()
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._shape.window)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self._shape.window)
        conn.setblocking(False)
        return conn

    async def _relay(self, conn: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with conn, self._make_socket() as other:
            try:
                line = b""
                while not line.endswith(b"\n"):
                    if not (data := await loop.sock_recv(conn, 1)):
                        return
                    line += data
                source, host, port = line.decode().split()
                other.bind((source, 0))
                await loop.sock_connect(other, (host, int(port)))
                await loop.sock_sendall(conn, ACCEPTED)
                for end in (conn, other):
                    end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._forward(conn, other)
            except OSError:
                for end in (conn, other):
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)

    async def _forward(self, conn: socket.socket, other: socket.socket) -> None:
        self._number += 1
        rng = Random(self._number)
        up, down = _Direction(conn, other, self._shape, rng), _Direction(other, conn, self._shape, rng)
        tasks = [asyncio.create_task(work) for work in (up.read(), up.write(down), down.read(), down.write(up))]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


async def _report_delays() -> None:
    """Report on standard error when the relay itself got no processor time, so that its links weren't as shaped."""
    loop = asyncio.get_running_loop()
    while True:
        due = loop.time() + _REPORT_INTERVAL
        await asyncio.sleep(_REPORT_INTERVAL)
        if (delay := loop.time() - due) > _MAX_OWN_DELAY:
            print(f"relay delayed by {delay:.2f} s at {time.strftime('%H:%M:%S')}", file=sys.stderr, flush=True)


if __name__ == "__main__":
    asyncio.run(_Relay(LinkShape(**json.loads(sys.argv[2]))).serve(sys.argv[1]))
