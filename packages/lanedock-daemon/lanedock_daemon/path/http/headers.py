# SPDX-License-Identifier: BSD-3-Clause
"""Names of the HTTP headers that lanedock uses, and conversion of their values."""

import re
from collections.abc import Container
from urllib.parse import quote, unquote

__all__ = [
    "ATTEMPT_HEADER",
    "CALLER_HEADER",
    "CLASS_HEADER",
    "CODE_HEADER",
    "CRASHES_HEADER",
    "DEADLINE_HEADER",
    "HOP_HEADERS",
    "KNOWN_LIMIT_HEADER",
    "LEAVING_HEADER",
    "LINK_WAIT_HEADER",
    "LOAD_HEADER",
    "OUTCOME_HEADER",
    "PACE_HEADER",
    "PARENT_CLASS_HEADER",
    "PRIVATE_PREFIX",
    "REACHED_APPLICATION_HEADER",
    "REQUEST_ID_HEADER",
    "RETRY_AFTER_MS_HEADER",
    "ROUTE_HEADER",
    "SEND_DELAY_HEADER",
    "SERVICE_HEADER",
    "START_BY_HEADER",
    "SUSPECT_HEADER",
    "TARGET_HEADER",
    "TRACE_HEADER",
    "UPSTREAM_HEADER",
    "VERSION_HEADER",
    "decode_name",
    "encode_name",
    "parse_int",
    "public_headers",
]

# Visible ASCII without `%`, which starts a quoted byte: names of these characters aren't quoted.
_PLAIN_NAME = re.compile(r"[!-$&-~]*")

# Prefix of headers between daemons; removed from messages of callers and applications.
PRIVATE_PREFIX = "x-lanedock-"
SERVICE_HEADER = "x-lanedock-service"
CLASS_HEADER = "x-lanedock-class"
VERSION_HEADER = "x-lanedock-version"
LOAD_HEADER = "x-lanedock-load"
# Which part of the upstream takes no new work, the daemon or the application: one of `Leaving`.
LEAVING_HEADER = "x-lanedock-leaving"
# The rate limit, in requests per second, that the caller's daemon knows for the addressed incarnation.
KNOWN_LIMIT_HEADER = "x-lanedock-known-limit"
# Milliseconds to wait before the next request to a rate-limited upstream; absent if requests
# may be sent at once.
SEND_DELAY_HEADER = "x-lanedock-turn-ms"
# From a daemon on a narrow link: milliseconds for which the long answers that it has admitted
# occupy the link.
LINK_WAIT_HEADER = "x-lanedock-link-ms"
# The incarnation of the application that the request is addressed to.
UPSTREAM_HEADER = "x-lanedock-upstream"
# Milliseconds left until the target time, which counts from the caller's first attempt;
# 0 once it has passed.
TARGET_HEADER = "x-lanedock-target-ms"
# On an interim answer: bytes per second at which to send the request's body.
PACE_HEADER = "x-lanedock-pace"
# From a stopping daemon: milliseconds within which the request may be passed on to an
# application. A request that starts later would be answered after the daemon has ended.
# The deadline is unaffected.
START_BY_HEADER = "x-lanedock-start-by-ms"
# The most urgent traffic class among the requests that the caller's application is processing.
PARENT_CLASS_HEADER = "x-lanedock-parent-class"
ROUTE_HEADER = "x-lanedock-route"
# The calling service.
CALLER_HEADER = "x-lanedock-caller"
# On a refusal: milliseconds after which the request may be retried.
RETRY_AFTER_MS_HEADER = "x-lanedock-retry-after-ms"
# On the daemon's answer for an application that crashed during the request: the request's
# fingerprint, and the crashes that the request is suspected to have caused.
SUSPECT_HEADER = "x-lanedock-suspect"
CRASHES_HEADER = "x-lanedock-crashes"
# On a refusal: the request reached the application, and the application refused it.
REACHED_APPLICATION_HEADER = "x-lanedock-arrived"
# Headers that callers and applications use, too: an application copies the deadline
# and the attempt to the calls that it makes for a request.
ATTEMPT_HEADER = "x-request-attempt"
DEADLINE_HEADER = "x-request-deadline-ms"
OUTCOME_HEADER = "x-request-outcome"
CODE_HEADER = "x-request-code"
TRACE_HEADER = "traceparent"
# Identifies a request in logs; passed on unchanged.
REQUEST_ID_HEADER = "x-request-id"

# Hop-by-hop headers, never passed on (RFC 9110, 7.6.1).
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


def parse_int(text: str) -> int | None:
    """Parse a header's value as a non-negative integer; None if it isn't one."""
    return int(text) if text.isascii() and text.isdigit() else None


def encode_name(name: str) -> str:
    """Encode a name as a header value between daemons, percent-encoded if needed (RFC 3986, 2.1)."""
    return name if _PLAIN_NAME.fullmatch(name) else quote(name, safe="")


def decode_name(value: str) -> str:
    """Decode a name that `encode_name` encoded."""
    return unquote(value) if "%" in value else value


def public_headers(headers: list[tuple[str, str]], dropped: Container[str]) -> list[tuple[str, str]]:
    """Return the headers that are neither private to daemons nor in `dropped`."""
    return [pair for pair in headers if pair[0] not in dropped and not pair[0].startswith(PRIVATE_PREFIX)]
