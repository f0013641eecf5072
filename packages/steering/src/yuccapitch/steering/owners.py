"""Assignment of pools of endpoint slots to the entry instances that own them."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence

import xxhash

from yuccapitch.catalogue import ids


@dataclasses.dataclass(frozen=True)
class Location:
    """Region and failure domain of an instance or endpoint."""

    region: ids.RegionId
    failure_domain: ids.FailureDomainId


@dataclasses.dataclass(frozen=True, order=True)
class Pool:
    """Endpoints of one service in one failure domain, which have one owner."""

    service: ids.ServiceId
    failure_domain: ids.FailureDomainId


def rank_instances(
    key: str, instance_ids: Sequence[ids.InstanceId]
) -> list[ids.InstanceId]:
    """Order instances by rendezvous hash, the preferred one first."""
    return sorted(
        instance_ids,
        key=lambda instance_id: (-_rendezvous_score(key, instance_id), instance_id),
    )


def assign_pools(
    regions_by_pool: Mapping[Pool, ids.RegionId],
    locations_by_instance_id: Mapping[ids.InstanceId, Location],
) -> dict[Pool, ids.InstanceId]:
    """Assign each pool an owner in its failure domain if possible, else its region.

    No instance of a failure domain owns more than an even share of the pools. A pool
    moves only if its owner has left or exceeds that share. Pools of a region without
    instances have no owner.
    """
    owners_by_pool: dict[Pool, ids.InstanceId] = {}
    owned: collections.Counter[ids.InstanceId] = collections.Counter()
    pools_by_group: dict[tuple[ids.InstanceId, ...], list[Pool]] = {}
    for pool in sorted(regions_by_pool):
        group = _eligible_instances(
            pool, regions_by_pool[pool], locations_by_instance_id
        )
        pools_by_group.setdefault(group, []).append(pool)
    for group, pools in sorted(pools_by_group.items(), key=lambda item: len(item[0])):
        if not group:
            continue
        owned_before = sum(owned[instance_id] for instance_id in group)
        max_owned = math.ceil((owned_before + len(pools)) / len(group))
        for pool in pools:
            owner = _choose_owner(pool, group, owned, max_owned)
            owners_by_pool[pool] = owner
            owned[owner] += 1
    return owners_by_pool


def _eligible_instances(
    pool: Pool,
    region: ids.RegionId,
    locations_by_instance_id: Mapping[ids.InstanceId, Location],
) -> tuple[ids.InstanceId, ...]:
    in_domain = [
        instance_id
        for instance_id, location in locations_by_instance_id.items()
        if location.failure_domain == pool.failure_domain
    ]
    in_region = [
        instance_id
        for instance_id, location in locations_by_instance_id.items()
        if location.region == region
    ]
    return tuple(sorted(in_domain or in_region))


def _choose_owner(
    pool: Pool,
    group: tuple[ids.InstanceId, ...],
    owned: collections.Counter[ids.InstanceId],
    max_owned: int,
) -> ids.InstanceId:
    key = f"{pool.service}/{pool.failure_domain}"
    candidates = rank_instances(key, group)
    below_limit = [
        instance_id for instance_id in candidates if owned[instance_id] < max_owned
    ]
    return (below_limit or candidates)[0]


def _rendezvous_score(key: str, instance_id: ids.InstanceId) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{instance_id}".encode())
