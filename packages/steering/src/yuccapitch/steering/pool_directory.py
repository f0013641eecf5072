"""Directory of all pools at one instance, with delayed counts of their owners."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Collection, Mapping

from yuccapitch.catalogue import ids, model
from yuccapitch.steering import owners, pool as pool_module, pool_choice


@dataclasses.dataclass(frozen=True)
class KnownPool:
    """A pool according to the catalogue and the current assignment of owners."""

    pool: owners.Pool
    region: ids.RegionId
    owner: ids.InstanceId
    slots: int
    distance_s: float


@dataclasses.dataclass(frozen=True)
class PoolCounts:
    """Slot and queue counts of a pool at its owner."""

    sequence: int
    """Sequence number that increases with each count in the owner's term."""
    term: int
    slots: int
    free: int
    waiting_impatient: int
    waiting_patient: int


class PoolDirectory:
    """Pools known to an entry instance, as input to pool selection."""

    def __init__(self, instance_id: ids.InstanceId) -> None:
        self.instance_id = instance_id
        self._pools: dict[owners.Pool, KnownPool] = {}
        self._counts: dict[owners.Pool, tuple[PoolCounts, float]] = {}
        self._heard_at_by_owner: dict[ids.InstanceId, float] = {}
        self._outstanding: collections.Counter[owners.Pool] = collections.Counter()

    @property
    def is_known(self) -> bool:
        """Whether the owner of any pool is known."""
        return bool(self._pools)

    def set_pools(self, pools: Collection[KnownPool], now: float) -> None:
        """Set the pools and their owners; drop the counts of former owners."""
        for known in pools:
            before = self._pools.get(known.pool)
            if before is None or before.owner != known.owner:
                self._counts.pop(known.pool, None)
                self._heard_at_by_owner.setdefault(known.owner, now)
        self._pools = {known.pool: known for known in pools}

    def update_counts(
        self,
        owner: ids.InstanceId,
        counts_by_pool: Mapping[owners.Pool, PoolCounts],
        now: float,
        age_s: float = 0.0,
    ) -> None:
        """Record an owner's counts unless newer ones are known."""
        self._heard_at_by_owner[owner] = now
        for pool, counts in counts_by_pool.items():
            known = self._pools.get(pool)
            if known is None or known.owner != owner:
                continue
            former = self._counts.get(pool)
            if former is not None and _version(counts) <= _version(former[0]):
                continue
            self._counts[pool] = (counts, now - age_s)

    def mark_link_lost(self, owner: ids.InstanceId) -> None:
        """Record that the link to an owner broke."""
        self._heard_at_by_owner[owner] = float("-inf")

    def record_sent(self, pool: owners.Pool) -> None:
        """Record a request forwarded to the pool's owner."""
        self._outstanding[pool] += 1

    def record_ended(self, pool: owners.Pool) -> None:
        """Record the end of a forwarded request."""
        self._outstanding[pool] -= 1

    def views(
        self,
        service: ids.ServiceId,
        regions: Collection[ids.RegionId],
        own_pools: Mapping[owners.Pool, pool_module.SlotPool],
        now: float,
    ) -> tuple[pool_choice.PoolView, ...]:
        """Return the pools of a service in the regions that a request may use."""
        return tuple(
            self._view(known, own_pools.get(known.pool), now)
            for known in self._pools.values()
            if known.pool.service == service and known.region in regions
        )

    def _view(
        self, known: KnownPool, own: pool_module.SlotPool | None, now: float
    ) -> pool_choice.PoolView:
        if own is not None and known.owner == self.instance_id:
            return _own_view(known, own, now)
        counts, counted_at = self._counts.get(
            known.pool, (PoolCounts(0, 0, known.slots, 0, 0, 0), float("-inf"))
        )
        return pool_choice.PoolView(
            known.pool,
            known.owner,
            known.distance_s,
            counts.slots,
            counts.free,
            counts.waiting_impatient,
            counts.waiting_patient,
            counted_at,
            self._heard_at_by_owner.get(known.owner, float("-inf")),
            self._outstanding[known.pool],
        )


def current_counts(own: pool_module.SlotPool, sequence: int, now: float) -> PoolCounts:
    """Return the counts that an owner sends to its peers."""
    return PoolCounts(
        sequence,
        own.table.term,
        own.usable_slots(),
        own.free(now),
        own.waiting_count(model.Patience.IMPATIENT),
        own.waiting_count(model.Patience.PATIENT),
    )


def _own_view(
    known: KnownPool, own: pool_module.SlotPool, now: float
) -> pool_choice.PoolView:
    counts = current_counts(own, 0, now)
    return pool_choice.PoolView(
        known.pool,
        known.owner,
        0.0,
        counts.slots,
        counts.free,
        counts.waiting_impatient,
        counts.waiting_patient,
        now,
        now,
        is_open=own.is_open,
    )


def _version(counts: PoolCounts) -> tuple[int, int]:
    return (counts.term, counts.sequence)
