from __future__ import annotations

import asyncio
import random

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
