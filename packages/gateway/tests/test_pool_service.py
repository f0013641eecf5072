from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from yuccapitch.catalogue import ids, model
from yuccapitch.control import lease_client
from yuccapitch.gateway import pool_service
from yuccapitch.steering import health, owners, pool as pool_module, slots

B1 = ids.EndpointId("b1")
E1 = ids.InstanceId("e1")
POOL = owners.Pool(ids.ServiceId("shop"), ids.FailureDomainId("d1"))


def slot_request(name: str) -> pool_module.SlotRequest:
    return pool_module.SlotRequest(name, E1, model.Patience.IMPATIENT, "r", 9.0)


@pytest.mark.parametrize("cancel_first", [True, False])
async def test_acquire_cancelled_during_a_grant_releases_the_slot(
    cancel_first: bool,
) -> None:
    view = health.HealthView()
    service = pool_service.PoolService(
        E1, view, lambda endpoint_id: False, lambda: 0.0, random.Random(1)
    )
    table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
    table.add_endpoint(B1, 1)
    slot_pool = pool_module.SlotPool(table, view, random.Random(1))
    service._pools[POOL] = slot_pool
    assert (await service.acquire(POOL, slot_request("first"))).is_ok()
    waiting = asyncio.create_task(service.acquire(POOL, slot_request("second")))
    await asyncio.sleep(0)
    if cancel_first:
        waiting.cancel()
    service.release(POOL, "first", None, 0.0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert slot_pool.free(0.0) == 1


async def test_revoked_pool_is_kept_until_running_requests_end() -> None:
    view = health.HealthView()
    service = pool_service.PoolService(
        E1, view, lambda endpoint_id: False, lambda: 0.0, random.Random(1)
    )
    table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
    table.add_endpoint(B1, 1)
    service._pools[POOL] = pool_module.SlotPool(table, view, random.Random(1))
    assert (await service.acquire(POOL, slot_request("first"))).is_ok()
    assert not service.apply_grants(lease_client.PoolGrants(1, (), 99.0))
    assert [report.is_owned for report in service.build_reports(0.0)] == [True]
    notifications: list[bool] = []
    service.on_pools_released = lambda: notifications.append(True)
    service.release(POOL, "first", None, 0.0)
    service.tick()
    (report,) = service.build_reports(0.0)
    assert notifications and not report.is_owned and report.held == ()


class FakeView:
    """The part of a configuration that moves between pools need."""

    @staticmethod
    def pool_endpoints(pool: owners.Pool) -> dict[ids.EndpointId, None]:
        return {ids.EndpointId(f"{pool.failure_domain}-endpoint"): None}

    @staticmethod
    def region_of_domain(domain: ids.FailureDomainId) -> str:
        return "west" if domain == "d9" else "east"


def _service_with_pools(*domains: str) -> pool_service.PoolService:
    view = health.HealthView()
    service = pool_service.PoolService(
        E1, view, lambda endpoint_id: False, lambda: 0.0, random.Random(1)
    )
    fake_view: Any = FakeView()
    service._view = fake_view
    for domain in domains:
        pool = owners.Pool(ids.ServiceId("shop"), ids.FailureDomainId(domain))
        table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
        for endpoint_id in FakeView.pool_endpoints(pool):
            table.add_endpoint(endpoint_id, 1)
        service._pools[pool] = pool_module.SlotPool(table, view, random.Random(1))
    return service


# Guards against an order that waits in the queue of a full pool until its deadline
# while another pool of the same owner has free slots.
async def test_tick_moves_waiting_request_to_pool_with_free_slot() -> None:
    service = _service_with_pools("d1", "d2")
    assert (await service.acquire(POOL, slot_request("first"))).is_ok()
    waiting = asyncio.create_task(service.acquire(POOL, slot_request("second")))
    await asyncio.sleep(0)
    service.tick()
    slot = (await waiting).unwrap()
    assert (slot.pool.failure_domain, slot.endpoint_id) == ("d2", "d2-endpoint")
    service.release(slot.pool, "second", None, 0.0)
    assert [own.free(0.0) for own in service.owned_pools.values()] == [0, 1]


async def test_moved_request_cancelled_during_the_grant_releases_the_slot() -> None:
    service = _service_with_pools("d1", "d2")
    assert (await service.acquire(POOL, slot_request("first"))).is_ok()
    waiting = asyncio.create_task(service.acquire(POOL, slot_request("second")))
    await asyncio.sleep(0)
    service.tick()
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert [own.free(0.0) for own in service.owned_pools.values()] == [0, 1]


async def test_tick_moves_no_request_out_of_its_region() -> None:
    service = _service_with_pools("d1", "d9")
    assert (await service.acquire(POOL, slot_request("first"))).is_ok()
    waiting = asyncio.create_task(service.acquire(POOL, slot_request("second")))
    await asyncio.sleep(0)
    service.tick()
    await asyncio.sleep(0)
    assert not waiting.done()
    waiting.cancel()
