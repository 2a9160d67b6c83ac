# SPDX-License-Identifier: BSD-3-Clause
"""Relay that simulates network partitions between zones.

All processes connect through a relay process (see `hooks/severable_links.py`). While two instances
are partitioned, the relay holds the data sent in both directions and does not accept new connections
between them, without informing either side. After `RESET_DELAY` it resets both ends, as the kernel
does when nothing is acknowledged. Data still held when the partition ends is delivered.

The relay reads one JSON line from stdin per change: the list of all address pairs that are partitioned.
"""

import asyncio
import json
import subprocess
import sys
from itertools import product
from pathlib import Path

from hooks.severable_links import ACCEPTED

__all__ = ["RESET_DELAY", "RelayProcess"]

# Seconds until a partitioned connection is reset: three unanswered keepalive probes of the kernel.
RESET_DELAY = 2.0
_CHUNK_SIZE = 65536


class RelayProcess:
    """Handle of the relay, which runs as a separate process.

    Parameters
    ----------
    host : str
        IP address on which the relay listens.

    Attributes
    ----------
    address : str
        Host and port on which the relay listens.
    """

    def __init__(self, host: str):
        line = [sys.executable, str(Path(__file__)), host]
        self._process = subprocess.Popen(line, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.address = self._process.stdout.readline().decode().strip()

    def set_partitions(self, partitions: list[tuple[list[str], list[str]]]) -> None:
        """Replace all partitions.

        Parameters
        ----------
        partitions : list of tuple of (list of str, list of str)
            Each address of the first list is partitioned from each address of the second one.
        """
        pairs = [pair for one, other in partitions for pair in product(one, other)]
        self._process.stdin.write(json.dumps(pairs).encode() + b"\n")
        self._process.stdin.flush()

    def stop(self) -> None:
        """Kill the relay, which closes all connections through it."""
        self._process.kill()
        self._process.wait()


class _Link:
    """Connections between two instances.

    Attributes
    ----------
    is_open : asyncio.Event
        Set while the two instances are not partitioned.
    conns : set of asyncio.StreamWriter
        Writers to both ends of all connections.
    """

    def __init__(self):
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.conns: set[asyncio.StreamWriter] = set()
        self._timer: asyncio.TimerHandle | None = None

    def set_partitioned(self, is_partitioned: bool) -> None:
        if not is_partitioned:
            self.is_open.set()
            if self._timer is not None:
                self._timer.cancel()
        elif self.is_open.is_set():
            self.is_open.clear()
            self._timer = asyncio.get_running_loop().call_later(RESET_DELAY, self._reset)

    def _reset(self) -> None:
        for conn in self.conns:
            _reset(conn)


class _Relay:
    def __init__(self):
        self._links: dict[frozenset[str], _Link] = {}
        self._partitioned: set[frozenset[str]] = set()

    def set_partitions(self, pairs: set[frozenset[str]]) -> None:
        self._partitioned = pairs
        for pair, link in self._links.items():
            link.set_partitioned(pair in pairs)

    def _get_link(self, pair: frozenset[str]) -> _Link:
        link = self._links.setdefault(pair, _Link())
        link.set_partitioned(pair in self._partitioned)
        return link

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            # The process ended, or gave up, before it named its target.
            writer.close()
            return
        source, host, port = line.decode().split()
        link = self._get_link(frozenset((source, host)))
        link.conns.add(writer)
        other = None
        try:
            await link.is_open.wait()
            other_reader, other = await asyncio.open_connection(host, int(port), local_addr=(source, 0))
            link.conns.add(other)
            writer.write(ACCEPTED)
            await asyncio.gather(_forward(reader, other, link), _forward(other_reader, writer, link))
            close_conn = asyncio.StreamWriter.close
        except OSError:
            close_conn = _reset  # the target refused, or one end reset the connection
        await link.is_open.wait()
        for conn in filter(None, (writer, other)):
            link.conns.discard(conn)
            close_conn(conn)


def _reset(conn: asyncio.StreamWriter) -> None:
    conn.transport.abort()


async def _forward(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: _Link) -> None:
    while data := await reader.read(_CHUNK_SIZE):
        await link.is_open.wait()
        writer.write(data)
        await writer.drain()
    await link.is_open.wait()
    writer.write_eof()


async def _serve(host: str) -> None:
    relay = _Relay()
    server = await asyncio.start_server(relay.accept, host, 0)
    _, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    loop = asyncio.get_running_loop()
    lines = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        relay.set_partitions({frozenset(pair) for pair in json.loads(line)})


if __name__ == "__main__":
    asyncio.run(_serve(sys.argv[1]))
