"""Spill between regions with a bounded rate of change."""

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
def test_wanted_share_leaves_the_own_region_at_its_use(demand, own, other, share):
    assert spillover.target_share(demand, own, other) == pytest.approx(share)


def test_update_moves_the_share_slowly_either_way():
    moving = spillover.Spillover(0.0)
    moving.update(0.0, 10, 10, 0.0)
    shares = []
    for step in range(1, 400):
        demand = 30.0 if step < 200 else 1.0
        moving.update(demand, 10, 10, step / 20)
        shares.append(moving.share)
    steps_of_2s = zip(shares, shares[40:])
    assert max(abs(b - a) for a, b in steps_of_2s) <= 0.1 + 1e-9
    assert shares[198] == pytest.approx(0.5)


def test_update_begins_with_all_slots_in_use():
    starting = spillover.Spillover(0.0)
    starting.update(0.0, 10, 30, 0.0)
    assert starting.share == pytest.approx(0.75)


def test_may_overflow_is_a_small_part_of_the_requests():
    overflowing = spillover.Spillover(0.0)
    taken = 0
    for _ in range(1000):
        overflowing.count()
        taken += overflowing.try_acquire_overflow()
    assert taken <= 1000 * spillover.OVERFLOW_SHARE + spillover.OVERFLOW_BURST


def test_demand_follows_the_arrivals():
    demand = spillover.Demand(0.0)
    for step in range(1000):
        demand.add(0.2, step / 100)
    assert demand.required_slots(10.0) == pytest.approx(20.0, rel=0.1)
