# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the endpoint registry: merging of reports, lost reports and retention."""

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


def _current_endpoints(registry, now=0.0):
    registry.take_update(now)
    return {endpoint.instance: endpoint for endpoint in registry.endpoints()}


def test_report_makes_an_endpoint_known_to_other_control_instances():
    one, other = _registry(), _registry()
    one.register(_endpoint(), 0.0)
    assert other.process_report("one", one.whole_report(), 0.0)
    assert set(_current_endpoints(other)) == {"a"}


def test_lost_report_is_detected_and_a_whole_report_restores_the_state():
    one, other = _registry(), _registry()
    other.process_report("one", one.whole_report(), 0.0)
    one.register(_endpoint("a"), 0.0)
    one.make_report()
    one.register(_endpoint("b"), 0.0)
    assert not other.process_report("one", one.make_report(), 0.0)
    assert other.process_report("one", one.whole_report(), 0.0)
    assert set(_current_endpoints(other)) == {"a", "b"}


def test_freshest_report_counts_in_any_order_of_arrival():
    registry = _registry()
    registry.register(_endpoint(revision=5, leaving=True), 0.0)
    old = messages.EndpointReport(sequence=1, whole=True)
    old.changed.append(_endpoint(revision=4))
    registry.process_report("slow", old, 0.0)
    assert _current_endpoints(registry)["a"].leaving


def test_ended_incarnation_does_not_return_under_a_restarted_daemon():
    registry = _registry()
    registry.register(_endpoint(ended=True), 0.0)
    _current_endpoints(registry)
    registry.unregister("a", 1.0)
    registry.register(_endpoint(incarnation=2), 1.1)
    assert _current_endpoints(registry, 1.1)["a"].leaving
    assert _current_endpoints(registry, 1.1)["a"].ended
    registry.register(_endpoint(incarnation=2, revision=2, upstream="life-2"), 1.2)
    assert not _current_endpoints(registry, 1.2)["a"].leaving


def test_upstream_returns_after_a_planned_stop_of_its_daemon():
    # Guards against treating a daemon's planned stop as the end of its application, which
    # left half of a service without requests after rolling restarts of the daemons.
    registry = _registry()
    registry.register(_endpoint(), 0.0)
    registry.register(_endpoint(revision=2, leaving=True), 1.0)
    assert _current_endpoints(registry, 1.0)["a"].leaving
    registry.unregister("a", 4.0)
    registry.register(_endpoint(incarnation=2), 5.0)
    assert not _current_endpoints(registry, 5.0)["a"].leaving


def test_unreported_endpoint_is_removed_after_the_retention_period():
    registry = _registry()
    registry.register(_endpoint(), 0.0)
    registry.unregister("a", 1.0)
    registry.expire(1.0 + KEEP / 2)
    assert "a" in _current_endpoints(registry, 6.0)
    registry.register(_endpoint(), 6.0)
    registry.expire(30.0)
    assert "a" in _current_endpoints(registry, 30.0)
    registry.unregister("a", 30.0)
    registry.expire(31.0 + KEEP)
    assert "a" not in _current_endpoints(registry, 42.0)


def test_endpoints_reported_only_by_a_silent_control_instance_expire():
    one, registry = _registry(), _registry()
    one.register(_endpoint("a"), 0.0)
    registry.process_report("one", one.whole_report(), 0.0)
    registry.forget_control_instance("one", 5.0)
    assert "a" in _current_endpoints(registry, 5.0)
    registry.expire(6.0 + KEEP)
    assert "a" not in _current_endpoints(registry, 17.0)


def test_ended_application_returns_under_its_id_with_another_start():
    registry = _registry()
    registry.register(_endpoint(ended=True, started=100), 0.0)
    _current_endpoints(registry)
    registry.register(_endpoint(revision=2, started=200), 1.0)
    assert not _current_endpoints(registry, 1.0)["a"].leaving
    # A restarted daemon first receives a delayed heartbeat of the ended start.
    registry.register(_endpoint(incarnation=2, started=100), 2.0)
    assert _current_endpoints(registry, 2.0)["a"].ended


def test_unknown_start_is_treated_as_the_ended_one():
    registry = _registry()
    registry.register(_endpoint(ended=True, started=100), 0.0)
    _current_endpoints(registry)
    registry.register(_endpoint(incarnation=2), 1.0)
    assert _current_endpoints(registry, 1.0)["a"].ended
