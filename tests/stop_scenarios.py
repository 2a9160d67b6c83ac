# SPDX-License-Identifier: BSD-3-Clause
"""The kinds of planned stops that `stop_rounds` plays, and the callers that use the stopped daemons."""

import signal

from keepalive_callers import CallerKind

__all__ = ["SCENARIOS", "Scenario"]

DAEMONS = 6

ORDERLY = [
    CallerKind(),
    CallerKind(think=0.05),
    CallerKind(outstanding=3, answer_bytes=200_000),
    CallerKind(answer_bytes=600_000, read_rate=1.5e6),
    CallerKind(upload_bytes=300_000, answer_bytes=1000),
    CallerKind(upload_bytes=5_000, answer_bytes=1000),
]
PIPELINING = [
    CallerKind(outstanding=5, receive_buffer=4096, read_rate=200_000.0),
    CallerKind(outstanding=5, receive_buffer=4096, read_rate=60_000.0),
    CallerKind(outstanding=5, receive_buffer=16384),
    CallerKind(outstanding=5, receive_buffer=4096, read_rate=400_000.0, answer_bytes=20_000),
    CallerKind(outstanding=2, receive_buffer=4096, read_rate=30_000.0, answer_bytes=30_000),
    CallerKind(outstanding=3, upload_bytes=60_000, answer_bytes=20_000, receive_buffer=4096, read_rate=60_000.0),
]
# Short requests, as most are, of callers that pipeline and of callers that wait for each answer.
SHORT = [
    CallerKind(outstanding=3, answer_bytes=3000),
    CallerKind(outstanding=2, answer_bytes=3000, think=0.1),
    CallerKind(answer_bytes=3000),
    CallerKind(answer_bytes=3000, think=0.2),
    CallerKind(upload_bytes=1000, answer_bytes=3000),
    CallerKind(upload_bytes=1000, answer_bytes=3000, think=0.1),
]
# Callers of services that call others, as above.
CALLING = [
    CallerKind(outstanding=4, answer_bytes=3000, needs_call=True),
    CallerKind(outstanding=2, answer_bytes=3000, needs_call=True),
    CallerKind(outstanding=4, answer_bytes=3000),
    CallerKind(answer_bytes=3000, needs_call=True, think=0.2),
    CallerKind(upload_bytes=1000, answer_bytes=3000),
    CallerKind(upload_bytes=1000, answer_bytes=3000, think=0.1),
]


class Scenario:
    """One kind of planned stop.

    Parameters
    ----------
    kinds : list of CallerKind
    stopped : int
        Number of daemons that are stopped, a moment apart.
    signals : tuple of signal.Signals
        Sent to each stopped process, a moment apart; SIGSTOP pauses it for a moment.
    has_grace : bool
        Whether the setting `stop_grace_s` is given.
    wipes_control : bool
        Whether a control instance is killed at the same time and restarts without its data.
    gap : float
        Seconds between the stops of two groups of daemons; 0 to stop all within a moment.
    group : int
        Number of daemons of a group.
    slow_share : float
        Share of the requests that applications work on for `SLOW_WORK` from the first stop on (see `stop_rounds`).
    daemons : int
    ends_applications : bool
        Whether the application beside each daemon leaves and ends before the daemon is stopped, and starts again.
    """

    __slots__ = (
        "daemons",
        "ends_applications",
        "gap",
        "group",
        "has_grace",
        "kinds",
        "signals",
        "slow_share",
        "stopped",
        "wipes_control",
    )

    def __init__(
        self,
        kinds,
        stopped=1,
        signals=(signal.SIGTERM,),
        has_grace=True,
        wipes_control=False,
        gap=0.0,
        group=1,
        slow_share=0.0,
        daemons=DAEMONS,
        ends_applications=False,
    ):
        self.ends_applications = ends_applications
        self.gap = gap
        self.group = group
        self.slow_share = slow_share
        self.daemons = daemons
        self.kinds = kinds
        self.stopped = stopped
        self.signals = signals
        self.has_grace = has_grace
        self.wipes_control = wipes_control


_SERIES = (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
_PAUSE = (signal.SIGTERM, signal.SIGSTOP)
SCENARIOS = {
    "orderly": Scenario(ORDERLY),
    "orderly-signals": Scenario(ORDERLY, signals=_SERIES),
    "orderly-pause": Scenario(ORDERLY, signals=_PAUSE),
    "orderly-three": Scenario(ORDERLY, stopped=3, wipes_control=True),
    "orderly-all": Scenario(ORDERLY, stopped=DAEMONS),
    "orderly-no-grace": Scenario(ORDERLY, has_grace=False),
    "pipelining": Scenario(PIPELINING),
    "pipelining-no-grace": Scenario(PIPELINING, has_grace=False),
    "pipelining-signals": Scenario(PIPELINING, signals=_SERIES),
    "pipelining-three": Scenario(PIPELINING, stopped=3, wipes_control=True),
    "overlapping-slow": Scenario(SHORT, stopped=8, gap=1.1, group=4, slow_share=0.15, daemons=12),
    "overlapping-calls": Scenario(
        CALLING, stopped=8, gap=0.7, group=4, slow_share=0.15, daemons=12, wipes_control=True
    ),
    "replaced": Scenario(
        CALLING, stopped=8, gap=0.7, group=4, slow_share=0.15, daemons=12, wipes_control=True, ends_applications=True
    ),
}
