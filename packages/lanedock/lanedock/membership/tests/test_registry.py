# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the registry: what is freshest, and what is lost."""

from lanedock.membership import EndpointRegistry
from lanedock.wire import messages

KEEP = 10.0


def _endpoint(name="a", incarnation=1, revision=1, upstream="life-1", leaving=False, ended=False, started=0):
    return messages.Endpoint(
        instance=name,
        service="s",
        upstream=upstream,
        leaving=leaving or ended,
        ended=ended,
        incarnation=incarnation,
        revision=revision,
        upstream_started=started,
    )


def _registry():
    return EndpointRegistry(0.0, KEEP)


def _known(registry, now=0.0):
    registry.take_update(now)
    return {endpoint.instance: endpoint for endpoint in registry.endpoints()}


def test_an_upstream_is_known_to_all_control_instances():
    one, other = _registry(), _registry()
    one.register(_endpoint(), 0.0)
    assert other.take_report("one", one.whole_report(), 0.0)
    assert set(_known(other)) == {"a"}


def test_a_lost_report_is_noticed_and_a_whole_one_mends_it():
    one, other = _registry(), _registry()
    other.take_report("one", one.whole_report(), 0.0)
    one.register(_endpoint("a"), 0.0)
    one.make_report()
    one.register(_endpoint("b"), 0.0)
    assert not other.take_report("one", one.make_report(), 0.0)
    assert other.take_report("one", one.whole_report(), 0.0)
    assert set(_known(other)) == {"a", "b"}


def test_the_freshest_report_counts_whatever_order_they_come_in():
    registry = _registry()
    registry.register(_endpoint(revision=5, leaving=True), 0.0)
    old = messages.EndpointReport(sequence=1, whole=True)
    old.changed.append(_endpoint(revision=4))
    registry.take_report("slow", old, 0.0)
    assert _known(registry)["a"].leaving


def test_a_life_that_has_left_never_comes_back_under_a_restarted_daemon():
    registry = _registry()
    registry.register(_endpoint(ended=True), 0.0)
    _known(registry)
    registry.unregister("a", 1.0)
    registry.register(_endpoint(incarnation=2), 1.1)
    assert _known(registry, 1.1)["a"].leaving
    assert _known(registry, 1.1)["a"].ended
    registry.register(_endpoint(incarnation=2, revision=2, upstream="life-2"), 1.2)
    assert not _known(registry, 1.2)["a"].leaving


def test_an_upstream_comes_back_after_a_planned_stop_of_its_daemon():
    # Found on the platform: after rolling restarts of daemons half of a service
    # got no work any more, as the stop was taken for its applications' end.
    registry = _registry()
    registry.register(_endpoint(), 0.0)
    registry.register(_endpoint(revision=2, leaving=True), 1.0)
    assert _known(registry, 1.0)["a"].leaving
    registry.unregister("a", 4.0)
    registry.register(_endpoint(incarnation=2), 5.0)
    assert not _known(registry, 5.0)["a"].leaving


def test_an_endpoint_that_nobody_reports_is_kept_for_a_while():
    registry = _registry()
    registry.register(_endpoint(), 0.0)
    registry.unregister("a", 1.0)
    registry.expire(1.0 + KEEP / 2)
    assert "a" in _known(registry, 6.0)
    registry.register(_endpoint(), 6.0)
    registry.expire(30.0)
    assert "a" in _known(registry, 30.0)
    registry.unregister("a", 30.0)
    registry.expire(31.0 + KEEP)
    assert "a" not in _known(registry, 42.0)


def test_a_silent_control_instance_is_forgotten_with_what_only_it_reported():
    one, registry = _registry(), _registry()
    one.register(_endpoint("a"), 0.0)
    registry.take_report("one", one.whole_report(), 0.0)
    registry.forget_source("one", 5.0)
    assert "a" in _known(registry, 5.0)
    registry.expire(6.0 + KEEP)
    assert "a" not in _known(registry, 17.0)


def test_an_application_comes_back_under_its_id_with_another_start():
    registry = _registry()
    registry.register(_endpoint(ended=True, started=100), 0.0)
    _known(registry)
    registry.register(_endpoint(revision=2, started=200), 1.0)
    assert not _known(registry, 1.0)["a"].leaving
    # A restarted daemon hears a late heartbeat of the former start first.
    registry.register(_endpoint(incarnation=2, started=100), 2.0)
    assert _known(registry, 2.0)["a"].ended


def test_a_start_that_is_not_known_is_taken_for_the_one_that_has_left():
    registry = _registry()
    registry.register(_endpoint(ended=True, started=100), 0.0)
    _known(registry)
    registry.register(_endpoint(incarnation=2), 1.0)
    assert _known(registry, 1.0)["a"].ended
