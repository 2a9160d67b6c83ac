# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the numbers of control instances by zone."""

from lanedock.quota import SILENT_AFTER
from lanedock_daemon.quota.peers import count_instances, count_silent_instances

REPLICAS = ["a@1", "b@1", "c@1", "d@2"]
ZONES = {"a": "z1", "b": "z1", "c": "z2", "d": "z3"}


def test_instances_are_counted_by_zone_with_this_one():
    assert count_instances(REPLICAS, "a@1", "z1", ZONES) == {"z1": 2, "z2": 1, "z3": 1}


def test_an_instance_that_has_not_joined_yet_counts_itself():
    assert count_instances(["b@1", "c@1"], "e@1", "z2", ZONES) == {"z1": 1, "z2": 2}


def test_an_instance_of_an_unknown_zone_counts_as_a_zone_of_its_own():
    """Otherwise an instance that restarts while it is cut off grants the whole quota alone."""
    counts = count_instances(REPLICAS, "a@1", "z1", {})
    assert counts["z1"] == 1 and len(counts) == 4 and sum(counts.values()) == 4


def test_an_instance_is_silent_once_it_has_answered_nothing_sent_recently():
    times = {"b@1": SILENT_AFTER, "c@1": SILENT_AFTER - 0.01, "d@2": float("inf")}
    assert count_silent_instances(REPLICAS, "a@1", ZONES, times.__getitem__) == {"z1": 1, "z3": 1}
