"""Tests of endpoints lent to regions with too few slots."""

from __future__ import annotations

import collections

from yuccapitch.protocol import subscription_messages as messages
from yuccapitch.steering import allocation


def make_record(name: str, region: str, slots: int = 4) -> messages.EndpointRecord:
    return messages.EndpointRecord(
        name, "orders", "10.0.0.1", 80, f"{region}-a", slots, False, 0, 0, region
    )


ENDPOINTS = (
    [make_record(f"n{n}", "north") for n in range(2)]
    + [make_record(f"s{n}", "south") for n in range(8)]
    + [make_record(f"w{n}", "west") for n in range(10)]
)


def assign_repeatedly(demand_by_region, rounds=20, records=ENDPOINTS):
    demands = {("orders", region): slots for region, slots in demand_by_region.items()}
    former = {}
    for _ in range(rounds):
        assigned = allocation.assign_serving_regions(records, former, demands, {})
        former = {r.endpoint_id: r for r in assigned}
    return former


def slots_by_region(assigned):
    slots = collections.Counter()
    for item in assigned.values():
        slots[item.serving_region_id] += item.slots
    return slots


def test_assign_lends_to_a_region_with_few_endpoints():
    slots = slots_by_region(
        assign_repeatedly({"north": 12.0, "south": 12.0, "west": 12.0})
    )
    assert slots["north"] >= 16
    assert slots["south"] >= 16
    assert slots["west"] >= 16


def test_assign_returns_endpoints_when_demand_drops():
    busy = assign_repeatedly({"north": 12.0, "south": 12.0, "west": 12.0})
    demands = {("orders", r): 4.0 for r in ("north", "south", "west")}
    former = busy
    for _ in range(10):
        assigned = allocation.assign_serving_regions(ENDPOINTS, former, demands, {})
        former = {r.endpoint_id: r for r in assigned}
    assert slots_by_region(former)["north"] == 8


def test_assign_moves_one_endpoint_a_region_at_a_time():
    demands = {("orders", "north"): 30.0, ("orders", "south"): 1.0}
    assigned = allocation.assign_serving_regions(ENDPOINTS, {}, demands, {})
    moved = [
        r for r in assigned if not r.endpoint_id.startswith(r.serving_region_id[0])
    ]
    assert len(moved) == 1


def test_assign_distributes_shortage_by_demand():
    slots = slots_by_region(
        assign_repeatedly({"north": 60.0, "south": 60.0, "west": 60.0}, 40)
    )
    assert all(count >= 20 for count in slots.values())


def test_assign_without_demand_keeps_own_regions():
    assert slots_by_region(assign_repeatedly({})) == {
        "north": 8,
        "south": 32,
        "west": 40,
    }


def test_assign_without_demand_follows_weights():
    weights = {"north": 4, "south": 3, "west": 4}
    assigned = allocation.assign_serving_regions(ENDPOINTS, {}, {}, weights)
    slots = slots_by_region({r.endpoint_id: r for r in assigned})
    assert slots["north"] >= 24
    assert slots["south"] >= 20


def test_assign_converges():
    demand_by_region = {"north": 12.0, "south": 12.0, "west": 12.0}
    assert assign_repeatedly(demand_by_region, 20) == assign_repeatedly(
        demand_by_region, 21
    )


# Pattern: traffic that moves between regions within seconds, at the size of hundreds of
# endpoints. One endpoint a call took minutes to follow it.
def test_assign_follows_demand_as_fast_with_hundreds_of_endpoints():
    def rounds_to_follow(scale: int) -> int:
        records = [make_record(f"n{n}", "north") for n in range(2 * scale)]
        records += [make_record(f"s{n}", "south") for n in range(8 * scale)]
        records += [make_record(f"w{n}", "west") for n in range(10 * scale)]
        demands = {("orders", r): 12.0 * scale for r in ("north", "south", "west")}
        former = {}
        for number in range(200):
            assigned = allocation.assign_serving_regions(records, former, demands, {})
            former = {r.endpoint_id: r for r in assigned}
            if slots_by_region(former)["north"] >= 16 * scale:
                return number
        raise AssertionError("the region never got the slots that it needs")

    assert rounds_to_follow(12) <= 2 * rounds_to_follow(1) + 2


def test_assign_moves_a_small_fraction_of_a_large_service_at_a_time():
    records = [make_record(f"n{n:03}", "north") for n in range(50)]
    records += [make_record(f"s{n:03}", "south") for n in range(150)]
    demands = {("orders", "north"): 300.0, ("orders", "south"): 10.0}
    assigned = allocation.assign_serving_regions(records, {}, demands, {})
    moved = [r for r in assigned if r.endpoint_id[0] != r.serving_region_id[0]]
    assert 1 < len(moved) <= allocation.MAX_MOVED_FRACTION * len(records)
