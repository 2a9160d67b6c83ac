# SPDX-License-Identifier: BSD-3-Clause
"""An open-loop load tool: ``python -m lanedock.testing.load JSON``.

Requests start at their planned times whatever became of the ones before, and a
latency counts from the planned time, so a stall shows in all requests that it
held up (coordinated omission is corrected by construction).
"""

import json
import sys
import time
from random import Random

import gevent
from gevent import socket
from hdrh.histogram import HdrHistogram

__all__ = ["LoadPlan", "LoadResult", "run_load"]

LONGEST_US = 60_000_000
DIGITS = 3


class LoadPlan:
    """What to send.

    Parameters
    ----------
    address : tuple of (str, int)
    rate : float
        Requests a second.
    duration : float
        Seconds.
    head : str
        The request up to the empty line, without it.
    in_time : float
        Seconds within which an answer counts as served in time.
    warm_up : float
        Seconds at the beginning that are not counted.
    seed : int
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
    """What came of it.

    Attributes
    ----------
    histogram : HdrHistogram
        Of latencies in microseconds, of all answers.
    statuses : dict of int to int
        0 stands for a broken connection.
    good : int
        Answers 200 served in time.
    seconds : float
        Time that was counted.
    """

    def __init__(self, seconds: float):
        self.histogram = HdrHistogram(1, LONGEST_US, DIGITS)
        self.statuses: dict[int, int] = {}
        self.good = 0
        self.seconds = seconds

    def summary(self) -> dict:
        """Return the figures; latencies in milliseconds."""
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
            # Poisson arrivals: callers don't wait for each other.
            planned += rng.expovariate(plan.rate)
            gevent.sleep(max(0.0, begin + planned - time.monotonic()))
            tasks.append(gevent.spawn(self.send, begin + planned, planned >= plan.warm_up))
        gevent.joinall(tasks, timeout=10)
        return self.result

    def send(self, planned_at: float, counts: bool) -> None:
        try:
            status = self.exchange()
        except OSError:
            status = 0
        if not counts:
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
            status, keep = read_answer(conn)
        except BaseException:
            conn.close()
            raise
        if keep:
            self.idle.append(conn)
        else:
            conn.close()
        return status

    def connect(self):
        conn = socket.create_connection(self.plan.address, timeout=10)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return conn


def read_answer(conn) -> tuple[int, bool]:
    """Read an answer with its length in the head; returns status and whether to keep the connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = conn.recv(65536)
        if not more:
            raise ConnectionError("no answer")
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    lowered = head.lower()
    length = int(lowered.partition(b"content-length:")[2].split(b"\r\n")[0])
    while len(body) < length:
        more = conn.recv(65536)
        if not more:
            raise ConnectionError("cut answer")
        body += more
    return int(head[9:12]), b"connection: close" not in lowered


def run_load(plan: LoadPlan) -> LoadResult:
    """Send what a plan says, in this process."""
    return _Runner(plan).run()


def main() -> None:
    """Run the plan given as JSON, and print the figures as JSON."""
    print(json.dumps(run_load(LoadPlan(**json.loads(sys.argv[1]))).summary()))


if __name__ == "__main__":
    main()
