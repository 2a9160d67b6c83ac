# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the output of commands."""

import io

from rich.console import Console

from lanedock.errors import ErrorCode
from lanedock.wire import messages
from lanedock_cli.render import customers_value, print_customers


def _print(reply: messages.CustomersReply) -> str:
    output = io.StringIO()
    print_customers(reply, Console(file=output, width=200))
    return output.getvalue()


def _reply(code: str = "") -> messages.CustomersReply:
    reply = messages.CustomersReply(code=code)
    use = reply.customers.add(customer="c", priority=0, rate=2.5, burst=5, granted_per_s=1.2, refused=7)
    use.by_zone.add(customer="c", zone="nbo-a", credits=12)
    reply.customers.add(customer="free", priority=1)
    return reply


def test_customers_are_printed_with_limit_and_use():
    text = _print(_reply())
    (limited,) = [line for line in text.splitlines() if " c " in line]
    assert [cell.strip() for cell in limited.strip("│").split("│")] == ["c", "0", "2.5", "5", "1.2", "7", "nbo-a 12"]
    (free,) = [line for line in text.splitlines() if " free " in line]
    assert "no limit" in free


def test_the_customers_of_an_instance_without_a_leader_are_marked():
    assert ErrorCode.NO_LEADER.code in _print(_reply(ErrorCode.NO_LEADER.code))
    assert ErrorCode.NO_LEADER.code not in _print(_reply())


def test_a_version_without_customers_is_said_so():
    assert "no customers" in _print(messages.CustomersReply())


def test_customers_as_json_have_their_use_by_zone():
    first = customers_value(_reply())["customers"][0]
    assert first["granted_by_zone"] == {"nbo-a": 12} and first["refused"] == 7
