"""Exchange of pool loads between entry instances."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable

from yuccapitch.catalogue import ids
from yuccapitch.gateway import config_view, pool_service
from yuccapitch.protocol import slot_messages
from yuccapitch.steering import owners, pool_choice, pool_directory


@dataclasses.dataclass(frozen=True)
class OwnerLoad:
    """Slots of one service that an instance owns, and their utilization."""

    slots: int
    used_fraction: float
    counted_at: float


NO_LOAD = OwnerLoad(0, 0.0, float("-inf"))


class PoolLoadExchange:
    """Builds the loads of the owned pools and records those of other instances."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        pools: pool_service.PoolService,
        view: Callable[[], config_view.ConfigView | None],
        clock: Callable[[], float],
    ) -> None:
        self._instance_id = instance_id
        self._pools = pools
        self._view = view
        self._clock = clock

    def build_loads(self, sequence: int, forward_token: str) -> slot_messages.PoolLoads:
        """Return the loads of the owned pools for the other entry instances."""
        now = self._clock()
        pools = []
        for pool, slot_pool in self._pools.owned_pools.items():
            counts = pool_directory.current_counts(slot_pool, sequence, now)
            pools.append(
                slot_messages.PoolLoad(
                    pool.service,
                    pool.failure_domain,
                    counts.term,
                    counts.slots,
                    counts.free,
                    counts.waiting_impatient,
                    counts.waiting_patient,
                )
            )
        return slot_messages.PoolLoads(
            self._instance_id, sequence, forward_token, tuple(pools)
        )

    def loads_by_owner(
        self, service: ids.ServiceId, now: float
    ) -> dict[ids.InstanceId, OwnerLoad]:
        """Return the last reported load of each owner of the service's pools."""
        loads_by_owner: dict[ids.InstanceId, OwnerLoad] = {}
        for view in self._pool_views(service, now):
            previous = loads_by_owner.get(view.owner, NO_LOAD)
            total = previous.slots + view.slots
            used = previous.slots * previous.used_fraction + view.slots - view.free
            loads_by_owner[view.owner] = OwnerLoad(
                total, used / total if total else 0.0, view.counted_at
            )
        return loads_by_owner

    def read_headroom_gauge(self) -> list[tuple[tuple[str, ...], float]]:
        """Return the free fraction of each region's slots, as last reported."""
        config = self._view()
        if config is None:
            return []
        now = self._clock()
        slots_by_region: collections.Counter[ids.RegionId] = collections.Counter()
        free_by_region: collections.Counter[ids.RegionId] = collections.Counter()
        for service in config.declaration.services_by_id:
            for view in self._pool_views(service, now):
                region = config.region_of_domain(view.pool.failure_domain)
                slots_by_region[region] += view.slots
                free_by_region[region] += view.free
        return [
            ((region,), free_by_region[region] / total)
            for region, total in slots_by_region.items()
            if total
        ]

    def update_counts(self, loads: slot_messages.PoolLoads) -> None:
        """Record the pool counts of another instance."""
        counts_by_pool = {
            owners.Pool(
                ids.ServiceId(load.service), ids.FailureDomainId(load.failure_domain)
            ): pool_directory.PoolCounts(
                loads.sequence,
                load.term,
                load.slots,
                load.free,
                load.waiting_impatient,
                load.waiting_patient,
            )
            for load in loads.pools
        }
        owner = ids.InstanceId(loads.instance)
        self._pools.directory.update_counts(owner, counts_by_pool, self._clock())

    def _pool_views(
        self, service: ids.ServiceId, now: float
    ) -> tuple[pool_choice.PoolView, ...]:
        config = self._view()
        if config is None:
            return ()
        return self._pools.directory.views(
            service, config.declaration.regions_by_id, self._pools.owned_pools, now
        )
