# SPDX-License-Identifier: BSD-3-Clause
"""An open-loop load generator: ``python -m lanedock.testing.load JSON``.

Requests start at their planned times, whether or not earlier ones have ended, and a
latency is measured from the planned time. A stall therefore raises the latency of
all requests that it delays, which avoids coordinated omission.
"""

import json
import sys
import time
from random import Random

import gevent
from gevent import socket
from hdrh.histogram import HdrHistogram

__all__ = ["LoadPlan", "LoadResult", "run_load"]

# Largest latency of the histogram, in microseconds, and its precision in significant digits.
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class LoadPlan:
    """Target, arrival rate and duration of a load run.

    Parameters
    ----------
    address : tuple of (str, int)
    rate : float
        Requests per second, on average.
    duration : float
        Seconds, with the warm-up.
    head : str
        Request line and headers, separated by newlines, without the empty line.
    in_time : float
        Largest latency, in seconds, of an answer that counts as good.
    warm_up : float
        Seconds at the beginning that are not counted.
    seed : int
        Of the random arrival times.
    """

    __slots__ = ("address", "duration", "head", "in_time", "rate", "seed", "warm_up")

    def __init__(self, address, rate, duration, head, in_time=1.0, warm_up=1.0, seed=1):
        self.address = tuple(address)
        self.rate = rate
        self.duration = duration
        self.head = head
        self.in_time = in_time
        self.warm_up = warm_up
        self.seed = seed


class LoadResult:
    """Latencies and statuses of a load run.

    Attributes
    ----------
    histogram : HdrHistogram
        Latencies of all counted requests, in microseconds.
    statuses : dict of int to int
        Requests by HTTP status; 0 stands for a broken connection.
    good : int
        Answers with status 200 within `LoadPlan.in_time`.
    seconds : float
        Duration without the warm-up.
    """

    def __init__(self, seconds: float):
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.statuses: dict[int, int] = {}
        self.good = 0
        self.seconds = seconds

    def summary(self) -> dict:
        """Return percentiles of latency in milliseconds, good answers per second, and statuses."""
        percentiles = {f"p{p:g}": self.histogram.get_value_at_percentile(p) / 1000 for p in (50, 90, 99, 99.9)}
        return {**percentiles, "good_per_second": self.good / self.seconds, "statuses": self.statuses}


class _Runner:
    def __init__(self, plan: LoadPlan):
        self.plan = plan
        self.idle: list = []
        self.result = LoadResult(plan.duration - plan.warm_up)
        self.request = (plan.head.replace("\n", "\r\n") + "\r\n\r\n").encode()

    def run(self) -> LoadResult:
        plan = self.plan
        rng = Random(plan.seed)
        begin = time.monotonic()
        planned = 0.0
        tasks = []
        while planned < plan.duration:
            # Poisson arrivals model independent callers.
            planned += rng.expovariate(plan.rate)
            gevent.sleep(max(0.0, begin + planned - time.monotonic()))
            tasks.append(gevent.spawn(self.send, begin + planned, planned >= plan.warm_up))
        gevent.joinall(tasks, timeout=10)
        return self.result

    def send(self, planned_at: float, is_counted: bool) -> None:
        try:
            status = self.exchange()
        except OSError:
            status = 0
        if not is_counted:
            return
        latency = time.monotonic() - planned_at
        result = self.result
        result.statuses[status] = result.statuses.get(status, 0) + 1
        result.histogram.record_value(max(1, int(latency * 1e6)))
        if status == 200 and latency <= self.plan.in_time:
            result.good += 1

    def exchange(self) -> int:
        conn = self.idle.pop() if self.idle else self.connect()
        try:
            conn.sendall(self.request)
            status, keep_alive = read_response(conn)
        except BaseException:
            conn.close()
            raise
        if keep_alive:
            self.idle.append(conn)
        else:
            conn.close()
        return status

    def connect(self):
        conn = socket.create_connection(self.plan.address, timeout=10)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return conn


def read_response(conn) -> tuple[int, bool]:
    """Read a response that has a Content-Length.

    Returns
    -------
    int
        Status.
    bool
        Whether the connection may be reused.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = conn.recv(65536)
        if not chunk:
            raise ConnectionError("connection closed before the end of the response head")
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    lowered = head.lower()
    length = int(lowered.partition(b"content-length:")[2].split(b"\r\n")[0])
    while len(body) < length:
        chunk = conn.recv(65536)
        if not chunk:
            raise ConnectionError(f"response body truncated: got {len(body)} of {length} bytes")
        body += chunk
    return int(head[9:12]), b"connection: close" not in lowered


def run_load(plan: LoadPlan) -> LoadResult:
    """Run a plan in this process, and return its result."""
    return _Runner(plan).run()


def main() -> None:
    """Run the plan given as JSON, and print the result as JSON."""
    print(json.dumps(run_load(LoadPlan(**json.loads(sys.argv[1]))).summary()))


if __name__ == "__main__":
    main()
