# SPDX-License-Identifier: BSD-3-Clause
"""Numbered log events. The catalogue in ``docs/events.md`` is generated from here."""

import logging
from enum import Enum

__all__ = ["Event", "EventLogger", "configure_logging"]

_FORMAT = "%(asctime)s %(levelname)s %(message)s"


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
        "Requests were still in progress when the time to stop was over.",
        "Raise `stop_timeout_ms`.",
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
        "An empty data folder: the replica asks to be taken in under a new incarnation.",
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
        "The daemon stood still and serves again once a quorum has confirmed the newest version.",
        "Look for an overloaded or frozen instance.",
    )
    SUBMISSION_REFUSED = (
        308,
        logging.INFO,
        "A submission was refused as it was applied, or is known already.",
        "Compare its number and base with the accepted version.",
    )

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
    SEEDS_CHANGED = (409, logging.INFO, "The settings name other control instances.", "None.")

    ANSWER_LOST = (501, logging.WARNING, "A request's outcome is unknown.", "Look at the upstream named.")
    EJECTED = (502, logging.WARNING, "An upstream fails and gets no work for a while.", "Look at the upstream named.")

    def __init__(self, number: int, level: int, meaning: str, remedy: str):
        self.number = number
        self.level = level
        self.meaning = meaning
        self.remedy = remedy

    def __repr__(self) -> str:
        return f"<Event E{self.number} {self.name}>"


class EventLogger:
    """Writes numbered events with named particulars.

    Parameters
    ----------
    name : str
        Of the logger; the process's own name is a good one.
    """

    def __init__(self, name: str):
        self._logger = logging.getLogger(name)

    def __repr__(self) -> str:
        return f"<EventLogger {self._logger.name}>"

    def emit(self, event: Event, **particulars: object) -> None:
        """Log an event."""
        if not self._logger.isEnabledFor(event.level):
            return
        told = " ".join(f"{key}={value}" for key, value in particulars.items())
        self._logger.log(event.level, "E%d %s [%s] %s", event.number, event.name, self._logger.name, told)


def configure_logging(level: str) -> None:
    """Log to standard error.

    Parameters
    ----------
    level : str
        One of the names that `logging` knows.
    """
    logging.basicConfig(level=level.upper(), format=_FORMAT)
    # hpack tells every header it decodes at DEBUG.
    logging.getLogger("hpack").setLevel(logging.WARNING)
