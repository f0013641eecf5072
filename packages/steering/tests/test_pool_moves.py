from __future__ import annotations

import random

import pytest

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import health, owners, pool, pool_moves, slots

E1 = ids.InstanceId("e1")
B1, B2 = ids.EndpointId("b1"), ids.EndpointId("b2")
FULL = owners.Pool(ids.ServiceId("shop"), ids.FailureDomainId("d1"))
OTHER = owners.Pool(ids.ServiceId("shop"), ids.FailureDomainId("d2"))
IMPATIENT, PATIENT = model.Patience.IMPATIENT, model.Patience.PATIENT


def _slot_pool(endpoint_id: ids.EndpointId, slot_count: int) -> pool.SlotPool:
    table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
    table.add_endpoint(endpoint_id, slot_count)
    return pool.SlotPool(table, health.HealthView(), random.Random(1))


@pytest.fixture
def slot_pools_by_pool() -> dict[owners.Pool, pool.SlotPool]:
    """Return a pool without a free slot and one of as many slots."""
    slot_pools_by_pool = {FULL: _slot_pool(B1, 2), OTHER: _slot_pool(B2, 2)}
    for name in ("running-1", "running-2"):
        slot_pools_by_pool[FULL].request_slot(_request(name), 0.0)
    return slot_pools_by_pool


def _request(
    name: str,
    patience: model.Patience = IMPATIENT,
    avoided: frozenset[ids.EndpointId] = frozenset(),
    **avoided_until: float,
) -> pool.SlotRequest:
    return pool.SlotRequest(
        name,
        E1,
        patience,
        "r",
        9.0,
        avoided=avoided,
        avoided_until_by_id={ids.EndpointId(e): t for e, t in avoided_until.items()},
    )


def _moved(
    slot_pools_by_pool: dict[owners.Pool, pool.SlotPool], now: float
) -> list[tuple[str, owners.Pool]]:
    moved = []
    for item in pool_moves.move_waiting(slot_pools_by_pool, now):
        assert isinstance(item.decision, pool.Granted)
        moved.append((item.decision.request.request_id, item.pool))
    return moved


# Guards against an order that waits in the queue of a full pool until its deadline
# while another pool of the same owner has free slots.
def test_move_waiting_grants_free_slots_of_other_pool(
    slot_pools_by_pool: dict[owners.Pool, pool.SlotPool],
) -> None:
    for name in "abc":
        slot_pools_by_pool[FULL].request_slot(_request(name), 0.0)
    assert _moved(slot_pools_by_pool, 0.1) == [("a", OTHER), ("b", OTHER)]
    waiting = slot_pools_by_pool[FULL].waiting_requests(IMPATIENT)
    assert [request.request_id for request in waiting] == ["c"]
    assert slot_pools_by_pool[OTHER].waiting_count(IMPATIENT) == 0
    assert _moved(slot_pools_by_pool, 0.1) == []
    for slot_pool in slot_pools_by_pool.values():
        assert slot_pool.running == 2


def test_move_waiting_starts_once_a_shed_is_no_longer_recent(
    slot_pools_by_pool: dict[owners.Pool, pool.SlotPool],
) -> None:
    slot_pools_by_pool[FULL].request_slot(_request("a", b2=1.0), 0.0)
    assert _moved(slot_pools_by_pool, 0.9) == []
    assert _moved(slot_pools_by_pool, 1.0) == [("a", OTHER)]


def test_move_waiting_never_uses_an_endpoint_that_must_not_serve_the_request(
    slot_pools_by_pool: dict[owners.Pool, pool.SlotPool],
) -> None:
    bound = _request("bound", avoided=frozenset({B2}))
    for request in (bound, _request("free")):
        slot_pools_by_pool[FULL].request_slot(request, 0.0)
    assert _moved(slot_pools_by_pool, 0.1) == [("free", OTHER)]
    waiting = slot_pools_by_pool[FULL].waiting_requests(IMPATIENT)
    assert waiting == (bound,)


def test_move_waiting_moves_impatient_work_first(
    slot_pools_by_pool: dict[owners.Pool, pool.SlotPool],
) -> None:
    for name, patience in (("p1", PATIENT), ("p2", PATIENT), ("i", IMPATIENT)):
        slot_pools_by_pool[FULL].request_slot(_request(name, patience), 0.0)
    assert _moved(slot_pools_by_pool, 0.1) == [("i", OTHER), ("p1", OTHER)]


def test_move_waiting_leaves_reserved_slots_to_impatient_work() -> None:
    slot_pools_by_pool = {FULL: _slot_pool(B1, 1), OTHER: _slot_pool(B2, 4)}
    for number in range(6):
        request = _request(str(number), PATIENT)
        slot_pools_by_pool[FULL].request_slot(request, 0.0)
    reserved = slot_pools_by_pool[OTHER].free(0.0) - 3
    assert reserved == 1
    assert [name for name, _ in _moved(slot_pools_by_pool, 0.1)] == ["1", "2", "3"]


# Guards against two slots for a request that its own pool grants a slot when the one
# before it leaves the queue.
def test_move_waiting_leaves_requests_that_their_pool_grants_meanwhile() -> None:
    slot_pools_by_pool = {FULL: _slot_pool(B1, 0), OTHER: _slot_pool(B2, 4)}
    full_pool = slot_pools_by_pool[FULL]
    full_pool.own_endpoint(B1, 1, (slots.Quarantine(1, 1.0),), 0.0)
    for name in "abc":
        full_pool.request_slot(_request(name), 0.0)
    moved = _moved(slot_pools_by_pool, 1.0)
    assert moved == [("a", OTHER), ("b", FULL), ("c", OTHER)]


@pytest.mark.parametrize("seed", range(50))
def test_move_waiting_ends_each_request_once(seed: int) -> None:
    rng = random.Random(seed)
    slot_pools_by_pool = {FULL: _slot_pool(B1, 2), OTHER: _slot_pool(B2, 3)}
    waiting: dict[str, owners.Pool] = {}
    holds: list[tuple[owners.Pool, slots.Hold]] = []

    def apply(pool_: owners.Pool, decisions: tuple[pool.Decision, ...]) -> None:
        for decision in decisions:
            assert not isinstance(decision, pool.Preempted)
            del waiting[decision.request.request_id]
            if isinstance(decision, pool.Granted):
                holds.append((pool_, decision.hold))

    for step in range(200):
        now = step * 0.01
        pool_ = rng.choice([FULL, OTHER])
        if rng.random() < 0.6:
            patience = rng.choice([IMPATIENT, PATIENT])
            waiting[str(step)] = pool_
            request = _request(str(step), patience, b2=now + rng.choice([0, 0.05]))
            apply(pool_, slot_pools_by_pool[pool_].request_slot(request, now))
        elif holds:
            pool_, hold = holds.pop(rng.randrange(len(holds)))
            outcome = rng.choice(list(health.ExchangeOutcome))
            released = slot_pools_by_pool[pool_].release(
                hold.term, hold.number, outcome, 0.01, now
            )
            apply(pool_, released)
        for item in pool_moves.move_waiting(slot_pools_by_pool, now):
            apply(item.pool, (item.decision,))
        for pool_, slot_pool in slot_pools_by_pool.items():
            queued = {
                request.request_id
                for patience in model.Patience
                for request in slot_pool.waiting_requests(patience)
            }
            assert queued == {name for name, at in waiting.items() if at == pool_}
            assert slot_pool.running == sum(held == pool_ for held, _ in holds)
