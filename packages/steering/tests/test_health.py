from __future__ import annotations

from yuccapitch.catalogue import ids
from yuccapitch.steering import health

ENDPOINTS = tuple(ids.EndpointId(f"b{number}") for number in range(5))
SLOW = ENDPOINTS[0]


def _view(slow_s: float = 0.08, exchanges: int = 60) -> health.HealthView:
    view = health.HealthView()
    for _ in range(exchanges):
        for endpoint_id in ENDPOINTS:
            service_s = slow_s if endpoint_id == SLOW else 0.02
            view.observe_exchange(
                endpoint_id, health.ExchangeOutcome.ANSWERED, "r", service_s, 1.0
            )
    return view


def test_health_slow_endpoint_is_measured_relative_to_others() -> None:
    estimates_by_id = _view().relative_estimates(ENDPOINTS, 1.0)
    assert estimates_by_id[SLOW].slowness > 3.0
    assert all(0.8 < estimates_by_id[e].slowness < 1.2 for e in ENDPOINTS[1:])


def test_health_expired_measurement_is_kept_only_if_slow() -> None:
    view = _view(slow_s=0.005)
    view.observe_exchange(
        ENDPOINTS[1],
        health.ExchangeOutcome.ANSWERED,
        "r",
        0.02,
        1.0 + health.MEASUREMENT_TTL_S,
    )
    later = 1.0 + health.MEASUREMENT_TTL_S
    assert view.estimate(SLOW, 1.0).slowness < 0.6
    assert view.estimate(SLOW, later).slowness == 1.0
    assert _view().estimate(SLOW, later).slowness > 3.0


def test_health_without_measurements_prefers_no_endpoint() -> None:
    estimates_by_id = _view().relative_estimates(
        ENDPOINTS, 1.0 + health.MEASUREMENT_TTL_S
    )
    assert {s.slowness for s in estimates_by_id.values()} == {1.0}
    assert not any(s.doubtful for s in estimates_by_id.values())


def test_health_failures_make_endpoint_doubtful_for_limited_time() -> None:
    view = _view()
    for _ in range(health.DOUBTFUL_AFTER_FAILURES):
        view.observe_exchange(SLOW, health.ExchangeOutcome.FAILED, "r", 0.0, 2.0)
    assert view.estimate(SLOW, 2.0).doubtful
    assert not view.estimate(SLOW, 2.0 + health.MIN_DOUBTFUL_S).doubtful
    view.observe_probe(SLOW, True, 2.5)
    assert not view.estimate(SLOW, 2.5).doubtful


def test_health_if_all_are_doubtful_prefers_no_endpoint() -> None:
    view = _view()
    for endpoint_id in ENDPOINTS:
        for _ in range(health.DOUBTFUL_AFTER_FAILURES):
            view.observe_exchange(
                endpoint_id, health.ExchangeOutcome.FAILED, "r", 0, 2.0
            )
    assert not any(s.doubtful for s in view.relative_estimates(ENDPOINTS, 2.0).values())


def test_health_older_report_is_ignored() -> None:
    view = health.HealthView()
    view.observe_report(health.LoadReport(SLOW, 3, 5.0))
    view.observe_report(health.LoadReport(SLOW, 0, 4.0))
    assert view.estimate(SLOW, 5.0).reported_in_flight == 3
    assert view.estimate(SLOW, 5.0 + health.REPORT_TTL_S).reported_in_flight is None


def test_health_probe_does_not_override_recent_exchange() -> None:
    view = _view()
    for _ in range(10):
        view.observe_probe(SLOW, False, 1.5)
    assert not view.estimate(SLOW, 1.5).doubtful


def test_health_slow_one_of_two_is_detected() -> None:
    pair = ENDPOINTS[:2]
    assert _view().relative_estimates(pair, 1.0)[SLOW].slowness > 2.0


def test_health_common_slowdown_penalizes_no_endpoint() -> None:
    view = _view(slow_s=0.02)
    for _ in range(40):
        for endpoint_id in ENDPOINTS:
            view.observe_exchange(
                endpoint_id, health.ExchangeOutcome.ANSWERED, "r", 0.04, 1.0
            )
    expected_s = view.typical_service_s("r") * view.median_slowness(ENDPOINTS, 1.0)
    assert 0.035 < expected_s < 0.045
    assert all(
        s.slowness < 1.1 for s in view.relative_estimates(ENDPOINTS, 1.0).values()
    )
