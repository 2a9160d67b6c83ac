# SPDX-License-Identifier: BSD-3-Clause
"""What stands on the link to an upstream's daemon while many callers upload.

What users saw: with 76 daemons on links of 3.9 Mbit/s, seven of them beside the
service that takes uploads of 60 kB on average, versions of the configuration came
into force on exactly those seven up to 7.2 s after they were accepted (median of all
daemons 0.036 s), with nothing in their logs. Uploads took 7.5 s at p99, and of 4,700
requests of another service 1,600 failed whose short calls go to the same upstreams.

Order of events: one or two of the seven are restarted, and the uploads of all callers
go to the others. Callers' sides send the bodies with the heads, unasked where they are
up to 64 KB, and the upstream's daemon wants as many of the longer ones at once as it
has slots. Twelve bodies of 60 kB are 1.5 s of such a link.

Cause: a daemon's inbound link is one queue for all that comes to it. Versions,
endpoints, heartbeats and short calls wait behind the bodies that stand there, and
nothing bounds how many do.
"""

import gevent
from gevent import socket
from gevent.queue import Queue
from gevent.server import StreamServer

from lanedock.wire import messages
from lanedock_daemon.path.tests.chain import HOST, Chain, make_value

UPLOADS = 12
BODY = 60_000
# Bytes of bodies that may stand on the link at once, by whatever the daemon has
# learned so far: 0.6 s of a link of 3.9 Mbit/s, less than half of all uploads.
MAX_STANDING = 300_000
# The link brings this many bytes in each step, of as many seconds.
STEP_BYTES = 16_000
STEP = 0.02


class NarrowLink:
    """A link to an upstream's daemon: bodies stand in one queue, and come through at its rate.

    Attributes
    ----------
    standing, peak : int
        Bytes of bodies that were sent and haven't come through, now and at most.
    """

    def __init__(self, address: tuple[str, int]):
        self.standing = self.peak = 0
        self._address = address
        self._queue: Queue = Queue()
        self._server = StreamServer((HOST, 0), self._serve)
        self._server.start()
        self._link = gevent.spawn(self._bring)

    @property
    def port(self) -> int:
        return self._server.server_port

    def stop(self) -> None:
        self._link.kill()
        self._server.stop(timeout=0)

    def _bring(self) -> None:
        while True:
            conn, data = self._queue.get()
            gevent.sleep(STEP * len(data) / STEP_BYTES)
            self.standing -= len(data)
            conn.sendall(data)

    def _serve(self, caller, address) -> None:
        with socket.create_connection(self._address, timeout=10) as daemon:
            answers = gevent.spawn(self._pass_answers, daemon, caller)
            try:
                self._pass_requests(caller, daemon)
            except OSError:
                pass  # either end has gone: so does the connection
            finally:
                answers.kill()

    def _pass_answers(self, daemon, caller) -> None:
        while data := daemon.recv(65536):
            caller.sendall(data)
        caller.shutdown(socket.SHUT_WR)

    def _pass_requests(self, caller, daemon) -> None:
        """Pass heads on at once, and put bodies into the queue."""
        data, left = b"", 0
        while more := caller.recv(STEP_BYTES):
            data += more
            while data:
                if left == 0:
                    head, mark, rest = data.partition(b"\r\n\r\n")
                    if not mark:
                        break
                    daemon.sendall(head + mark)
                    data, left = rest, _body_length(head)
                    continue
                body, data = data[:left], data[left:]
                left -= len(body)
                self.standing += len(body)
                self.peak = max(self.peak, self.standing)
                self._queue.put((daemon, body))


def _body_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def _upload_at_once(link_rate: float | None = None) -> int:
    """Have callers upload at once; returns the bytes of bodies that stood on the link at most."""
    value = make_value(slots=UPLOADS, queue=2 * UPLOADS)
    for route in value["routes"]:
        route["deadline_ms"] = route["target_ms"] = 20_000
    chain = Chain(None, value=value, link_rate=link_rate)
    link = NarrowLink((HOST, chain.upstreams[0].server.port))
    update = messages.EndpointUpdate(whole=True)
    update.changed.add(instance="u0", service="s", zone="z", host=HOST, port=link.port, incarnation=1)
    chain.view.take_endpoints(update)
    try:
        uploads = [gevent.spawn(chain.request, "POST", f"/{number}", b"x" * BODY) for number in range(UPLOADS)]
        gevent.joinall(uploads, timeout=30, raise_error=True)
        assert [upload.value[0] for upload in uploads] == [200] * UPLOADS
        assert chain.applications[0].runs == {f"/{number}": 1 for number in range(UPLOADS)}
        return link.peak
    finally:
        link.stop()
        chain.stop()


def test_uploads_leave_room_on_the_link_of_an_upstreams_daemon():
    """Uploads that come at once don't all stand on the link before what else it brings."""
    assert _upload_at_once() <= MAX_STANDING


def test_uploads_come_at_the_pace_of_a_link_whose_rate_is_known():
    """Less than a body stands there; two did, for callers sent a body as soon as it was asked for."""
    assert _upload_at_once(STEP_BYTES / STEP) < BODY
