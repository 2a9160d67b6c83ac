# SPDX-License-Identifier: BSD-3-Clause
"""Numbered log events. The catalogue in ``docs/events.md`` is generated from here."""

import logging
from enum import Enum

__all__ = ["Event"]


class Event(Enum):
    """An event: its number, level, meaning and what an operator may do.

    1xx concern a process, 2xx the replicated log, 3xx versions, 4xx the
    fleet, 5xx requests.
    """

    STARTED = (101, logging.INFO, "The process serves.", "None.")
    STOPPING = (102, logging.INFO, "The process was asked to stop and lets requests end.", "None.")
    STOPPED = (103, logging.INFO, "The process has stopped.", "None.")
    NO_AUTHENTICATION = (
        105,
        logging.WARNING,
        "Peers are not authenticated.",
        "Set `tls` wherever others can reach the addresses.",
    )
    UNEXPECTED = (106, logging.ERROR, "A task failed in a way nobody foresaw.", "Report it: this is a bug.")
    LOG_LIMITED = (
        110,
        logging.WARNING,
        "Lines of an event were left out in the last second: too many came, or nobody reads the log.",
        "Raise `log_lines_per_second` for a while if they are needed.",
    )
    RELOADED = (108, logging.INFO, "The settings were read again.", "None.")
    RELOAD_REFUSED = (
        109,
        logging.ERROR,
        "The changed settings have findings; those in use stay.",
        "Mend the findings named.",
    )
    CUT_SHORT = (
        107,
        logging.WARNING,
        "Requests were still in progress when the time to stop was over: they got a final answer, or were cut.",
        "Raise `stop_timeout_ms`, or `stop_grace_s` with the platform's grace time.",
    )

    LEADING = (201, logging.INFO, "This control instance leads.", "None.")
    NOT_LEADING = (202, logging.INFO, "This control instance leads no more.", "Look for cuts if it recurs.")
    TAIL_CUT = (203, logging.WARNING, "A torn tail was cut off the log.", "None: it was never answered for.")
    DISK_FAILED = (
        204,
        logging.CRITICAL,
        "The disk failed; the replica takes no part any more.",
        "Replace the disk, then the control instance.",
    )
    LOG_CORRUPT = (
        205,
        logging.CRITICAL,
        "The log can't be trusted; the replica takes no part.",
        "Replace the control instance.",
    )
    MEMBERSHIP = (206, logging.INFO, "The replicas that take part have changed.", "None.")
    JOINING = (
        207,
        logging.WARNING,
        "An empty data folder: the replica asks to join under a new incarnation.",
        "None.",
    )
    COMPACTED = (208, logging.INFO, "The log was compacted into a snapshot.", "None.")

    SUBMITTED = (301, logging.INFO, "A version is being staged.", "None.")
    ACCEPTED = (302, logging.INFO, "A version is accepted for good.", "None.")
    ABORTED = (303, logging.WARNING, "A version was aborted everywhere.", "See the findings in `lanedock history`.")
    IN_FORCE = (304, logging.INFO, "The daemon uses a version.", "None.")
    REFUSED = (305, logging.ERROR, "The daemon refuses a version.", "See the findings.")
    FLOOR_CONFIRMED = (306, logging.INFO, "A quorum has confirmed the newest version.", "None.")
    SUSPENDED = (
        307,
        logging.WARNING,
        "The daemon was paused and serves again once a quorum has confirmed the newest version.",
        "Look for an overloaded or frozen instance.",
    )
    SUBMISSION_REFUSED = (
        308,
        logging.INFO,
        "A submission was refused as it was applied, or is known already.",
        "Compare its number and base with the accepted version.",
    )

    CANARY_STARTED = (
        320,
        logging.INFO,
        "A canary release has begun: which service, version and duration.",
        "Follow it with `lanedock canary status`.",
    )
    CANARY_REFUSED = (
        321,
        logging.INFO,
        "An order for a canary release was refused as it was applied, or is known already.",
        "Compare it with the one named.",
    )
    CANARY_STEP = (
        322,
        logging.INFO,
        "The share of a canary, or which of its upstreams get it, has changed: to what, and why.",
        "None.",
    )
    CANARY_COMPLETED = (
        323,
        logging.INFO,
        "A canary release is completed: the former versions get nothing any more.",
        "None.",
    )
    CANARY_ROLLED_BACK = (
        324,
        logging.WARNING,
        "A canary release is rolled back: its version gets nothing any more. `reason` names the route and its figures.",
        "Look at the version; where the time was too short, start it again with a longer duration.",
    )
    CANARY_FOLLOWED = (325, logging.INFO, "The daemon follows other rules for versions of services.", "None.")

    SOURCE_FOUND = (401, logging.INFO, "The daemon takes versions from a source.", "None.")
    SOURCE_LOST = (
        402,
        logging.WARNING,
        "The daemon lost its source and looks for another.",
        "Check control if it lasts.",
    )
    PLATFORM_UNREADABLE = (
        403,
        logging.WARNING,
        "The platform's list can't be read; the last one stays in use.",
        "Check it.",
    )
    PLATFORM_ENTRIES_REFUSED = (
        414,
        logging.WARNING,
        "Entries of the platform's list can't be read and name no instance; the others are in use.",
        "Find out who writes them: `first` names the place of the first.",
    )
    DRAINING = (404, logging.INFO, "An instance takes no new work any more.", "None.")

    UPSTREAM_REGISTERED = (405, logging.INFO, "The application beside the daemon has registered.", "None.")
    UPSTREAM_LEAVING = (
        406,
        logging.INFO,
        "The application beside the daemon drains or leaves; nothing more is passed on to it.",
        "None.",
    )
    UPSTREAM_SILENT = (
        407,
        logging.WARNING,
        "The application beside the daemon sends no heartbeats, or does so again.",
        "Look at the application.",
    )
    UPSTREAM_ADOPTED = (
        408,
        logging.INFO,
        "After a restart the daemon has learned from the mesh which application it speaks for.",
        "None.",
    )
    DISCOVERY_FAILED = (
        410,
        logging.INFO,
        "The application beside the daemon did not say who it is; its heartbeat will.",
        "None.",
    )
    VERSION_BEHIND = (
        413,
        logging.WARNING,
        "Other daemons send requests by a newer version, which has not come here yet.",
        "With a source that is young and not stale, look at the link of this instance: versions wait on it.",
    )
    RIVAL_HEARD = (
        411,
        logging.INFO,
        "Another incarnation of the application than the one that is held was heard of; the application is asked.",
        "None.",
    )
    RIVAL_SETTLED = (
        412,
        logging.INFO,
        "The application was asked which of two incarnations it is.",
        "Empty in `answered` means that it didn't say; its next heartbeats decide.",
    )
    RATE_LIMIT_CHANGED = (
        415,
        logging.INFO,
        "The application beside the daemon advertises another rate limit in its answers, or none any more (`rate` is "
        "none): requests a second that it takes from all callers together.",
        "None: callers are led to its siblings.",
    )
    RATE_LIMIT_UNREADABLE = (
        416,
        logging.WARNING,
        "The application beside the daemon advertises a rate limit that is no number of 0 or more; the one before "
        "stays.",
        "Mend the application: `value` is what it sends, shortened.",
    )
    SEEDS_CHANGED = (409, logging.INFO, "The settings name other control instances.", "None.")

    ANSWER_LOST = (501, logging.WARNING, "A request's outcome is unknown.", "Look at the upstream named.")
    EJECTED = (502, logging.WARNING, "An upstream fails and gets no work for a while.", "Look at the upstream named.")

    CONNECTIONS_SILENT = (
        504,
        logging.INFO,
        "Nothing came back on the connections to an address, which may have fallen silent; idle ones were closed.",
        "Look at the upstream named, and at what lies between.",
    )
    REACHED = (503, logging.INFO, "An upstream that could not be reached can be again.", "None.")

    REQUEST_ROUTED = (
        510,
        logging.INFO,
        "A caller's request matched a route; or why it did not.",
        "Compare `version` with the version accepted at the time.",
    )
    REQUEST_SENT = (
        511,
        logging.INFO,
        "A request was sent to an upstream: which one, its incarnation, and what was known of it.",
        "None.",
    )
    REQUEST_TRY_ENDED = (
        512,
        logging.INFO,
        "A try ended without an answer that stands.",
        "See `code` in the error codes; look at the upstream named.",
    )
    REQUEST_SENT_AGAIN = (
        513,
        logging.INFO,
        "Whether a request is sent once more, and what the retry budget was.",
        "None.",
    )
    REQUEST_ANSWERED = (
        514,
        logging.INFO,
        "The caller was answered, or has gone.",
        "`outcome` says what is known: not-run, unknown, or answered by the upstream.",
    )
    REQUEST_ADMITTED = (
        520,
        logging.INFO,
        "An upstream's daemon passed a request on: the slots in use and the wait before.",
        "None.",
    )
    REQUEST_REFUSED = (
        521,
        logging.INFO,
        "An upstream's daemon refused a request unseen: by which limit (slots, or its link), and the load against it.",
        "Add upstreams where it is the load; where it is the link, a wider one helps, too.",
    )
    UPSTREAM_CRASHED = (
        540,
        logging.WARNING,
        "The application beside the daemon has ended without notice: the requests that ran on it, by digest, but for "
        "those that it had lately served.",
        "Look at the application; where the same digest comes again, at that request.",
    )
    REQUEST_QUARANTINED = (
        541,
        logging.ERROR,
        "Several applications have ended while they ran this request; it is not passed on any more.",
        "See `crashes` for them; REQUEST_REFUSED with this digest and code LD3014 names the target.",
    )
    SUSPECT_CLEARED = (
        542,
        logging.INFO,
        "A request that ran beside an application's end was served, so it was not the cause.",
        "None.",
    )
    REQUEST_TOTALS = (
        530,
        logging.INFO,
        "All requests of a route in the last second, by outcome: their number, and the sums of their times.",
        "`lanedock summary` adds them up.",
    )
    CONTROL_TRAFFIC = (
        531,
        logging.INFO,
        "Bytes that a control instance has sent since its start: what they carry, near or far (to another zone).",
        "Look at the largest.",
    )
    REQUEST_DONE = (522, logging.INFO, "The application answered, refused, or its answer was lost.", "None.")

    def __init__(self, number: int, level: int, meaning: str, remedy: str):
        self.number = number
        self.level = level
        self.meaning = meaning
        self.remedy = remedy

    def __repr__(self) -> str:
        return f"<Event E{self.number} {self.name}>"
