# SPDX-License-Identifier: BSD-3-Clause
"""Numbered log events, from which the reference page ``docs/events.md`` is generated."""

import logging
from enum import Enum

__all__ = ["Event"]


class Event(Enum):
    """A log event with its number, level, meaning and remedy.

    Numbers 1xx concern a process, 2xx the replicated log, 3xx versions, 4xx
    the fleet, 5xx requests.
    """

    STARTED = (101, logging.INFO, "The process has started and accepts requests.", "None.")
    STOPPING = (
        102,
        logging.INFO,
        "The process was asked to stop; it finishes the requests in progress. `after_ms` is the time since it "
        "noted the signal.",
        "If `after_ms` is long, the process gets too little processor time, or the signal came while it started.",
    )
    STOPPED = (
        103,
        logging.INFO,
        "The process has stopped. `stop_ms` is the time since the stop began.",
        "None.",
    )
    NO_AUTHENTICATION = (
        105,
        logging.WARNING,
        "Peers are not authenticated.",
        "Set `tls` wherever untrusted hosts can reach the listening addresses.",
    )
    UNEXPECTED = (106, logging.ERROR, "A task failed with an unexpected exception.", "Report it: this is a bug.")
    LOG_LIMITED = (
        110,
        logging.WARNING,
        "Log lines of an event were dropped in the last second: they were too many, or, if `limited` is empty, nothing "
        "read the log.",
        "Raise `log_lines_per_second` temporarily if the lines are needed.",
    )
    LOOP_LATE = (
        111,
        logging.WARNING,
        "The event loop has not run for a while: nothing was read, sent or noticed meanwhile. `late_ms` is for how "
        "long, and `cpu_ms` the processor time of the process in that time.",
        "If `cpu_ms` is far below `late_ms`, the process was suspended or got too little processor time; otherwise its "
        "own work has blocked it.",
    )
    RELOADED = (108, logging.INFO, "The settings were reloaded.", "None.")
    RELOAD_REFUSED = (
        109,
        logging.ERROR,
        "The changed settings have findings; the previous settings stay in use.",
        "Correct the findings named.",
    )
    CUT_SHORT = (
        107,
        logging.WARNING,
        "Requests were still in progress at the stop time-out: they got a final answer, or were cut off.",
        "Raise `stop_timeout_ms`, or `stop_grace_s` together with the platform's grace period.",
    )

    LEADING = (201, logging.INFO, "This control instance has become the leader.", "None.")
    NOT_LEADING = (
        202,
        logging.INFO,
        "This control instance is no longer the leader.",
        "If this recurs, look for network partitions.",
    )
    TAIL_CUT = (
        203,
        logging.WARNING,
        "An incomplete record at the end of the log was removed.",
        "None: the record was never acknowledged.",
    )
    DISK_FAILED = (
        204,
        logging.CRITICAL,
        "The disk has refused a call, which `error` names. The control instance neither leads nor votes, refuses "
        "changes, and tries again up to ten times a second; E209 follows once it participates again.",
        "Free disk space if there is none left: the instance needs no restart. If the error is one of input and "
        "output, or stays, replace the disk and then the control instance.",
    )
    LOG_CORRUPT = (
        205,
        logging.CRITICAL,
        "The log is corrupt; the replica does not participate in consensus.",
        "Replace the control instance.",
    )
    MEMBERSHIP = (206, logging.INFO, "The membership of the replica group has changed.", "None.")
    JOINING = (
        207,
        logging.WARNING,
        "The data folder is empty: the replica requests to join under a new incarnation.",
        "None.",
    )
    COMPACTED = (208, logging.INFO, "The log was compacted into a snapshot.", "None.")
    DISK_RECOVERED = (
        209,
        logging.WARNING,
        "The disk takes writes again, and the control instance participates. `outage_ms` is the time for which it "
        "did not.",
        "None; if this recurs, give the data folder more space, or replace the disk.",
    )
    COMPACTION_FAILED = (
        210,
        logging.WARNING,
        "The disk has no space for the compacted log beside the present one, which stays in use.",
        "Free disk space; the compaction is tried again.",
    )

    SUBMITTED = (301, logging.INFO, "A version is being staged.", "None.")
    ACCEPTED = (302, logging.INFO, "A version is accepted and committed.", "None.")
    ABORTED = (303, logging.WARNING, "A version was aborted on all daemons.", "See the findings in `lanedock history`.")
    IN_FORCE = (304, logging.INFO, "The daemon has put a version in force.", "None.")
    REFUSED = (305, logging.ERROR, "The daemon has refused a version.", "Correct the findings.")
    FLOOR_CONFIRMED = (306, logging.INFO, "A quorum has confirmed the newest version.", "None.")
    SUSPENDED = (
        307,
        logging.WARNING,
        "The process was suspended; the daemon serves again once a quorum has confirmed the newest version.",
        "Check whether the instance is overloaded or was frozen.",
    )
    SUBMISSION_REFUSED = (
        308,
        logging.INFO,
        "A submission was refused when its log entry was applied, or is a duplicate.",
        "Compare its version number and base with the accepted version.",
    )

    CANARY_STARTED = (
        320,
        logging.INFO,
        "A canary release has started; the fields name the service, the version and the duration.",
        "Follow it with `lanedock canary status`.",
    )
    CANARY_REFUSED = (
        321,
        logging.INFO,
        "An order for a canary release was refused when its log entry was applied, or is a duplicate.",
        "Compare the order with the canary release named.",
    )
    CANARY_STEP = (
        322,
        logging.INFO,
        "The share of a canary, or the set of upstreams that get it, has changed; the fields give the values and why.",
        "None.",
    )
    CANARY_COMPLETED = (
        323,
        logging.INFO,
        "A canary release is completed: the former versions get no more requests.",
        "None.",
    )
    CANARY_ROLLED_BACK = (
        324,
        logging.WARNING,
        "A canary release is rolled back: its version gets no more requests. `reason` names the route and its figures.",
        "Check the version; if the duration was too short, start the release again with a longer one.",
    )
    CANARY_FOLLOWED = (325, logging.INFO, "The daemon applies new canary rules.", "None.")
    CANARY_EVIDENCE = (
        326,
        logging.INFO,
        "An upstream's answers up to a step of a canary: failures, slow answers, and the mean and spread of its times.",
        "Compare the upstreams of both versions: a bad version is worse on each of its upstreams.",
    )

    SOURCE_FOUND = (401, logging.INFO, "The daemon has connected to a source of versions.", "None.")
    SOURCE_LOST = (
        402,
        logging.WARNING,
        "The daemon lost its source of versions and looks for another.",
        "If this lasts, check the control instances.",
    )
    PLATFORM_UNREADABLE = (
        403,
        logging.WARNING,
        "The platform's list of instances can't be read; the last list that was read stays in use.",
        "Check the address or file of the list.",
    )
    PLATFORM_ENTRIES_REFUSED = (
        414,
        logging.WARNING,
        "Entries of the platform's list are malformed and are ignored; the other entries are in use.",
        "Find out what writes them: `first` gives the position of the first one.",
    )
    DRAINING = (404, logging.INFO, "An instance is draining and accepts no new requests.", "None.")

    UPSTREAM_REGISTERED = (405, logging.INFO, "The local application has registered.", "None.")
    UPSTREAM_LEAVING = (
        406,
        logging.INFO,
        "The local application is draining or leaving; the daemon forwards no more requests to it.",
        "None.",
    )
    UPSTREAM_SILENT = (
        407,
        logging.WARNING,
        "The local application has stopped sending heartbeats, or sends them again.",
        "Check the application.",
    )
    UPSTREAM_ADOPTED = (
        408,
        logging.INFO,
        "After a restart, the daemon has learned the identity of the local application from the mesh.",
        "None.",
    )
    DISCOVERY_FAILED = (
        410,
        logging.INFO,
        "The local application did not report its identity; its next heartbeat will.",
        "None.",
    )
    VERSION_BEHIND = (
        413,
        logging.WARNING,
        "Other daemons send requests under a newer version that this daemon has not received yet.",
        "If the source's age and staleness are low, check the link of this instance: it delays versions.",
    )
    RIVAL_HEARD = (
        411,
        logging.INFO,
        "An incarnation of the local application other than the known one was reported; the daemon asks the "
        "application which it is.",
        "None.",
    )
    RIVAL_SETTLED = (
        412,
        logging.INFO,
        "The daemon has asked the local application which of two incarnations it is.",
        "If `answered` is empty, the application did not say; its next heartbeats decide.",
    )
    RATE_LIMIT_CHANGED = (
        415,
        logging.INFO,
        "The local application advertises a new rate limit in its answers, or no limit any more (`rate` is none). The "
        "limit is in requests per second, for all callers together.",
        "None: requests beyond the limit go to other upstreams of the service.",
    )
    RATE_LIMIT_UNREADABLE = (
        416,
        logging.WARNING,
        "The local application advertises a rate limit that is not a number of 0 or more; the previous limit stays in "
        "use.",
        "Correct the application: `value` is what it sends, truncated.",
    )
    LOAD_UNREADABLE = (
        417,
        logging.WARNING,
        "The local application states a load that is not three or four figures in their ranges; it is ignored.",
        "Correct the application: `value` is what it sends, truncated.",
    )
    SEEDS_CHANGED = (409, logging.INFO, "The control instances named in the settings have changed.", "None.")

    ANSWER_LOST = (501, logging.WARNING, "The outcome of a request is unknown.", "Check the upstream named.")
    EJECTED = (
        502,
        logging.WARNING,
        "An upstream fails and is temporarily ejected from load balancing.",
        "Check the upstream named.",
    )

    CONNECTIONS_SILENT = (
        504,
        logging.INFO,
        "The connections to an address received no data, so it may be unreachable; idle connections were closed.",
        "Check the upstream named and the network path to it.",
    )
    CONNECTION_CUT = (
        505,
        logging.WARNING,
        "A caller's connection was closed although the caller had not received all of its answers; the fields give the "
        "reason, the bytes written but not acknowledged (`unsent`), the bytes received but not read (`unread`), the "
        "requests in progress, the targets of the first ones, the ids of the requests without a received answer and, "
        "if the process is stopping, the time since then.",
        "For the reason `stop`: raise `stop_grace_s` together with the platform's grace period.",
    )
    CALLER_DISCONNECTED = (
        506,
        logging.INFO,
        "A caller ended its connection, or its sending side, before all of its requests were answered, and they were "
        "cancelled; the fields give how, the number of requests, how many had an answer that was not written, "
        "their ids and, if the process is stopping, the time since then.",
        "None if the caller gave up. Otherwise look for what ended the connection between it and this process.",
    )
    ANSWER_DISCARDED = (
        507,
        logging.INFO,
        "The application sent an answer to another request in the place of this request's answer, or bytes that are no "
        "answer (`status` is 0). They were discarded; the request's own answer is awaited.",
        "Check the application: it answers requests twice, or late, or sends bytes behind its answers.",
    )
    REQUEST_END = (
        508,
        logging.INFO,
        "What became of a request at its caller; one line for each request that a stop of the process touches. `end`: "
        "received (its caller's system has acknowledged the whole answer), cut (this process closed the connection "
        "before), caller left, or not begun (read behind the last answer of its connection). `stage` is how far it had "
        "come, `upstream` where it was sent last. Times are in milliseconds since the stop began.",
        "For cut: see `how`, and E505. For caller left: look at the caller, or at what lies between.",
    )
    CONNECTION_ENDED = (
        509,
        logging.INFO,
        "A caller's connection has ended while the process stops; `how` is why this process closed it, or how its "
        "caller did.",
        "None.",
    )
    LISTENER_CLOSED = (
        516,
        logging.INFO,
        "A server accepts no more connections because the process stops; `accepted` are those of its queue.",
        "None.",
    )
    STOP_SUMMARY = (
        517,
        logging.INFO,
        "What a stop did to the requests of a server that were in progress when it began, or were read since (`read`): "
        "how many an application answered, were refused or have an unknown outcome, and how many of the answers were "
        "received, cut or left by callers. `open_connections` end with the process.",
        "Look for the E508 lines of those that were cut.",
    )
    NOTICE_BEGUN = (
        518,
        logging.INFO,
        "The notice time of a stop has begun: a server's answers announce the close of their connections.",
        "None.",
    )
    REACHED = (503, logging.INFO, "An unreachable upstream is reachable again.", "None.")

    REQUEST_ROUTED = (
        510,
        logging.INFO,
        "A caller's request matched a route, or did not; the fields give the reason.",
        "Compare `version` with the version that was accepted at that time.",
    )
    REQUEST_SENT = (
        511,
        logging.INFO,
        "A request was sent to an upstream; the fields give its name, incarnation and known state.",
        "None.",
    )
    REQUEST_TRY_ENDED = (
        512,
        logging.INFO,
        "A try ended without a final answer. With the outcome `abandoned` it was cancelled while its upstream may have "
        "worked, since another try was answered or the caller left.",
        "Look up `code` in the error codes; check the upstream named.",
    )
    REQUEST_SENT_AGAIN = (
        513,
        logging.INFO,
        "The daemon decided whether to retry a request; the fields give the decision and the retry budget.",
        "None.",
    )
    REQUEST_ANSWERED = (
        514,
        logging.INFO,
        "The caller was answered, or has closed the connection. If the process is stopping, `stop_read_ms` and "
        "`stop_ended_ms` are when the request was read and when it ended, in milliseconds since the stop began.",
        "See `outcome`: not-run, unknown, or answered by the upstream.",
    )
    REQUEST_LOADS_COMPARED = (
        515,
        logging.INFO,
        "An upstream was chosen by load probes; `expected_ms` gives, by upstream, the time to an answer that its reply "
        "promised.",
        "None.",
    )
    REQUEST_ADMITTED = (
        520,
        logging.INFO,
        "An upstream's daemon forwarded a request; the fields give the slots in use and the time spent in the queue.",
        "None.",
    )
    REQUEST_REFUSED = (
        521,
        logging.INFO,
        "An upstream's daemon refused a request before forwarding it; the fields give the limit (slots, rate or link) "
        "and the load. On a narrow link `answer_bytes` and `link_ms` are the bytes of its long answers and the time "
        "for which those admitted occupy it.",
        "If the slots are exhausted, add upstreams; if the link is, add upstreams or a faster link.",
    )
    REQUEST_CALLER_LEFT = (
        523,
        logging.INFO,
        "The caller of a request has ended its connection, or its sending side, before its answer was written; one "
        "line for each request and server. `stage` is how far it had come, `attempts` how often it had been sent, "
        "`upstream` where last. `age_ms` counts from when it was read until the end was noticed, `silent_ms` from when "
        "the caller's system was last heard: at the end of a stream it is the time until that was noticed, at a reset "
        "that time at most. `ended_ms` later its work had ended here, and its connection to the upstream was closed.",
        "If `silent_ms` is over 500, look for E111 of the same process.",
    )
    UPSTREAM_CRASHED = (
        540,
        logging.WARNING,
        "The local application has crashed; the fields give the digests of the requests in progress, except those that "
        "it had served recently.",
        "Check the application; if the same digest recurs, check that request.",
    )
    REQUEST_QUARANTINED = (
        541,
        logging.ERROR,
        "Several applications have crashed while they ran this request; it is no longer forwarded.",
        "See the crashes in `crashes`; REQUEST_REFUSED with this digest and code LD3014 names the target.",
    )
    SUSPECT_CLEARED = (
        542,
        logging.INFO,
        "A request that was in progress when an application crashed has been served since, so it was not the cause.",
        "None.",
    )
    REQUEST_TOTALS = (
        530,
        logging.INFO,
        "All requests of a route in the last second, by outcome: their number and the sums of their durations.",
        "Use `lanedock summary` to add up these lines.",
    )
    CONTROL_TRAFFIC = (
        531,
        logging.INFO,
        "Bytes that a control instance has sent since it started, by purpose and by reach: near, or far (to another "
        "zone).",
        "Check the largest figures.",
    )
    REQUEST_DONE = (
        522,
        logging.INFO,
        "The application answered or refused the request, or its answer was lost. `stop_read_ms` and `stop_ended_ms` "
        "are as for E514.",
        "None.",
    )

    REQUEST_OUT_OF_RESOURCES = (
        560,
        logging.WARNING,
        "A request was refused as not run (LD3021): all connections together hold too much of the process's memory or "
        "descriptors. The fields give its caller, what it would have held and what all hold (`held_bytes`).",
        "See E561 for what holds most; raise `memory_mb` or `max_descriptors`, or add instances.",
    )
    CONNECTION_EVICTED = (
        561,
        logging.WARNING,
        "A caller's connection was ended since it held much of the process's memory or descriptors for long, and there "
        "was no room for others (`needed`) or all held too much (`exceeded`). The fields give what it held, for how "
        "long its oldest request has waited, and its requests in progress.",
        "Look at the caller: one that stays inside the limits and sends or reads steadily is ended last.",
    )

    QUOTA_REACHED = (
        550,
        logging.INFO,
        "A customer's requests have reached its quota at this control instance, which grants credits; the fields give "
        "the customer and its limit.",
        "Compare with `lanedock customers`; raise the customer's `rate` or `burst` if it should be served more.",
    )
    QUOTA_FREE = (
        551,
        logging.INFO,
        "A customer's requests are within its quota again; the field gives how long they were beyond it.",
        "None.",
    )
    QUOTA_ALONE = (
        552,
        logging.WARNING,
        "The control instance hears no leader and grants credits alone, from its zone's share of each quota.",
        "Check the other control instances and the network between them.",
    )
    QUOTA_LED = (
        553,
        logging.INFO,
        "The control instance no longer grants credits alone: it hears a leader, or leads.",
        "None.",
    )
    QUOTA_UNAVAILABLE = (
        554,
        logging.WARNING,
        "No control instance grants this daemon credits, or one does again (`is_granted`); meanwhile requests of "
        "customers with a rate are refused with LD3019.",
        "Check the network between this daemon and the control instances.",
    )

    def __init__(self, number: int, level: int, meaning: str, remedy: str):
        self.number = number
        self.level = level
        self.meaning = meaning
        self.remedy = remedy

    def __repr__(self) -> str:
        return f"<Event E{self.number} {self.name}>"
