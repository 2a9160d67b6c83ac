# SPDX-License-Identifier: BSD-3-Clause
"""Tests of names with characters that header values can't contain.

They guard against requests that end without an answer because a name with characters
outside Latin-1 is written to a head without encoding.
"""

import pytest

from lanedock.config import check_generated_config
from lanedock_daemon.path.http.headers import decode_name, encode_name
from lanedock_daemon.path.tests.chain import make_value

NAMES = ["řeka", "café", " a b ", "a%2Fb", "a:b,c"]


@pytest.mark.parametrize("key", ["routes", "services", "traffic_classes"])
@pytest.mark.parametrize("name", NAMES)
def test_requests_are_served_with_special_characters_in_names(make_chain, key, name):
    value = make_value()
    old_name, value[key][0]["name"] = value[key][0]["name"], name
    for route in value["routes"]:
        for field in ("service", "traffic_class"):
            route[field] = name if route[field] == old_name else route[field]
    check_generated_config(value, "f")
    assert make_chain(value=value).request("GET")[0] == 200


@pytest.mark.parametrize("name", ["get", *NAMES])
def test_encoded_name_decodes_to_the_same_name(name):
    written = encode_name(name)
    assert written.isascii() and " " not in written
    assert decode_name(written) == name
