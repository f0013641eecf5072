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


def ask(name: str) -> pool_module.SlotRequest:
    return pool_module.SlotRequest(name, E1, model.Patience.IMPATIENT, "r", 9.0)


@pytest.mark.parametrize("cancel_first", [True, False])
async def test_acquire_returns_a_slot_given_while_its_caller_leaves(
    cancel_first: bool,
) -> None:
    view = health.HealthView()
    service = pool_service.PoolService(
        E1, view, lambda endpoint_id: False, lambda: 0.0, random.Random(1)
    )
    table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
    table.add_endpoint(B1, 1)
    own = pool_module.SlotPool(table, view, random.Random(1))
    service._pools[POOL] = own
    assert (await service.acquire(POOL, ask("first"))).is_ok()
    waiting = asyncio.create_task(service.acquire(POOL, ask("second")))
    await asyncio.sleep(0)
    if cancel_first:
        waiting.cancel()
    service.release(POOL, "first", None, 0.0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert own.free(0.0) == 1


async def test_pool_taken_away_is_kept_until_its_work_has_ended() -> None:
    view = health.HealthView()
    service = pool_service.PoolService(
        E1, view, lambda endpoint_id: False, lambda: 0.0, random.Random(1)
    )
    table = slots.SlotTable(term=1, lease_until=99.0, longest_deadline_s=5.0)
    table.add_endpoint(B1, 1)
    service._pools[POOL] = pool_module.SlotPool(table, view, random.Random(1))
    assert (await service.acquire(POOL, ask("first"))).is_ok()
    assert not service.take_grants(lease_client.PoolGrants(1, (), 99.0))
    assert [report.is_owned for report in service.reports(0.0)] == [True]
    told: list[bool] = []
    service.on_given_up = lambda: told.append(True)
    service.release(POOL, "first", None, 0.0)
    service.tick()
    (report,) = service.reports(0.0)
    assert told and not report.is_owned and report.held == ()
