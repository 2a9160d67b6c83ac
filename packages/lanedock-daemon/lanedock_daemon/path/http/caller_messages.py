# SPDX-License-Identifier: BSD-3-Clause
"""Conversion of callers' messages to requests, and the refusal of malformed ones."""

from lanedock.errors import ErrorCode
from lanedock_daemon.path.http.answer_writer import close_pieces
from lanedock_daemon.path.http.headers import CODE_HEADER, HOP_HEADERS
from lanedock_daemon.path.http.incoming import Exchange
from lanedock_daemon.path.http.messages import DEFAULT_RETRY_AFTER, Answer, Outcome, Request, make_refusal
from lanedock_daemon.path.http.parser import MalformedMessage

__all__ = ["make_request", "name_eviction", "refuse_malformed"]

_REASONS = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    414: "URI Too Long",
    431: "Request Header Fields Too Large",
    501: "Not Implemented",
}


def make_request(exchange: Exchange) -> Request:
    """Make the request that a caller's message describes, without hop-by-hop headers."""
    message = exchange.message
    connection_header = message.header("connection").lower()
    dropped = {name.strip() for name in connection_header.split(",")} if connection_header else ()
    headers = [pair for pair in message.headers if pair[0] not in HOP_HEADERS and pair[0] not in dropped]
    host = message.header("host").rpartition(":")[0] or message.header("host")
    check_caller = exchange.connection.check_caller
    request = Request(
        message.method, message.target, host.lower(), headers, exchange.body, exchange.trace, check_caller
    )
    request.read_at = message.read_at
    return request


def refuse_malformed(exc: MalformedMessage, outcome: str) -> Answer:
    """Make the refusal of a malformed message; `outcome` is one of `Outcome`."""
    answer = make_refusal(exc.code, outcome, 0.0, str(exc))
    answer.status, answer.reason = exc.status, _REASONS[exc.status]
    return answer


def name_eviction(answer: Answer) -> Answer:
    """Return the answer to a request whose connection makes room for others.

    A refusal that was forced states that the instance leaves, which is not the reason.
    """
    if (CODE_HEADER, ErrorCode.DRAINING.code) not in answer.headers:
        return answer
    close_pieces(answer.pieces)
    return make_refusal(ErrorCode.RESOURCES_EXHAUSTED, Outcome.NOT_RUN, DEFAULT_RETRY_AFTER)
