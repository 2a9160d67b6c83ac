# SPDX-License-Identifier: BSD-3-Clause
"""Error codes and the base class of lanedock's exceptions.

Every failure that is reported to a caller or an operator has one `ErrorCode`.
The reference page ``docs/errors.md`` is generated from this module.
"""

from enum import Enum

__all__ = ["ErrorCode", "LanedockError"]


class ErrorCode(Enum):
    """An error code with its meaning and its remedy.

    Codes 1xxx concern files, 2xxx submissions, 3xxx requests, 4xxx the
    replicated log, 5xxx a process and its environment.
    """

    FILE_UNREADABLE = ("LD1001", "The file cannot be read.", "Check the path and its permissions.")
    NOT_JSON = ("LD1002", "The text is not JSON with comments.", "Correct the syntax at the position given.")
    DUPLICATE_KEY = ("LD1003", "A key stands twice in one object.", "Remove one of the duplicates.")
    SCHEMA = ("LD1004", "A value does not fit the schema.", "Compare it with the published schema.")
    UNKNOWN_SERVICE = (
        "LD1005",
        "A route or call names a service that the file does not describe.",
        "Define the service, or remove the reference.",
    )
    UNKNOWN_ZONE = (
        "LD1006",
        "A service names an availability zone that the file does not list.",
        "Add the zone to `zones`, or remove the reference.",
    )
    UNKNOWN_CLASS = (
        "LD1007",
        "A route names a traffic class that the file does not list.",
        "Add the class to `traffic_classes`, or name one that is listed.",
    )
    DUPLICATE_NAME = ("LD1008", "Two items of one list share a name.", "Rename one of them.")
    SHADOWED_ROUTE = (
        "LD1009",
        "A route matches exactly what another one matches already.",
        "Remove one of the two routes, or give them different hosts, paths or methods.",
    )
    SHARES_EXCEED_ONE = (
        "LD1010",
        "The guaranteed shares of the traffic classes add up to more than 1.",
        "Lower the shares.",
    )
    NO_WEIGHT = ("LD1012", "The weights of a split add up to nothing.", "Set at least one weight above 0.")
    SHARED_KEY = (
        "LD1013",
        "Two customers share a key.",
        "Give each customer keys of its own; the finding names both customers.",
    )
    DIGEST_MISMATCH = (
        "LD1011",
        "A configuration's content does not match its digest.",
        "None: the daemon discards the content and requests it again.",
    )

    VERSION_STALE = (
        "LD2001",
        "The version number is not above the accepted one. Not run.",
        "Raise the version number above the accepted one and submit again.",
    )
    VERSION_CONFLICT = (
        "LD2002",
        "Another content was submitted under this version number. Not run.",
        "Compare with `lanedock history`, choose a new version number and submit again.",
    )
    SUBMISSION_BUSY = (
        "LD2003",
        "Another version is being staged. Not run.",
        "Wait until its outcome is known, then submit again.",
    )
    STAGING_REFUSED = (
        "LD2004",
        "A daemon refused the version; it was aborted everywhere. Not run.",
        "Correct the findings, choose a new version number and submit again.",
    )
    STAGING_TIMEOUT = (
        "LD2005",
        "Not every daemon staged the version in time; it was aborted everywhere. Not run.",
        "Check the daemons named with `lanedock status`, then submit a new version.",
    )
    OUTCOME_NOT_KNOWN = (
        "LD2006",
        "The outcome is not known yet.",
        "Submit the same file again: the answer is that of the first submission.",
    )
    NOT_LEADER = (
        "LD2007",
        "This control instance does not lead.",
        "None: the command line finds the leader and repeats the call there.",
    )
    NO_LEADER = (
        "LD2008",
        "No control instance that could be reached leads.",
        "Check that a majority of the control instances is running and that they can reach each other.",
    )
    IN_FORCE_LATE = (
        "LD2009",
        "The version is accepted for good but not yet in force on every daemon.",
        "Watch `lanedock status`, or submit the same file again to continue waiting.",
    )
    VERSION_UNKNOWN = (
        "LD2010",
        "No version of that number is known.",
        "List the versions with `lanedock history`.",
    )

    BASE_OUTDATED = (
        "LD2011",
        "The version was made from another one than the accepted one. Not run.",
        "Read the accepted version, repeat the change on it, and submit again.",
    )

    CANARY_RUNS = (
        "LD2012",
        "Another canary release of the service runs. Not run.",
        "Wait until it ends, or abort it with `lanedock canary abort`.",
    )
    CANARY_NOT_NEW = (
        "LD2013",
        "The version is the service's stable one already. Not run.",
        "Name a different version.",
    )
    CANARY_UNKNOWN = (
        "LD2014",
        "The service has no canary release to which this applies.",
        "List the canary releases with `lanedock canary status`.",
    )
    SERVICE_UNKNOWN = (
        "LD2015",
        "The version in force has no such service. Not run.",
        "Check the name, or apply a configuration that defines the service.",
    )

    NO_ROUTE = ("LD3001", "No route of the version in force matches the request.", "Check the request and the routes.")
    NO_UPSTREAM = (
        "LD3002",
        "No upstream of the service can take the request.",
        "Retry after the time given; check the service's upstreams.",
    )
    NOT_READY = (
        "LD3003",
        "The daemon does not hold a confirmed configuration yet.",
        "Retry after the time given, at another instance if there is one.",
    )
    DRAINING = ("LD3004", "The instance is leaving and takes no new work.", "Retry at another instance.")
    OVERLOADED = ("LD3005", "The limit on requests in progress is reached.", "Retry after the time given.")
    DEADLINE = ("LD3006", "The request's deadline has passed.", "Retry with a longer deadline.")
    CONNECT_FAILED = ("LD3007", "No connection to the upstream could be made.", "Retry after the time given.")
    ANSWER_LOST = (
        "LD3008",
        "The connection broke after the request was sent; it may have run.",
        "Find out whether the request ran before you send it again.",
    )
    ANSWER_TIMEOUT = (
        "LD3009",
        "No answer came before the deadline; the request may have run.",
        "Find out whether the request ran before you send it again.",
    )
    UPSTREAM_REFUSED = (
        "LD3012",
        "The upstream's application refused the request and did not run it.",
        "Retry after the time given.",
    )
    BODY_TOO_LONG = ("LD3013", "The request's body is longer than the version in force allows.", "Send a shorter body.")
    BAD_REQUEST = ("LD3010", "The request is malformed and was not passed on.", "Correct the request.")
    QUARANTINED = (
        "LD3014",
        "Upstreams have ended while they ran this request, so it is not passed on. Not run.",
        "Find out what in the request makes upstreams crash; `REQUEST_QUARANTINED` names the upstreams.",
    )
    UPSTREAM_CRASHED = (
        "LD3015",
        "The upstream's application ended while it ran the request.",
        "Find out whether the request ran before you send it again.",
    )
    RATE_LIMITED = (
        "LD3016",
        "The upstream takes no more requests a second than it gets, by the rate limit that it advertises. Not run.",
        "Retry after the time given; E415 and the status name the limit.",
    )
    KEY_UNKNOWN = (
        "LD3017",
        "The request has no key of a customer, and its route is not public. Not run.",
        "Send a key that the version in force holds.",
    )
    QUOTA_EXCEEDED = (
        "LD3018",
        "The customer's quota is used up. Not run.",
        "Retry after the time given; `lanedock customers` shows the limit and its use.",
    )
    QUOTA_UNAVAILABLE = (
        "LD3019",
        "No control instance answered whether the customer's quota allows the request. Not run.",
        "Retry after the time given; check that the daemon can reach the control instances.",
    )
    BODY_LATE = (
        "LD3020",
        "The request's body has not come whole in time. Not run.",
        "Send the body at once, over a connection that is fast enough.",
    )
    RESOURCES_EXHAUSTED = (
        "LD3021",
        "The process has no memory or descriptors left for the request. Not run.",
        "Retry after the time given, at another instance if there is one; E561 names the connections that were ended.",
    )
    NOT_HELD = (
        "LD3011",
        "The daemon's version does not hold the service that the request names.",
        "Retry; if the error persists, compare `lanedock status` of both instances.",
    )

    LOG_CORRUPT = (
        "LD4001",
        "The replicated log holds a record that fails its checksum.",
        "Replace the control instance: its disk is not reliable.",
    )
    DISK_FAILED = (
        "LD4002",
        "The disk of the control instance refuses a call, so that it takes no part in changes.",
        "Try another control instance. Free disk space, after which the instance recovers by itself; replace the disk "
        "if the error stays.",
    )
    FOREIGN_FOLDER = (
        "LD4003",
        "The data folder belongs to another control instance.",
        "Set `data_folder` to this instance's own folder.",
    )

    ADDRESS_TAKEN = (
        "LD5001",
        "A listening address cannot be bound.",
        "Check the settings, and whether another process listens on the address.",
    )
    PLATFORM_UNREADABLE = (
        "LD5002",
        "The platform's list of instances cannot be read; the last one stays in use.",
        "Check the address or file of the list.",
    )
    SERVICE_MISSING = ("LD5003", "A service of the kernel is asked for but not there.", "Report it: this is a bug.")
    NOT_AUTHENTIC = (
        "LD5004",
        "The files for mutual TLS cannot be used.",
        "Check `tls` in the settings and the files named there.",
    )

    def __init__(self, code: str, meaning: str, remedy: str):
        self.code = code
        self.meaning = meaning
        self.remedy = remedy

    @classmethod
    def find(cls, code: str) -> "ErrorCode | None":
        """Return the member with a code such as ``LD1001``, or None if there is none."""
        return next((member for member in cls if member.code == code), None)

    def __repr__(self) -> str:
        return f"<ErrorCode {self.code} {self.name}>"


class LanedockError(Exception):
    """Base class of the exceptions that lanedock raises.

    Parameters
    ----------
    code : ErrorCode
        The kind of failure.
    message : str, optional
        Details of the failure. The default is the meaning of the code.
    """

    def __init__(self, code: ErrorCode, message: str = ""):
        super().__init__(message or code.meaning)
        self.code = code

    def __str__(self) -> str:
        return f"{self.code.code}: {super().__str__()}"
