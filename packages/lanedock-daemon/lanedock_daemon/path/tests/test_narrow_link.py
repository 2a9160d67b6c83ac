# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the bytes queued on the link to an upstream's daemon during concurrent uploads.

They guard against uploads that delay all other traffic of a daemon. A daemon's inbound link
is one queue: versions, endpoints, heartbeats and short calls wait behind the bodies in it.
Twelve bodies of 60 kB occupy a link of 3.9 Mbit/s for 1.5 s. If callers send bodies of up to
64 KB unasked, and the daemon asks for as many longer ones as it has slots, nothing bounds the
queue. With 76 daemons, of which seven served uploads of 60 kB on average and one or two of the
seven were restarted, versions came into force on the seven up to 7.2 s after acceptance (median
of all daemons 0.036 s), and uploads took 7.5 s at p99. Of 4,700 requests of another service
whose short calls go to the same upstreams, 1,600 failed.
"""

import gevent
from gevent import socket
from gevent.queue import Queue
from gevent.server import StreamServer

from lanedock.wire import messages
from lanedock_daemon.path.tests.chain import HOST, Chain, make_value

UPLOADS = 12
BODY_BYTES = 60_000
# Maximum body bytes queued on the link, also while the daemon hasn't learned the link's
# rate yet: 0.6 s of a link of 3.9 Mbit/s, less than half of all uploads.
MAX_QUEUED_BYTES = 300_000
# The link delivers this many bytes per step, which lasts `STEP_SECONDS`.
STEP_BYTES = 16_000
STEP_SECONDS = 0.02


class NarrowLink:
    """A link to an upstream's daemon that delivers bodies from one queue at a fixed rate.

    Attributes
    ----------
    queued_bytes, peak_queued_bytes : int
        Body bytes that were sent and not delivered yet: current and maximum.
    """

    def __init__(self, address: tuple[str, int]):
        self.queued_bytes = self.peak_queued_bytes = 0
        self._address = address
        self._queue: Queue = Queue()
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()
        self._link = gevent.spawn(self._deliver)

    @property
    def port(self) -> int:
        return self._server.server_port

    def stop(self) -> None:
        self._link.kill()
        self._server.stop(timeout=0)

    def _deliver(self) -> None:
        while True:
            conn, data = self._queue.get()
            gevent.sleep(STEP_SECONDS * len(data) / STEP_BYTES)
            self.queued_bytes -= len(data)
            conn.sendall(data)

    def _serve(self, caller, address) -> None:
        with socket.create_connection(self._address, timeout=10) as daemon:
            answers = gevent.spawn(self._forward_answers, daemon, caller)
            try:
                self._forward_requests(caller, daemon)
            except OSError:
                pass  # either end has closed its connection
            finally:
                answers.kill()

    def _forward_answers(self, daemon, caller) -> None:
        while data := daemon.recv(65536):
            caller.sendall(data)
        caller.shutdown(socket.SHUT_WR)

    def _forward_requests(self, caller, daemon) -> None:
        """Forward heads at once, and queue bodies."""
        data, remaining = b"", 0
        while more := caller.recv(STEP_BYTES):
            data += more
            while data:
                if remaining == 0:
                    head, separator, rest = data.partition(b"\r\n\r\n")
                    if not separator:
                        break
                    daemon.sendall(head + separator)
                    data, remaining = rest, _body_length(head)
                    continue
                body, data = data[:remaining], data[remaining:]
                remaining -= len(body)
                self.queued_bytes += len(body)
                self.peak_queued_bytes = max(self.peak_queued_bytes, self.queued_bytes)
                self._queue.put((daemon, body))


def _body_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def _upload_at_once(link_rate: float | None = None) -> int:
    """Run concurrent uploads; return the maximum number of body bytes queued on the link."""
    value = make_value(slots=UPLOADS, queue=2 * UPLOADS)
    for route in value["routes"]:
        route["deadline_ms"] = route["target_ms"] = 20_000
    chain = Chain(None, value=value, link_rate=link_rate)
    link = NarrowLink((HOST, chain.upstreams[0].server.port))
    update = messages.EndpointUpdate(whole=True)
    update.changed.add(instance="u0", service="s", zone="z", host=HOST, port=link.port, incarnation=1)
    chain.view.apply_endpoints(update)
    try:
        uploads = [gevent.spawn(chain.request, "POST", f"/{number}", b"x" * BODY_BYTES) for number in range(UPLOADS)]
        gevent.joinall(uploads, timeout=30, raise_error=True)
        assert [upload.value[0] for upload in uploads] == [200] * UPLOADS
        assert chain.applications[0].runs == {f"/{number}": 1 for number in range(UPLOADS)}
        return link.peak_queued_bytes
    finally:
        link.stop()
        chain.stop()


def test_concurrent_uploads_queue_few_bytes_on_the_inbound_link():
    """Other traffic must not wait behind the bodies of all concurrent uploads."""
    assert _upload_at_once() <= MAX_QUEUED_BYTES


def test_uploads_are_paced_to_a_known_link_rate():
    """Less than one body is queued. Without pacing, callers send a body once asked, and two are queued."""
    assert _upload_at_once(STEP_BYTES / STEP_SECONDS) < BODY_BYTES
