"""What is taken for the usual time of a request, with and without its object."""

from __future__ import annotations

from yuccapitch.catalogue import ids
from yuccapitch.steering.placement import durations, warm_capacity

ROUTE = ids.RouteId("read")
KNOWN, UNKNOWN = warm_capacity.Visit(True), warm_capacity.Visit(False)


def observe(known: durations.Durations, visit, duration_s: float, count: int) -> None:
    for _ in range(count):
        had_object = known.had_object(ROUTE, visit, duration_s)
        known.observe(ROUTE, visit, had_object, duration_s)


def test_observe_keeps_warm_and_cold_apart():
    known = durations.Durations()
    observe(known, UNKNOWN, 1.0, 5)
    observe(known, KNOWN, 0.3, 5)
    assert known.warm_s(ROUTE) == 0.3
    assert known.cold_s(ROUTE) == 1.0


def test_observe_does_not_take_a_lucky_hit_for_the_cold_time():
    # Endpoints of other regions know objects that this region has not sent there.
    known = durations.Durations()
    observe(known, UNKNOWN, 1.0, 5)
    for _ in range(20):
        observe(known, UNKNOWN, 0.3, 1)
        observe(known, UNKNOWN, 1.0, 1)
    assert known.cold_s(ROUTE) > 0.75


def test_observe_recovers_from_a_first_request_that_took_too_long():
    known = durations.Durations()
    observe(known, UNKNOWN, 8.0, 1)
    observe(known, UNKNOWN, 1.0, 120)
    assert known.cold_s(ROUTE) < 1.8


def test_observe_finds_no_gain_where_there_is_none():
    known = durations.Durations()
    observe(known, UNKNOWN, 1.0, 5)
    observe(known, KNOWN, 0.9, 50)
    assert known.warm_s(ROUTE) == known.cold_s(ROUTE)
