# SPDX-License-Identifier: BSD-3-Clause
"""Connections between instances that can be severed, as a cut between zones does it.

The processes connect through a relay of its own process (see `hooks/severable_links.py`). While
two instances are severed nothing passes between them, in either direction: what was sent is held,
new connections are not accepted, and nobody is told. After a while both ends are reset, as the
kernel does it where nothing is acknowledged. What is still held once the cut is over is delivered.

The relay's program reads a line for each change: a list of pairs of addresses that are severed.
"""

import asyncio
import json
import subprocess
import sys
from itertools import product
from pathlib import Path

from hooks.severable_links import ACCEPTED

__all__ = ["HELD", "Links"]

# Seconds for which a severed connection stays open: three unanswered probes of the kernel.
HELD = 2.0
_PIECE = 65536


class Links:
    """The relay's process.

    Parameters
    ----------
    host : str
        Address that it listens at.
    """

    def __init__(self, host: str):
        line = [sys.executable, str(Path(__file__)), host]
        self._process = subprocess.Popen(line, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.address = self._process.stdout.readline().decode().strip()

    def sever(self, cuts: list[tuple[list[str], list[str]]]) -> None:
        """Sever each address of one list from each of the other, for each of these pairs, and no others."""
        pairs = [pair for one, other in cuts for pair in product(one, other)]
        self._process.stdin.write(json.dumps(pairs).encode() + b"\n")
        self._process.stdin.flush()

    def stop(self) -> None:
        """End the relay and all connections through it."""
        self._process.kill()
        self._process.wait()


class _Link:
    """Between two instances.

    Attributes
    ----------
    is_open : asyncio.Event
    conns : set of asyncio.StreamWriter
        Of both ends of all connections.
    """

    def __init__(self):
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.conns: set[asyncio.StreamWriter] = set()
        self._timer: asyncio.TimerHandle | None = None

    def set_severed(self, is_severed: bool) -> None:
        if not is_severed:
            self.is_open.set()
            if self._timer is not None:
                self._timer.cancel()
        elif self.is_open.is_set():
            self.is_open.clear()
            self._timer = asyncio.get_running_loop().call_later(HELD, self._reset)

    def _reset(self) -> None:
        for conn in self.conns:
            _reset(conn)


class _Relay:
    def __init__(self):
        self._links: dict[frozenset[str], _Link] = {}
        self._severed: set[frozenset[str]] = set()

    def sever(self, pairs: set[frozenset[str]]) -> None:
        self._severed = pairs
        for pair, link in self._links.items():
            link.set_severed(pair in pairs)

    def _find(self, pair: frozenset[str]) -> _Link:
        link = self._links.setdefault(pair, _Link())
        link.set_severed(pair in self._severed)
        return link

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        source, host, port = (await reader.readline()).decode().split()
        link = self._find(frozenset((source, host)))
        link.conns.add(writer)
        other = None
        try:
            await link.is_open.wait()
            other_reader, other = await asyncio.open_connection(host, int(port), local_addr=(source, 0))
            link.conns.add(other)
            writer.write(ACCEPTED)
            await asyncio.gather(_pump(reader, other, link), _pump(other_reader, writer, link))
            end = asyncio.StreamWriter.close
        except OSError:
            end = _reset  # refused, or reset by one end: so is the other
        await link.is_open.wait()
        for conn in filter(None, (writer, other)):
            link.conns.discard(conn)
            end(conn)


def _reset(conn: asyncio.StreamWriter) -> None:
    conn.transport.abort()


async def _pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: _Link) -> None:
    while data := await reader.read(_PIECE):
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
        relay.sever({frozenset(pair) for pair in json.loads(line)})


if __name__ == "__main__":
    asyncio.run(_serve(sys.argv[1]))
