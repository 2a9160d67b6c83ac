# SPDX-License-Identifier: BSD-3-Clause
"""The headers that lanedock reads and writes, their meaning and units, and how their values are read."""

import re
from collections.abc import Container
from urllib.parse import quote, unquote

__all__ = [
    "ARRIVED_HEADER",
    "ATTEMPT_HEADER",
    "CALLER_HEADER",
    "CLASS_HEADER",
    "CODE_HEADER",
    "CRASHES_HEADER",
    "DEADLINE_HEADER",
    "HOP_HEADERS",
    "KNOWN_LIMIT_HEADER",
    "LEAVING_HEADER",
    "LOAD_HEADER",
    "OUTCOME_HEADER",
    "PACE_HEADER",
    "PARENT_HEADER",
    "PRIVATE_PREFIX",
    "REQUEST_ID_HEADER",
    "RETURN_HEADER",
    "ROUTE_HEADER",
    "SERVICE_HEADER",
    "START_BY_HEADER",
    "SUSPECT_HEADER",
    "TARGET_HEADER",
    "TRACE_HEADER",
    "TURN_HEADER",
    "UPSTREAM_HEADER",
    "VERSION_HEADER",
    "public_headers",
    "read_int",
    "read_name",
    "write_name",
]

# Visible ASCII but for the sign of quoting: written as it is.
_PLAIN_NAME = re.compile(r"[!-$&-~]*")

# Headers between lanedock's daemons; taken out of what comes from outside.
PRIVATE_PREFIX = "x-lanedock-"
SERVICE_HEADER = "x-lanedock-service"
CLASS_HEADER = "x-lanedock-class"
VERSION_HEADER = "x-lanedock-version"
LOAD_HEADER = "x-lanedock-load"
# Which of the two takes no new work: one of `Leaving`.
LEAVING_HEADER = "x-lanedock-leaving"
# The rate limit, requests a second, that the caller's daemon knows of the incarnation that is meant.
KNOWN_LIMIT_HEADER = "x-lanedock-known-limit"
# Milliseconds until the caller's next request to an upstream that limits their rate is worth
# sending; left out where any is.
TURN_HEADER = "x-lanedock-turn-ms"
# The incarnation of the application that is meant, and the service that calls.
UPSTREAM_HEADER = "x-lanedock-upstream"
# Milliseconds left to the target time, counted from the caller's first attempt; 0
# where it has passed.
TARGET_HEADER = "x-lanedock-target-ms"
# Bytes a second at which the body is to be sent that an interim answer asks for.
PACE_HEADER = "x-lanedock-pace"
# From a daemon that stops: milliseconds in which the request may be passed on to an
# application; later, its answer would find nobody. Its deadline stays as it is.
START_BY_HEADER = "x-lanedock-start-by-ms"
# The most urgent class of the requests that the caller's application works on.
PARENT_HEADER = "x-lanedock-parent-class"
ROUTE_HEADER = "x-lanedock-route"
CALLER_HEADER = "x-lanedock-caller"
# On a refusal: milliseconds after which the request may come back.
RETURN_HEADER = "x-lanedock-retry-after-ms"
# On an answer in place of the application's, which has ended: the request's fingerprint, and
# the ends of applications that it is suspected of.
SUSPECT_HEADER = "x-lanedock-suspect"
CRASHES_HEADER = "x-lanedock-crashes"
# On a refusal: the request was at the application, which has refused it.
ARRIVED_HEADER = "x-lanedock-arrived"
# These are for callers and applications, too: an application passes the
# deadline and the attempt on with the calls that it makes for a request.
ATTEMPT_HEADER = "x-request-attempt"
DEADLINE_HEADER = "x-request-deadline-ms"
OUTCOME_HEADER = "x-request-outcome"
CODE_HEADER = "x-request-code"
TRACE_HEADER = "traceparent"
# By which a request is found in the logs; passed on as it came.
REQUEST_ID_HEADER = "x-request-id"

# Headers of one connection, never passed on (RFC 9110, 7.6.1).
HOP_HEADERS = frozenset(
    (
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def read_int(text: str) -> int | None:
    """Return the number that a header's value is; None where it is none, or negative."""
    return int(text) if text.isascii() and text.isdigit() else None


def write_name(name: str) -> str:
    """Return a name as the value of a header between daemons; what a header can't carry is quoted (RFC 3986, 2.1)."""
    return name if _PLAIN_NAME.fullmatch(name) else quote(name, safe="")


def read_name(value: str) -> str:
    """Return the name that `write_name` wrote."""
    return unquote(value) if "%" in value else value


def public_headers(headers: list[tuple[str, str]], dropped: Container[str]) -> list[tuple[str, str]]:
    """Return headers without those between daemons, and without some others."""
    return [pair for pair in headers if pair[0] not in dropped and not pair[0].startswith(PRIVATE_PREFIX)]
