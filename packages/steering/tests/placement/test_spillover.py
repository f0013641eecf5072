"""Spillover between regions with a bounded rate of change."""

from __future__ import annotations

import pytest

from yuccapitch.steering.placement import spillover


@pytest.mark.parametrize(
    ("demand", "own", "other", "share"),
    [
        (5.0, 10, 10, 0.0),
        (7.0, 10, 10, 0.0),
        (14.0, 10, 10, 0.5),
        (40.0, 10, 10, 0.5),
        (5.0, 0, 10, 1.0),
        (5.0, 10, 0, 0.0),
    ],
)
def test_target_share_keeps_the_local_region_at_target_utilization(
    demand, own, other, share
):
    assert spillover.target_share(demand, own, other) == pytest.approx(share)


def test_update_moves_the_share_slowly_in_both_directions():
    state = spillover.Spillover(0.0)
    state.update(0.0, 10, 10, 0.0)
    shares = []
    for step in range(1, 400):
        demand = 30.0 if step < 200 else 1.0
        state.update(demand, 10, 10, step / 20)
        shares.append(state.share)
    steps_of_2s = zip(shares, shares[40:])
    assert max(abs(b - a) for a, b in steps_of_2s) <= 0.1 + 1e-9
    assert shares[198] == pytest.approx(0.5)


def test_first_update_distributes_requests_in_proportion_to_slots():
    state = spillover.Spillover(0.0)
    state.update(0.0, 10, 30, 0.0)
    assert state.share == pytest.approx(0.75)


def test_overflow_is_limited_to_a_share_of_the_requests():
    state = spillover.Spillover(0.0)
    overflowed = 0
    for _ in range(1000):
        state.count()
        overflowed += state.try_acquire_overflow()
    assert overflowed <= 1000 * spillover.OVERFLOW_SHARE + spillover.OVERFLOW_BURST


def test_required_slots_equal_arrival_rate_times_duration():
    demand = spillover.Demand(0.0)
    for step in range(1000):
        demand.add(0.2, step / 100)
    assert demand.required_slots(10.0) == pytest.approx(20.0, rel=0.1)
