# SPDX-License-Identifier: BSD-3-Clause
"""Tests of names that a header can't carry as they are.

Each request of a route whose name has letters outside Latin-1 ended in a connection that
was closed with no answer: names went into heads as they were.
"""

import pytest

from lanedock.config import check_value
from lanedock_daemon.path.headers import read_name, write_name
from lanedock_daemon.path.tests.chain import make_value

NAMES = ["řeka", "café", " a b ", "a%2Fb", "a:b,c"]


@pytest.mark.parametrize("key", ["routes", "services", "traffic_classes"])
@pytest.mark.parametrize("name", NAMES)
def test_requests_are_served_whatever_names_are_made_of(make_chain, key, name):
    value = make_value()
    former, value[key][0]["name"] = value[key][0]["name"], name
    for route in value["routes"]:
        for field in ("service", "traffic_class"):
            route[field] = name if route[field] == former else route[field]
    check_value(value, "f")
    assert make_chain(value=value).request("GET")[0] == 200


@pytest.mark.parametrize("name", ["get", *NAMES])
def test_a_name_is_read_as_it_was_written(name):
    written = write_name(name)
    assert written.isascii() and " " not in written
    assert read_name(written) == name
