"""Estimates of warm and cold request durations."""

from __future__ import annotations

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import cache_capacity, durations

ROUTE = ids.RouteId("read")
PREDICTED_HIT, PREDICTED_MISS = cache_capacity.CachePrediction(
    True
), cache_capacity.CachePrediction(False)


def observe(
    estimates: durations.DurationEstimates, prediction, duration_s: float, count: int
) -> None:
    for _ in range(count):
        was_cache_hit = estimates.was_cache_hit(ROUTE, prediction, duration_s)
        estimates.observe(ROUTE, prediction, was_cache_hit, duration_s)


def test_observe_tracks_warm_and_cold_separately():
    estimates = durations.DurationEstimates()
    observe(estimates, PREDICTED_MISS, 1.0, 5)
    observe(estimates, PREDICTED_HIT, 0.3, 5)
    assert estimates.warm_s(ROUTE) == 0.3
    assert estimates.cold_s(ROUTE) == 1.0


def test_observe_excludes_unexpected_hits_from_the_cold_duration():
    # Endpoints may cache objects because of requests from other regions.
    estimates = durations.DurationEstimates()
    observe(estimates, PREDICTED_MISS, 1.0, 5)
    for _ in range(20):
        observe(estimates, PREDICTED_MISS, 0.3, 1)
        observe(estimates, PREDICTED_MISS, 1.0, 1)
    assert estimates.cold_s(ROUTE) > 0.75


def test_observe_recovers_from_an_exceptionally_long_first_request():
    estimates = durations.DurationEstimates()
    observe(estimates, PREDICTED_MISS, 8.0, 1)
    observe(estimates, PREDICTED_MISS, 1.0, 120)
    assert estimates.cold_s(ROUTE) < 1.8


def test_observe_reports_equal_durations_without_affinity_gain():
    estimates = durations.DurationEstimates()
    observe(estimates, PREDICTED_MISS, 1.0, 5)
    observe(estimates, PREDICTED_HIT, 0.9, 50)
    assert estimates.warm_s(ROUTE) == estimates.cold_s(ROUTE)
