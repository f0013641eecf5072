"""What is taken for the usual time of a request, with and without its object."""

from __future__ import annotations

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import cache_capacity, durations

ROUTE = ids.RouteId("read")
PREDICTED_HIT, PREDICTED_MISS = cache_capacity.CachePrediction(
    True
), cache_capacity.CachePrediction(False)


def observe(
    known: durations.DurationEstimates, prediction, duration_s: float, count: int
) -> None:
    for _ in range(count):
        was_cache_hit = known.was_cache_hit(ROUTE, prediction, duration_s)
        known.observe(ROUTE, prediction, was_cache_hit, duration_s)


def test_observe_keeps_warm_and_cold_apart():
    known = durations.DurationEstimates()
    observe(known, PREDICTED_MISS, 1.0, 5)
    observe(known, PREDICTED_HIT, 0.3, 5)
    assert known.warm_s(ROUTE) == 0.3
    assert known.cold_s(ROUTE) == 1.0


def test_observe_does_not_take_a_lucky_hit_for_the_cold_time():
    # Endpoints of other regions know objects that this region has not sent there.
    known = durations.DurationEstimates()
    observe(known, PREDICTED_MISS, 1.0, 5)
    for _ in range(20):
        observe(known, PREDICTED_MISS, 0.3, 1)
        observe(known, PREDICTED_MISS, 1.0, 1)
    assert known.cold_s(ROUTE) > 0.75


def test_observe_recovers_from_a_first_request_that_took_too_long():
    known = durations.DurationEstimates()
    observe(known, PREDICTED_MISS, 8.0, 1)
    observe(known, PREDICTED_MISS, 1.0, 120)
    assert known.cold_s(ROUTE) < 1.8


def test_observe_finds_no_gain_where_there_is_none():
    known = durations.DurationEstimates()
    observe(known, PREDICTED_MISS, 1.0, 5)
    observe(known, PREDICTED_HIT, 0.9, 50)
    assert known.warm_s(ROUTE) == known.cold_s(ROUTE)
