# SPDX-License-Identifier: BSD-3-Clause
"""Tests of requests of customers: who a request is from, and what each side sends on."""

import gevent
import pytest

from lanedock.clock import monotonic
from lanedock.errors import ErrorCode
from lanedock.quarantine import MAX_CRASHES, RequestHasher
from lanedock.telemetry import EventLogger, NullMetrics, NullTracer
from lanedock_daemon.path.caller.caller import CallerSide
from lanedock_daemon.path.http.headers import CUSTOMER_HEADER, CUSTOMER_PRIORITY_HEADER
from lanedock_daemon.path.http.messages import EmptyBody, Request
from lanedock_daemon.path.shared.pool import ConnectionPool
from lanedock_daemon.path.tests.chain import Gate, make_value, put_in_force, read_all, wait_until

KEY, SECOND_KEY, OTHER_KEY = "k-5b1f0c77", "k-77d31a90", "k-e2900a4d"
CUSTOMERS = [
    {"name": "ann", "keys": [KEY, SECOND_KEY], "priority": 0},
    {"name": "bob", "keys": [OTHER_KEY]},
]


def _make_value(customers: list | None = CUSTOMERS, version: int = 1, public: tuple = ()) -> dict:
    value = make_value(version)
    if customers is not None:
        value["customers"] = customers
    for route in value["routes"]:
        if route["name"] in public:
            route["public"] = True
    return value


def _bearer(key: str) -> str:
    return f"Authorization: Bearer {key}\r\n"


def _headers(head: str) -> dict[str, str]:
    pairs = (line.partition(":") for line in head.split("\r\n")[1:] if line)
    return {name.lower(): text.strip() for name, _, text in pairs}


def _received(chain) -> dict[str, str]:
    """Return the headers of the only request that the application got."""
    (head,) = chain.applications[0].heads
    return _headers(head)


def _put_in_force(chain, value: dict) -> None:
    put_in_force(chain.view, value, True)
    for upstream in chain.upstreams:
        put_in_force(upstream.view, value, False)


@pytest.mark.parametrize(
    ("headers", "name"),
    [
        (_bearer(KEY), "ann"),
        (_bearer(SECOND_KEY), "ann"),
        (f"authorization: bEARER  {OTHER_KEY} \r\n", "bob"),
    ],
)
def test_request_with_a_known_key_runs_for_its_customer(make_chain, headers, name):
    chain = make_chain(value=_make_value())
    assert chain.request("GET", headers=headers)[0] == 200
    received = _received(chain)
    assert received["x-request-customer"] == name
    assert "authorization" not in received


@pytest.mark.parametrize(
    "headers",
    [
        "",
        _bearer("k-unknown"),
        _bearer(""),
        _bearer(KEY + "x"),
        _bearer(KEY.upper()),
        f"Authorization: Basic {KEY}\r\n",
        f"Authorization: {KEY}\r\n",
        f"X-Key: {KEY}\r\n",
        _bearer("\u00e9\u00ff"),
        "X-Request-Customer: ann\r\n",
        f"{CUSTOMER_HEADER}: ann\r\n",
    ],
)
def test_request_without_a_known_key_is_refused_and_not_run(make_chain, headers):
    chain = make_chain(value=_make_value())
    status, head, body = chain.request("GET", headers=headers)
    received = _headers(head)
    assert (status, received["x-request-code"], received["x-request-outcome"]) == (401, "LD3017", "not-run")
    assert received["www-authenticate"] == "Bearer"
    assert "retry-after" not in head and b"retry_after" not in body
    assert chain.runs() == 0


def test_body_of_a_refused_request_is_not_requested(make_chain):
    chain = make_chain(value=_make_value())
    head = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n"
    assert chain.send(head.encode()).startswith(b"HTTP/1.1 401 ")


@pytest.mark.parametrize("credentials", ["", _bearer("k-unknown"), _bearer(KEY)])
def test_request_to_a_public_route_is_from_no_customer_and_its_key_is_removed(make_chain, credentials):
    chain = make_chain(value=_make_value(public=("get",)))
    forged = "X-Request-Customer: ann\r\nX-Lanedock-Customer: ann\r\nX-Lanedock-Customer-Priority: 0\r\n"
    assert chain.request("GET", headers=credentials + forged)[0] == 200
    assert not {"authorization", "x-request-customer", CUSTOMER_HEADER} & _received(chain).keys()
    assert chain.request("POST")[0] == 401


def test_name_that_a_caller_sends_is_replaced(make_chain):
    chain = make_chain(value=_make_value())
    assert chain.request("GET", headers=_bearer(OTHER_KEY) + "X-Request-Customer: ann\r\n")[0] == 200
    (head,) = chain.applications[0].heads
    assert head.lower().count("x-request-customer") == 1
    assert _received(chain)["x-request-customer"] == "bob"


def test_customer_name_with_special_characters_reaches_the_application_encoded(make_chain):
    chain = make_chain(value=_make_value([{"name": "řeka a", "keys": ["klíč"]}]))
    assert chain.request("GET", headers=_bearer("klíč".encode().decode("utf-8")))[0] == 200
    assert _received(chain)["x-request-customer"] == "%C5%99eka%20a"


def test_customer_and_priority_travel_between_daemons(make_chain):
    chain = make_chain(value=_make_value())
    seen = []
    side = chain.upstreams[0].side
    handle = side.handle
    side.handle = lambda request: (seen.append(dict(request.headers)), handle(request))[1]
    assert chain.request("GET", headers=_bearer(KEY))[0] == 200
    assert (seen[0][CUSTOMER_HEADER], seen[0][CUSTOMER_PRIORITY_HEADER]) == ("ann", "0")
    assert KEY not in str(seen)
    assert CUSTOMER_HEADER not in _received(chain)


def test_mesh_without_customers_passes_all_headers_on_as_before(make_chain):
    chain = make_chain()
    sent = _bearer(KEY) + "X-Request-Customer: ann\r\n"
    seen = []
    side = chain.upstreams[0].side
    handle = side.handle
    side.handle = lambda request: (seen.append(dict(request.headers)), handle(request))[1]
    assert chain.request("GET", headers=sent)[0] == 200
    received = _received(chain)
    assert (received["authorization"], received["x-request-customer"]) == (f"Bearer {KEY}", "ann")
    assert not [name for name in seen[0] if name.startswith(CUSTOMER_HEADER)]


def test_empty_list_of_customers_requires_keys(make_chain):
    chain = make_chain(value=_make_value([], public=("get",)))
    assert chain.request("GET")[0] == 200
    assert chain.request("POST", headers=_bearer(KEY))[0] == 401


def test_request_is_refused_as_before_without_a_version(make_chain):
    chain = make_chain(value=_make_value())
    chain.view.holder.suspend()
    status, head, _ = chain.request("GET", headers=_bearer(KEY))
    assert (status, _headers(head)["x-request-code"]) == (503, ErrorCode.NOT_READY.code)


def test_removed_key_stops_working_with_the_next_request_of_an_open_connection(make_chain):
    gate = Gate()
    chain = make_chain(gate, value=_make_value())
    request = f"GET /x HTTP/1.1\r\nHost: h\r\n{_bearer(KEY)}\r\n".encode()
    with chain.connect() as conn:
        conn.sendall(request)
        wait_until(lambda: gate.begun)
        _put_in_force(chain, _make_value([{"name": "ann", "keys": [SECOND_KEY]}], version=2))
        # Pipelined: its answer waits for that of the request in progress.
        conn.sendall(request.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        gevent.sleep(0.05)
        gate.opened.set()
        data = read_all(conn)
    # The request in progress ended normally.
    assert [data.count(b"HTTP/1.1 200 "), data.count(b"HTTP/1.1 401 ")] == [1, 1]
    assert gate.begun == ["/x"]
    assert chain.request("GET", headers=_bearer(SECOND_KEY))[0] == 200


def _quarantine(view, customer: str) -> None:
    fingerprint = RequestHasher("GET", "h", "/x", customer).fingerprint()
    for number in range(MAX_CRASHES):
        view.quarantine.note_crash(f"u{number}", [fingerprint], monotonic())


@pytest.mark.parametrize("is_on_caller_side", [True, False])
def test_quarantine_identifies_a_request_by_the_name_of_its_customer(make_chain, is_on_caller_side):
    """With the credentials, a customer with two keys could crash twice as many upstreams."""
    chain = make_chain(value=_make_value())
    _quarantine(chain.view if is_on_caller_side else chain.upstreams[0].view, "ann")
    for key, status in ((KEY, 503), (SECOND_KEY, 503), (OTHER_KEY, 200)):
        assert chain.request("GET", headers=_bearer(key))[0] == status


@pytest.mark.parametrize("is_on_caller_side", [True, False])
def test_both_sides_identify_a_request_to_a_public_route_without_credentials(make_chain, is_on_caller_side):
    chain = make_chain(value=_make_value(public=("get",)))
    _quarantine(chain.view if is_on_caller_side else chain.upstreams[0].view, "")
    assert chain.request("GET", headers=_bearer(KEY))[0] == 503


@pytest.mark.parametrize("has_caller_customers", [True, False])
def test_application_gets_no_forged_name_while_only_one_side_has_customers(make_chain, has_caller_customers):
    chain = make_chain(value=_make_value(None))
    changed = [chain.view] if has_caller_customers else [upstream.view for upstream in chain.upstreams]
    for view in changed:
        put_in_force(view, _make_value(version=2), has_caller_customers)
    assert chain.request("GET", headers=_bearer(KEY) + "X-Request-Customer: bob\r\n")[0] == 200
    received = _received(chain)
    assert received.get("x-request-customer") == ("ann" if has_caller_customers else None)
    assert "authorization" not in received


class _PostGate(Gate):
    """Holds `POST` requests, and answers others at once."""

    def __call__(self, conn, head: str, body: bytes) -> bytes | None:
        if head.startswith("POST"):
            return super().__call__(conn, head, body)
        return b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def _record_priorities(upstream) -> list[str | None]:
    """Return a list that grows by the priority that each request to an upstream's daemon states."""
    seen: list[str | None] = []
    handle = upstream.side.handle

    def record(request: Request):
        seen.append(dict(request.headers).get(CUSTOMER_PRIORITY_HEADER))
        return handle(request)

    upstream.side.handle = record
    return seen


@pytest.mark.parametrize(("customers", "expected"), [(CUSTOMERS, [None, "1", "0", None]), (None, [None] * 4)])
def test_a_call_inherits_the_most_urgent_priority_that_its_application_works_on(make_chain, customers, expected):
    gate = _PostGate()
    chain = make_chain(gate, value=_make_value(customers, public=("get",)))
    upstream = chain.upstreams[0]
    upstream.view.apply_endpoints(chain.view.whole_update())
    egress = CallerSide(upstream.view, ConnectionPool(), EventLogger("egress"), NullMetrics(), NullTracer())
    priorities = []

    def call() -> None:
        seen = _record_priorities(upstream)
        assert egress.handle(Request("GET", "/call", "h", [("host", "h")], EmptyBody())).status == 200
        priorities.append(seen[-1])

    call()
    asked = []
    for key in (OTHER_KEY, KEY):
        asked.append(gevent.spawn(chain.request, "POST", headers=_bearer(key)))
        wait_until(lambda: len(gate.begun) == len(asked))
        call()
    gate.opened.set()
    assert [task.get()[0] for task in asked] == [200, 200]
    wait_until(lambda: not upstream.limiter.in_use)
    call()
    assert priorities == expected


def test_customers_hold_no_slot_after_requests_that_were_cancelled_refused_or_served(make_chain):
    """Guards against a customer whose requests are evicted first for ever, since an ended one still counts."""
    gate = Gate()
    chain = make_chain(gate, value=_make_value(public=("get",)))
    limiter = chain.upstreams[0].limiter
    slots = 4
    with chain.connect() as abandoned, chain.connect() as waiting:
        head = f"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n{_bearer(KEY)}\r\n".encode()
        abandoned.sendall(head)
        asked = [gevent.spawn(chain.request, "POST", headers=_bearer(OTHER_KEY)) for _ in range(slots - 1)]
        wait_until(lambda: limiter.in_use == slots)
        assert [limiter._customers.count(name) for name in ("ann", "bob")] == [1, slots - 1]
        assert limiter.most_urgent_customer_priority() == 0
        waiting.sendall(head)
        wait_until(lambda: limiter.waiting == 1)
    wait_until(lambda: not limiter.waiting and limiter.in_use == slots - 1)
    assert limiter.most_urgent_customer_priority() == 1
    gate.opened.set()
    assert [task.get()[0] for task in asked] == [200] * (slots - 1)
    wait_until(lambda: not limiter.in_use)
    assert limiter.most_urgent_customer_priority() is None
    assert [limiter._customers.count(name) for name in ("ann", "bob")] == [0, 0]
