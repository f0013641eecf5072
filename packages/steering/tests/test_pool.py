from __future__ import annotations

import random

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import health, pool, queue, shed_limits, slots

B1 = ids.EndpointId("b1")
B2 = ids.EndpointId("b2")
E1 = ids.InstanceId("e1")


def test_shed_limits_recover_one_slot_at_a_time() -> None:
    limits = shed_limits.ShedLimits()
    limits.record(B1, 1, 0.0)
    assert [limits.limit(B1, 4, now) for now in (0.5, 1.0, 2.5, 3.0)] == [1, 2, 3, 4]
    limits.record(B1, 0, 5.0)
    assert limits.limit(B1, 4, 5.0) == 1


def _pool() -> pool.SlotPool:
    table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
    table.add_endpoint(B1, 4)
    return pool.SlotPool(table, health.HealthView(), random.Random(1))


def _request_slot(
    own: pool.SlotPool, name: str, avoided: frozenset[ids.EndpointId] = frozenset()
) -> tuple[pool.Decision, ...]:
    slot_request = pool.SlotRequest(
        name, E1, model.Patience.IMPATIENT, "r", 9.0, avoided=avoided
    )
    return own.request_slot(slot_request, 0.0)


def test_pool_grants_no_more_slots_than_endpoint_accepted() -> None:
    own = _pool()
    holds = [
        d.hold
        for n in "ab"
        for d in _request_slot(own, n)
        if isinstance(d, pool.Granted)
    ]
    shed = health.ExchangeOutcome.SHED
    own.release(holds[1].term, holds[1].number, shed, 0.0, 0.0)
    assert own.free(0.0) == 0
    assert own.free(1.0) == 1


def test_pool_refuses_request_that_avoids_every_endpoint() -> None:
    (refused,) = _request_slot(_pool(), "a", frozenset({B1}))
    assert isinstance(refused, pool.Refused)
    assert refused.reason is queue.ShedReason.NO_ENDPOINT


# Guards against an order that waits until its deadline beside a free endpoint, because
# the endpoint had shed another request shortly before the order came.
def test_pool_uses_endpoint_once_its_shed_is_no_longer_recent() -> None:
    own = _pool()
    own.own_endpoint(B2, 1, (), 0.0)
    avoided_until_by_id = {B1: 1.0}
    first, second = (
        pool.SlotRequest(
            name,
            E1,
            model.Patience.IMPATIENT,
            "r",
            9.0,
            avoided_until_by_id=avoided_until_by_id,
        )
        for name in "ab"
    )
    (granted,) = own.request_slot(first, 0.0)
    assert isinstance(granted, pool.Granted) and granted.hold.endpoint_id == B2
    assert own.request_slot(second, 0.0) == own.tick(0.9) == ()
    (granted,) = own.tick(1.0)
    assert isinstance(granted, pool.Granted) and granted.hold.endpoint_id == B1


def test_pool_refuses_request_while_every_shed_is_recent() -> None:
    slot_request = pool.SlotRequest(
        "a", E1, model.Patience.IMPATIENT, "r", 9.0, avoided_until_by_id={B1: 1.0}
    )
    (refused,) = _pool().request_slot(slot_request, 0.9)
    assert isinstance(refused, pool.Refused)
    assert refused.reason is queue.ShedReason.NO_ENDPOINT
    (granted,) = _pool().request_slot(slot_request, 1.0)
    assert isinstance(granted, pool.Granted)


def _quarantined_pool(until: float) -> pool.SlotPool:
    table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
    own = pool.SlotPool(table, health.HealthView(), random.Random(1))
    own.own_endpoint(B1, 2, (slots.Quarantine(2, until),), 0.0)
    return own


def test_pool_keeps_request_until_the_quarantine_of_its_slots_ends() -> None:
    own = _quarantined_pool(8.0)
    assert _request_slot(own, "a") == own.tick(7.9) == ()
    (granted,) = own.tick(8.0)
    assert isinstance(granted, pool.Granted)


def test_pool_refuses_request_at_once_if_the_quarantine_passes_its_deadline() -> None:
    (refused,) = _request_slot(_quarantined_pool(9.0), "a")
    assert isinstance(refused, pool.Refused)
    assert refused.reason is queue.ShedReason.NO_ENDPOINT
    assert refused.retry_after_s == 9.0


def test_pool_without_endpoints_refuses_queued_requests() -> None:
    own = _pool()
    for number in range(5):
        _request_slot(own, str(number))
    quarantines = own.release_endpoint(B1, 0.0)
    assert [q.slots for q in quarantines] == [1] * 4
    (refused,) = own.tick(0.0)
    assert refused.request.request_id == "4" and own.running == 0
    assert own.own_endpoint(B1, 4, quarantines, 0.1) == ()
    assert own.free(0.1) == 0 and own.free(quarantines[0].until) == 4
