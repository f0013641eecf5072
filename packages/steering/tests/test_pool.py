from __future__ import annotations

import random

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import health, pool, queue, shed_limits, slots

B1 = ids.EndpointId("b1")
E1 = ids.InstanceId("e1")


def test_shed_limits_recover_one_by_one() -> None:
    limits = shed_limits.ShedLimits()
    limits.record(B1, 1, 0.0)
    assert [limits.limit(B1, 4, now) for now in (0.5, 1.0, 2.5, 3.0)] == [1, 2, 3, 4]
    limits.record(B1, 0, 5.0)
    assert limits.limit(B1, 4, 5.0) == 1


def _pool() -> pool.SlotPool:
    table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
    table.add_endpoint(B1, 4)
    return pool.SlotPool(table, health.HealthView(), random.Random(1))


def _ask(
    own: pool.SlotPool, name: str, avoided: frozenset[ids.EndpointId] = frozenset()
) -> tuple[pool.Decision, ...]:
    ask = pool.SlotRequest(
        name, E1, model.Patience.IMPATIENT, "r", 9.0, avoided=avoided
    )
    return own.request_slot(ask, 0.0)


def test_pool_gives_no_more_than_endpoint_accepted() -> None:
    own = _pool()
    holds = [d.hold for n in "ab" for d in _ask(own, n) if isinstance(d, pool.Granted)]
    shed = health.ExchangeOutcome.SHED
    own.release(holds[1].term, holds[1].number, shed, 0.0, 0.0)
    assert own.free(0.0) == 0
    assert own.free(1.0) == 1


def test_pool_refuses_ask_that_avoids_every_endpoint() -> None:
    (refused,) = _ask(_pool(), "a", frozenset({B1}))
    assert isinstance(refused, pool.Refused)
    assert refused.reason is queue.ShedReason.NO_ENDPOINT


def test_pool_given_up_refuses_what_waits() -> None:
    own = _pool()
    for number in range(5):
        _ask(own, str(number))
    quarantines = own.release_endpoint(B1, 0.0)
    assert [q.slots for q in quarantines] == [1] * 4
    (refused,) = own.tick(0.0)
    assert refused.request.request_id == "4" and own.running == 0
    assert own.own_endpoint(B1, 4, quarantines, 0.1) == ()
    assert own.free(0.1) == 0 and own.free(quarantines[0].until) == 4
