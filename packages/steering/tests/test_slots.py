from __future__ import annotations

import result

from yuccapitch.catalogue import ids
from yuccapitch.steering import slots

B1 = ids.EndpointId("b1")
E1 = ids.InstanceId("e1")


def _table(term: int = 1) -> slots.SlotTable:
    table = slots.SlotTable(term=term, lease_until=10.0, longest_deadline_s=5.0)
    table.add_endpoint(B1, 2)
    return table


def test_slots_lost_release_is_reclaimed_after_deadline() -> None:
    table = _table()
    for _ in range(2):
        assert table.acquire(B1, E1, 1.0, 0.0).is_ok()
    assert table.acquire(B1, E1, 1.0, 0.5) == result.Err(slots.SlotRefusal.NO_FREE_SLOT)
    assert table.free(B1, 1.0) == 0
    assert table.free(B1, 1.0 + slots.RELEASE_GRACE_S) == 2


def test_slots_release_of_other_term_has_no_effect() -> None:
    old, new = _table(1), _table(2)
    stale = old.acquire(B1, E1, 1.0, 0.0).unwrap()
    new.acquire(B1, E1, 1.0, 0.0).unwrap()
    assert new.release(stale.term, stale.number) is None
    assert new.free(B1, 0.0) == 1


def test_slots_expired_lease_grants_no_slot() -> None:
    assert _table().acquire(B1, E1, 20.0, 10.0) == result.Err(
        slots.SlotRefusal.LEASE_LAPSED
    )


def test_slots_work_is_bounded_by_longest_deadline() -> None:
    assert _table().acquire(B1, E1, 99.0, 0.0).unwrap().work_deadline == 5.0


def test_slots_resized_endpoint_keeps_holds() -> None:
    table = _table()
    table.acquire(B1, E1, 1.0, 0.0).unwrap()
    table.add_endpoint(B1, 1)
    assert table.free(B1, 0.0) == 0


def test_connection_share_sums_below_limit() -> None:
    for declared in range(1, 30):
        assert slots.connection_share(400, declared) * declared <= 400


def test_slots_usable_at_is_the_end_of_the_first_quarantine_that_frees_a_slot() -> None:
    table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
    table.add_endpoint(
        B1, 2, tuple(slots.Quarantine(1, until) for until in (7.0, 3.0, 5.0))
    )
    assert table.usable_at(B1, 0.0) == 5.0
    assert table.usable_at(B1, 6.0) == 6.0
