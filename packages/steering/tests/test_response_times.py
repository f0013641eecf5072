"""Tests of the estimates of response times."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from yuccapitch.catalogue import ids
from yuccapitch.steering import response_times

ROUTE, OTHER = ids.RouteId("r"), ids.RouteId("other")


def test_estimates_bound_nothing_before_the_first_observation():
    times = response_times.ResponseTimes()
    times.observe(OTHER, 2.0)
    assert times.mean_s(ROUTE) == 0.0
    assert times.bound_s(ROUTE) == float("inf")


def test_observe_unfinished_counts_only_what_took_longer_than_expected():
    times = response_times.ResponseTimes()
    times.observe_unfinished(ROUTE, 4.0)
    assert times.mean_s(ROUTE) == 4.0
    times.observe_unfinished(ROUTE, 1.0)
    assert times.mean_s(ROUTE) == 4.0
    times.observe_unfinished(ROUTE, 8.0)
    assert times.mean_s(ROUTE) > 4.0


def test_estimates_of_steady_times_converge_to_them():
    times = response_times.ResponseTimes()
    for _ in range(100):
        times.observe(ROUTE, 2.0)
    assert times.mean_s(ROUTE) == pytest.approx(2.0)
    assert times.bound_s(ROUTE) == pytest.approx(2.0)


@given(strategies.lists(strategies.floats(0.0, 60.0), min_size=1))
def test_estimates_stay_in_the_range_of_what_was_observed(durations_s):
    times = response_times.ResponseTimes()
    for duration_s in durations_s:
        times.observe(ROUTE, duration_s)
    mean_s = times.mean_s(ROUTE)
    assert min(durations_s) - 1e-6 <= mean_s <= max(durations_s) + 1e-6
    assert times.bound_s(ROUTE) >= mean_s


def test_bound_exceeds_nearly_all_of_varied_times():
    times = response_times.ResponseTimes()
    durations_s = [1.0 + (n * 7 % 10) / 10 for n in range(200)]
    for duration_s in durations_s:
        times.observe(ROUTE, duration_s)
    assert times.bound_s(ROUTE) >= max(durations_s)
